"""Routes calls of plain services to replicas."""

from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import (
    NotApplicable,
    Placement,
    PlaceOn,
    Placer,
    PluginFinder,
    Wait,
)
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .candidates import Candidates
from .deadlines import DeadlineCheck

SAMPLE_SIZE = 2


@register("service-routing")
class ServiceRouting(Placer):
    """Sends a call to the less loaded of two replicas sampled at random.

    Fewer in-flight calls of this instance win, then fewer reported calls, then this
    instance's availability zone. Calls are short, so this instance's in-flight calls
    are more accurate than a report half a second old.
    """

    order = 80

    def __init__(self) -> None:
        self.candidates = Candidates()
        self.deadlines = DeadlineCheck()

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the deadline check."""
        self.deadlines = find(DeadlineCheck) or self.deadlines

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Return the replica, or wait if none is available."""
        if record.request.kind is not RequestKind.SERVICE:
            return NotApplicable()
        found = self.candidates.select(record.request.target, (), context)
        fresh = [each for each in found if each.entry.endpoint not in record.avoid]
        usable = fresh or found
        if not usable:
            return self.deadlines.without_endpoint(record, context) or Wait(
                "no-endpoint"
            )
        drawn = context.random.sample(usable, min(SAMPLE_SIZE, len(usable)))
        own_zone = context.state.identity.availability_zone

        def load_of(endpoint: Endpoint) -> tuple[int, int, bool]:
            report = endpoint.report
            reported = report.running + report.waiting if report is not None else 0
            far = endpoint.entry.availability_zone != own_zone
            return len(endpoint.own_requests), reported, far

        entry = min(drawn, key=load_of).entry
        return PlaceOn(entry.endpoint, entry.incarnation, entry.address)
