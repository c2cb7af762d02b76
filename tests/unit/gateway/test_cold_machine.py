"""State machine test of cold endpoints under restarts, partitions and outages."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...support.cold_fleet import ColdFleet
from ...support.functions import function_tests
from ...support.gossip_network import ms
from ...support.limited_fleet import desk
from ...support.machines import explore

EXAMPLES = 25
STEPS = 20
SIZE = 6
MANY = 34
"""More instances than have permits at a cold endpoint."""
ENDPOINTS = 3
RESTART_INTERVAL = ms(1300)
"""No instance restarts twice within the time that requests count."""


class ColdMachine(RuleBasedStateMachine):
    """Endpoints become cold and crash; instances restart or are partitioned."""

    size = SIZE

    def __init__(self) -> None:
        super().__init__()
        self.fleet = ColdFleet(self.size, ENDPOINTS, gossiping=self.size == SIZE)
        self.fleet.run(timedelta(seconds=1))
        self.restarted_at = timedelta(0)

    @rule(
        seconds=st.sampled_from([0.2, 0.7, 1.5]),
        calls_s=st.sampled_from([20.0, 500.0]),
    )
    def submit_calls(self, seconds: float, calls_s: float) -> None:
        """Advance time under load."""
        self.fleet.run(timedelta(seconds=seconds), calls_s)

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def cool_endpoint(self, number: int) -> None:
        """Let an endpoint become cold."""
        self.fleet.become_cold(number)

    @rule(number=st.integers(0, ENDPOINTS - 1), down=st.sampled_from([50, 900]))
    def crash_endpoint(self, number: int, down: int) -> None:
        """Let an endpoint crash and start again."""
        self.fleet.crash(number, ms(down))

    @rule()
    def end_evacuation(self) -> None:
        """Return all endpoints to service, cold."""
        self.fleet.end_evacuation()

    @rule(data=st.data())
    def restart_instances(self, data: st.DataObject) -> None:
        """Restart instances immediately."""
        now = self.fleet.network.now
        if now - self.restarted_at > RESTART_INTERVAL:
            self.restarted_at = now
            self.fleet.restart(data.draw(st.sets(st.integers(0, self.size - 1))))

    @rule(parted=st.booleans())
    def partition_zones(self, parted: bool) -> None:
        """Partition the zones or heal the partition."""
        if parted:
            self.fleet.cut_zones()
        else:
            self.fleet.network.heal()

    @rule(answers=st.booleans())
    def set_store_available(self, answers: bool) -> None:
        """Make the store available or unavailable to starting instances."""
        self.fleet.store_answers = answers

    @rule(confirmed=st.booleans())
    def confirm_list(self, confirmed: bool) -> None:
        """Let the list of endpoints be confirmed, or not."""
        self.fleet.confirm_list(confirmed)

    @rule(latest=st.sampled_from([2, 500, 2300]), written=st.sampled_from([0, 190]))
    def slow_links(self, latest: int, written: int) -> None:
        """Delay requests on their way to endpoints, and before they are written."""
        self.fleet.latest = ms(latest)
        self.fleet.latest_write = ms(written)

    @invariant()
    def the_bound_is_kept(self) -> None:
        """Check each second in which an endpoint is known to be cold."""
        for number in range(ENDPOINTS):
            over = self.fleet.excess(desk(number))
            assert over <= 0, ("COLD", number, over)
        self.fleet.forget()


class LargeFleetColdMachine(ColdMachine):
    """More instances than may use a cold endpoint."""

    size = MANY


def test_no_sequence_of_faults_breaks_the_bound_of_cold_endpoints() -> None:
    """A cold endpoint must not get too much under any sequence of faults."""
    explore(ColdMachine, EXAMPLES, STEPS)


def test_no_sequence_of_faults_breaks_a_bound_lower_than_the_fleet() -> None:
    """The bound must hold where not every instance has a permit."""
    explore(LargeFleetColdMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
