"""Selects the endpoints that one decision considers: all of a few, a sample of many."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import EndpointId, ModelId, ServiceId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint

FULL_SCAN_LIMIT = 24
"""Groups of up to this many endpoints are considered in full."""

SAME_ZONE_SAMPLE = 8
OTHER_ZONE_SAMPLE = 4
"""Endpoints sampled from a larger group, in this availability zone and outside it.
The best of eight is among the best third in 96 of 100 samples."""

GROUP_TTL = timedelta(milliseconds=500)
"""Age at which the grouping by availability zone is rebuilt."""


class TargetEndpoints:
    """The endpoints of one target, split by availability zone."""

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
    """Selects the endpoints that a decision considers.

    The cost of a decision does not grow with the fleet: groups are cached, and a
    sample has a fixed size.
    """

    def __init__(self) -> None:
        self.groups: dict[ModelId | ServiceId, TargetEndpoints] = {}

    def select(
        self,
        target: ModelId | ServiceId,
        wanted: Iterable[EndpointId],
        context: Context,
    ) -> list[Endpoint]:
        """Return endpoints that serve a target and accept new requests.

        Parameters
        ----------
        wanted : iterable of EndpointId
            Always considered, such as those that have the prompt cached.
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
            # Most of a large group may be draining or unreachable. Scan all of it
            # rather than refuse a request that some endpoint could accept.
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
