"""Tests of what a gateway does when its process resumes after a freeze."""

from datetime import timedelta

from mimosafork.clock import ManualClock
from mimosafork.gateway.freeze_watch import FreezeWatch
from mimosafork.gateway.policies.catching_up import CATCH_UP_TIME
from mimosafork.ids import EndpointId
from mimosafork.kernel.core import TICK
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.lifecycle import ProcessResumed
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.routing import EndpointLeaving

from ...support.crash_messages import peer_crashes
from ...support.functions import function_tests
from ...support.gateway_kernels import digest_of, gateway_bench, request_of

CRASHED = [f"desk-{number}" for number in range(3)]


def test_calls_wait_for_suspicions_that_arrived_in_a_freeze() -> None:
    """A call read before its content's quarantine must not crash another endpoint."""
    bench = gateway_bench(endpoints=4)
    bench.handle(ProcessResumed())
    bench.submit(request_of(bench, "bad-1"))
    for report in peer_crashes(digest_of("bad-1"), CRASHED, bench.clock.monotonic()):
        bench.handle(report)
    bench.handle_after(CATCH_UP_TIME, Tick())
    assert not bench.dispatches("bad-1")
    problem = bench.concluded("bad-1").problem
    assert problem is not None
    assert problem.code is ProblemCode.QUARANTINED


def test_calls_wait_for_departures_that_arrived_in_a_freeze() -> None:
    """A call read before an endpoint's departure must not be sent there."""
    bench = gateway_bench(endpoints=2)
    bench.handle(ProcessResumed())
    bench.submit(request_of(bench, "a-1"))
    bench.handle(EndpointLeaving(EndpointId("desk-0"), final=True))
    bench.handle_after(CATCH_UP_TIME, Tick())
    assert [each.endpoint for each in bench.dispatches("a-1")] == ["desk-1"]


def test_calls_are_placed_at_the_first_tick_after_catching_up() -> None:
    """A freeze must not delay calls for longer than the updates take."""
    bench = gateway_bench()
    bench.handle(ProcessResumed())
    bench.submit(request_of(bench, "a-1"))
    bench.handle_after(CATCH_UP_TIME - TICK, Tick())
    assert not bench.dispatches("a-1")
    bench.handle_after(TICK, Tick())
    assert bench.dispatches("a-1")
    bench.submit(request_of(bench, "b-1"))
    assert bench.dispatches("b-1")


def test_a_freeze_is_seen_before_the_tick_that_ends_it() -> None:
    """Events that are handled before the late tick must not be missed."""
    clock = ManualClock()
    watch = FreezeWatch(clock, clock, TICK)
    assert not watch.is_overdue()
    watch.record_tick()
    clock.advance(timedelta(seconds=1))
    assert not watch.is_overdue()
    clock.advance(TICK)
    assert watch.is_overdue()
    watch.record_tick()
    assert not watch.is_overdue()


load_tests = function_tests(__name__)
