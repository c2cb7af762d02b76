"""The documents that the operator and the endpoints write: configuration and beats."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..errors import StandinError
from .endpoint import Endpoint
from .endpoint_settings import EndpointSettings
from .engine import Engine
from .engine_figures import EngineFigures

ENGINE_SLOTS = 8
MAX_CONNECTIONS = 264
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route as the operator writes it.

    Attributes
    ----------
    kind : str
        ``safe``, ``unsafe`` or ``stream``.
    service : str
        Where all of it goes; `split` goes before it.
    split : dict of str to int
        Weight of each service.
    allowed_regions : tuple of str
        Empty for no restriction.
    """

    name: str
    prefix: str
    kind: str
    service: str
    host: str = "front.example"
    split: dict[str, int] = field(default_factory=dict)
    timeout: timedelta = timedelta(seconds=10)
    target_latency: timedelta = timedelta(milliseconds=300)
    gap_aim: timedelta = timedelta(milliseconds=250)
    priority: int = 1
    max_attempts: int = 2
    public: bool = False
    resumable: bool = False
    allowed_regions: tuple[str, ...] = ()

    def document(self) -> dict[str, Any]:
        """Return it as it stands in the configuration."""
        document: dict[str, Any] = {
            "name": self.name,
            "host": self.host,
            "prefix": self.prefix,
            "kind": self.kind,
            "timeout-ms": milliseconds(self.timeout),
            "target-latency-ms": milliseconds(self.target_latency),
            "priority": self.priority,
            "max-attempts": self.max_attempts,
            "public": self.public,
        }
        if self.split:
            document["traffic-split"] = [
                {"service": name, "weight": weight}
                for name, weight in self.split.items()
            ]
        else:
            document["service"] = self.service
        if self.kind == "stream":
            document["sticky"] = True
            document["resumable"] = self.resumable
            document["gap-aim-ms"] = milliseconds(self.gap_aim)
        if self.allowed_regions:
            document["allowed-regions"] = list(self.allowed_regions)
        return document


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A service as the operator writes it; engines have `figures`.

    Attributes
    ----------
    cold_start_s, cold_per_s : float or None
        How long its endpoints are cold, and the requests a second of a cold one.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int = MAX_CONNECTIONS
    slots: int = ENGINE_SLOTS
    figures: EngineFigures | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None

    def document(self) -> dict[str, Any]:
        """Return it as it stands in the configuration."""
        document: dict[str, Any] = {
            "name": self.name,
            "health-path": self.health_path,
            "max-connections": self.max_connections,
            "protocol": "h1",
            "tls": False,
        }
        if self.cold_start_s is not None:
            document["cold-start-s"] = self.cold_start_s
        if self.cold_per_s is not None:
            document["cold-per-s"] = self.cold_per_s
        if self.figures is not None:
            document["engine"] = engine_document(self.figures, self.slots)
        return document


@dataclass(frozen=True, slots=True)
class TenantEntry:
    """A client account as the operator writes it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()

    def document(self) -> dict[str, Any]:
        """Return it as it stands in the configuration."""
        document: dict[str, Any] = {"name": self.name, "api-keys": list(self.keys)}
        if self.priority is not None:
            document["priority"] = self.priority
        if self.allowed_regions:
            document["allowed-regions"] = list(self.allowed_regions)
        return document


@dataclass(frozen=True, slots=True)
class LimitsEntry:
    """What callers may send, and how long they may take."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)

    def document(self) -> dict[str, Any]:
        """Return it as it stands in the configuration."""
        return {
            "max-header-bytes": self.max_header_bytes,
            "max-body-bytes": self.max_body_bytes,
            "header-timeout-ms": milliseconds(self.header_timeout),
            "idle-timeout-ms": milliseconds(self.idle_timeout),
        }


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """A whole configuration; with `tenants` None, no keys are asked for."""

    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    tenants: tuple[TenantEntry, ...] | None = None
    limits: LimitsEntry = LimitsEntry()

    def check(self) -> None:
        """Refuse what the store would not take.

        Raises
        ------
        StandinError
            With what is wrong.
        """
        known = {service.name for service in self.services}
        for route in self.routes:
            if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
                raise StandinError(f"{route.name}: a prefix begins and ends with /")
            if not set(route.split or (route.service,)) <= known:
                raise StandinError(f"{route.name}: unknown service")

    def document(self, version: int) -> dict[str, Any]:
        """Return it as the operator writes it, with its version."""
        document: dict[str, Any] = {
            "version": version,
            "routes": [route.document() for route in self.routes],
            "services": [service.document() for service in self.services],
            "limits": self.limits.document(),
        }
        if self.tenants is not None:
            document["tenants"] = [tenant.document() for tenant in self.tenants]
        return document


def engine_document(figures: EngineFigures, slots: int) -> dict[str, Any]:
    """Return a service's engine; the stand-in's own pace is not derived from it."""
    return {
        "slots": slots,
        "kv-tokens": figures.memory,
        "kv-bytes": 163_840,
        "link-mbps": 400_000.0,
        "stride": 34,
        "models": [{"name": figures.model}],
        "step_ms": 1.31,
        "per_seq_ms": 0.001834,
        "context_per_k": 0.00213,
        "read_per_s": 154_000.0,
        "pairs_per_m": 0.162,
        "chunk": 2048,
        "report_lag_ms": 0.0,
        "loads-per-s": 0.0,
        "loads_at_once": slots,
        "delays": [],
        "usual": {"prompt": 1000, "answer": 80},
        "hop-ms": 0.1,
    }


def beat_document(endpoint: Endpoint, seq: int, draining: bool) -> dict[str, Any]:
    """Return an endpoint's row in the list of endpoints."""
    settings: EndpointSettings = endpoint.settings
    document: dict[str, Any] = {
        "service": settings.service,
        "address": endpoint.listed_address,
        "zone": settings.zone,
        "version": settings.software,
        "slots": settings.slots,
        "state": "draining" if draining else "ready",
        "cold-remaining-ms": endpoint.cold_ms(),
        "seq": seq,
    }
    if isinstance(endpoint, Engine):
        document["stage"] = "both"
        document["models"] = endpoint.models()
    return document


def milliseconds(span: timedelta) -> int:
    """Return a span in whole milliseconds."""
    return round(span.total_seconds() * 1000)
