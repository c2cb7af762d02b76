"""The routing table of one configuration version."""

from datetime import timedelta
from enum import Enum
from typing import NewType

import msgspec
from msgspec.structs import force_setattr

from ..ids import AccountId, RegionId, Revision, ServiceId
from .engine import EngineFigures

RouteName = NewType("RouteName", str)
ApiKey = NewType("ApiKey", str)


class CallKind(Enum):
    """Whether calls of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """A series of events; retried only where the route is resumable."""


class TrafficSplit(msgspec.Struct, frozen=True):
    """A service's share of a route's traffic."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Destination and policy of calls to one host and path prefix.

    Attributes
    ----------
    timeout : timedelta
        Longest time that a call is kept waiting.
    objective : timedelta
        Time within which an answer, or the first event of a stream, is on time.
    longest_pause : timedelta or None
        Between two events of a stream that is on time.
    priority : int
        0 is the highest.
    public : bool
        Calls need no API key.
    sized : bool
        Calls state the number of their prompt tokens.
    home_regions : frozenset of RegionId
        Regions that calls may be sent to; empty for no restriction.
    """

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    timeout: timedelta
    objective: timedelta
    splits: tuple[TrafficSplit, ...]
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    sized: bool = False
    longest_pause: timedelta | None = None
    home_regions: frozenset[RegionId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class Service(msgspec.Struct, frozen=True):
    """A set of equivalent endpoints.

    Attributes
    ----------
    cold_duration : timedelta
        Time for which an endpoint is cold after its start; zero if it is not stated.
    cold_rate_per_s : float
        Requests per second that a cold endpoint accepts from all instances together;
        zero if it is not stated.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    engine: EngineFigures | None = None
    cold_duration: timedelta = timedelta(0)
    cold_rate_per_s: float = 0.0

    @property
    def has_cold_limit(self) -> bool:
        """Whether cold endpoints accept only a low request rate."""
        return self.cold_duration > timedelta(0) and self.cold_rate_per_s > 0.0


class ClientLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of client connections."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class Account(msgspec.Struct, frozen=True):
    """A client account and its API keys; its `priority` overrides that of a route.

    Attributes
    ----------
    home_regions : frozenset of RegionId
        Regions that its calls may be sent to; empty for no restriction.
    """

    name: AccountId
    keys: tuple[ApiKey, ...]
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()


class RoutingTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    has_accounts : bool
        Calls of routes that aren't public need a key.
    restricts_regions : bool
        A route or an account has home regions.
    """

    version: Revision
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    limits: ClientLimits
    accounts: tuple[Account, ...]
    has_accounts: bool = True
    by_host: dict[str, tuple[Route, ...]] = msgspec.field(default_factory=dict)
    by_key: dict[ApiKey, Account] = msgspec.field(default_factory=dict)
    restricts_regions: bool = False

    def __post_init__(self) -> None:
        """Index routes by host, the longest prefix first, and accounts by key."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        by_length = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        }
        keys = {key: account for account in self.accounts for key in account.keys}
        force_setattr(self, "by_host", by_length)
        force_setattr(self, "by_key", keys)
        restricted = any(route.home_regions for route in self.routes)
        restricted = restricted or any(each.home_regions for each in self.accounts)
        force_setattr(self, "restricts_regions", restricted)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        Parameters
        ----------
        host : str
            As the caller sent it, without a port, in lower case.
        path : str
            Without its query.
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: ApiKey) -> Account | None:
        """Return the account that holds a key."""
        return self.by_key.get(key)
