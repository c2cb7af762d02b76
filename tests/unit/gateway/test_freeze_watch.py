"""A process that stood still says so."""

from datetime import timedelta

from mimosafork.clock import ManualClock
from mimosafork.gateway.freeze_watch import FreezeWatch, ProcessFreeze
from tests.support.functions import function_tests

GAP = timedelta(milliseconds=50)


def test_ticks_in_time_are_no_freeze() -> None:
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    for _ in range(3):
        steady.advance(GAP)
        boot.advance(GAP + timedelta(milliseconds=900))
        assert watch.record_tick() is None


def test_suspension_that_the_steady_clock_does_not_count_is_noticed() -> None:
    """A machine is suspended for three seconds and its steady clock stands still.

    By that clock the next tick comes in time, while streams have paused and all
    that peers told is three seconds older. The other clock shows it.
    """
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    watch.record_tick()
    steady.advance(GAP)
    boot.advance(GAP + timedelta(seconds=3))
    assert watch.record_tick() == ProcessFreeze(
        timedelta(seconds=3), timedelta(seconds=3)
    )


def test_a_freeze_between_two_rare_ticks_is_noticed_at_least_as_soon() -> None:
    """A process stands still for 1.05 s while it has no call, and nobody learns why.

    Without calls ticks come less often, and a tick that is late by less than a second
    ended a time in which nothing ran for longer.
    """
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    watch.record_tick()
    rare = timedelta(milliseconds=250)
    for clock in (steady, boot):
        clock.advance(rare)
    assert watch.record_tick(rare) is None
    frozen = timedelta(milliseconds=1050)
    for clock in (steady, boot):
        clock.advance(frozen)
    assert watch.record_tick(rare) == ProcessFreeze(frozen - rare, timedelta(0))


load_tests = function_tests(__name__)
