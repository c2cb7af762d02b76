"""Health of one endpoint as seen by this instance."""

from datetime import timedelta

import msgspec

from ...placement.choice import EngineView
from ...routing.listing import ListedEndpoint
from .requested_backoff import RequestedBackoff
from .zone_suspicion import ZoneSuspicion

UNREACHABLE_BACKOFF = timedelta(seconds=1)
"""Initial backoff after a failed connection to an endpoint."""

MAX_UNREACHABLE_BACKOFF = timedelta(seconds=4)
MAX_BACKOFF_DOUBLINGS = 8
ENDPOINT_SUSPICION_PERIOD = timedelta(seconds=2)
"""Time for which an endpoint with a failed response is used as a last resort."""

FAILURE_RATE_WEIGHT = 0.3
"""Weight of the newest outcome in the moving average of failures."""

SUSPECT_FAILURE_RATE = 0.25
"""Failure rate above which an endpoint is used as a last resort."""


class CachedView(msgspec.Struct, frozen=True):
    """View of an endpoint for placement, with the listing entry it derives from."""

    listed: ListedEndpoint
    view: EngineView


class EndpointHealth(msgspec.Struct):
    """Health of one endpoint.

    Attributes
    ----------
    listed_at : timedelta
        Monotonic instant at which this incarnation was first listed.
    unusable_until, suspect_until : timedelta
        Monotonic instants.
    misses : int
        Consecutive failed connections.
    failure_rate : float
        Exponential moving average of attempt failures.
    suspected_at : timedelta or None
        Start of the current ejection or suspicion.
    backoff : RequestedBackoff
        Backoff that the endpoint has requested.
    zone_suspicion : ZoneSuspicion
        Zones that appear to be partitioned.
    cached_view : CachedView or None
        Latest view; cached because each placement reads the views of all endpoints.
    """

    listed: ListedEndpoint
    listed_at: timedelta = timedelta(0)
    leaving: bool = False
    unusable_until: timedelta = timedelta(0)
    suspect_until: timedelta = timedelta(0)
    misses: int = 0
    failure_rate: float = 0.0
    suspected_at: timedelta | None = None
    backoff: RequestedBackoff = msgspec.field(default_factory=RequestedBackoff)
    zone_suspicion: ZoneSuspicion = msgspec.field(default_factory=ZoneSuspicion)
    cached_view: CachedView | None = None

    def note_unreached(self, now: timedelta) -> None:
        """Back off after a failed connection, exponentially up to a maximum.

        Connections that were opened before a backoff and fail during it belong to the
        failure that began it: several calls at once would otherwise begin with the
        longest backoff. The number of doublings is bounded, as the backoff would
        overflow `timedelta` and the failure go unhandled.
        """
        if now < self.unusable_until:
            return
        doublings = min(self.misses, MAX_BACKOFF_DOUBLINGS)
        absence = min(MAX_UNREACHABLE_BACKOFF, UNREACHABLE_BACKOFF * 2**doublings)
        self.misses += 1
        self.unusable_until = now + absence

    def note_outcome(self, failed: bool, now: timedelta) -> None:
        """Update the failure rate with the outcome of an attempt."""
        if not failed:
            self.misses = 0
        self.failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self.failure_rate)
        if failed:
            self.suspect_until = now + ENDPOINT_SUSPICION_PERIOD

    def usable(self, now: timedelta) -> bool:
        """Return whether the endpoint may receive new requests."""
        if self.leaving or self.backoff.active(now):
            return False
        return now >= self.unusable_until

    def suspect(self, now: timedelta) -> bool:
        """Return whether the endpoint is used only as a last resort."""
        if self.zone_suspicion.suspected(self.listed.zone, now):
            return True
        return now < self.suspect_until or self.failure_rate > SUSPECT_FAILURE_RATE

    def view(self, now: timedelta) -> EngineView:
        """Return the view for placement; the cached one if nothing has changed."""
        last = self.cached_view
        usable = self.usable(now) and not self.backoff.delays_placement(now)
        suspect = self.suspect(now)
        if (
            last is not None
            and last.listed is self.listed
            and last.view.usable is usable
            and last.view.suspect is suspect
        ):
            return last.view
        view = engine_view(self.listed, usable, suspect)
        self.cached_view = CachedView(self.listed, view)
        return view


def engine_view(listed: ListedEndpoint, usable: bool, suspect: bool) -> EngineView:
    """Return the view of an endpoint for placement."""
    return EngineView(
        endpoint=listed.endpoint,
        address=listed.address,
        zone=listed.zone,
        slots=listed.slots,
        usable=usable,
        suspect=suspect,
        cold=listed.cold_remaining > timedelta(0),
    )
