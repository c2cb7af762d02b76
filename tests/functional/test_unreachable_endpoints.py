"""Tests of instances that reach no endpoint, as processes."""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from unittest import TestCase

from ..support.endpoint_cut import CutMode
from ..support.functions import function_tests
from ..support.plain_fleet import PlainFleet, call, plain_fleet

case = TestCase()

INSTANCES = 3
DESKS = 3
SETTLE_S = 3.0
"""Time from the beginning of a cut after which its instances must serve."""
SERVING_S = 3.0
RECOVERY_S = 2.0
LEAST_SHARE = 2 / 3
DRAINING_S = 4.0
"""Past the time for which a stopping instance still accepts calls."""


def check_cut(fleet: PlainFleet, mode: CutMode) -> None:
    """Check that instances serve in a cut, and use the endpoints after it."""
    cut, rest = fleet.instances[:2], fleet.instances[2:]
    fleet.mixed = True
    fleet.send_calls(1.0)
    fleet.cut_off(cut, mode)
    fleet.send_calls(SETTLE_S)
    fleet.instances = cut
    statuses = Counter(fleet.send_calls(SERVING_S))
    case.assertGreaterEqual(statuses[200] / statuses.total(), LEAST_SHARE, statuses)
    fleet.instances = rest
    case.assertEqual({200}, set(fleet.send_calls(1.0)))
    fleet.instances = cut
    fleet.cut_off(cut, CutMode.NONE)
    fleet.send_calls(RECOVERY_S)
    case.assertEqual({200}, set(fleet.send_calls(1.0)))
    case.assertTrue(run_once(fleet))


def run_once(fleet: PlainFleet) -> bool:
    """Return whether no call that may run once at most has run twice."""
    runs = fleet.platform.log.runs
    once = Counter(run.request_id for run in runs if run.target == "/unsafe/1")
    return set(once.values()) <= {1}


def test_instances_serve_while_their_connections_to_endpoints_hang() -> None:
    """Callers of a partitioned instance are refused while its peers have capacity."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        check_cut(fleet, CutMode.SILENT)


def test_instances_serve_while_their_connections_to_endpoints_are_reset() -> None:
    """Callers of a partitioned instance are refused while its peers have capacity."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        check_cut(fleet, CutMode.RESET)


def test_instances_serve_while_new_connections_to_endpoints_are_refused() -> None:
    """An endpoint is ejected although open connections to it still work."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        check_cut(fleet, CutMode.NEW_REFUSED)


def test_calls_go_to_other_peers_when_one_is_killed() -> None:
    """All calls of a partitioned instance fail with the peer that runs them."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        cut, killed, _ = fleet.instances
        fleet.mixed = True
        fleet.cut_off([cut], CutMode.RESET)
        fleet.instances = [cut]
        fleet.send_calls(SETTLE_S)
        killed.process.kill()
        statuses = Counter(fleet.send_calls(SERVING_S))
        case.assertGreaterEqual(statuses[200] / statuses.total(), LEAST_SHARE, statuses)
        case.assertTrue(run_once(fleet))


def test_an_instance_that_starts_in_a_cut_serves_through_its_peers() -> None:
    """A restarted instance has no connections, and no failures to conclude from."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        first, *_ = fleet.instances
        fleet.cut_off([first], CutMode.SILENT)
        first.restart()
        first.wait_until_ready()
        fleet.instances = [first]
        fleet.send_calls(SETTLE_S)
        statuses = Counter(fleet.send_calls(SERVING_S))
        case.assertGreaterEqual(statuses[200] / statuses.total(), LEAST_SHARE, statuses)


def test_a_peer_that_stops_finishes_the_calls_that_it_runs_for_others() -> None:
    """A planned stop cuts calls whose callers are connected to another instance."""
    for stopped in (0, 1):
        with plain_fleet(2, 1) as fleet, ThreadPoolExecutor(1) as pool:
            cut, peer = fleet.instances
            fleet.cut_off([cut], CutMode.RESET)
            fleet.instances = [cut]
            fleet.send_calls(SETTLE_S)
            (desk,) = fleet.desks
            desk.hold()
            result = pool.submit(call, cut, "held", True)
            fleet.platform.log.wait_until(lambda log: len(log.of("held")) == 1)
            (cut, peer)[stopped].process.signal(signal.SIGTERM)
            time.sleep(DRAINING_S)
            desk.let_go()
            case.assertEqual(200, result.result())


load_tests = function_tests(__name__)
