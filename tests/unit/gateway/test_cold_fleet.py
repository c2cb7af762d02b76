"""Tests of fleets in front of endpoints that may be cold.

While an endpoint is cold, it may receive 44 requests in any second, summed over all
instances. Counted are requests that were sent and arrived within that second.
"""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.placement_requests import MAX_WAIT_SHARE

from ...support.cold_fleet import ALLOWED, COLD_FOR, REPORT_INTERVAL, ColdFleet
from ...support.functions import function_tests
from ...support.gateway_kernels import DEADLINE
from ...support.gossip_network import ms
from ...support.limited_fleet import desk

case = TestCase()

SIZES = (1, 4, 9, 75)
FLOOD_S = 400.0
SECOND = timedelta(seconds=1)


def test_an_endpoint_that_is_cold_from_the_start_gets_no_more_than_it_accepts() -> None:
    """Calls beyond the permits must go to warm endpoints, and none be refused."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=3, cold=[0])
        fleet.run(COLD_FOR, FLOOD_S)
        case.assertLessEqual(fleet.most_in_a_second(0), ALLOWED, size)
        case.assertGreater(fleet.most_in_a_second(1), ALLOWED, size)
        case.assertEqual(0, fleet.refused_calls, size)


def test_a_service_whose_endpoints_are_all_cold_is_kept_within_the_bound() -> None:
    """No endpoint may be used as the last resort; callers are told soon."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=3, cold=range(3))
        fleet.run(COLD_FOR, FLOOD_S)
        for number in range(3):
            case.assertLessEqual(fleet.most_in_a_second(number), ALLOWED, size)
        case.assertGreater(fleet.refused_calls, 0)
        latest = DEADLINE * MAX_WAIT_SHARE + ms(200)
        case.assertLessEqual(max(fleet.refused_after), latest)


def test_cold_endpoints_are_used_within_the_bound() -> None:
    """A fleet that never sends would keep every bound."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=3, cold=range(3))
        fleet.run(COLD_FOR, FLOOD_S)
        served = sum(fleet.arrival_rate(desk(n), COLD_FOR) for n in range(3))
        case.assertGreaterEqual(served, 0.8 * 3 * 25, size)


def test_an_endpoint_becomes_cold_unnoticed_among_many() -> None:
    """No row says so for 1.2 s; the others have permits left meanwhile."""
    fleet = ColdFleet(75, endpoints=45)
    fleet.run(SECOND, 200.0)
    fleet.become_cold(7)
    began = fleet.network.now
    fleet.run(COLD_FOR + SECOND, 200.0)
    case.assertLessEqual(fleet.most_in_a_second(7, began), ALLOWED)
    case.assertEqual(0, fleet.refused_calls)


def test_an_endpoint_that_becomes_cold_has_no_permits_left_after_a_flood() -> None:
    """Requests beyond the permits must count when the row says that it is cold."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2)
        fleet.run(2 * SECOND, FLOOD_S)
        fleet.become_cold(0)
        fleet.run(REPORT_INTERVAL + ms(50), FLOOD_S)
        known = fleet.network.now
        fleet.run(COLD_FOR - REPORT_INTERVAL - ms(100), FLOOD_S)
        case.assertLessEqual(fleet.most_in_a_second(0, known), ALLOWED, size)
        case.assertEqual(0, fleet.refused_calls, size)


def test_a_fleet_with_many_cold_endpoints_serves_all_calls() -> None:
    """The bound must cost no service where there are permits enough."""
    for size, endpoints in ((75, 45), (111, 69)):
        fleet = ColdFleet(size, endpoints, cold=range(endpoints))
        fleet.run(COLD_FOR, 150.0)
        case.assertEqual(0, fleet.refused_calls, size)
        worst = max(fleet.most_in_a_second(number) for number in range(endpoints))
        case.assertLessEqual(worst, ALLOWED)


def test_instances_that_restart_within_the_second_keep_the_bound() -> None:
    """A new incarnation does not know what its predecessor has sent."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2, cold=range(2))
        fleet.run(ms(400), FLOOD_S)
        for _ in range(2):
            fleet.restart(range(size))
            fleet.run(ms(1300), FLOOD_S)
        for number in range(2):
            case.assertLessEqual(fleet.most_in_a_second(number), ALLOWED, size)


def test_an_instance_that_has_just_started_need_not_wait() -> None:
    """Restarted instances must serve calls at once, though with fewer permits."""
    fleet = ColdFleet(4, endpoints=2, cold=range(2))
    fleet.run(ms(100), 10.0)
    fleet.restart(range(4))
    fleet.run(ms(500), 20.0)
    case.assertEqual(0, fleet.refused_calls)
    case.assertGreater(sum(fleet.arrival_rate(desk(n), ms(500)) for n in range(2)), 10)


def test_endpoints_that_restart_under_the_same_id_are_cold() -> None:
    """The permits of the former incarnation's requests must not be free again."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2)
        fleet.run(SECOND, FLOOD_S)
        for number in range(2):
            fleet.crash(number, ms(300))
        fleet.run(ms(300), FLOOD_S)
        started = fleet.network.now
        fleet.run(COLD_FOR, FLOOD_S)
        for number in range(2):
            most = fleet.most_in_a_second(number, started)
            case.assertLessEqual(most, ALLOWED, size)


def test_endpoints_of_a_zone_that_returns_are_taken_for_cold() -> None:
    """Nobody sent to an evacuated zone, and its rows may say nothing yet."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2)
        fleet.run(SECOND)
        fleet.end_evacuation()
        fleet.run(COLD_FOR, FLOOD_S)
        for number in range(2):
            case.assertLessEqual(fleet.most_in_a_second(number), ALLOWED, size)


def test_endpoints_that_nobody_confirms_are_taken_for_cold() -> None:
    """Without the store and peers, no row says that an endpoint has become cold."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2)
        fleet.run(SECOND)
        fleet.confirm_list(False)
        fleet.run(SECOND)
        fleet.become_cold(0)
        fleet.run(COLD_FOR, FLOOD_S)
        case.assertLessEqual(fleet.most_in_a_second(0), ALLOWED, size)


def test_instances_that_start_without_the_store_send_nothing_to_cold_endpoints() -> (
    None
):
    """They don't know among how many instances the permits are divided."""
    fleet = ColdFleet(9, endpoints=2, cold=range(2))
    fleet.store_answers = False
    fleet.run(ms(200), FLOOD_S)
    fleet.restart(range(9))
    before = sum(map(len, fleet.arrived.values()))
    fleet.run(COLD_FOR, FLOOD_S)
    case.assertEqual(before, sum(map(len, fleet.arrived.values())))


def test_zones_that_do_not_hear_each_other_keep_their_shares() -> None:
    """A part of the fleet must not divide all permits among its own instances."""
    fleet = ColdFleet(9, endpoints=2, gossiping=True)
    fleet.run(SECOND)
    fleet.cut_zones()
    fleet.run(timedelta(seconds=8))
    fleet.end_evacuation()
    fleet.run(COLD_FOR, FLOOD_S)
    for number in range(2):
        case.assertLessEqual(fleet.most_in_a_second(number), ALLOWED)


def test_requests_that_are_written_late_keep_the_bound() -> None:
    """Between counting and writing, a busy process may take some time."""
    for size in SIZES:
        fleet = ColdFleet(size, endpoints=2, cold=range(2))
        fleet.latest_write = ms(190)
        fleet.latest = ms(700)
        fleet.run(COLD_FOR, FLOOD_S)
        for number in range(2):
            case.assertLessEqual(fleet.most_in_a_second(number), ALLOWED, size)


def test_an_endpoint_with_a_rate_limit_that_is_cold_keeps_both_bounds() -> None:
    """A request needs a permit of both."""
    fleet = ColdFleet(4, endpoints=1, cold=[0])
    fleet.run(ms(10))
    fleet.state_limit(desk(0), 4.0)
    fleet.run(timedelta(seconds=8), 100.0)
    case.assertLessEqual(fleet.most_in_a_second(0), ALLOWED)
    case.assertLessEqual(fleet.limit_excess(desk(0)), 0)


load_tests = function_tests(__name__)
