"""Tests of evacuated zones, with instances as processes."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from unittest import TestCase

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from ..support.functions import function_tests
from ..support.plain_fleet import KEY, PlainFleet, plain_fleet
from ..support.prepared import DESKS
from ..support.waiting import eventually

case = TestCase()

INSTANCES = 3
AWAY = "zone-a"
"""The instances' own zone, whose endpoints they prefer."""
OTHER = "zone-b"
SOON_S = 1.0
"""Five seconds are allowed; with a sound store the news takes milliseconds."""
BUSY_S = 1.5


@contextmanager
def two_zones() -> Iterator[tuple[PlainFleet, Desk]]:
    """Run instances with endpoints in two zones; yield the one in `AWAY` too."""
    with plain_fleet(INSTANCES, desks=1) as fleet:
        (away,) = fleet.desks
        other = fleet.platform.add_desk(EndpointSettings(DESKS, zone=OTHER))
        fleet.desks.append(other)
        for each in fleet.instances:
            each.wait_until_logged(other.id)
        yield fleet, away


def arrivals(fleet: PlainFleet, desk: Desk, since: float = 0.0) -> list[float]:
    """Return when requests reached an endpoint, from some time on."""
    runs = list(fleet.platform.log.runs)
    return sorted(
        run.began_s for run in runs if run.instance == desk.id and run.began_s >= since
    )


def now_s(desk: Desk) -> float:
    """Return the time on the scale of arrivals."""
    return desk.thread.call(desk.now_s)


def set_store_down(platform: Deployment, down: bool) -> None:
    """Have the store turn all calls away, or end that."""
    refusal = Refusal.UNAVAILABLE if down else None
    platform.store.set_faults(StoreFaults(down=refusal))


def test_an_evacuated_zone_gets_no_requests_under_load() -> None:
    """The row must reach all instances within the bound, and no call may fail by it.

    Calls run, wait and are placed while it arrives.
    """
    with two_zones() as (fleet, away), ThreadPoolExecutor(1) as pool:
        load = pool.submit(fleet.send_calls, 3 * BUSY_S)
        eventually(lambda: len(arrivals(fleet, away)) > INSTANCES)
        fleet.platform.evacuate(AWAY)
        written = now_s(away)
        case.assertEqual({200}, set(load.result()))
        late = [at - written for at in arrivals(fleet, away, written)]
        case.assertLess(max(late, default=0.0), SOON_S)
        fleet.platform.end_evacuation(AWAY)
        ended = now_s(away)
        eventually(
            lambda: bool(fleet.send_calls(0.2)) and bool(arrivals(fleet, away, ended))
        )


def test_an_instance_that_starts_without_the_store_uses_no_evacuated_zone() -> None:
    """It gets configuration and endpoints from peers, who know of the evacuation."""
    with two_zones() as (fleet, away):
        fleet.platform.evacuate(AWAY)
        for each in fleet.instances:
            each.wait_until_logged(f"zone {AWAY} is evacuated")
        set_store_down(fleet.platform, down=True)
        since = now_s(away)
        restarted = fleet.instances[-1]
        restarted.restart()
        restarted.wait_until_ready()
        statuses = fleet.send_calls(BUSY_S)
        case.assertEqual({200}, set(statuses))
        case.assertEqual([], arrivals(fleet, away, since))


def test_an_evacuation_survives_a_restore_of_the_store() -> None:
    """The copy has the row, under a version of a new era."""
    with two_zones() as (fleet, away):
        fleet.platform.evacuate(AWAY)
        for each in fleet.instances:
            each.wait_until_logged(f"zone {AWAY} is evacuated")
        copy = fleet.platform.store.copy_rows()
        since = now_s(away)
        fleet.platform.restore(copy)
        for each in fleet.instances:
            each.wait_until_logged("the store was restored")
        case.assertEqual({200}, set(fleet.send_calls(BUSY_S)))
        case.assertEqual([], arrivals(fleet, away, since))


def test_a_service_in_evacuated_zones_only_is_refused_as_not_run() -> None:
    """Callers must be told at once when to come again; 503 says that nothing ran."""
    with two_zones() as (fleet, _):
        for zone in (AWAY, OTHER):
            fleet.platform.evacuate(zone)
            for each in fleet.instances:
                each.wait_until_logged(f"zone {zone} is evacuated")
        for number, each in enumerate(fleet.instances):
            answer = each.ask("/unsafe/1", f"refused-{number}", Authorization=KEY)
            case.assertEqual(503, answer.status)
            case.assertEqual(1.0, float(answer.headers["retry-after"]))
        visits = {visit.request_id for visit in fleet.platform.log.visits}
        case.assertFalse([name for name in visits if name.startswith("refused")])


load_tests = function_tests(__name__)
