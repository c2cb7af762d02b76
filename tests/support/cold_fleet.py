"""Simulated fleet in front of endpoints that may be cold, in virtual time."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import cast

from msgspec.structs import replace

from mimosafork.gateway.fleet_shares import FleetShares
from mimosafork.gateway.policies.cold_endpoints import ColdEndpoints
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.gossip.service import Gossip
from mimosafork.ids import AvailabilityZoneId, EndpointId, Revision
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.routing import (
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuationEnded,
)
from mimosafork.routing.listing import ListedEndpoint
from mimosafork.routing.table import ClientLimits, RoutingTable, Service

from .gateway_kernels import PLAIN_SERVICE, ZONE, digest_of, listed
from .gossip_network import ms
from .limited_fleet import LimitedFleet, LimitedInstance, desk
from .retrying_fleet import SLOTS, RetryingInstance

COLD_FOR = timedelta(seconds=3)
COLD_PER_S = 26.0
FACTOR = 1.5
SLACK = 5.0
ALLOWED = 44
"""Requests that an endpoint accepts within any second while it is cold."""

WINDOW = timedelta(seconds=1)
REPORT_INTERVAL = ms(1200)
"""Time after which the row of an endpoint says that it has become cold or warm."""

OLD_ENOUGH = timedelta(minutes=1)
BEGINNING = timedelta(0)


def cold_table(per_s: float = COLD_PER_S) -> RoutingTable:
    """Return a configuration whose cold endpoints accept only a low rate."""
    service = Service(PLAIN_SERVICE, "/healthz", 200, None, COLD_FOR, per_s)
    return RoutingTable(Revision(1), (), {PLAIN_SERVICE: service}, ClientLimits(), ())


@dataclass
class SimulatedDesk:
    """An endpoint, as it is and as its row says.

    Attributes
    ----------
    started_at : timedelta
    cold_until : timedelta
    down_until : timedelta
    row : ListedEndpoint
        As the instances that follow the store know it.
    row_due : list of timedelta
        When the row is written again.
    """

    started_at: timedelta
    row: ListedEndpoint
    cold_until: timedelta = timedelta(0)
    down_until: timedelta = timedelta(0)
    row_due: list[timedelta] = field(default_factory=list)


class ColdInstance(LimitedInstance):
    """One incarnation of an instance with the bound of cold endpoints."""

    fleet: "ColdFleet"

    def __init__(
        self, fleet: "ColdFleet", number: int, is_first_incarnation: bool
    ) -> None:
        super().__init__(fleet, number, is_first_incarnation)
        self.shares = FleetShares(fleet.network.clock)
        if is_first_incarnation:
            self.shares.created_at -= OLD_ENOUGH
        census = self.exchange.roster.census
        self.shares.gossip = cast(
            Gossip,
            SimpleNamespace(
                census=census,
                instance=self.exchange.me.instance,
                clock=fleet.network.clock,
            ),
        )
        self.permits = SendPermits.of(self.kernel.plugin)
        self.cold: ColdEndpoints = self.permits.cold
        self.cold.share_of = self.shares.of_cold_endpoint
        self.cold.unconfirmed = lambda: not fleet.list_confirmed
        self.cold.set_bound(FACTOR, SLACK, self.now)
        for each in fleet.desks.values():
            self.handle(EndpointUsable(each.row))
        self.handle(RoutingTableChanged(cold_table()))

    def send(self, effect: Dispatch) -> None:
        """Send a request, if the endpoint's permits still admit it."""
        now = self.now
        objection = self.permits.objection(effect, now)
        if objection is not None:
            self.later(now, failure(effect, objection, Exposure.NEVER_SENT))
            return
        if now < self.fleet.desks[effect.endpoint].down_until:
            kind = FailureKind.UNREACHED
            self.later(now + ms(2), failure(effect, kind, Exposure.NEVER_SENT))
            return
        sent_at = now + self.fleet.writing_time()
        at = self.fleet.arrives(self, effect, sent_at)
        self.respond(at + ms(30), lambda: self.receive(effect, sent_at))


class ColdFleet(LimitedFleet):
    """Instances in front of endpoints that may be cold.

    Attributes
    ----------
    desks : dict of EndpointId to SimulatedDesk
    list_confirmed : bool
        Whether the store or a peer confirms the list of endpoints.
    known_cold : dict of EndpointId to timedelta
        Since when all instances must take an endpoint for cold.
    latest_write : timedelta
        Upper bound of the time between counting a request and writing it.
    """

    instance_type: type[RetryingInstance] = ColdInstance
    instances: list[ColdInstance]  # type: ignore[assignment]

    def __init__(
        self,
        size: int,
        endpoints: int = 3,
        cold: Iterable[int] = (),
        gossiping: bool = False,
        seed: int = 1,
    ) -> None:
        self.endpoints = endpoints
        self.list_confirmed = True
        self.latest_write = timedelta(0)
        self.known_cold: dict[EndpointId, timedelta] = {}
        self.writes = Random(seed)
        self.desks = {
            desk(number): SimulatedDesk(-OLD_ENOUGH, old_row(desk(number)))
            for number in range(endpoints)
        }
        for number in cold:
            self.desks[desk(number)].row = replace(
                listed(desk(number), SLOTS), sequence=1, cold_remaining=COLD_FOR
            )
        super().__init__(size, gossiping=gossiping, seed=seed)
        for number in cold:
            self.desks[desk(number)].cold_until = self.network.now + COLD_FOR

    def writing_time(self) -> timedelta:
        """Return the time between counting a request and writing it."""
        return self.latest_write * self.writes.random()

    def become_cold(self, number: int) -> None:
        """Let an endpoint become cold; its row says so at its next report."""
        endpoint = self.desks[desk(number)]
        now = self.network.now
        endpoint.cold_until = now + COLD_FOR
        endpoint.row_due += [now + REPORT_INTERVAL, endpoint.cold_until]
        if not self.list_confirmed:
            self.known_cold.setdefault(desk(number), now)

    def crash(self, number: int, down: timedelta) -> None:
        """Let an endpoint crash and start again under the same id, cold."""
        endpoint = self.desks[desk(number)]
        now = self.network.now
        endpoint.down_until = endpoint.started_at = now + down
        endpoint.cold_until = endpoint.started_at + COLD_FOR
        endpoint.row = replace(endpoint.row, sequence=0)
        endpoint.row_due = [endpoint.started_at, endpoint.cold_until]
        self.known_cold.pop(desk(number), None)

    def end_evacuation(self, zone: AvailabilityZoneId = ZONE) -> None:
        """End the evacuation of a zone, whose endpoints are cold now."""
        now = self.network.now
        for name, endpoint in self.desks.items():
            endpoint.cold_until = now + COLD_FOR
            endpoint.row_due += [now + REPORT_INTERVAL, endpoint.cold_until]
            self.known_cold.setdefault(name, now)
        for each in self.instances:
            each.handle(ZoneEvacuationEnded(zone))

    def write_rows(self) -> None:
        """Write the rows that are due, and let the instances read them."""
        now = self.network.now
        for name, endpoint in self.desks.items():
            due = [at for at in endpoint.row_due if at <= now]
            if not due:
                continue
            endpoint.row_due = [at for at in endpoint.row_due if at > now]
            remaining = max(timedelta(0), endpoint.cold_until - now)
            endpoint.row = replace(
                endpoint.row,
                sequence=endpoint.row.sequence + 1,
                cold_remaining=remaining,
            )
            if remaining:
                self.known_cold.setdefault(name, now)
            else:
                self.known_cold.pop(name, None)
            if self.list_confirmed:
                self.read_row(endpoint.row)

    def read_row(self, row: ListedEndpoint) -> None:
        """Let all instances read a row."""
        for each in self.instances:
            each.handle(EndpointUsable(row))

    def confirm_list(self, confirmed: bool) -> None:
        """Let the store and peers confirm the list of endpoints, or nobody."""
        self.list_confirmed = confirmed
        for name, endpoint in self.desks.items():
            if confirmed:
                self.read_row(endpoint.row)
            elif endpoint.cold_until > self.network.now:
                self.known_cold.setdefault(name, self.network.now)

    def limit_excess(self, endpoint: EndpointId) -> float:
        """Return by how many requests the worst window exceeds the rate limit."""
        return super().excess(endpoint)

    def excess(self, endpoint: EndpointId) -> float:
        """Return by how many requests the worst second exceeds what is accepted.

        Counted are requests that were sent after all instances had to take the endpoint
        for cold, and before it is warm.
        """
        since = self.known_cold.get(endpoint)
        if since is None:
            return -ALLOWED
        until = self.desks[endpoint].cold_until
        return self.most(endpoint, since, until) - ALLOWED

    def run(self, span: timedelta, calls_s: float = 0.0) -> None:
        """Advance time while calls arrive at random instances."""
        end = self.network.now + span
        while self.network.now < end:
            self.write_rows()
            super().run(min(ms(50), end - self.network.now), calls_s)

    def most_in_a_second(self, number: int, since: timedelta = BEGINNING) -> int:
        """Return the most requests that were sent and arrived within any second.

        Parameters
        ----------
        since : timedelta
            Requests that were sent before are not counted.
        """
        return self.most(desk(number), since, timedelta.max)

    def most(self, endpoint: EndpointId, since: timedelta, until: timedelta) -> int:
        """Return the most requests within a second, of those within a span."""
        spans = sorted(
            (each.at, each.sent_at)
            for each in self.arrived.get(endpoint, ())
            if since <= each.sent_at and each.at < until
        )
        worst, first = 0, 0
        for last, (end, _) in enumerate(spans):
            while spans[first][0] <= end - WINDOW:
                first += 1
            within = spans[first : last + 1]
            worst = max(worst, sum(sent_at > end - WINDOW for _, sent_at in within))
        return worst


def old_row(endpoint: EndpointId) -> ListedEndpoint:
    """Return the row of an endpoint that has run for long."""
    return replace(listed(endpoint, SLOTS), sequence=50)


def failure(dispatch: Dispatch, kind: FailureKind, exposure: Exposure) -> AttemptFailed:
    """Return the failure of an attempt."""
    return AttemptFailed(
        dispatch.request_id,
        dispatch.attempt,
        kind,
        exposure,
        endpoint=dispatch.endpoint,
        digest=digest_of(dispatch.request_id),
    )
