"""Detection of whether a broken connection was caused by an endpoint crash."""

from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import Digest
from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.quarantine import CrashEvidence, EndpointIncarnation

PRESUMED_DEAD_AFTER = timedelta(seconds=10)
"""An endpoint that is unreachable for this long, while another endpoint of its zone
answers, counts as crashed."""

BREAK_RETENTION = timedelta(minutes=10)

DECODING_WEIGHT = 0.25
"""Share of its suspicion that a body keeps if it was past its prefill while others
were in theirs: most crashing requests crash the engine during prefill."""


@dataclass(slots=True)
class ConnectionBreak:
    """Connections to one incarnation of an endpoint that broke in mid-answer.

    Attributes
    ----------
    at : timedelta
        When the first one broke.
    in_progress, in_prefill : int
        Requests on the endpoint at that time, as far as is known.
    bodies : dict of Digest to bool
        Bodies that the connections carried, and whether past their prefill.
    peer_bodies : set of Digest
        Bodies that peers have reported as in progress there.
    """

    endpoint_incarnation: EndpointIncarnation
    at: timedelta
    in_progress: int = 0
    in_prefill: int = 0
    bodies: dict[Digest, bool] = field(default_factory=dict)
    peer_bodies: set[Digest] = field(default_factory=set)

    def add(self, digest: Digest, is_prefilled: bool) -> bool:
        """Add a body; return whether it was new."""
        if digest in self.bodies:
            return False
        self.bodies[digest] = is_prefilled
        own = sum(not prefilled for prefilled in self.bodies.values())
        self.in_prefill = max(self.in_prefill, own)
        self.in_progress = max(self.in_progress, len(self.bodies))
        return True

    def evidence(self, digest: Digest) -> CrashEvidence:
        """Return the evidence of this break against a body."""
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
            is_answering=self.bodies[digest],
        )


def start_break(
    endpoint_incarnation: EndpointIncarnation, is_prefilled: bool, context: Context
) -> ConnectionBreak:
    """Return a break whose first connection has just broken.

    The endpoint's report is older than the break and may miss some requests; this
    instance's own requests are known exactly. The larger count is the better estimate.
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
    """Return whether the incarnation has ended; None while that is not known.

    A network partition breaks connections just as a crash does. The endpoint's own
    report decides: one of the same incarnation made after the break, or one of a
    newer incarnation.
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
