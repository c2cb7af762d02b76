"""Counting what an object holds, so that a test can see whether it grows."""

from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum

LEAVES = (str, bytes, int, float, type, Enum)


def count_reachable_items(root: object) -> int:
    """Return how many items all containers hold that can be reached from an object.

    Mappings, sets, lists, tuples, deques and the attributes of objects are followed;
    what several of them hold counts once.
    """
    seen: set[int] = set()
    waiting = deque([root])
    count = 0
    while waiting:
        found = waiting.popleft()
        if id(found) in seen or found is None or isinstance(found, LEAVES):
            continue
        seen.add(id(found))
        inner = list(parts_of(found))
        count += len(inner)
        waiting.extend(inner)
    return count


def parts_of(found: object) -> Iterable[object]:
    """Return what an object holds directly."""
    if isinstance(found, Mapping):
        return [*found.keys(), *found.values()]
    if isinstance(found, (list, tuple, set, frozenset, deque)):
        return found
    slots = getattr(type(found), "__slots__", ())
    named = [getattr(found, each, None) for each in slots if isinstance(each, str)]
    return [*named, *getattr(found, "__dict__", {}).values()]
