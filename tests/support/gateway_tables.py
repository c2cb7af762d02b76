"""Routes, accounts and rows of a small deployment for state machine tests."""

from datetime import timedelta

from mimosafork.directory.errors import UnreadableRowError
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import Row, RowPage
from mimosafork.gateway.dialect import CallMetadata
from mimosafork.gateway.heads import parse_request_head
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.ids import AccountId, AvailabilityZoneId, EndpointId, Revision
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import (
    Account,
    ApiKey,
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
    Service,
    TrafficSplit,
)

from .directories import zone_of_key
from .gateway_kernels import PLAIN_SERVICE
from .reserving_engines import FIGURES, HUGE, POOL
from .versions import version as version_of

HOST = "front.example"
SMALL = 20_000
KEYS = ("key-a", "key-b")

ROUTES = {
    "safe": (CallKind.IDEMPOTENT, PLAIN_SERVICE, timedelta(seconds=6)),
    "once": (CallKind.NON_IDEMPOTENT, PLAIN_SERVICE, timedelta(seconds=6)),
    "stream": (CallKind.STREAM, POOL, timedelta(seconds=12)),
    "sealed": (CallKind.STREAM, POOL, timedelta(seconds=12)),
    "huge": (CallKind.STREAM, POOL, timedelta(seconds=15)),
}
"""Kind, service and timeout of each route; all streams but `sealed` are resumable."""


class FakeConfigurationHistory:
    """All configurations that the operator has published, by version."""

    def __init__(self) -> None:
        self.tables: dict[int, RoutingTable] = {}

    def add(
        self, version: int, routes: set[str], keys: set[str], most_attempts: int
    ) -> Row:
        """Add a configuration; return its row."""
        self.tables[version] = RoutingTable(
            Revision(version),
            tuple(route_of(name, most_attempts) for name in sorted(routes)),
            {
                PLAIN_SERVICE: Service(PLAIN_SERVICE, "/healthz", 200),
                POOL: Service(POOL, "/healthz", 200, FIGURES),
            },
            ClientLimits(),
            tuple(
                Account(AccountId(f"account-{key}"), (ApiKey(key),))
                for key in sorted(keys)
            ),
        )
        return Row(
            "configuration", "", "it", str(version).encode(), version_of(version)
        )

    def decode(self, row: Row) -> RoutingTable:
        """Return the configuration of a row."""
        return self.tables[int(row.value)]

    def evacuated_zone(self, row: Row) -> AvailabilityZoneId | None:
        """Return the zone of a row of `directories.evacuated`."""
        return zone_of_key(row.key)

    async def whole(self) -> RowPage:
        """Not called: rows are pushed."""
        raise NotImplementedError

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Not called: rows are pushed."""
        raise NotImplementedError


class FakeEndpointRows:
    """Decodes rows whose value is state, service, address, zone and slots."""

    def decode(self, row: Row) -> ListedEndpoint:
        """Return the endpoint of a row."""
        try:
            state, service, address, zone, slots = row.value.decode().split()
            listed_state = ListedState(state)
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        service_id = PLAIN_SERVICE if service == PLAIN_SERVICE else POOL
        return ListedEndpoint(
            EndpointId(row.key),
            service_id,
            address,
            AvailabilityZoneId(zone),
            int(slots),
            listed_state,
            sequence=row.version.number,
        )

    async def whole(self) -> RowPage:
        """Not called: rows are pushed."""
        raise NotImplementedError

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Not called: rows are pushed."""
        raise NotImplementedError


def route_of(name: str, most_attempts: int) -> Route:
    """Return a route of the deployment."""
    kind, service, timeout = ROUTES[name]
    streams = kind is CallKind.STREAM
    return Route(
        RouteName(name),
        HOST,
        f"/{name}/",
        kind,
        timeout,
        timedelta(seconds=3 if streams else 0.3),
        (TrafficSplit(service, 1.0),),
        max_attempts=most_attempts,
        resumable=streams and name != "sealed",
        sized=streams,
        longest_pause=timedelta(milliseconds=250) if streams else None,
    )


def message_of(route: str, body: str) -> RequestMessage:
    """Return a request message for a route."""
    content = body.encode()
    lines = (
        f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(content)}"
    )
    return RequestMessage(parse_request_head(lines.encode()), content)


def marks_of(route: str, call_id: str, key: str) -> CallMetadata:
    """Return the call attributes sent by a caller."""
    prompt = {"huge": HUGE, "stream": SMALL, "sealed": SMALL}.get(route, 0)
    most = 1_000 if prompt else 0
    return CallMetadata(call_id, key=ApiKey(key), prompt_tokens=prompt, max_tokens=most)
