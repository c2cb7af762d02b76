"""What one instance knows of one endpoint that may become cold."""

from datetime import timedelta
from enum import Enum

from msgspec.structs import replace

from ...placement.choice import EngineView
from ...routing.listing import ListedEndpoint
from .limited_endpoint import LimitedEndpoint

REPORT_INTERVAL = timedelta(milliseconds=1200)
"""Evidence other than a row counts for this much longer: an endpoint may have started a
little later than the evidence, and its row says by then whether it is still cold."""


class ColdReason(Enum):
    """Why an endpoint may be cold."""

    STATED = "stated"
    """Its row says so."""
    LISTED = "listed"
    """It, or this incarnation of it, is new in the list."""
    FAILED = "failed"
    """It was unreachable, or broke a connection."""
    EVACUATED = "evacuated"
    """The evacuation of its zone has ended."""
    UNCONFIRMED = "unconfirmed"
    """Neither the store nor a peer has confirmed the list recently."""


class ColdEndpoint:
    """An endpoint of a service whose cold endpoints accept only a low rate.

    Attributes
    ----------
    listed : ListedEndpoint
    duration : timedelta
        Time for which an endpoint of the service is cold.
    permits : LimitedEndpoint
        This instance's permits; requests beyond them are counted too.
    evidence : ColdReason
        The latest evidence, apart from its row.
    evidence_until : timedelta
        Monotonic instant.
    share_due : timedelta
        When the share of the permits is to be looked up again.
    gone_at : timedelta or None
        Since when it is not listed as ready.
    """

    def __init__(
        self, listed: ListedEndpoint, duration: timedelta, permits: LimitedEndpoint
    ) -> None:
        self.listed = listed
        self.duration = duration
        self.permits = permits
        self.evidence = ColdReason.LISTED
        self.evidence_until = timedelta(0)
        self.share_due = timedelta(0)
        self.gone_at: timedelta | None = None
        self.base_view: EngineView | None = None
        self.unpermitted: EngineView | None = None

    def note(self, reason: ColdReason, at: timedelta) -> None:
        """Record evidence that the endpoint may have started at an instant."""
        until = at + self.duration + REPORT_INTERVAL
        if until > self.evidence_until:
            self.evidence = reason
            self.evidence_until = until

    def reason(self, now: timedelta) -> ColdReason | None:
        """Return why the endpoint itself may be cold; None if nothing indicates it."""
        if self.listed.cold_remaining > timedelta(0):
            return ColdReason.STATED
        return self.evidence if now < self.evidence_until else None

    def view(
        self, view: EngineView, free: bool, unconfirmed: bool, now: timedelta
    ) -> EngineView:
        """Return the view for placement, with what the permits allow now.

        An endpoint whose list is unconfirmed may still prefill parts for others: that
        is no request, and without it no long prompt would be served in time during an
        outage of the store.

        Parameters
        ----------
        view : EngineView
            Apart from the permits.
        free : bool
            Whether a permit is free.
        unconfirmed : bool
            Whether the list of endpoints could not be confirmed recently.
        """
        has_evidence = self.reason(now) is not None
        if not (has_evidence or unconfirmed):
            return view if free else self.unpermitted_view(view)
        if free and not has_evidence:
            return view
        return replace(
            view,
            usable=view.usable and free,
            rate_limited=view.rate_limited or has_evidence,
        )

    def unpermitted_view(self, view: EngineView) -> EngineView:
        """Return the view of a warm endpoint without a free permit.

        It is cached: in a large fleet, most endpoints have none for this instance.
        """
        if self.base_view is not view or self.unpermitted is None:
            self.base_view = view
            self.unpermitted = replace(view, permitted=False)
        return self.unpermitted
