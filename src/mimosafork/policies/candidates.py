"""Endpoints that are looked at for one decision: all of a few, some of many."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import EndpointId, ModelId, ServiceId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint

FULL_SCAN_LIMIT = 24
"""Up to so many endpoints all are looked at."""

SAME_ZONE_SAMPLE = 8
OTHER_ZONE_SAMPLE = 4
"""Endpoints drawn at random from a larger group, in the own availability zone and
outside it. The best of eight is among the best third in 96 of 100 draws."""

GROUP_TTL = timedelta(milliseconds=500)
"""Age at which the grouping by availability zone is made anew."""


class TargetEndpoints:
    """The endpoints of one target, by nearness."""

    def __init__(self, endpoints: list[Endpoint], own_zone: str, at: timedelta) -> None:
        self.size = len(endpoints)
        self.at = at
        self.same_zone = [
            each for each in endpoints if each.entry.availability_zone == own_zone
        ]
        self.other_zones = [
            each for each in endpoints if each.entry.availability_zone != own_zone
        ]


class Candidates:
    """Draws the endpoints of a decision.

    The cost of a decision does not grow with the fleet: groups are kept for a
    while, and a draw takes a fixed number of them.
    """

    def __init__(self) -> None:
        self.groups: dict[ModelId | ServiceId, TargetEndpoints] = {}

    def select(
        self,
        target: ModelId | ServiceId,
        wanted: Iterable[EndpointId],
        context: Context,
    ) -> list[Endpoint]:
        """Return endpoints that serve a target and take new work.

        Parameters
        ----------
        wanted : iterable of EndpointId
            Always looked at, such as those that have the prompt cached.
        """
        serving = context.state.fleet.by_target.get(target, {})
        group = self._group(target, serving, context)
        if group.size <= FULL_SCAN_LIMIT:
            drawn = [*group.same_zone, *group.other_zones]
        else:
            drawn = _sample(group.same_zone, SAME_ZONE_SAMPLE, context)
            drawn += _sample(group.other_zones, OTHER_ZONE_SAMPLE, context)
            drawn += [serving[name] for name in wanted if name in serving]
        now = context.now
        usable = {
            each.endpoint_id: each
            for each in drawn
            if each.endpoint_id in serving and each.accepts_new_requests(now)
        }
        if not usable and group.size > FULL_SCAN_LIMIT:
            # Most of a large group may be leaving or out of reach; then all are
            # looked at rather than a request refused while some could take it.
            usable = {
                name: each
                for name, each in serving.items()
                if each.accepts_new_requests(now)
            }
        return list(usable.values())

    def _group(
        self,
        target: ModelId | ServiceId,
        serving: dict[EndpointId, Endpoint],
        context: Context,
    ) -> TargetEndpoints:
        group = self.groups.get(target)
        stale = group is None or context.now - group.at > GROUP_TTL
        if group is None or stale or group.size != len(serving):
            zone = context.state.identity.availability_zone
            group = TargetEndpoints(list(serving.values()), zone, context.now)
            self.groups[target] = group
        return group


def _sample(endpoints: list[Endpoint], most: int, context: Context) -> list[Endpoint]:
    if len(endpoints) <= most:
        return list(endpoints)
    return context.random.sample(endpoints, most)
