"""Tests of an instance that gets most new connections, with instances as processes."""

import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from unittest import TestCase

from ..support.functions import function_tests
from ..support.plain_fleet import PlainFleet, call, plain_fleet

case = TestCase()

INSTANCES = 3
DESKS = 4
CALLERS = 160
CALLS_S = 48.0
LEARN_S = 6.0
"""Time in which the instances learn the limits and their shares."""

EVENLY_S = 5.0
CROWDED_S = 8.0
CROWD_FACTOR = 1.5
CROWD = (0,) * 18 + (1, 2)
"""Instances of consecutive calls: nine tenths go to the first one."""

SETTLE_S = 3.0
LEAST_SHARE = 0.75
"""Served first tries from the settling time on, beside those before the crowd."""

LIMIT_S = 20


@dataclass(frozen=True, slots=True)
class Try:
    """A first try, sent some seconds after the beginning."""

    after_s: float
    status: "Future[int]"


def send(
    fleet: PlainFleet, order: Sequence[int], calls_s: float, seconds: float
) -> list[Try]:
    """Send first tries to instances in an order, each on a connection of its own."""
    tries = []
    with ThreadPoolExecutor(CALLERS) as pool:
        begun = time.monotonic()
        for number in range(int(seconds * calls_s)):
            time.sleep(max(0.0, begun + number / calls_s - time.monotonic()))
            instance = fleet.instances[order[number % len(order)]]
            name, once = f"c{next(fleet.numbers)}", number % 2 == 0
            status = pool.submit(call, instance, name, once)
            tries.append(Try(time.monotonic() - begun, status))
    return tries


def served_share(tries: Sequence[Try]) -> float:
    """Return the share of tries that were served."""
    return sum(each.status.result() == 200 for each in tries) / len(tries)


def check_crowd(fleet: PlainFleet) -> None:
    """Check that the first tries of a crowd at one instance are served."""
    send(fleet, range(INSTANCES), CALLS_S, LEARN_S)
    before = served_share(send(fleet, range(INSTANCES), CALLS_S, EVENLY_S))
    tries = send(fleet, CROWD, CALLS_S * CROWD_FACTOR, CROWDED_S)
    crowded = served_share([each for each in tries if each.after_s >= SETTLE_S])
    case.assertGreaterEqual(crowded, LEAST_SHARE * before, before)


def test_an_instance_with_most_connections_serves_them() -> None:
    """The balancer sends most new connections to one instance for some seconds."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        check_crowd(fleet)


def test_an_instance_with_most_connections_uses_more_than_its_share_of_limits() -> None:
    """Shares of rate limits stay unused at the instances without callers."""
    with plain_fleet(INSTANCES, DESKS) as fleet:
        for desk in fleet.desks:
            desk.state_limit(f"{LIMIT_S}")
        check_crowd(fleet)


load_tests = function_tests(__name__)
