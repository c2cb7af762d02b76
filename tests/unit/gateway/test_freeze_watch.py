"""Tests of the detection of process freezes."""

from datetime import timedelta

from mimosafork.clock import ManualClock
from mimosafork.gateway.freeze_watch import FreezeWatch, ProcessFreeze
from tests.support.functions import function_tests

GAP = timedelta(milliseconds=50)


def test_punctual_ticks_report_no_freeze() -> None:
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    for _ in range(3):
        steady.advance(GAP)
        boot.advance(GAP + timedelta(milliseconds=900))
        assert watch.record_tick() is None


def test_suspension_not_counted_by_steady_clock_is_detected() -> None:
    """A suspension of the machine goes unnoticed.

    The steady clock stops meanwhile, so that the next tick seems punctual although
    streams have paused and the state of peers is older. The boot clock shows it.
    """
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    watch.record_tick()
    steady.advance(GAP)
    boot.advance(GAP + timedelta(seconds=3))
    assert watch.record_tick() == ProcessFreeze(
        timedelta(seconds=3), timedelta(seconds=3)
    )


def test_freeze_between_idle_ticks_is_detected() -> None:
    """A freeze of 1.05 s goes unnoticed in an idle process.

    Without calls ticks are less frequent: a tick may be late by less than a second
    although the process has been frozen for longer.
    """
    steady, boot = ManualClock(), ManualClock()
    watch = FreezeWatch(steady, boot, GAP)
    watch.record_tick()
    idle_interval = timedelta(milliseconds=250)
    for clock in (steady, boot):
        clock.advance(idle_interval)
    assert watch.record_tick(idle_interval) is None
    frozen = timedelta(milliseconds=1050)
    for clock in (steady, boot):
        clock.advance(frozen)
    assert watch.record_tick(idle_interval) == ProcessFreeze(
        frozen - idle_interval, timedelta(0)
    )


load_tests = function_tests(__name__)
