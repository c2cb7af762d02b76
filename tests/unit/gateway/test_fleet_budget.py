"""Tests of the budget of repeats that all instances of a fleet share.

What a fleet may repeat in ten seconds is a ratio of its requests and a slack. The
endpoints that the instances have here turn every call away.
"""

from datetime import timedelta
from unittest import TestCase

from ...support.functions import function_tests
from ...support.gossip_network import ms
from ...support.retrying_fleet import RetryingFleet

case = TestCase()

CALM = timedelta(seconds=12)
"""Longer than a window: whatever a life may spend only later it may spend now."""

FLOOD = timedelta(seconds=13)
INSTANCES = 24
SLACK = 124.0
CALLS_S = 80.0

FEW = 12
FEW_SLACK = 100.0
FEW_CALLS_S = 30.0


def test_instances_keep_their_budget_though_words_come_late() -> None:
    """The endpoints go under in a flood, by calls that are sent again and again.

    All engines are full and turn calls away, at instances that are busy with the flood
    themselves. Each spent from one sum over all, of which it heard too late: 399
    arrivals beyond the first of their call in ten seconds, where 373 are allowed.
    """
    for lag in (ms(0), ms(600), ms(2000)):
        fleet = RetryingFleet(INSTANCES, SLACK, lag)
        fleet.run(CALM)
        fleet.run(FLOOD, CALLS_S)
        case.assertLessEqual(fleet.worst_window(), 0, lag)


def test_lives_that_begin_anew_keep_what_the_former_ones_spent() -> None:
    """All instances are killed while their calls are turned away, and come back.

    Nobody remembers what was sent before; the new lives spent the whole slack a second
    time within the same ten seconds, on engines that the returning callers had filled.
    """
    fleet = RetryingFleet(FEW, FEW_SLACK)
    fleet.run(CALM)
    fleet.run(timedelta(seconds=4), FEW_CALLS_S)
    fleet.restart(range(FEW))
    fleet.run(timedelta(seconds=8), FEW_CALLS_S)
    case.assertLessEqual(fleet.worst_window(), 0)


def test_one_life_after_another_spends_no_further_share() -> None:
    """An instance is restarted again and again, and repeats as if it were the first.

    Its peers divide the budget among those that they know; each new life of the same
    instance took its part anew, three times within one window.
    """
    fleet = RetryingFleet(FEW, FEW_SLACK)
    fleet.run(CALM)
    for _ in range(4):
        fleet.run(timedelta(seconds=2), FEW_CALLS_S)
        fleet.restart(range(0, FEW, 2))
    fleet.run(timedelta(seconds=4), FEW_CALLS_S)
    case.assertLessEqual(fleet.worst_window(), 0)


def test_parts_of_a_cut_fleet_keep_the_budget_together() -> None:
    """Zones are cut off from each other, and each spends the budget of all.

    Instances that were started behind the cut never heard of the other zones. They
    counted only those that they heard, and divided the slack among too few.
    """
    for store_answers in (True, False):
        fleet = RetryingFleet(FEW, FEW_SLACK)
        fleet.run(CALM)
        zones = {e.exchange.me.address: e.exchange.me.zone for e in fleet.instances}
        fleet.network.cut = lambda a, b, zones=zones: zones[a] != zones[b]  # type: ignore[misc]
        fleet.store_answers = store_answers
        fleet.restart(range(FEW))
        fleet.run(CALM)
        fleet.run(FLOOD, FEW_CALLS_S)
        case.assertLessEqual(fleet.worst_window(), 0, store_answers)


def test_those_replaced_behind_a_cut_keep_the_budget_together() -> None:
    """Machines are replaced while zones are cut off, and endpoints get too much.

    The slack has fewer repeats than there are instances, and goes to the first by name.
    Those that are killed had no part; the new ones know all by the store's rows, and
    their names go before others that have a part and don't hear of them.
    """
    instances, slack = 12, 8.0
    for is_cut in (False, True):
        fleet = RetryingFleet(instances, slack)
        fleet.run(CALM)
        if is_cut:
            fleet.cut_zones()
        fleet.replace(range(6, 10))
        fleet.run(FLOOD)
        for number in range(instances):
            fleet.call(number)
        fleet.run(timedelta(seconds=4))
        case.assertLessEqual(fleet.worst_window(), 0, is_cut)


def test_a_fleet_uses_what_it_may() -> None:
    """Calls fail though their repeats were allowed and endpoints had room.

    A budget that holds by giving nothing away would keep each test above. Repeats that
    are late are spread over further windows, and none of these is full; here none is.
    """
    fleet = RetryingFleet(FEW, FEW_SLACK)
    fleet.latest = timedelta(0)
    fleet.run(CALM)
    fleet.run(FLOOD, FEW_CALLS_S)
    case.assertGreaterEqual(fleet.worst_window(), -0.25 * FEW_SLACK)


load_tests = function_tests(__name__)
