"""Decoding and validation of the answers to probes."""

from datetime import timedelta
from typing import TypeVar

import msgspec

from ..ids import Digest, EndpointId, Incarnation, ModelId
from ..kernel.messages.fleet import (
    CacheEvent,
    CacheEventKind,
    CacheEventsReported,
    CacheSnapshotReported,
    FencingMode,
    LoadReport,
)
from ..kernel.messages.requests import PrefixMark
from ..network.decoding import UNDECODABLE
from .errors import NoValidAnswerError

T = TypeVar("T")


class ModelDocument(msgspec.Struct, frozen=True):
    """A model in a load report."""

    model: str


class LoadDocument(msgspec.Struct, frozen=True):
    """A load report; a plain service omits most of the fields."""

    endpoint: str
    incarnation: int
    sequence: int
    lag_s: float = 0.0
    role: str = "mixed"
    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    kv_used: int = 0
    kv_capacity: int = 0
    prefill_tokens_per_s: float = 0.0
    models: tuple[ModelDocument, ...] = ()
    draining: bool = False
    fencing: str = FencingMode.IGNORED.value


class EventDocument(msgspec.Struct, frozen=True):
    """One cache event."""

    sequence: int
    kind: CacheEventKind
    mark: str
    tokens: int


class EventsDocument(msgspec.Struct, frozen=True):
    """Cache events after a sequence number."""

    incarnation: int
    newest: int
    events: tuple[EventDocument, ...]


class MarkDocument(msgspec.Struct, frozen=True):
    """A prefix in a cache."""

    mark: str
    tokens: int


class SnapshotDocument(msgspec.Struct, frozen=True):
    """A whole prefix cache."""

    incarnation: int
    sequence: int
    marks: tuple[MarkDocument, ...]


def load_report(body: bytes, endpoint: EndpointId) -> LoadReport:
    """Return an endpoint's load report.

    Raises
    ------
    NoValidAnswerError
        If the body is invalid or names another endpoint. An address may be reused
        while the instance list still has its previous endpoint, and the load and
        models of the new one must not be attributed to the previous one.
    """
    document = _decoded(body, LoadDocument)
    if document.endpoint != endpoint:
        raise NoValidAnswerError(f"{document.endpoint!r} answers at its address")
    checked = document.fencing == FencingMode.CHECKED.value
    return LoadReport(
        endpoint=endpoint,
        incarnation=Incarnation(document.incarnation),
        sequence=document.sequence,
        lag=timedelta(seconds=max(0.0, document.lag_s)),
        running=document.running,
        waiting=document.waiting,
        waiting_prefill_tokens=document.waiting_prefill_tokens,
        kv_used=document.kv_used,
        kv_capacity=document.kv_capacity,
        prefill_rate=document.prefill_tokens_per_s,
        models=tuple(ModelId(each.model) for each in document.models),
        draining=document.draining,
        fencing=FencingMode.CHECKED if checked else FencingMode.IGNORED,
        role=document.role,
    )


def cache_events(body: bytes, endpoint: EndpointId, after: int) -> CacheEventsReported:
    """Return an engine's cache events.

    Raises
    ------
    NoValidAnswerError
        If the body is invalid.
    """
    document = _decoded(body, EventsDocument)
    return CacheEventsReported(
        endpoint,
        Incarnation(document.incarnation),
        after,
        document.newest,
        tuple(
            CacheEvent(each.sequence, each.kind, Digest(each.mark), each.tokens)
            for each in document.events
        ),
    )


def cache_snapshot(body: bytes, endpoint: EndpointId) -> CacheSnapshotReported:
    """Return an engine's whole prefix cache.

    Raises
    ------
    NoValidAnswerError
        If the body is invalid.
    """
    document = _decoded(body, SnapshotDocument)
    return CacheSnapshotReported(
        endpoint,
        Incarnation(document.incarnation),
        document.sequence,
        tuple(PrefixMark(Digest(each.mark), each.tokens) for each in document.marks),
    )


def _decoded(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except UNDECODABLE as error:
        raise NoValidAnswerError(f"not the protocol's answer: {error}") from error
