"""State machine test of endpoints that crash under prompts and by themselves."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...support.functions import function_tests
from ...support.machines import explore
from ...support.poisoned_fleet import (
    DOWNTIME,
    ENDPOINTS,
    POISON,
    STABLE,
    PoisonedFleet,
)

EXAMPLES = 12
STEPS = 14
SIZE = 4
SECOND = timedelta(seconds=1)
SPANS = st.sampled_from([0.2, 1.0, 4.0])
INSTANCES = st.sets(st.integers(0, SIZE - 1), max_size=SIZE)
NUMBERS = st.integers(0, ENDPOINTS - 1)
ALLOWED_ARRIVALS = 3
REFUSED_SHARE = 0.05
MIN_CALLS = 40
SOUND_S = 8.0
LEAST_SHARE = 0.8
"""Of sound calls, some of which are still running when they are counted."""


class QuarantineMachine(RuleBasedStateMachine):
    """Endpoints crash, instances restart, zones are cut off, datagrams are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = PoisonedFleet(SIZE, loss=0.02)
        self.fleet.poisoned.add(POISON)
        self.parted = False
        self.fleet.advance(2 * SECOND, sound_s=8.0)

    def run(self, seconds: float, sound_s: float, poisoned_s: float) -> None:
        """Let calls arrive for some time."""
        if self.parted:
            self.fleet.excuse(seconds * SECOND)
        self.fleet.advance(seconds * SECOND, sound_s, poisoned_s)

    @rule(seconds=SPANS, sound_s=st.sampled_from([2.0, 12.0]))
    def sound_calls(self, seconds: float, sound_s: float) -> None:
        """Let sound calls arrive alone."""
        self.run(seconds, sound_s, 0.0)

    @rule(
        seconds=SPANS,
        sound_s=st.sampled_from([2.0, 12.0]),
        poisoned_s=st.sampled_from([0.5, 2.0, 8.0]),
    )
    def poisoned_calls(self, seconds: float, sound_s: float, poisoned_s: float) -> None:
        """Let poisoned calls arrive beside sound ones."""
        self.run(seconds, sound_s, poisoned_s)

    @rule(number=NUMBERS, seconds=SPANS)
    def endpoint_crashes(self, number: int, seconds: float) -> None:
        """Crash an endpoint for another reason."""
        self.fleet.crash(self.fleet.crashing[number])
        self.run(seconds, 8.0, 0.0)

    @rule(seconds=SPANS)
    def all_endpoints_crash(self, seconds: float) -> None:
        """Crash all endpoints at the same moment."""
        for endpoint in self.fleet.crashing:
            self.fleet.crash(endpoint)
        self.run(seconds, 8.0, 0.0)

    @rule(numbers=st.sets(NUMBERS), seconds=SPANS)
    def connections_break(self, numbers: set[int], seconds: float) -> None:
        """Reset the connections to endpoints that go on."""
        for number in numbers:
            self.fleet.break_connections(self.fleet.crashing[number])
        self.run(seconds, 8.0, 0.0)

    @rule(numbers=INSTANCES)
    def instances_restart(self, numbers: set[int]) -> None:
        """Kill instances, all of them possibly, and start them again."""
        self.fleet.restart(numbers)
        self.fleet.excuse()
        self.run(0.2, 8.0, 0.0)

    @rule(parted=st.booleans(), seconds=SPANS)
    def zones_are_cut(self, parted: bool, seconds: float) -> None:
        """Cut the zones off from each other, or end that."""
        self.parted = parted
        if parted:
            self.fleet.cut_zones()
        else:
            self.fleet.network.heal()
            self.fleet.excuse()
        self.run(seconds, 8.0, 0.0)

    @invariant()
    def poisoned_calls_reach_few_endpoints(self) -> None:
        """Check the arrivals after the fifth crash."""
        assert self.fleet.late_arrivals <= ALLOWED_ARRIVALS, self.fleet.late_arrivals

    @invariant()
    def sound_calls_are_not_refused(self) -> None:
        """Check the share of sound calls that were refused for their content."""
        refused, served = len(self.fleet.refused), len(self.fleet.served)
        assert refused <= REFUSED_SHARE * max(served, MIN_CALLS), (refused, served)

    def teardown(self) -> None:
        """Check that sound calls are served once the disturbances are over."""
        self.fleet.network.heal()
        self.parted = False
        self.fleet.excuse()
        self.fleet.advance(2 * DOWNTIME, SOUND_S, poisoned_s=2.0)
        refused, served = len(self.fleet.refused), len(self.fleet.served)
        self.fleet.advance(2 * STABLE, SOUND_S, poisoned_s=2.0)
        assert len(self.fleet.refused) == refused, self.fleet.refused[refused:]
        sent = SOUND_S * (2 * STABLE / SECOND)
        assert len(self.fleet.served) - served >= LEAST_SHARE * sent


def test_poisoned_calls_stop_and_sound_ones_are_served_whatever_fails() -> None:
    """A part that crashes endpoints goes on, or sound calls are refused for it."""
    explore(QuarantineMachine, EXAMPLES, STEPS)


def test_poisoned_calls_that_wait_for_endpoints_that_failed_at_once_reach_few() -> None:
    """All instances send poisoned calls at the return of endpoints that fell together.

    The crashes of one moment are too little evidence against the part.
    """
    machine = QuarantineMachine()
    machine.instances_restart({2})
    machine.instances_restart({0, 2})
    for seconds in (4.0, 4.0, 0.2):
        machine.all_endpoints_crash(seconds)
    machine.sound_calls(1.0, 12.0)
    machine.poisoned_calls(4.0, 2.0, 8.0)
    for seconds in (0.2, 4.0, 4.0):
        machine.all_endpoints_crash(seconds)
    machine.poisoned_calls_reach_few_endpoints()


load_tests = function_tests(__name__)
