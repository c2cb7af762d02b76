"""The operator's configuration, translated into the product's routing table."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import AccountId, RegionId, Revision, ServiceId
from ..routing.engine import EngineFigures
from ..routing.table import (
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
from . import names
from .documents import (
    ConfigurationDocument,
    EngineDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
    decode,
    duration,
)
from .errors import DocumentError

KINDS = {
    names.SAFE: CallKind.IDEMPOTENT,
    names.UNSAFE: CallKind.NON_IDEMPOTENT,
    names.STREAM: CallKind.STREAM,
}
MS_PER_S = 1000.0
MAX_RATE_PER_S = 1e6
"""Higher rates limit nothing; an infinite one could not be divided."""


def decode_configuration(value: bytes) -> RoutingTable:
    """Read the configuration's row.

    Parameters
    ----------
    value : bytes
        The document as the operator wrote it.

    Raises
    ------
    DocumentError
        If it cannot be read whole; part of a configuration is never used.
    """
    document = decode(value, ConfigurationDocument)
    services = [service_of(each) for each in document.services]
    return RoutingTable(
        version=Revision(document.version),
        routes=tuple(route_of(each) for each in document.routes),
        services={service.name: service for service in services},
        limits=limits_of(document.limits),
        accounts=tuple(account_of(each) for each in document.tenants or ()),
        has_accounts=document.tenants is not None,
    )


def route_of(document: RouteDocument) -> Route:
    """Translate a route.

    Raises
    ------
    DocumentError
        If its kind is not known or it names no service.
    """
    kind = KINDS.get(document.kind)
    if kind is None:
        raise DocumentError(
            f"route {document.name!a:.80} has the kind {document.kind!a:.80}"
        )
    pause_ms = document.longest_pause_ms
    return Route(
        name=RouteName(document.name),
        host=document.host.lower(),
        prefix=document.prefix,
        kind=kind,
        timeout=duration(document.timeout_ms),
        objective=duration(document.objective_ms),
        splits=splits_of(document),
        max_attempts=document.max_attempts,
        priority=document.priority,
        public=document.public,
        resumable=document.resumable,
        sized=document.sized,
        longest_pause=None if pause_ms is None else duration(pause_ms),
        home_regions=regions_of(document.allowed_regions),
    )


def splits_of(document: RouteDocument) -> tuple[TrafficSplit, ...]:
    """Return a route's services with their shares.

    Raises
    ------
    DocumentError
        If it names none.
    """
    if document.split:
        return tuple(
            TrafficSplit(ServiceId(each.service), each.weight)
            for each in document.split
        )
    if document.service is None:
        raise DocumentError(f"route {document.name!a:.80} names no service")
    return (TrafficSplit(ServiceId(document.service), 1.0),)


def service_of(document: ServiceDocument) -> Service:
    """Translate a service."""
    engine = document.engine
    return Service(
        name=ServiceId(document.name),
        health_path=document.health_path,
        max_connections=document.max_connections,
        engine=None if engine is None else engine_of(engine),
        cold_duration=duration((document.cold_start_s or 0.0) * MS_PER_S),
        cold_rate_per_s=min(max(0.0, document.cold_per_s or 0.0), MAX_RATE_PER_S),
    )


def engine_of(document: EngineDocument) -> EngineFigures:
    """Translate the figures of a service's engines."""
    return EngineFigures(
        slots=document.slots,
        memory_tokens=document.memory_tokens,
        stride=document.stride,
        step_ms=document.step_ms,
        per_sequence_ms=document.per_sequence_ms,
        context_ms_per_k=document.context_per_k,
        prefill_tokens_per_ms=document.read_per_s / MS_PER_S,
        attention_ms_per_m_pairs=document.pairs_per_m,
        prefill_chunk_tokens=document.chunk,
        hop_ms=document.hop_ms,
        report_lag=duration(document.report_lag_ms),
        mean_prompt_tokens=round(document.usual.prompt),
        mean_answer_tokens=round(document.usual.answer),
    )


def limits_of(document: LimitsDocument) -> ClientLimits:
    """Translate the limits; what is not said keeps the product's default."""
    usual = ClientLimits()
    return ClientLimits(
        header_bytes=document.header_bytes or usual.header_bytes,
        body_bytes=document.body_bytes or usual.body_bytes,
        header_timeout=milliseconds_or(document.header_ms, usual.header_timeout),
        idle_timeout=milliseconds_or(document.idle_ms, usual.idle_timeout),
    )


def milliseconds_or(value_ms: float | None, usual: timedelta) -> timedelta:
    """Return a time in milliseconds, or the usual one if none is said."""
    return usual if value_ms is None else duration(value_ms)


def account_of(document: TenantDocument) -> Account:
    """Translate a client account."""
    return Account(
        name=AccountId(document.name),
        keys=tuple(ApiKey(key) for key in document.keys),
        priority=document.priority,
        home_regions=regions_of(document.allowed_regions),
    )


def regions_of(allowed: Iterable[str] | None) -> frozenset[RegionId]:
    """Return the home regions of a route or account; empty for no restriction."""
    return frozenset(map(RegionId, allowed or ()))
