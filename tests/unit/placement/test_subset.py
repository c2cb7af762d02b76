"""Tests of the engine subsets of the instances of a large fleet."""

from collections import Counter
from random import Random
from statistics import pstdev
from unittest import TestCase

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId
from mimosafork.placement.choice import EngineView
from mimosafork.placement.subset import (
    SUBSET_SIZE,
    InstanceOrder,
    engine_rank,
    own_engines,
    subset_rank,
)

from ...support.functions import function_tests

case = TestCase()

INSTANCES = [InstanceId(f"front-{number}") for number in range(195)]
ENGINES = 112
ZONE = AvailabilityZoneId("z")


def views(down: frozenset[int] = frozenset()) -> list[EngineView]:
    """Return all engines, some of them unusable."""
    return [
        EngineView(EndpointId(f"i-{n}"), f"10.0.0.{n}:80", ZONE, 5, n not in down)
        for n in range(ENGINES)
    ]


def test_engines_have_equally_many_users() -> None:
    order = InstanceOrder.of(INSTANCES)
    users_by_engine = Counter(
        view.endpoint
        for each in INSTANCES
        for view in own_engines(order, each, views())
    )
    case.assertEqual(ENGINES, len(users_by_engine))
    case.assertLessEqual(
        max(users_by_engine.values()) - min(users_by_engine.values()), 2
    )
    case.assertEqual(len(INSTANCES) * SUBSET_SIZE, sum(users_by_engine.values()))


def test_the_order_does_not_depend_on_the_order_of_discovery() -> None:
    shuffled = list(INSTANCES)
    Random(3).shuffle(shuffled)
    case.assertEqual(InstanceOrder.of(INSTANCES), InstanceOrder.of(shuffled))


def test_reports_go_to_the_users_of_an_engine() -> None:
    """A request is reported to the instances that may choose its engine only."""
    order = InstanceOrder.of(INSTANCES)
    ranked = sorted(subset_rank(view.endpoint) for view in views())
    subsets = {
        each: {view.endpoint for view in own_engines(order, each, views())}
        for each in INSTANCES
    }
    for place, (_, engine) in enumerate(ranked):
        users = {each for each, subset in subsets.items() if engine in subset}
        case.assertEqual(users, set(order.users(place, ENGINES)))


def test_all_users_send_prompts_of_similar_length_to_an_engine() -> None:
    """Guards against short answers that pause during the prefill of long prompts.

    Each instance sends short prompts to the front of its engines. An engine at the
    front for one instance and at the back for the next has both. With one order for
    subsets and prompt lengths the positions of an engine were spread over the whole
    order (mean deviation 0.26 of it); half as much keeps most engines to one kind.
    """
    order = InstanceOrder.of(INSTANCES)
    positions: dict[EndpointId, list[float]] = {}
    for each in INSTANCES:
        subset = own_engines(order, each, views())
        ranked = sorted(subset, key=lambda view: engine_rank(view.endpoint))
        for index, view in enumerate(ranked):
            positions.setdefault(view.endpoint, []).append(index / SUBSET_SIZE)
    spread = sum(pstdev(each) for each in positions.values()) / len(positions)
    case.assertLess(spread, 0.14)


def test_a_new_instance_shifts_subsets_only_slightly() -> None:
    """Running requests are known only to the instances that already got reports."""
    before = InstanceOrder.of(INSTANCES[1:])
    after = InstanceOrder.of(INSTANCES)
    kept = [
        len(
            {view.endpoint for view in own_engines(before, each, views())}
            & {view.endpoint for view in own_engines(after, each, views())}
        )
        for each in INSTANCES[1:]
    ]
    case.assertGreaterEqual(min(kept), SUBSET_SIZE - 1)


def test_the_next_engines_replace_those_that_are_down() -> None:
    """A network partition takes a fifth of the engines, and most of some subsets."""
    order = InstanceOrder.of(INSTANCES)
    down = frozenset(range(0, ENGINES, 5))
    for each in INSTANCES:
        subset = own_engines(order, each, views(down))
        case.assertEqual(SUBSET_SIZE, len(subset))
        case.assertTrue(all(view.usable for view in subset))


def test_all_engines_are_used_if_too_few_are_healthy() -> None:
    order = InstanceOrder.of(INSTANCES)
    down = frozenset(range(SUBSET_SIZE - 1, ENGINES))
    subset = own_engines(order, INSTANCES[0], views(down))
    case.assertEqual(ENGINES, len(subset))


load_tests = function_tests(__name__)
