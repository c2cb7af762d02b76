"""Stateful tests of promises: a refused call never runs, and others run once."""

from datetime import timedelta
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mimosafork.gateway.response_matching import ResponseMatcher

from ...support.functions import function_tests
from ...support.machines import explore
from ...support.virtual_fleet import (
    ROUTES,
    Answer,
    Arrival,
    VirtualEndpoint,
    VirtualFleet,
)
from ...support.virtual_network import Link

EXAMPLES = 100
MOST_EXAMPLES = 800
"""Sequences within which a fault that is put in must be found."""

STEPS = 60

WHICH = st.integers(0, 23)
WAITS_MS = st.sampled_from([60, 300, 1500, 6000])
RETRY_MS = 25
"""Time in which a refused call is sent again."""

PAUSES_MS = st.sampled_from([1, 3, 25, 25, 120, 400, 1500])
REFUSALS = st.sampled_from([503, 503, 503, 429, 421])
BOTH = st.booleans()
FREEZES_MS = (200, 2000, 7000)
DISTURBANCES = (
    "caller_leaves",
    "connection_is_lost",
    "endpoint_crashes",
    "bytes_are_held_back",
    "connections_hang",
    "connections_are_refused",
    "link_heals",
    "link_heals",
    "instance_restarts",
    "reach_changes",
    "reach_changes",
    "processes_freeze",
)
"""One rule for all of them: where each were a rule, few calls would go on to an end."""


class PromiseMachine(RuleBasedStateMachine):
    """Callers, endpoints, links and instances act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet: VirtualFleet | None = None

    @initialize(
        instances=st.integers(1, 3), endpoints=st.integers(2, 5), abandoned=BOTH
    )
    def deploy(self, instances: int, endpoints: int, abandoned: bool) -> None:
        """Start instances and endpoints."""
        self.fleet = VirtualFleet(instances, endpoints)
        for endpoint in self.fleet.endpoints:
            endpoint.runs_abandoned = abandoned

    @property
    def world(self) -> VirtualFleet:
        """The instances and endpoints."""
        assert self.fleet is not None
        return self.fleet

    def endpoint(self, which: int) -> VirtualEndpoint:
        """Return one of the endpoints."""
        return self.world.endpoints[which % len(self.world.endpoints)]

    def waiting(self) -> list[tuple[VirtualEndpoint, Arrival]]:
        """Return the requests that have no answer."""
        return [
            (endpoint, arrival)
            for endpoint in self.world.endpoints
            for arrival in endpoint.pending()
        ]

    def link(self, which: int, to_peer: bool) -> Link:
        """Return the link to an endpoint or to a peer."""
        world = self.world
        instance = world.instances[which % len(world.instances)]
        address = instance.forwarding if to_peer else self.endpoint(which).address
        return world.loop.links.setdefault(address, Link())

    @rule(which=WHICH, route=st.sampled_from(ROUTES), wait_ms=WAITS_MS, count=WHICH)
    def calls(self, which: int, route: str, wait_ms: int, count: int) -> None:
        """Send one call or a few at once."""
        instance = self.world.instances[which % len(self.world.instances)]
        for _ in range(1 + count % 3):
            self.world.call(instance, route, wait_ms)

    @precondition(lambda self: self.waiting())
    @rule(
        which=WHICH,
        status=REFUSALS,
        repeat=st.sampled_from(["", "next", "next", "now"]),
        pause_ms=PAUSES_MS,
    )
    def refuses(self, which: int, status: int, repeat: str, pause_ms: int) -> None:
        """Refuse a request; the refusal may come again."""
        waiting = self.waiting()
        endpoint, arrival = waiting[which % len(waiting)]
        if arrival.running:
            return
        self.world.within(endpoint.refuse, arrival, status)
        self.repeats(arrival, repeat)
        self.passes(pause_ms)

    @precondition(lambda self: self.waiting())
    @rule(rounds=st.integers(1, 4), repeat=st.sampled_from(["", "next"]))
    def refuses_all(self, rounds: int, repeat: str) -> None:
        """Refuse all requests and their retries, as endpoints in overload do."""
        for _ in range(rounds):
            for endpoint, arrival in self.waiting():
                if not arrival.running:
                    self.world.within(endpoint.refuse, arrival)
                    self.repeats(arrival, repeat)
            self.passes(RETRY_MS)

    @precondition(lambda self: self.waiting())
    @rule(
        which=WHICH,
        answer=st.sampled_from(list(Answer)),
        repeat=st.sampled_from(["", "next", "now"]),
    )
    def answers(self, which: int, answer: Answer, repeat: str) -> None:
        """Run a request and answer it; the answer may come again."""
        waiting = self.waiting()
        endpoint, arrival = waiting[which % len(waiting)]
        self.world.within(endpoint.answer, arrival, answer)
        self.repeats(arrival, repeat)

    def repeats(self, arrival: Arrival, when: str) -> None:
        """Send an answer again, at once or in place of the next one."""
        connection = arrival.connection
        if when == "now":
            self.world.within(connection.write, connection.last_answer)
        elif when:
            connection.repeat_before_next = connection.last_answer

    @precondition(lambda self: self.waiting())
    @rule(which=WHICH)
    def begins(self, which: int) -> None:
        """Begin to work on a request, without an answer."""
        waiting = self.waiting()
        endpoint, arrival = waiting[which % len(waiting)]
        endpoint.run(arrival)

    @rule(which=WHICH, kind=st.sampled_from(DISTURBANCES), first=BOTH, second=BOTH)
    def disturbs(self, which: int, kind: str, first: bool, second: bool) -> None:
        """Let something fail, or end a failure."""
        getattr(self, kind)(which, first, second)

    def caller_leaves(self, which: int, *_: bool) -> None:
        """Close a caller's connection."""
        if self.world.calls:
            call = self.world.calls[-1 - which % len(self.world.calls)]
            self.world.within(call.transport.abort)

    def connection_is_lost(self, which: int, reset: bool, *_: bool) -> None:
        """End the connection of a request that has no answer."""
        waiting = self.waiting()
        if waiting:
            transport = waiting[which % len(waiting)][1].connection.transport
            self.world.within(transport.abort if reset else transport.close)

    def endpoint_crashes(self, which: int, listed: bool, *_: bool) -> None:
        """Restart an endpoint; instances may learn of it later."""
        endpoint, before = self.endpoint(which), self.endpoint(which).id
        self.world.within(endpoint.crash)
        if not listed:
            return
        for instance in self.world.instances:
            self.world.within(instance.forget_endpoint, before)
            self.world.within(instance.list_endpoint, endpoint)

    def bytes_are_held_back(self, which: int, to_peer: bool, outwards: bool) -> None:
        """Hold back the bytes of one direction."""
        self.link(which, to_peer).hold(outwards)

    def connections_hang(self, which: int, to_peer: bool, *_: bool) -> None:
        """Let new connections wait."""
        self.link(which, to_peer).opened.clear()

    def connections_are_refused(self, which: int, *_: bool) -> None:
        """Refuse new connections to an endpoint until it starts again."""
        self.world.loop.listeners.pop(self.endpoint(which).address, None)

    def link_heals(self, which: int, to_peer: bool, reset: bool) -> None:
        """Deliver what was held back, or lose it with its connections."""
        link = self.link(which, to_peer)
        if reset:
            self.world.within(link.reset)
        self.world.within(link.heal)

    def instance_restarts(self, which: int, *_: bool) -> None:
        """Kill an instance, and start it again."""
        instance = self.world.instances[which % len(self.world.instances)]
        self.world.within(instance.restart)
        self.world.within(self.world.introduce_peers)

    def reach_changes(self, which: int, lost: bool, *_: bool) -> None:
        """Lose all endpoints or find them again; calls go through peers meanwhile."""
        instance = self.world.instances[which % len(self.world.instances)]
        change = instance.lose_endpoints if lost else instance.find_endpoints
        self.world.within(change)

    def processes_freeze(self, which: int, *_: bool) -> None:
        """Let time pass in which nothing runs; all that was due follows at once."""
        pause_ms = FREEZES_MS[which % len(FREEZES_MS)]
        self.world.clock.advance(timedelta(milliseconds=pause_ms))

    @rule(pause_ms=PAUSES_MS)
    def passes(self, pause_ms: int) -> None:
        """Let time pass."""
        self.world.loop.advance(timedelta(milliseconds=pause_ms))

    @invariant()
    def keeps_promises(self) -> None:
        """Check what ran against what callers received."""
        if self.fleet is not None:
            assert not self.fleet.broken_promises(), self.fleet.broken_promises()

    def teardown(self) -> None:
        """Run all that is left, and check once more."""
        if self.fleet is None:
            return
        for link in list(self.fleet.loop.links.values()):
            self.fleet.within(link.heal)
        self.fleet.loop.advance(timedelta(seconds=8))
        for endpoint, arrival in self.waiting():
            endpoint.run(arrival)
        try:
            assert not self.fleet.broken_promises(), self.fleet.broken_promises()
        finally:
            self.fleet.close()


def test_refused_calls_never_run_and_others_run_once() -> None:
    """A call runs twice, or runs although its caller was told that it has not."""
    explore(PromiseMachine, EXAMPLES, STEPS)


def test_the_machine_finds_repeated_refusals_that_are_not_matched() -> None:
    """The machine does not reach the incident that it guards against."""
    with patch.object(ResponseMatcher, "has_carried", lambda self, call_id: False):
        try:
            explore(PromiseMachine, MOST_EXAMPLES, STEPS)
        except (AssertionError, ExceptionGroup):
            return
    raise AssertionError("nothing was found")


MACHINES = (PromiseMachine,)

load_tests = function_tests(__name__)
