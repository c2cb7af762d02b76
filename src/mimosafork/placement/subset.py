"""Engine subsets of the instances of a large fleet.

Every instance sorts instances and engines alike, by their ids. Of n instances the r-th
takes the engines that follow position r / n of the engine order, so that all engines
are used by equally many instances, and instances that share an engine are neighbours.
No coordination is needed, and a membership change shifts each subset by one or two
positions.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from zlib import crc32

import msgspec

from ..ids import EndpointId, InstanceId
from .choice import EngineView

SUBSET_SIZE = 10
"""Engines that an instance uses: enough to prefill a prompt of 260,000 tokens in time.
With 195 instances and 112 engines an instance shares engines with some 35 others, so
that it sends its reports to 35 peers instead of 194."""
MIN_ENGINES_FOR_SUBSETS = 2 * SUBSET_SIZE
"""With fewer engines, subsets would hardly be smaller than the whole."""


RANK_CACHE_SIZE = 4_096
"""Engines whose rank is cached; more than one instance ever uses."""


SUBSET_CRC_SEED = 1
"""Initial value of the checksum for subsets, for an order independent of `engine_rank`.
"""


@lru_cache(RANK_CACHE_SIZE)
def engine_rank(endpoint: EndpointId) -> tuple[int, EndpointId]:
    """Return the sort key of an engine in the order from short to long prompts."""
    return crc32(endpoint.encode()), endpoint


@lru_cache(RANK_CACHE_SIZE)
def subset_rank(endpoint: EndpointId) -> tuple[int, EndpointId]:
    """Return the sort key of an engine in the order that subsets are cut from.

    Short prompts go to the front of an instance's engines and long ones to the back,
    which keeps prefill away from decoding. Without a second order, an engine at the
    front of one subset would be at the back of its neighbour's, and each engine would
    prefill long prompts between the events of short answers.
    """
    return crc32(endpoint.encode(), SUBSET_CRC_SEED), endpoint


@lru_cache(RANK_CACHE_SIZE)
def distance_to_engine(
    instance: InstanceId, engine: EndpointId
) -> tuple[int, InstanceId]:
    """Return the sort key of an instance by its distance to an engine.

    Instances whose subset has the engine are mostly the nearest. The key depends on
    nothing that instances may know differently.
    """
    position = crc32(instance.encode())
    return (crc32(engine.encode(), SUBSET_CRC_SEED) - position) % 2**32, instance


class InstanceOrder(msgspec.Struct, frozen=True):
    """The live instances of a fleet, in the shared order.

    Attributes
    ----------
    positions : dict of InstanceId to int
        Each instance's position.
    """

    positions: dict[InstanceId, int]

    @classmethod
    def of(cls, instances: Iterable[InstanceId]) -> "InstanceOrder":
        """Return the order of some instances."""
        ordered = sorted(set(instances), key=lambda each: (crc32(each.encode()), each))
        return cls({each: position for position, each in enumerate(ordered)})

    def first_engine(self, instance: InstanceId, engines: int) -> int:
        """Return the position of an instance's first engine.

        Parameters
        ----------
        engines : int
            Number of all engines.
        """
        return self.positions[instance] * engines // len(self.positions)

    def users(self, position: int, engines: int) -> list[InstanceId]:
        """Return the instances whose subset has the engine at a position."""
        return [
            each
            for each in self.positions
            if (position - self.first_engine(each, engines)) % engines < SUBSET_SIZE
        ]


def own_engines(
    order: InstanceOrder, own: InstanceId, views: Sequence[EngineView]
) -> list[EngineView]:
    """Return the subset of an instance: the first healthy engines from its position on.

    Engines that are down or suspected, behind a network partition for example, are
    replaced by the next ones; all engines are returned if too few are healthy.
    """
    ranked = sorted(views, key=lambda view: subset_rank(view.endpoint))
    first = order.first_engine(own, len(ranked))
    rotated = ranked[first:] + ranked[:first]
    healthy = [view for view in rotated if view.usable and not view.suspect]
    return healthy[:SUBSET_SIZE] if len(healthy) >= SUBSET_SIZE else list(views)
