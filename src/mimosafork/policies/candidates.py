"""Endpoints that are looked at for one decision: all of a few, some of many."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import EndpointId, ModelId, ServiceId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint

SCANNED = 24
"""Up to so many endpoints all are looked at."""

DRAWN_NEAR = 8
DRAWN_FAR = 4
"""Endpoints drawn at random from a larger group, in the own availability zone and
outside it. The best of eight is among the best third in 96 of 100 draws."""

KEPT_FOR = timedelta(milliseconds=500)
"""Age at which the grouping by availability zone is made anew."""


class Group:
    """The endpoints of one target, by nearness."""

    def __init__(self, endpoints: list[Endpoint], own_zone: str, at: timedelta) -> None:
        self.size = len(endpoints)
        self.at = at
        self.near = [
            each for each in endpoints if each.entry.availability_zone == own_zone
        ]
        self.far = [
            each for each in endpoints if each.entry.availability_zone != own_zone
        ]


class Candidates:
    """Draws the endpoints of a decision.

    The cost of a decision does not grow with the fleet: groups are kept for a
    while, and a draw takes a fixed number of them.
    """

    def __init__(self) -> None:
        self.groups: dict[ModelId | ServiceId, Group] = {}

    def of(
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
        if group.size <= SCANNED:
            drawn = [*group.near, *group.far]
        else:
            drawn = _draw(group.near, DRAWN_NEAR, context)
            drawn += _draw(group.far, DRAWN_FAR, context)
            drawn += [serving[name] for name in wanted if name in serving]
        now = context.now
        usable = {
            each.endpoint_id: each
            for each in drawn
            if each.endpoint_id in serving and each.accepts_new_requests(now)
        }
        if not usable and group.size > SCANNED:
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
    ) -> Group:
        group = self.groups.get(target)
        stale = group is None or context.now - group.at > KEPT_FOR
        if group is None or stale or group.size != len(serving):
            zone = context.state.identity.availability_zone
            group = Group(list(serving.values()), zone, context.now)
            self.groups[target] = group
        return group


def _draw(endpoints: list[Endpoint], most: int, context: Context) -> list[Endpoint]:
    if len(endpoints) <= most:
        return list(endpoints)
    return context.random.sample(endpoints, most)
