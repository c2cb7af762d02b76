"""A gateway's decisions under troubles in any order, held against the rules."""

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
from mimosafork.gateway.policies.placing import WorkPlacer
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
from ...support.simulated_gateway import INSTANCES, Fate, GatewayWorld, ModelEndpoint

EXAMPLES = 50
STEPS = 50

PLACES = {f"10.0.0.{n}:80": PLAIN_SERVICE if n < 4 else POOL for n in range(1, 8)}
"""Addresses, and who has them first."""

ADDRESSES = st.sampled_from(sorted(PLACES))
SERVICES = st.sampled_from([PLAIN_SERVICE, POOL])
WHICH = st.integers(0, 11)
THEN = st.sampled_from([0, 0, 1, 1, 4, 20])
"""Ticks that pass after a step; in none of them a tick can come before what follows."""

FREEZES = st.sampled_from([0.3, 1.0, 3.9, 7.0, 10.0, 15.0])
ANY_KEYS = (*KEYS, *KEYS, "nobody")
BODIES = st.sampled_from(["a", "b"])
BOTH = st.booleans()


class Trouble(Enum):
    """What else may happen in a machine's worlds."""

    CALLERS_LEAVE = "callers leave"
    CUTS = "cuts"
    MEMORY = "memory"
    LEAVING = "leaving"
    OLD_WORDS = "old words"
    PEERS = "peers"
    CRASHES_TOLD = "crashes told"
    OPERATOR = "operator"
    STOP = "stop"


def among(trouble: Trouble) -> Callable[[Any], bool]:
    """Return whether a machine has a trouble, as a rule's precondition."""
    return lambda machine: trouble in machine.troubles


class GatewayMachine(RuleBasedStateMachine):
    """Callers, endpoints, peers and the operator do what they like, in any order.

    Attributes
    ----------
    routes : tuple of str
        Where calls go.
    fates : tuple of Fate
        What becomes of attempts.
    troubles : set of Trouble
        What else happens.
    """

    routes = tuple(sorted(ROUTES))
    fates = tuple(Fate)
    troubles = frozenset(Trouble)

    def __init__(self) -> None:
        super().__init__()
        self.world = GatewayWorld()
        self.lives = 0
        self.rows: list[Row] = []
        self.newest_table = 0

    @initialize(
        slots=st.sampled_from([1, 2, 8]),
        most=st.integers(1, 4),
    )
    def deploy(self, slots: int, most: int) -> None:
        """Begin with a configuration and an endpoint at each address."""
        self.slots = slots
        self.most = most
        self.configure(set(ROUTES), set(KEYS))
        for address in sorted(PLACES):
            self.start_incarnation(address, PLACES[address])

    # Who is there

    def start_incarnation(self, address: str, service: ServiceId) -> None:
        """Start an endpoint under a new id."""
        self.lives += 1
        name = EndpointId(f"i-{self.lives}")
        zone = "zone-a" if self.lives % 2 else "zone-b"
        life = ModelEndpoint(
            name, service, address, zone, self.slots, FakeModelEngine(name)
        )
        self.world.endpoints[name] = life
        self.world.living[address] = name
        self.tell(life.row("ready", self.world.next_version()))

    def tell(self, row: Row) -> None:
        """Let the instance hear a row, which it may hear again."""
        if row not in self.rows:
            self.rows.append(row)
        if row.value.startswith(b"draining"):
            self.world.told_draining.add(EndpointId(row.key))
        self.world.directory.offer_endpoint(row)

    def life_at(self, address: str) -> ModelEndpoint | None:
        """Return who answers at an address."""
        name = self.world.living.get(address)
        return None if name is None else self.world.endpoints[name]

    def configure(self, routes: set[str], keys: set[str]) -> None:
        """Let the operator write a configuration."""
        version = self.world.next_version()
        row = self.world.tables.add(version, routes, keys, self.most)
        self.rows.append(row)
        self.newest_table = version
        self.world.directory.offer_configuration(row)

    # Callers

    @rule(route=WHICH, body=BODIES, key=st.sampled_from(ANY_KEYS), then=THEN)
    def calls(self, route: int, body: str, key: str, then: int) -> None:
        """Let a request come, with a key that no account ever had now and then."""
        self.world.call(self.routes[route % len(self.routes)], body, key)
        self.world.run(TICK * then)

    @rule(route=WHICH, count=st.integers(2, 12), same=BOTH, then=THEN)
    def burst(self, route: int, count: int, same: bool, then: int) -> None:
        """Let many come at once, with one content or each with its own."""
        name = self.routes[route % len(self.routes)]
        for number in range(count):
            body = "a" if same else f"{len(self.world.calls)}.{number}"
            self.world.call(name, body, KEYS[0])
        self.world.run(TICK * then)

    @precondition(lambda self: self.world.open_calls)
    @precondition(among(Trouble.CALLERS_LEAVE))
    @rule(which=WHICH)
    def leaves(self, which: int) -> None:
        """Let a caller hang up."""
        still = self.world.open_calls
        self.world.leave(still[which % len(still)])

    # What becomes of attempts

    def fate(self, which: int) -> Fate:
        """Return one of the fates of this machine."""
        return self.fates[which % len(self.fates)]

    @precondition(lambda self: self.world.open)
    @rule(which=WHICH, fate=WHICH, fault=st.none() | ADDRESSES, then=THEN)
    def attempt_goes_on(
        self, which: int, fate: int, fault: str | None, then: int
    ) -> None:
        """Let something happen to an attempt."""
        found = self.world.open
        self.world.meet(found[which % len(found)], self.fate(fate), fault)
        self.world.run(TICK * then)

    @precondition(lambda self: self.world.open)
    @rule(fate=WHICH, service=SERVICES, then=THEN)
    def attempts_go_on(self, fate: int, service: ServiceId, then: int) -> None:
        """Let the same happen to all attempts at a service."""
        for sent in list(self.world.open):
            if sent.call.request.target == service:
                self.world.meet(sent, self.fate(fate))
        self.world.run(TICK * then)

    @precondition(lambda self: self.world.open)
    @rule(fate=WHICH, then=THEN)
    def newest_goes_on(self, fate: int, then: int) -> None:
        """Let something happen to the newest attempt, again and again perhaps."""
        self.world.meet(self.world.open[-1], self.fate(fate))
        self.world.run(TICK * then)

    # Endpoints

    @precondition(among(Trouble.CUTS))
    @rule(address=ADDRESSES, reachable=BOTH)
    def reached(self, address: str, reachable: bool) -> None:
        """Cut the way to an endpoint, or mend it."""
        self.world.reach(address, reachable)

    @precondition(among(Trouble.CUTS))
    @rule(reachable=BOTH, service=SERVICES)
    def service_is_cut(self, reachable: bool, service: ServiceId) -> None:
        """Cut the way to all endpoints of a service, or mend it."""
        for address, name in list(self.world.living.items()):
            if self.world.endpoints[name].service == service:
                self.world.reach(address, reachable)

    @precondition(among(Trouble.MEMORY))
    @rule(address=ADDRESSES, deaf=BOTH, taken=st.sampled_from([0, MEMORY]), slow=BOTH)
    def memory_changes(self, address: str, deaf: bool, taken: int, slow: bool) -> None:
        """Let an engine lose orders, or others take its memory, or all be slow."""
        self.world.slow = slow
        life = self.life_at(address)
        if life is not None:
            life.deaf = deaf
            life.memory.taken = min(taken, life.memory.free + life.memory.taken)

    @precondition(among(Trouble.LEAVING))
    @rule(address=ADDRESSES, by_peer=BOTH)
    def drains(self, address: str, by_peer: bool) -> None:
        """Let an endpoint say that it leaves, here or to a peer."""
        life = self.life_at(address)
        if life is None:
            return
        row = life.row("draining", self.world.next_version())
        if by_peer and life.name in self.world.directory.endpoints:
            self.world.told_draining.add(life.name)
            self.world.directory.offer_draining(life.name)
            self.rows.append(row)
        else:
            self.tell(row)

    @precondition(among(Trouble.LEAVING))
    @rule(which=WHICH, then=THEN)
    def wanted_engine_drains(self, which: int, then: int) -> None:
        """Let an engine leave while memory is reserved for a prompt, often on it."""
        gangs = self.world.kernel.plugin(MemoryKeeper).gangs.values()
        names = [ticket.endpoint for gang in gangs for ticket in gang.reservations]
        living = [n for n in names if n in self.world.living.values()]
        if living:
            life = self.world.endpoints[living[which % len(living)]]
            self.tell(life.row("draining", self.world.next_version()))
            self.world.run(TICK * then)

    @precondition(among(Trouble.LEAVING))
    @rule(address=ADDRESSES, crashes=BOTH, told=BOTH, again=st.none() | SERVICES)
    def ends(
        self, address: str, crashes: bool, told: bool, again: ServiceId | None
    ) -> None:
        """Let an endpoint end, and perhaps another begin at its address."""
        life = self.life_at(address)
        if life is not None:
            self.world.end_life(life, crashes)
            if told:
                version = self.world.next_version()
                self.world.directory.offer_removal(life.name, version)
        if again is not None:
            self.start_incarnation(address, again)

    # Old words, peers and the operator

    @precondition(among(Trouble.OLD_WORDS))
    @rule(which=st.integers(0, 40))
    def old_row_is_heard(self, which: int) -> None:
        """Let a peer tell what was once true, and orders be carried out late."""
        row = self.rows[which % len(self.rows)]
        if row.table == "configuration":
            self.world.directory.offer_configuration(row)
        else:
            self.tell(row)
        self.world.land_late_orders()

    @precondition(among(Trouble.PEERS))
    @rule(address=ADDRESSES, count=st.integers(0, 3), silent=BOTH)
    def peer_works(self, address: str, count: int, silent: bool) -> None:
        """Let a peer tell what it has running, or fall silent."""
        life = self.life_at(address)
        if silent or life is None:
            self.world.post(PeerWorkUnknown(InstanceId("peer")))
            return
        now = self.world.now
        works = tuple(
            InFlightRequest(RequestId(f"peer/{n}"), life.name, started_at=now)
            for n in range(count)
        )
        self.world.post(PeerWorkReplaced(InstanceId("peer"), works))

    @precondition(among(Trouble.PEERS))
    @rule(
        service=SERVICES,
        requests=st.sampled_from([0, 5, 30]),
        repeats=st.integers(0, 4),
        settled=BOTH,
    )
    def peer_spends(
        self, service: ServiceId, requests: int, repeats: int, settled: bool
    ) -> None:
        """Let a peer take requests and repeat some, and this instance lose its part."""
        since = None if settled else self.world.now
        self.world.share = SlackShare(INSTANCES, restarted_at=since)
        self.world.peer_spends(service, requests, repeats)

    @precondition(lambda self: self.world.calls)
    @precondition(among(Trouble.CRASHES_TOLD))
    @rule(which=WHICH, crashed=st.sets(st.integers(1, 9), max_size=3))
    def peer_tells_of_crashes(self, which: int, crashed: set[int]) -> None:
        """Let a peer tell of crashes under a content, or that it ran well."""
        calls = list(self.world.calls.values())
        names = {EndpointId(f"i-{number}") for number in crashed}
        self.world.crash_told(calls[which % len(calls)], names)

    @precondition(among(Trouble.OPERATOR))
    @rule(
        dropped=st.sets(st.sampled_from(sorted(ROUTES)), max_size=2),
        revoked=st.sets(st.sampled_from(KEYS), max_size=1),
        most=st.integers(1, 4),
    )
    def operator_writes(self, dropped: set[str], revoked: set[str], most: int) -> None:
        """Let the operator drop routes, take keys away and change attempts."""
        self.most = most
        self.configure(set(ROUTES) - dropped, set(KEYS) - revoked)

    # Time

    @rule(ticks=st.sampled_from([1, 4, 20]), tick_first=BOTH)
    def time_passes(self, ticks: int, tick_first: bool) -> None:
        """Let time pass, some ticks."""
        self.world.run(TICK * ticks, tick_first)

    @rule(seconds=FREEZES, then_runs=BOTH)
    def freezes(self, seconds: float, then_runs: bool) -> None:
        """Let the process stand still; what happens next may come before a tick."""
        self.world.clock.advance(timedelta(seconds=seconds))
        if then_runs:
            self.world.run(timedelta(milliseconds=1))

    @precondition(lambda self: len(self.world.calls) > 15)
    @precondition(among(Trouble.STOP))
    @rule()
    def stops(self) -> None:
        """Let the grace of a planned stop end."""
        self.world.stop()
        left = [c for c in self.world.calls.values() if c.conclusion is None]
        assert not left, ("STUCK", left)

    # What must always hold

    @invariant()
    def configurations_only_go_forward(self) -> None:
        """Check that the newest configuration heard is in force, everywhere."""
        table = self.world.directory.table
        if table is not None:
            assert table.version == self.newest_table, "CONFIG"
            view = self.world.kernel.plugin(FleetView).table
            assert view is table, "CONFIG"

    @invariant()
    def nothing_is_kept_of_ended_calls(self) -> None:
        """Check that plug-ins, kernel and engines hold nothing for ended calls."""
        kernel = self.world.kernel
        ended = {n for n, c in self.world.calls.items() if c.conclusion is not None}
        keeper, placer = kernel.plugin(MemoryKeeper), kernel.plugin(WorkPlacer)
        kept = [
            set(kernel.state.requests),
            set(keeper.gangs),
            set(keeper.gang_failures),
            set(keeper.backoff_until),
            set(placer.load_tracker.own),
            set(placer.waiting_since),
            {record.request_id for record in kernel.state.waiting},
        ]
        assert not any(ended & names for names in kept), ("LEAK", kept)

    @invariant()
    def running_calls_are_booked(self) -> None:
        """Check that what runs is known to take its endpoint's place."""
        own = self.world.kernel.plugin(WorkPlacer).load_tracker.own
        for sent in self.world.open:
            work = own.get(sent.dispatch.request_id)
            assert work is not None, ("LIMIT", sent)
            assert work.host == sent.dispatch.endpoint, ("LIMIT", sent)

    @invariant()
    def memory_is_wanted(self) -> None:
        """Check that engines that hear hold only what a gang knows of."""
        gangs = self.world.kernel.plugin(MemoryKeeper).gangs.values()
        wanted = {str(t.reservation_id) for gang in gangs for t in gang.reservations}
        for life in self.world.endpoints.values():
            unwanted = set(life.memory.reservations) - wanted
            until = [life.memory.reservations[name].until for name in unwanted]
            bound = self.world.now + timedelta(seconds=4)
            assert all(each <= bound for each in until), ("LEAK", life)

    def teardown(self) -> None:
        """Let all that is left end by its deadline."""
        end = self.world.now + timedelta(seconds=20)
        while self.world.open_calls and self.world.now < end:
            self.world.run(TICK * 4)
        self.world.clock.advance(timedelta(seconds=5))
        self.world.run(TICK)
        left = [c for c in self.world.calls.values() if c.conclusion is None]
        assert not left, ("STUCK", left)
        held = [e.memory.reservations for e in self.world.endpoints.values()]
        assert not any(held), ("LEAK", held)
        self.nothing_is_kept_of_ended_calls()


class CrashMachine(GatewayMachine):
    """Contents that crash endpoints, while endpoints can't be reached."""

    routes = ("safe", "stream")
    fates = (Fate.BROKEN, Fate.EVENT, Fate.UNREACHED)
    troubles = frozenset({Trouble.CUTS, Trouble.CRASHES_TOLD})


class BudgetMachine(GatewayMachine):
    """Many repeats, at once and after waiting."""

    routes = ("safe",)
    fates = (Fate.BROKEN, Fate.GARBLED, Fate.REJECTED, Fate.UNREACHED, Fate.FINISHED)
    troubles = frozenset({Trouble.CUTS, Trouble.PEERS})


class MemoryMachine(GatewayMachine):
    """Prompts beyond one engine, while engines are slow, deaf, full and leaving."""

    routes = ("huge",)
    fates = (Fate.EVENT, Fate.FINISHED, Fate.BROKEN, Fate.REJECTED)
    troubles = frozenset({Trouble.MEMORY, Trouble.LEAVING, Trouble.CALLERS_LEAVE})


class OnceMachine(GatewayMachine):
    """Calls that may run once, in freezes and cuts."""

    routes = ("once", "sealed", "safe")
    troubles = frozenset({Trouble.CUTS, Trouble.STOP, Trouble.CALLERS_LEAVE})


MACHINES = (GatewayMachine, CrashMachine, BudgetMachine, MemoryMachine, OnceMachine)


def test_the_rules_hold_whatever_happens_in_whatever_order() -> None:
    """Answers are lost, torn, refused and late; endpoints leave and come under others.

    The process freezes, peers spend, fall silent and tell old words, the operator
    takes routes and keys away, callers hang up and all stops.
    """
    explore(GatewayMachine, EXAMPLES, STEPS)


def test_poisoned_contents_reach_few_endpoints_whatever_can_be_reached() -> None:
    """Many callers send what crashes endpoints, while a service is cut off."""
    explore(CrashMachine, EXAMPLES, STEPS)


def test_repeats_stay_within_the_budget_however_long_they_wait() -> None:
    """Connections break all at once, again and again; repeats wait for endpoints."""
    explore(BudgetMachine, EXAMPLES, STEPS)


def test_memory_goes_to_those_that_take_work_and_is_given_back() -> None:
    """Orders are slow, lost and late while engines drain, exit and fill up."""
    explore(MemoryMachine, EXAMPLES, STEPS)


def test_what_may_run_once_runs_once_and_is_told_honestly() -> None:
    """Answers get lost or come late, around freezes and the end of the process."""
    explore(OnceMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
