"""Which engines an instance of a large fleet uses, and which instances share them.

Instances and engines stand in orders that all work out alike from their names. Of n
instances the r-th takes the engines that follow place r / n of the engines' order, so
that each engine is used by as many instances as any other, and two that share an engine
are neighbours. Nobody has to agree; a change shifts each subset by a place or two.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from zlib import crc32

import msgspec

from ..ids import EndpointId, InstanceId
from .choice import EngineView

SUBSET_SIZE = 10
"""Engines that an instance uses: enough to read a prompt of 260,000 tokens in time.
195 instances before 112 engines share them with some 35 others each, and an instance
tells of its works 35 times, not 194."""
MIN_ENGINES_FOR_SUBSETS = 2 * SUBSET_SIZE
"""Among fewer, subsets would hardly be smaller than the whole."""


RANK_CACHE_SIZE = 4_096
"""Engines whose place in the order is kept; more than one instance ever sees."""


SUBSET_CRC_SEED = 1
"""Where the checksum for the subsets starts, so that it orders engines otherwise."""


@lru_cache(RANK_CACHE_SIZE)
def engine_rank(endpoint: EndpointId) -> tuple[int, EndpointId]:
    """Return what an engine's place goes by in the order from short to long prompts."""
    return crc32(endpoint.encode()), endpoint


@lru_cache(RANK_CACHE_SIZE)
def subset_rank(endpoint: EndpointId) -> tuple[int, EndpointId]:
    """Return what an engine's place goes by in the order that subsets are cut from.

    Guard: short prompts go to the front of an instance's engines and long ones to the
    back, which keeps reading away from answers. With one order for both, an engine at
    the front of one subset is at the back of its neighbour's, and each engine reads
    long prompts between the events of short answers.
    """
    return crc32(endpoint.encode(), SUBSET_CRC_SEED), endpoint


class InstanceOrder(msgspec.Struct, frozen=True):
    """The living instances of a fleet, in their order.

    Attributes
    ----------
    places : dict of InstanceId to int
        Each instance's place.
    """

    positions: dict[InstanceId, int]

    @classmethod
    def of(cls, instances: Iterable[InstanceId]) -> "InstanceOrder":
        """Put instances in order."""
        ordered = sorted(set(instances), key=lambda each: (crc32(each.encode()), each))
        return cls({each: place for place, each in enumerate(ordered)})

    def first_engine(self, instance: InstanceId, engines: int) -> int:
        """Return the place of an instance's first engine among so many."""
        return self.positions[instance] * engines // len(self.positions)

    def users(self, place: int, engines: int) -> list[InstanceId]:
        """Return the instances whose subset has the engine at a place."""
        return [
            each
            for each in self.positions
            if (place - self.first_engine(each, engines)) % engines < SUBSET_SIZE
        ]


def own_engines(
    order: InstanceOrder, own: InstanceId, views: Sequence[EngineView]
) -> list[EngineView]:
    """Return the engines that an instance uses: the first sound ones from its place on.

    Where several of its own are down or suspected, behind a cut for example, the next
    ones stand in; all are returned where too few are sound.
    """
    ranked = sorted(views, key=lambda view: subset_rank(view.endpoint))
    first = order.first_engine(own, len(ranked))
    turned = ranked[first:] + ranked[:first]
    sound = [view for view in turned if view.usable and not view.suspect]
    return sound[:SUBSET_SIZE] if len(sound) >= SUBSET_SIZE else list(views)
