"""Stateful tests of a gateway's decisions under arbitrary disturbances."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mimosafork.directory.rows import Row
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.placing import WorkPlacer, hedged_id
from mimosafork.gateway.policies.reserving import MemoryKeeper
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.ids import EndpointId, InstanceId, RequestId, ServiceId
from mimosafork.kernel.core import TICK
from mimosafork.kernel.messages.routing import PeerWorkReplaced, PeerWorkUnknown
from mimosafork.placement.load_tracker import InFlightRequest

from ...support.functions import function_tests
from ...support.gateway_kernels import PLAIN_SERVICE
from ...support.gateway_tables import KEYS, ROUTES
from ...support.machines import explore
from ...support.reserving_engines import MEMORY, POOL, FakeModelEngine
from ...support.simulated_endpoints import INSTANCES, AttemptEvent, SimulatedEndpoint
from ...support.simulated_gateway import SimulatedGateway
from ...support.versions import version as version_of

EXAMPLES = 50
STEPS = 50

SERVICE_BY_ADDRESS = {
    f"10.0.0.{n}:80": PLAIN_SERVICE if n < 4 else POOL for n in range(1, 8)
}
"""Addresses, and the service of each one's first endpoint."""

ADDRESSES = st.sampled_from(sorted(SERVICE_BY_ADDRESS))
SERVICES = st.sampled_from([PLAIN_SERVICE, POOL])
WHICH = st.integers(0, 11)
TICKS_AFTER = st.sampled_from([0, 0, 1, 1, 4, 20])
"""Ticks that pass after a step; in none of them a tick can come before what follows."""

BACKOFFS = st.sampled_from([0.1, 1.0, 3.0, 30.0])
FREEZES = st.sampled_from([0.3, 1.0, 3.9, 7.0, 10.0, 15.0])
ANY_KEYS = (*KEYS, *KEYS, "nobody")
BODIES = st.sampled_from(["a", "b"])
BOTH = st.booleans()


class Disturbance(Enum):
    """Disturbances that a state machine may include."""

    CALLERS_LEAVE = "callers leave"
    CUTS = "cuts"
    MEMORY = "memory"
    LEAVING = "leaving"
    STALE_ROWS = "stale rows"
    STATEMENTS = "statements"
    PEERS = "peers"
    PEER_CRASH_REPORTS = "crashes reported"
    OPERATOR = "operator"
    STOP = "stop"


def has_disturbance(disturbance: Disturbance) -> Callable[[Any], bool]:
    """Return the precondition that a machine includes a disturbance."""
    return lambda machine: disturbance in machine.disturbances


class GatewayMachine(RuleBasedStateMachine):
    """Callers, endpoints, peers and the operator act in any order.

    Attributes
    ----------
    routes : tuple of str
        Routes of the calls.
    attempt_events : tuple of AttemptEvent
        Events that happen to attempts.
    disturbances : set of Disturbance
        Disturbances that are included.
    """

    routes = tuple(sorted(ROUTES))
    attempt_events = tuple(AttemptEvent)
    disturbances = frozenset(Disturbance)

    def __init__(self) -> None:
        super().__init__()
        self.gateway = SimulatedGateway()
        self.incarnations = 0
        self.rows: list[Row] = []
        self.newest_table = 0

    @initialize(
        slots=st.sampled_from([1, 2, 8]),
        most=st.integers(1, 4),
    )
    def deploy(self, slots: int, most: int) -> None:
        """Start with a configuration and an endpoint at each address."""
        self.slots = slots
        self.most = most
        self.configure(set(ROUTES), set(KEYS))
        for address in sorted(SERVICE_BY_ADDRESS):
            self.start_incarnation(address, SERVICE_BY_ADDRESS[address])

    # Deployment

    def start_incarnation(self, address: str, service: ServiceId) -> None:
        """Start an endpoint under a new id."""
        self.incarnations += 1
        name = EndpointId(f"i-{self.incarnations}")
        zone = "zone-a" if self.incarnations % 2 else "zone-b"
        endpoint = SimulatedEndpoint(
            name, service, address, zone, self.slots, FakeModelEngine(name)
        )
        self.gateway.endpoints[name] = endpoint
        self.gateway.endpoint_by_address[address] = name
        self.offer_row(endpoint.row("ready", self.gateway.next_version()))

    def offer_row(self, row: Row) -> None:
        """Deliver a row to the instance; it may be delivered again later."""
        if row not in self.rows:
            self.rows.append(row)
        if row.value.startswith(b"draining"):
            self.gateway.reported_draining.add(EndpointId(row.key))
        self.gateway.directory.offer_endpoint(row)

    def endpoint_at(self, address: str) -> SimulatedEndpoint | None:
        """Return the endpoint at an address."""
        name = self.gateway.endpoint_by_address.get(address)
        return None if name is None else self.gateway.endpoints[name]

    def configure(self, routes: set[str], keys: set[str]) -> None:
        """Write a configuration as the operator."""
        version = self.gateway.next_version()
        row = self.gateway.tables.add(version, routes, keys, self.most)
        self.rows.append(row)
        self.newest_table = version
        self.gateway.directory.offer_configuration(row)

    # Callers

    @rule(
        route=WHICH, body=BODIES, key=st.sampled_from(ANY_KEYS), ticks_after=TICKS_AFTER
    )
    def calls(self, route: int, body: str, key: str, ticks_after: int) -> None:
        """Submit a request, sometimes with an unknown key."""
        self.gateway.call(self.routes[route % len(self.routes)], body, key)
        self.gateway.run(TICK * ticks_after)

    @rule(route=WHICH, count=st.integers(2, 12), same=BOTH, ticks_after=TICKS_AFTER)
    def burst(self, route: int, count: int, same: bool, ticks_after: int) -> None:
        """Submit many requests at once, with the same content or different ones."""
        name = self.routes[route % len(self.routes)]
        for number in range(count):
            body = "a" if same else f"{len(self.gateway.calls)}.{number}"
            self.gateway.call(name, body, KEYS[0])
        self.gateway.run(TICK * ticks_after)

    @precondition(lambda self: self.gateway.open_calls)
    @precondition(has_disturbance(Disturbance.CALLERS_LEAVE))
    @rule(which=WHICH)
    def leaves(self, which: int) -> None:
        """Disconnect a caller."""
        still = self.gateway.open_calls
        self.gateway.leave(still[which % len(still)])

    # Events of attempts

    def event_kind(self, which: int) -> AttemptEvent:
        """Return one of the attempt_events of this machine."""
        return self.attempt_events[which % len(self.attempt_events)]

    @precondition(lambda self: self.gateway.open)
    @rule(
        which=WHICH,
        event_kind=WHICH,
        fault=st.none() | ADDRESSES,
        ticks_after=TICKS_AFTER,
    )
    def attempt_goes_on(
        self, which: int, event_kind: int, fault: str | None, ticks_after: int
    ) -> None:
        """Apply an event to an attempt."""
        found = self.gateway.open
        self.gateway.apply_event(
            found[which % len(found)], self.event_kind(event_kind), fault
        )
        self.gateway.run(TICK * ticks_after)

    @precondition(lambda self: self.gateway.open)
    @rule(event_kind=WHICH, service=SERVICES, ticks_after=TICKS_AFTER)
    def attempts_go_on(
        self, event_kind: int, service: ServiceId, ticks_after: int
    ) -> None:
        """Apply the same event to all attempts at a service."""
        for sent in list(self.gateway.open):
            if sent.call.request.target == service:
                self.gateway.apply_event(sent, self.event_kind(event_kind))
        self.gateway.run(TICK * ticks_after)

    @precondition(lambda self: self.gateway.open)
    @rule(event_kind=WHICH, ticks_after=TICKS_AFTER)
    def newest_goes_on(self, event_kind: int, ticks_after: int) -> None:
        """Apply an event to the newest attempt, possibly repeatedly."""
        self.gateway.apply_event(self.gateway.open[-1], self.event_kind(event_kind))
        self.gateway.run(TICK * ticks_after)

    # Endpoints

    @precondition(has_disturbance(Disturbance.CUTS))
    @rule(address=ADDRESSES, reachable=BOTH)
    def reached(self, address: str, reachable: bool) -> None:
        """Make an endpoint unreachable or reachable."""
        self.gateway.reach(address, reachable)

    @precondition(has_disturbance(Disturbance.CUTS))
    @rule(reachable=BOTH, service=SERVICES)
    def service_is_cut(self, reachable: bool, service: ServiceId) -> None:
        """Make all endpoints of a service unreachable or reachable."""
        for address, name in list(self.gateway.endpoint_by_address.items()):
            if self.gateway.endpoints[name].service == service:
                self.gateway.reach(address, reachable)

    @precondition(has_disturbance(Disturbance.MEMORY))
    @rule(
        address=ADDRESSES,
        loses_orders=BOTH,
        taken=st.sampled_from([0, MEMORY]),
        slow=BOTH,
    )
    def memory_changes(
        self, address: str, loses_orders: bool, taken: int, slow: bool
    ) -> None:
        """Let an engine lose orders or lose memory to others, or slow all engines."""
        self.gateway.slow = slow
        endpoint = self.endpoint_at(address)
        if endpoint is not None:
            endpoint.loses_orders = loses_orders
            endpoint.memory.taken = min(
                taken, endpoint.memory.free + endpoint.memory.taken
            )

    @precondition(has_disturbance(Disturbance.LEAVING))
    @rule(address=ADDRESSES, by_peer=BOTH)
    def drains(self, address: str, by_peer: bool) -> None:
        """Let an endpoint report that it drains, here or to a peer."""
        endpoint = self.endpoint_at(address)
        if endpoint is None:
            return
        row = endpoint.row("draining", self.gateway.next_version())
        if by_peer and endpoint.name in self.gateway.directory.endpoints:
            self.gateway.reported_draining.add(endpoint.name)
            self.gateway.directory.offer_draining(endpoint.name)
            self.rows.append(row)
        else:
            self.offer_row(row)

    @precondition(has_disturbance(Disturbance.LEAVING))
    @rule(which=WHICH, ticks_after=TICKS_AFTER)
    def wanted_engine_drains(self, which: int, ticks_after: int) -> None:
        """Drain an engine on which memory is being reserved for a prompt."""
        gangs = self.gateway.kernel.plugin(MemoryKeeper).gangs.values()
        names = [ticket.endpoint for gang in gangs for ticket in gang.reservations]
        endpoint_by_address = [
            n for n in names if n in self.gateway.endpoint_by_address.values()
        ]
        if endpoint_by_address:
            endpoint = self.gateway.endpoints[
                endpoint_by_address[which % len(endpoint_by_address)]
            ]
            self.offer_row(endpoint.row("draining", self.gateway.next_version()))
            self.gateway.run(TICK * ticks_after)

    @precondition(has_disturbance(Disturbance.STATEMENTS))
    @rule(address=ADDRESSES)
    def announces_leaving(self, address: str) -> None:
        """Let a response of an endpoint announce that the endpoint leaves."""
        endpoint = self.endpoint_at(address)
        if endpoint is not None:
            self.gateway.announce_leaving(endpoint.name)

    @precondition(has_disturbance(Disturbance.STATEMENTS))
    @rule(address=ADDRESSES, seconds=BACKOFFS, ticks_after=TICKS_AFTER)
    def requests_backoff(self, address: str, seconds: float, ticks_after: int) -> None:
        """Let an endpoint that rejects a request ask for no more for some time."""
        endpoint = self.endpoint_at(address)
        if endpoint is not None:
            duration = timedelta(seconds=seconds)
            self.gateway.request_backoff(endpoint.name, duration)
            self.gateway.run(TICK * ticks_after)

    @precondition(has_disturbance(Disturbance.LEAVING))
    @rule(address=ADDRESSES, crashes=BOTH, reported=BOTH, again=st.none() | SERVICES)
    def ends(
        self, address: str, crashes: bool, reported: bool, again: ServiceId | None
    ) -> None:
        """Stop an endpoint, and possibly start another at its address."""
        endpoint = self.endpoint_at(address)
        if endpoint is not None:
            self.gateway.end_endpoint(endpoint, crashes)
            if reported:
                version = self.gateway.next_version()
                self.gateway.directory.offer_removal(endpoint.name, version_of(version))
        if again is not None:
            self.start_incarnation(address, again)

    # Stale rows, peers and the operator

    @precondition(has_disturbance(Disturbance.STALE_ROWS))
    @rule(which=st.integers(0, 40))
    def stale_row_arrives(self, which: int) -> None:
        """Deliver a stale row from a peer, and execute late orders."""
        row = self.rows[which % len(self.rows)]
        if row.table == "configuration":
            self.gateway.directory.offer_configuration(row)
        else:
            self.offer_row(row)
        self.gateway.execute_late_orders()

    @precondition(has_disturbance(Disturbance.PEERS))
    @rule(address=ADDRESSES, count=st.integers(0, 3), silent=BOTH)
    def peer_works(self, address: str, count: int, silent: bool) -> None:
        """Replace a peer's in-flight work, or let it become silent."""
        endpoint = self.endpoint_at(address)
        if silent or endpoint is None:
            self.gateway.post(PeerWorkUnknown(InstanceId("peer")))
            return
        now = self.gateway.now
        works = tuple(
            InFlightRequest(RequestId(f"peer/{n}"), endpoint.name, started_at=now)
            for n in range(count)
        )
        self.gateway.post(PeerWorkReplaced(InstanceId("peer"), works))

    @precondition(has_disturbance(Disturbance.PEERS))
    @rule(
        service=SERVICES,
        requests=st.sampled_from([0, 5, 30]),
        repeats=st.integers(0, 4),
        settled=BOTH,
    )
    def peer_spends(
        self, service: ServiceId, requests: int, repeats: int, settled: bool
    ) -> None:
        """Let a peer accept requests and send retries; set this instance's share."""
        since = None if settled else self.gateway.now
        self.gateway.share = SlackShare(INSTANCES, restarted_at=since)
        self.gateway.peer_spends(service, requests, repeats)

    @precondition(lambda self: self.gateway.calls)
    @precondition(has_disturbance(Disturbance.PEER_CRASH_REPORTS))
    @rule(which=WHICH, crashed=st.sets(st.integers(1, 9), max_size=3))
    def peer_reports_crashes(self, which: int, crashed: set[int]) -> None:
        """Receive a peer's report of crashes on a content, or of its success."""
        calls = list(self.gateway.calls.values())
        names = {EndpointId(f"i-{number}") for number in crashed}
        self.gateway.receive_crashes(calls[which % len(calls)], names)

    @precondition(has_disturbance(Disturbance.OPERATOR))
    @rule(
        dropped=st.sets(st.sampled_from(sorted(ROUTES)), max_size=2),
        revoked=st.sets(st.sampled_from(KEYS), max_size=1),
        most=st.integers(1, 4),
    )
    def operator_writes(self, dropped: set[str], revoked: set[str], most: int) -> None:
        """Drop routes, revoke keys and change the attempt limit as the operator."""
        self.most = most
        self.configure(set(ROUTES) - dropped, set(KEYS) - revoked)

    # Time

    @rule(ticks=st.sampled_from([1, 4, 20]), tick_first=BOTH)
    def time_passes(self, ticks: int, tick_first: bool) -> None:
        """Advance time by some ticks."""
        self.gateway.run(TICK * ticks, tick_first)

    @rule(seconds=FREEZES, then_runs=BOTH)
    def freezes(self, seconds: float, then_runs: bool) -> None:
        """Freeze the process; the next event may precede a tick."""
        self.gateway.clock.advance(timedelta(seconds=seconds))
        if then_runs:
            self.gateway.run(timedelta(milliseconds=1))

    @precondition(lambda self: len(self.gateway.calls) > 15)
    @precondition(has_disturbance(Disturbance.STOP))
    @rule()
    def stops(self) -> None:
        """End the grace period of a planned shutdown."""
        self.gateway.stop()
        left = [c for c in self.gateway.calls.values() if c.conclusion is None]
        assert not left, ("STUCK", left)

    # Invariants

    @invariant()
    def configurations_only_go_forward(self) -> None:
        """Check that the newest received configuration is in force everywhere."""
        table = self.gateway.directory.table
        if table is not None:
            assert table.version == self.newest_table, "CONFIG"
            view = self.gateway.kernel.plugin(FleetView).table
            assert view is table, "CONFIG"

    @invariant()
    def nothing_is_kept_of_ended_calls(self) -> None:
        """Check that plug-ins, kernel and engines hold nothing for ended calls."""
        kernel = self.gateway.kernel
        ended = {n for n, c in self.gateway.calls.items() if c.conclusion is not None}
        keeper, placer = kernel.plugin(MemoryKeeper), kernel.plugin(WorkPlacer)
        kept = [
            set(kernel.state.requests),
            set(keeper.gangs),
            set(keeper.gang_failures),
            set(keeper.backoff_until),
            set(placer.load_tracker.own),
            set(placer.waits.since),
            {record.request_id for record in kernel.state.waiting},
        ]
        assert not any(ended & names for names in kept), ("LEAK", kept)

    @invariant()
    def running_calls_are_booked(self) -> None:
        """Check that running calls are counted at their endpoints.

        A hedged attempt is counted beside the next one of its call, under its own id.
        """
        own = self.gateway.kernel.plugin(WorkPlacer).load_tracker.own
        for sent in self.gateway.open:
            name = sent.dispatch.request_id
            work = own.get(hedged_id(name) if sent.hedged else name)
            assert work is not None, ("LIMIT", sent)
            assert work.host == sent.dispatch.endpoint, ("LIMIT", sent)

    @invariant()
    def memory_is_wanted(self) -> None:
        """Check that engines hold only reservations that a gang knows of."""
        gangs = self.gateway.kernel.plugin(MemoryKeeper).gangs.values()
        wanted = {str(t.reservation_id) for gang in gangs for t in gang.reservations}
        for endpoint in self.gateway.endpoints.values():
            unwanted = set(endpoint.memory.reservations) - wanted
            until = [endpoint.memory.reservations[name].until for name in unwanted]
            bound = self.gateway.now + timedelta(seconds=4)
            assert all(each <= bound for each in until), ("LEAK", endpoint)

    def teardown(self) -> None:
        """Let all remaining calls end by their deadlines."""
        end = self.gateway.now + timedelta(seconds=20)
        while self.gateway.open_calls and self.gateway.now < end:
            self.gateway.run(TICK * 4)
        self.gateway.clock.advance(timedelta(seconds=5))
        self.gateway.run(TICK)
        left = [c for c in self.gateway.calls.values() if c.conclusion is None]
        assert not left, ("STUCK", left)
        held = [e.memory.reservations for e in self.gateway.endpoints.values()]
        assert not any(held), ("LEAK", held)
        self.nothing_is_kept_of_ended_calls()


class CrashMachine(GatewayMachine):
    """Contents that crash endpoints, while endpoints are unreachable."""

    routes = ("safe", "stream")
    attempt_events = (AttemptEvent.BROKEN, AttemptEvent.EVENT, AttemptEvent.UNREACHED)
    disturbances = frozenset({Disturbance.CUTS, Disturbance.PEER_CRASH_REPORTS})


class BudgetMachine(GatewayMachine):
    """Many retries, immediate and delayed."""

    routes = ("safe",)
    attempt_events = (
        AttemptEvent.BROKEN,
        AttemptEvent.GARBLED,
        AttemptEvent.REJECTED,
        AttemptEvent.UNREACHED,
        AttemptEvent.FINISHED,
    )
    disturbances = frozenset({Disturbance.CUTS, Disturbance.PEERS})


class MemoryMachine(GatewayMachine):
    """Prompts larger than one engine, with slow, full, draining and lossy engines."""

    routes = ("huge",)
    attempt_events = (
        AttemptEvent.EVENT,
        AttemptEvent.FINISHED,
        AttemptEvent.BROKEN,
        AttemptEvent.REJECTED,
    )
    disturbances = frozenset(
        {Disturbance.MEMORY, Disturbance.LEAVING, Disturbance.CALLERS_LEAVE}
    )


class StatementMachine(GatewayMachine):
    """Endpoints that leave, request backoffs and vanish from the list for a while."""

    routes = ("safe", "once", "huge")
    disturbances = frozenset(
        {
            Disturbance.CUTS,
            Disturbance.LEAVING,
            Disturbance.STALE_ROWS,
            Disturbance.STATEMENTS,
        }
    )


class OnceMachine(GatewayMachine):
    """Non-idempotent calls during freezes and partitions."""

    routes = ("once", "sealed", "safe")
    disturbances = frozenset(
        {Disturbance.CUTS, Disturbance.STOP, Disturbance.CALLERS_LEAVE}
    )


MACHINES = (
    GatewayMachine,
    CrashMachine,
    BudgetMachine,
    MemoryMachine,
    StatementMachine,
    OnceMachine,
)


def test_the_rules_hold_whatever_happens_in_whatever_order() -> None:
    """Responses are lost, truncated, rejected and late; endpoints replace each other.

    The process freezes, peers spend the budget, become silent and send stale rows, the
    operator removes routes and keys, callers disconnect and the instance shuts down.
    """
    explore(GatewayMachine, EXAMPLES, STEPS)


def test_poisoned_contents_reach_few_endpoints_whatever_can_be_reached() -> None:
    """Many callers send a content that crashes endpoints while a service is cut off."""
    explore(CrashMachine, EXAMPLES, STEPS)


def test_repeats_stay_within_the_budget_however_long_they_wait() -> None:
    """Connections break together repeatedly; retries wait for endpoints."""
    explore(BudgetMachine, EXAMPLES, STEPS)


def test_memory_goes_to_those_that_take_work_and_is_given_back() -> None:
    """Orders are slow, lost and late while engines drain, exit and fill up."""
    explore(MemoryMachine, EXAMPLES, STEPS)


def test_what_endpoints_announce_is_kept_whatever_else_happens() -> None:
    """Endpoints leave and request backoffs while calls wait, connect and reserve."""
    explore(StatementMachine, EXAMPLES, STEPS)


def test_what_may_run_once_runs_once_and_is_told_honestly() -> None:
    """Responses are lost or late, around freezes and the end of the process."""
    explore(OnceMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
