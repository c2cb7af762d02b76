"""Tests of prompt parts that crash engines, with instances as processes."""

from datetime import timedelta
from unittest import TestCase

from ..support.commands import run_command
from ..support.engine_fleet import (
    DOWNTIME,
    EngineFleet,
    Load,
    engine_fleet,
    send_mixed,
)
from ..support.functions import function_tests
from ..support.gateway_processes import GatewayProcess
from ..support.prepared import ENGINES as ENGINES_SERVICE
from ..support.waiting import eventually

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
UNRELATED_CRASHES = 14
LIFT_TIME = timedelta(seconds=40)
"""An instance reads the store every 30 s, and publishes what has been lifted."""
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


def test_engines_that_crash_by_themselves_have_no_call_refused() -> None:
    """A part that all calls share is refused because busy engines crash."""
    with engine_fleet(INSTANCES, ENGINES, "/resume/1") as fleet:
        load = Load()
        for _ in range(UNRELATED_CRASHES):
            send_mixed(fleet, load, 1.0, (SOUND_PARTS, SOUND_S), ((), 0.0))
            busy = max(fleet.engines, key=lambda each: each.open_connections)
            busy.crash(DOWNTIME)
        case.assertEqual([], [call.name for call in load.sound if not call.served])


def test_a_part_stays_refused_when_all_instances_are_restarted() -> None:
    """After a restart of all instances a known part crashes engines again."""
    with engine_fleet(INSTANCES, ENGINES) as fleet:
        load = Load()
        fleet.poison(POISON)
        poisoned = (SYSTEM, POISON, TOPIC)
        send_mixed(fleet, load, DURING_S / 2, (SOUND_PARTS, SOUND_S), (poisoned, 2.0))
        fleet.restart_all()
        crashes, load = len(fleet.crashes), Load()
        send_mixed(fleet, load, STABLE_S, (SOUND_PARTS, SOUND_S), (poisoned, 4.0))
        case.assertEqual(crashes, len(fleet.crashes))
        served = sum(call.served for call in load.sound)
        case.assertGreaterEqual(served, LEAST_SHARE * len(load.sound))


def is_lifted(instance: GatewayProcess) -> bool:
    """Return whether an instance has ended a quarantine."""
    lines = instance.process.lines
    return any("is no longer kept from endpoints" in line for line in lines)


def test_an_operator_lists_a_quarantine_and_lifts_it() -> None:
    """A part stays refused although the engines were repaired."""
    with engine_fleet(INSTANCES, ENGINES) as fleet:
        load = Load()
        fleet.poison(POISON)
        poisoned = (SYSTEM, POISON, TOPIC)
        send_mixed(fleet, load, STABLE_S, (SOUND_PARTS, SOUND_S), (poisoned, 4.0))
        for engine in fleet.engines:
            engine.end_faults()
        store = fleet.platform.store.address
        key = f"{ENGINES_SERVICE}/{POISON}"
        listed = run_command("quarantine", "list", "--store", store, "--json")
        found = {each["content"]: each for each in listed.json()}
        case.assertFalse(found[key]["lifted"])
        case.assertEqual(["account-a"], found[key]["accounts"])
        case.assertEqual(
            0, run_command("quarantine", "lift", key, "--store", store).code
        )
        eventually(lambda: all(map(is_lifted, fleet.instances)), LIFT_TIME)
        load = Load()
        send_mixed(fleet, load, 1.0, (SOUND_PARTS, SOUND_S), (poisoned, 4.0))
        case.assertTrue(all(call.served for call in load.poisoned))


load_tests = function_tests(__name__)
