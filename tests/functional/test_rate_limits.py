"""Tests of endpoints that state a rate limit, with instances as processes."""

from unittest import TestCase

from mimosafork.standins.prepared.desk import Desk

from ..support.functions import function_tests
from ..support.plain_fleet import PlainFleet, plain_fleet

case = TestCase()

INSTANCES = 3
LIMIT_S = 1.0
WINDOW_S = 4.0
ALLOWED = 11
"""Requests within a window: 1.5 times what the limit takes in it, and five more."""
LEARN_S = 1.0
"""Time in which each instance passes on a response with the limit."""


def arrivals(fleet: PlainFleet, desk: Desk) -> list[float]:
    """Return when requests reached an endpoint."""
    runs = list(fleet.platform.log.runs)
    return sorted(run.began_s for run in runs if run.instance == desk.id)


def test_processes_keep_the_limit_of_an_endpoint_together() -> None:
    """Instances that each know an endpoint's limit must not exceed it together."""
    with plain_fleet(INSTANCES, desks=2) as fleet:
        limited, _ = fleet.desks
        limited.state_limit(f"{LIMIT_S}")
        fleet.send_calls(LEARN_S)
        since = limited.thread.call(limited.now_s)
        statuses = fleet.send_calls(2 * WINDOW_S)
        case.assertEqual({200}, set(statuses))
        times = [at for at in arrivals(fleet, limited) if at >= since]
        for start in times:
            within = sum(start <= at < start + WINDOW_S for at in times)
            case.assertLessEqual(within, ALLOWED)


def test_processes_use_an_endpoint_again_after_its_limit() -> None:
    """Instances must learn that a limit has ended, those without a share as well."""
    with plain_fleet(INSTANCES, desks=2) as fleet:
        limited, _ = fleet.desks
        limited.state_limit(f"{LIMIT_S}")
        fleet.send_calls(LEARN_S)
        limited.state_limit(None)
        fleet.send_calls(WINDOW_S)
        since = limited.thread.call(limited.now_s)
        fleet.send_calls(LEARN_S)
        times = [at for at in arrivals(fleet, limited) if at >= since]
        case.assertGreater(len(times), ALLOWED)


load_tests = function_tests(__name__)
