"""Tests of prompt parts that crash engines, with instances as processes."""

from unittest import TestCase

from ..support.engine_fleet import EngineFleet, Load, engine_fleet, send_mixed
from ..support.functions import function_tests

case = TestCase()

INSTANCES = 3
ENGINES = 10
SOUND_S = 12.0
POISONED_S = 2.0
SYSTEM, POISON, TOPIC = "a1", "bad", "b2"
SOUND_PARTS = (SYSTEM, TOPIC)
BEFORE_S = 3.0
DURING_S = 14.0
NOTED_CRASHES = 5
STABLE_S = 3.0
ALLOWED_ARRIVALS = 3
LEAST_SHARE = 0.5
"""Sound calls that are served from twice the stable time after the fifth crash, beside
those before the first one."""


def check_quarantine(fleet: EngineFleet, poisoned: tuple[str, ...]) -> None:
    """Check that poisoned calls stop reaching engines, and sound ones are served."""
    load = Load()
    send_mixed(fleet, load, BEFORE_S, (SOUND_PARTS, SOUND_S), ((), 0.0))
    before = list(load.sound)
    fleet.poison(POISON)
    send_mixed(fleet, load, DURING_S, (SOUND_PARTS, SOUND_S), (poisoned, POISONED_S))
    case.assertTrue(all(call.served for call in before))
    if len(fleet.crashes) >= NOTED_CRASHES:
        noted_at = fleet.crashes[NOTED_CRASHES - 1]
    else:
        noted_at = fleet.crashes[-1]
    arrivals = fleet.arrivals_of(load.poisoned, noted_at + STABLE_S)
    case.assertLessEqual(arrivals, ALLOWED_ARRIVALS, len(fleet.crashes))
    later = [c for c in load.sound if c.at_s >= noted_at + 2 * STABLE_S]
    case.assertGreaterEqual(len(later), SOUND_S)
    served = sum(call.served for call in later)
    case.assertGreaterEqual(served, LEAST_SHARE * len(later))


def test_calls_with_a_part_that_crashes_engines_stop_reaching_them() -> None:
    """Calls that share one part, no two alike, crash one engine after the other."""
    with engine_fleet(INSTANCES, ENGINES) as fleet:
        check_quarantine(fleet, (SYSTEM, POISON, TOPIC))


def test_resumable_calls_with_a_part_that_crashes_engines_stop_reaching_them() -> None:
    """Each call with such a part is retried and crashes a second engine."""
    with engine_fleet(INSTANCES, ENGINES, "/resume/1") as fleet:
        check_quarantine(fleet, (SYSTEM, POISON, TOPIC))


def test_calls_whose_first_part_crashes_engines_stop_reaching_them() -> None:
    """The part that crashes engines is the first one, in place of the usual one."""
    with engine_fleet(INSTANCES, ENGINES) as fleet:
        check_quarantine(fleet, (POISON, TOPIC))


load_tests = function_tests(__name__)
