"""Bounds on what peers cost an instance, by counted calls of functions."""

from functools import lru_cache

from .bounds import bound
from .instance_cost import Cost, cost_of, fleet_of

FEW, MANY, LARGE = 16, 64, 111
"""The last is beyond the size up to which everyone tells everyone."""
SPANS = 1


@lru_cache
def _cost(size: int, flooded: bool) -> Cost:
    return cost_of(fleet_of(size), flooded, SPANS)


def _calls_for_each(size: int, flooded: bool) -> float:
    cost = _cost(size, flooded)
    return cost.calls / (cost.received + cost.sent)


@bound("instance-calls-at-rest-by-peers", at_most=1.3)
def calls_at_rest_by_peers() -> float:
    """Return calls for a datagram at rest among 64 instances, over those among 16."""
    return _calls_for_each(MANY, False) / _calls_for_each(FEW, False)


@bound("instance-calls-for-a-heartbeat", at_most=75)
def calls_for_a_heartbeat() -> float:
    """Return calls for each datagram at rest among 64 instances, in and out."""
    return _calls_for_each(MANY, False)


@bound("instance-calls-for-a-word", at_most=110)
def calls_for_a_word() -> float:
    """Return calls for a datagram in a flood among 64 instances, places included."""
    return _calls_for_each(MANY, True)


@bound("instance-calls-in-a-large-flood", at_most=63_396)
def calls_in_a_large_flood() -> float:
    """Return calls for a second of a flood among 111 instances.

    The limit is 60% of the 105,660 calls, measured in the same way, at which a day of
    such a fleet was ended for its processor time.
    """
    return _cost(LARGE, True).calls


@bound("instance-wakes-for-heartbeats", at_most=0.75)
def wakes_for_heartbeats() -> float:
    """Return wake-ups at rest among 64 instances, over the datagrams that come."""
    cost = _cost(MANY, False)
    return cost.wakes / cost.received
