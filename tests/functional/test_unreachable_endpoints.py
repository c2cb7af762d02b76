"""Tests of instances that reach no endpoint, as processes."""

from collections import Counter
from unittest import TestCase

from ..support.endpoint_cut import CutMode
from ..support.functions import function_tests
from ..support.plain_fleet import PlainFleet, plain_fleet

case = TestCase()

INSTANCES = 3
DESKS = 3
SETTLE_S = 3.0
"""Time from the beginning of a cut after which its instances must serve."""
SERVING_S = 3.0
RECOVERY_S = 2.0
LEAST_SHARE = 2 / 3


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
    runs = fleet.platform.log.runs
    once = Counter(run.request_id for run in runs if run.target == "/unsafe/1")
    case.assertEqual({1}, set(once.values()))


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


load_tests = function_tests(__name__)
