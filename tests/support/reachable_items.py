"""Counting the items reachable from an object, to detect growth in tests."""

from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum

LEAF_TYPES = (str, bytes, int, float, type, Enum)


def count_reachable_items(root: object) -> int:
    """Return the number of items in all containers reachable from an object.

    Mappings, sets, lists, tuples, deques and attributes of objects are followed; a
    shared container is visited once.
    """
    seen: set[int] = set()
    waiting = deque([root])
    count = 0
    while waiting:
        found = waiting.popleft()
        if id(found) in seen or found is None or isinstance(found, LEAF_TYPES):
            continue
        seen.add(id(found))
        inner = list(direct_items(found))
        count += len(inner)
        waiting.extend(inner)
    return count


def direct_items(found: object) -> Iterable[object]:
    """Return the items directly contained in an object."""
    if isinstance(found, Mapping):
        return [*found.keys(), *found.values()]
    if isinstance(found, (list, tuple, set, frozenset, deque)):
        return found
    slots = getattr(type(found), "__slots__", ())
    named = [getattr(found, each, None) for each in slots if isinstance(each, str)]
    return [*named, *getattr(found, "__dict__", {}).values()]
