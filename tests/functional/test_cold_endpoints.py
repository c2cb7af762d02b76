"""Tests of endpoints that may be cold, with instances as processes."""

from dataclasses import replace
from datetime import timedelta
from unittest import TestCase

from mimosafork.standins.prepared.desk import Desk

from ..support.functions import function_tests
from ..support.plain_fleet import KEY, PlainFleet, plain_fleet
from ..support.prepared import DESKS, USUAL_CONFIG, call

case = TestCase()

INSTANCES = 3
COLD_FOR = timedelta(seconds=3)
COLD_PER_S = 2.0
BOUNDS = "cold_factor = 1.5\ncold_slack = 5"
ALLOWED = 8
"""Requests that a cold endpoint accepts within any second: 1.5 times the rate that its
service states, and five more."""
ENFORCED = "MF2801"
CONFIG = replace(
    USUAL_CONFIG,
    services=tuple(
        replace(each, cold_start_s=COLD_FOR.total_seconds(), cold_per_s=COLD_PER_S)
        if each.name == DESKS
        else each
        for each in USUAL_CONFIG.services
    ),
)


def let_become_cold(fleet: PlainFleet, desks: list[Desk]) -> float:
    """Let endpoints become cold; return when all instances know."""
    for desk in desks:
        desk.become_cold(COLD_FOR)
        fleet.platform.beat(desk)
    for instance in fleet.instances:
        instance.wait_until_logged(ENFORCED)
        instance.wait_until(
            lambda p=instance: cold_endpoints(p.metrics) == len(desks),  # type: ignore[misc]
            "knows the cold endpoints",
        )
    return desks[0].thread.call(desks[0].now_s)


def wait_until_warm(fleet: PlainFleet) -> None:
    """Wait until all instances take all endpoints for warm, as their rows say."""
    for instance in fleet.instances:
        instance.wait_until(
            lambda p=instance: cold_endpoints(p.metrics) == 0,  # type: ignore[misc]
            "takes all endpoints for warm",
        )


def cold_endpoints(metrics: str) -> float:
    """Return the number of endpoints that may be cold, as an instance shows it."""
    try:
        page = call(metrics, "GET", "/metrics").body.decode()
    except ConnectionError:
        # The page is served a little later than calls.
        return -1
    for line in page.splitlines():
        if line.startswith("mimosafork_endpoints_cold{") or line.startswith(
            "mimosafork_endpoints_cold "
        ):
            return float(line.rpartition(" ")[2])
    return -1


def most_in_a_second(fleet: PlainFleet, desk: Desk, since: float) -> int:
    """Return the most requests of an endpoint within any second."""
    runs = list(fleet.platform.log.runs)
    times = sorted(
        run.began_s
        for run in runs
        if run.instance == desk.id and since <= run.began_s < desk.cold_until_s
    )
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times), default=0
    )


def test_processes_keep_a_cold_endpoint_within_what_it_accepts() -> None:
    """Instances that each know that an endpoint is cold must not send too much."""
    with plain_fleet(INSTANCES, 2, CONFIG, BOUNDS) as fleet:
        wait_until_warm(fleet)
        cold, _ = fleet.desks
        since = let_become_cold(fleet, [cold])
        case.assertEqual({200}, set(fleet.send_calls(2.0)))
        most = most_in_a_second(fleet, cold, since)
        case.assertLessEqual(most, ALLOWED)
        case.assertGreater(most, 0)


def test_processes_refuse_what_no_cold_endpoint_accepts() -> None:
    """A cold endpoint must not be the last resort; callers learn when to return."""
    with plain_fleet(INSTANCES, 1, CONFIG, BOUNDS) as fleet:
        wait_until_warm(fleet)
        (cold,) = fleet.desks
        since = let_become_cold(fleet, [cold])
        statuses = fleet.send_calls(2.0)
        case.assertLessEqual(most_in_a_second(fleet, cold, since), ALLOWED)
        case.assertEqual({200, 503}, set(statuses))
        answers = [
            fleet.instances[0].ask("/safe/1", f"late-{number}", Authorization=KEY)
            for number in range(5)
        ]
        refused = [each for each in answers if each.status == 503]
        for each in refused:
            case.assertIn("retry-after", each.headers)


load_tests = function_tests(__name__)
