"""Tests of which engines an instance of a large fleet uses, and who shares them."""

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


def test_every_engine_is_used_by_as_many_instances() -> None:
    order = InstanceOrder.of(INSTANCES)
    used = Counter(
        view.endpoint
        for each in INSTANCES
        for view in own_engines(order, each, views())
    )
    case.assertEqual(ENGINES, len(used))
    case.assertLessEqual(max(used.values()) - min(used.values()), 2)
    case.assertEqual(len(INSTANCES) * SUBSET_SIZE, sum(used.values()))


def test_all_agree_whoever_hears_of_instances_in_whatever_order() -> None:
    shuffled = list(INSTANCES)
    Random(3).shuffle(shuffled)
    case.assertEqual(InstanceOrder.of(INSTANCES), InstanceOrder.of(shuffled))


def test_those_who_use_an_engine_are_those_who_are_told() -> None:
    """A work on an engine is told to those who may choose it, and to nobody else."""
    order = InstanceOrder.of(INSTANCES)
    ranked = sorted(subset_rank(view.endpoint) for view in views())
    subsets = {
        each: {view.endpoint for view in own_engines(order, each, views())}
        for each in INSTANCES
    }
    for place, (_, engine) in enumerate(ranked):
        users = {each for each, subset in subsets.items() if engine in subset}
        case.assertEqual(users, set(order.users(place, ENGINES)))


def test_an_engine_takes_prompts_of_one_kind_from_all_who_use_it() -> None:
    """Answers to short prompts pause for as long as their engine reads a long one.

    Each instance sends short prompts to the front of its engines. Where an engine at
    the front for one is at the back for the next, it has both. By one order for subsets
    and kinds the places of an engine were spread over the whole of the order (mean
    deviation 0.26 of it); half as much keeps most engines to one kind.
    """
    order = InstanceOrder.of(INSTANCES)
    places: dict[EndpointId, list[float]] = {}
    for each in INSTANCES:
        subset = own_engines(order, each, views())
        ranked = sorted(subset, key=lambda view: engine_rank(view.endpoint))
        for index, view in enumerate(ranked):
            places.setdefault(view.endpoint, []).append(index / SUBSET_SIZE)
    spread = sum(pstdev(each) for each in places.values()) / len(places)
    case.assertLess(spread, 0.14)


def test_one_instance_more_moves_few_subsets_by_much() -> None:
    """An instance comes, and works that run are known only to those told before."""
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


def test_the_next_engines_stand_in_for_those_that_are_down() -> None:
    """A cut takes a fifth of the engines, and with them most of some subsets."""
    order = InstanceOrder.of(INSTANCES)
    down = frozenset(range(0, ENGINES, 5))
    for each in INSTANCES:
        subset = own_engines(order, each, views(down))
        case.assertEqual(SUBSET_SIZE, len(subset))
        case.assertTrue(all(view.usable for view in subset))


def test_all_are_used_where_too_few_are_sound() -> None:
    order = InstanceOrder.of(INSTANCES)
    down = frozenset(range(SUBSET_SIZE - 1, ENGINES))
    subset = own_engines(order, INSTANCES[0], views(down))
    case.assertEqual(ENGINES, len(subset))


load_tests = function_tests(__name__)
