"""Short requests go first, and long ones do not starve."""

from datetime import timedelta

from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.kernel.messages.base import Tick
from mimosafork.policies.engine_load import EngineLoad
from mimosafork.policies.priorities import AgeingPriorities
from tests.support.functions import function_tests
from tests.support.kernels import configuration, engine_entry, model_request
from tests.support.policies import BOUNDED, ROUTED, only_dispatch, policy_kernel, tick

AGEING = (*ROUTED, "ageing-priorities")
LONG = 300_000
MINUTES = timedelta(minutes=10)


def test_short_request_gets_the_better_engine_priority() -> None:
    with policy_kernel(AGEING, [engine_entry("e1")]) as bench:
        bench.submit(model_request("long", LONG, MINUTES))
        bench.submit(model_request("short", 1_000))
        long = only_dispatch(bench, "long").priority
        assert only_dispatch(bench, "short").priority < long


def test_long_request_does_not_starve() -> None:
    """A long prompt never starts, because short requests keep arriving.

    Each later short request has a worse rank than the one before, until one ranks
    behind the long prompt.
    """
    with policy_kernel(AGEING, [engine_entry("e1")]) as bench:
        for _ in range(10):
            tick(bench, 1.0)
            bench.report("e1")
        bench.submit(model_request("long", LONG, MINUTES))
        long = only_dispatch(bench, "long").priority
        passed_s = 0
        for second in range(1, 120):
            tick(bench, 1.0)
            bench.report("e1")
            bench.submit(model_request(f"s{second}", 1_000, MINUTES))
            if only_dispatch(bench, f"s{second}").priority < long:
                passed_s = second
        assert 5 <= passed_s <= 30, passed_s


def test_long_share_sets_how_long_short_requests_overtake() -> None:
    weights = []
    for share in (0.3, 0.5, 0.7):
        settings = configuration(FleetPolicy(long_share=share))
        with policy_kernel(AGEING, [engine_entry("e1")], settings) as bench:
            weights.append(bench.kernel.plugin(AgeingPriorities).weight)
    assert weights[0] > weights[1] > weights[2]


def test_waiting_long_prompts_do_not_hold_up_short_ones() -> None:
    """Short requests wait although an engine has capacity for them.

    Ten long prompts wait for memory and have aged to the head of the queue. A short
    request that arrives after them is dispatched.
    """
    with policy_kernel(BOUNDED, [engine_entry("e1")]) as bench:
        for number in range(10):
            bench.submit(model_request(f"long{number}", LONG, MINUTES))
        waiting = [f"long{n}" for n in range(10) if not bench.dispatches(f"long{n}")]
        assert len(waiting) == 9
        bench.clock.advance(timedelta(seconds=60))
        bench.report("e1", kv_used=LONG, waiting_prefill_tokens=20_000)
        bench.submit(model_request("short", 1_000, MINUTES))
        bench.handle(Tick())
        only_dispatch(bench, "short")


def test_instances_with_different_clocks_give_comparable_priorities() -> None:
    """A newly started instance has all its requests served last.

    Its monotonic clock started at another instant, and it has seen three reports of
    the engine while the other instance has seen four hundred.
    """
    priorities = []
    for head_start_s, reports_seen in ((0, 400), (86_400, 3)):
        with policy_kernel(AGEING, [engine_entry("e1")]) as bench:
            bench.clock.advance(timedelta(seconds=head_start_s))
            for number in range(40_000 - reports_seen, 40_000):
                bench.clock.advance(timedelta(milliseconds=100))
                bench.report("e1", sequence=number)
            deadline = bench.clock.monotonic() + MINUTES
            bench.submit(model_request("r", 1_000, deadline))
            priorities.append(only_dispatch(bench, "r").priority)
    spread_ticks = abs(priorities[0] - priorities[1]) / 1000
    assert spread_ticks < 10, priorities


def test_engine_clock_stops_when_reports_are_missing() -> None:
    load = EngineLoad(engine_entry("e1").incarnation)
    soon = load.clock_ticks(timedelta(seconds=1))
    much_later = load.clock_ticks(timedelta(hours=1))
    assert soon == 4.0
    assert much_later == 20.0


load_tests = function_tests(__name__)
