"""Finding out whether a broken connection was the end of an endpoint's life."""

from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import Digest
from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.quarantine import CrashEvidence, EndpointIncarnation

PRESUMED_DEAD_AFTER = timedelta(seconds=10)
"""An endpoint that nobody reaches for so long, while its neighbours answer, is
taken for dead."""

BREAK_RETENTION = timedelta(minutes=10)


DECODING_WEIGHT = 0.25
"""Part of its suspicion that a body keeps when it was past its prefill while others
were in theirs: most deadly requests strike there."""


@dataclass(slots=True)
class ConnectionBreak:
    """Connections to one life of an endpoint broke in mid-answer.

    Attributes
    ----------
    at : timedelta
        When the first one broke.
    in_progress, in_prefill : int
        Requests there at that time, as far as is known.
    bodies : dict of Digest to bool
        Whose requests the connections carried, and whether past their prefill.
    heard : set of Digest
        Bodies of which others have told that they were there too.
    """

    endpoint_incarnation: EndpointIncarnation
    at: timedelta
    in_progress: int = 0
    in_prefill: int = 0
    bodies: dict[Digest, bool] = field(default_factory=dict)
    peer_bodies: set[Digest] = field(default_factory=set)

    def add(self, digest: Digest, is_prefilled: bool) -> bool:
        """Add a body; return whether it was not yet among them."""
        if digest in self.bodies:
            return False
        self.bodies[digest] = is_prefilled
        own = sum(not prefilled for prefilled in self.bodies.values())
        self.in_prefill = max(self.in_prefill, own)
        self.in_progress = max(self.in_progress, len(self.bodies))
        return True

    def evidence(self, digest: Digest) -> CrashEvidence:
        """Return what the break tells about a body."""
        if not self.bodies[digest]:
            weight = 1 / self.in_prefill
        elif self.in_prefill:
            weight = DECODING_WEIGHT / self.in_progress
        else:
            weight = 1 / self.in_progress
        return CrashEvidence(
            self.endpoint_incarnation.endpoint,
            self.endpoint_incarnation.incarnation,
            weight,
            is_sole=self.in_progress == 1,
            is_confirmed=False,
        )


def start_break(
    endpoint_incarnation: EndpointIncarnation, is_prefilled: bool, context: Context
) -> ConnectionBreak:
    """Return a break whose first connection has just broken.

    The endpoint's report is older than the break and may miss some requests; this
    instance's own are known exactly. Whichever is more is nearer.
    """
    broken = ConnectionBreak(endpoint_incarnation, context.now)
    endpoint = context.state.fleet.endpoints.get(endpoint_incarnation.endpoint)
    if endpoint is None:
        return broken
    own = endpoint.own_requests.values()
    broken.in_progress = 1 + len(own)
    broken.in_prefill = sum(not each.prefilled for each in own) + (not is_prefilled)
    report = endpoint.report
    if report is not None and report.incarnation == endpoint_incarnation.incarnation:
        reported = report.running + report.waiting
        broken.in_progress = max(broken.in_progress, reported)
        broken.in_prefill = max(broken.in_prefill, report.waiting)
    return broken


def incarnation_ended(broken: ConnectionBreak, context: Context) -> bool | None:
    """Return whether the life has ended; None while that is not known.

    A cut network breaks connections just as a crash does. The endpoint's own word
    decides: a report of the same life made after the break, or one of a newer life.
    """
    fleet = context.state.fleet
    endpoint = fleet.endpoints.get(broken.endpoint_incarnation.endpoint)
    if endpoint is None:
        return True
    newest = endpoint.entry.incarnation
    if endpoint.report is not None:
        newest = max(newest, endpoint.report.incarnation)
    if newest > broken.endpoint_incarnation.incarnation:
        return True
    if endpoint.report is not None and endpoint.reported_at > broken.at:
        return False
    silent_since = endpoint.unreachable_since
    if silent_since is None or context.now - silent_since < PRESUMED_DEAD_AFTER:
        return None
    return True if _neighbour_answers(endpoint, silent_since, context) else None


def _neighbour_answers(endpoint: Endpoint, since: timedelta, context: Context) -> bool:
    """Return whether another endpoint of the same zone has reported since."""
    zone = endpoint.entry.availability_zone
    return any(
        other.entry.availability_zone == zone and other.reported_at > since
        for other in context.state.fleet.endpoints.values()
        if other is not endpoint
    )
