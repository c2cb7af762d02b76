"""State of the simulated gateway: its kernel, directory, peers and open attempts."""

from collections import deque
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointState,
    EvacuationChanged,
    TableChanged,
)
from mimosafork.gateway.intake import CallRefusal
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.ids import (
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.crashes import PeerSuccessReported
from mimosafork.kernel.messages.endpoint_statements import (
    BackoffRequested,
    LeavingAnnounced,
)
from mimosafork.kernel.messages.placement import (
    ReserveMemory,
)
from mimosafork.kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuated,
    ZoneEvacuationEnded,
)
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create

from .call_rules import (
    RETRY_RATIO,
    RETRY_SLACK,
    ModelCall,
    RuleChecker,
    SimulatedAttempt,
)
from .crash_messages import peer_crashes
from .gateway_kernels import ZONE
from .gateway_tables import (
    FakeConfigurationHistory,
    FakeEndpointRows,
)
from .simulated_endpoints import (
    INSTANCES,
    PEER_CALL,
    OrderReply,
    SimulatedEndpoint,
)


class SimulatedState:
    """State of one gateway's kernel and its environment.

    Attributes
    ----------
    endpoint_by_address : dict
        The endpoint that listens at each address.
    evacuated_zones : set of str
        By all that the instance has been told.
    open : list of SimulatedAttempt
        All attempts that have not ended.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.checker = RuleChecker()
        self.tables = FakeConfigurationHistory()
        identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
        self.kernel = Kernel(identity, self.clock, Random(seed), create(PLUGINS))
        self.directory = Directory(
            self.tables, FakeEndpointRows(), self.clock, Random(seed)
        )
        self.directory.add_listener(self.directory_changed)
        self.random = Random(seed)
        self.share = SlackShare(INSTANCES)
        self.peer = BudgetedRetry()
        self.endpoints: dict[EndpointId, SimulatedEndpoint] = {}
        self.endpoint_by_address: dict[str, EndpointId] = {}
        self.reported_draining: set[EndpointId] = set()
        self.backoff_ends: dict[EndpointId, timedelta] = {}
        self.evacuated_zones: set[str] = set()
        self.send_gate = EndpointSendGate(
            self.kernel.plugin(FleetView),
            SendPermits.of(self.kernel.plugin),
            self.kernel.plugin(HomeRegions),
        )
        self.calls: dict[RequestId, ModelCall] = {}
        self.refusals: list[CallRefusal] = []
        self.open: list[SimulatedAttempt] = []
        self.wakes: list[WakeAt] = []
        self.replies: list[OrderReply] = []
        self.slow = False
        self.late_orders: list[ReserveMemory] = []
        self.inbox: deque[Message] = deque()
        self.handling = False
        self.stopped = False
        self.version = 0
        retry = self.kernel.plugin(BudgetedRetry)
        for each in (retry, self.peer):
            each.ratio, each.slack = RETRY_RATIO, RETRY_SLACK
        retry.slack_share = lambda: self.share
        self.peer.slack_share = lambda: SlackShare(INSTANCES, rank=1)

    @property
    def now(self) -> timedelta:
        """The kernel's instant."""
        return self.clock.monotonic()

    def next_version(self) -> int:
        """Return the next version of the store."""
        self.version += 1
        return self.version

    def directory_changed(self, change: DirectoryChange) -> None:
        """Post a change to the kernel, as the gateway's server does."""
        if isinstance(change, TableChanged):
            self.post(RoutingTableChanged(change.table))
        elif isinstance(change, EvacuationChanged):
            if change.takes_effect:
                message = ZoneEvacuated if change.evacuated else ZoneEvacuationEnded
                self.post(message(change.zone))
        elif change.entry.takes_new_work:
            self.post(EndpointUsable(change.entry.listed))
        else:
            final = change.entry.state is EndpointState.DRAINING
            self.post(EndpointLeaving(change.endpoint, final))

    def peer_spends(self, service: ServiceId, requests: int, repeats: int) -> None:
        """Let a peer accept requests and send the retries that its share allows."""
        budget = self.checker.budget(service)
        allowance = self.peer.budget(service)
        for _ in range(requests):
            allowance.count_request(self.now)
            budget.requests.append(self.now)
        for _ in range(repeats):
            if self.peer.available_retries(service, self.now) >= 1:
                allowance.count_retry(PEER_CALL, self.now)
                budget.repeats.append(self.now)
                budget.check(self.now)

    def receive_crashes(self, call: ModelCall, endpoints: set[EndpointId]) -> None:
        """Receive a peer's report of crashes on a content; an empty one clears it."""
        digest = call.request.body_digest
        if endpoints:
            self.checker.crashed(digest, endpoints, self.now)
            for report in peer_crashes(digest, endpoints, self.now):
                self.post(report)
        else:
            self.checker.cleared(digest)
            self.post(PeerSuccessReported(digest, self.now))

    def announce_leaving(self, endpoint: EndpointId) -> None:
        """Receive a response in which an endpoint announces that it leaves."""
        if self.kernel.plugin(FleetView).responding(endpoint) is not None:
            self.reported_draining.add(endpoint)
        self.post(LeavingAnnounced(endpoint, self.now))

    def request_backoff(self, endpoint: EndpointId, duration: timedelta) -> None:
        """Receive a rejection with which an endpoint requests a backoff."""
        if self.kernel.plugin(FleetView).responding(endpoint) is not None:
            former = self.backoff_ends.get(endpoint, self.now)
            self.backoff_ends[endpoint] = max(former, self.now + duration)
        self.post(BackoffRequested(endpoint, self.now, duration))

    def post(self, message: Message) -> None:
        """Have the kernel handle a message, and execute its effects in turn."""
        raise NotImplementedError
