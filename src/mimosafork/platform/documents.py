"""Form of the platform's documents; fields that are not named here are ignored."""

from datetime import timedelta
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from ..network.decoding import UNDECODABLE
from . import names
from .errors import DocumentError

Document = TypeVar("Document")

LONGEST_TEXT = 200
"""Characters of a name, as the platform bounds its own."""
LONGEST_REASON = 300
MOST_SLOTS = 1_000_000
LARGEST_COUNT = 2**63 - 1
LATEST_BIRTH_MS = 10**13
"""In Unix milliseconds; some 250 years from now."""
MILLISECOND = timedelta(milliseconds=1)
LONGEST_TIME = timedelta(days=30)

Name = Annotated[str, Meta(min_length=1, max_length=LONGEST_TEXT)]
Text = Annotated[str, Meta(max_length=LONGEST_TEXT)]
Slots = Annotated[int, Meta(ge=1, le=MOST_SLOTS)]
Count = Annotated[int, Meta(ge=0, le=LARGEST_COUNT)]
ColdMs = Annotated[float, Meta(le=LONGEST_TIME / MILLISECOND)]
BirthMs = Annotated[int, Meta(ge=0, le=LATEST_BIRTH_MS)]


class SplitDocument(msgspec.Struct):
    """A service's share of a route."""

    service: str = msgspec.field(name=names.SERVICE)
    weight: float = msgspec.field(name=names.WEIGHT)


class RouteDocument(msgspec.Struct, kw_only=True):
    """A route; it names one service or a split."""

    name: str = msgspec.field(name=names.NAME)
    host: str = msgspec.field(name=names.HOST)
    prefix: str = msgspec.field(name=names.PREFIX)
    kind: str = msgspec.field(name=names.KIND)
    timeout_ms: float = msgspec.field(name=names.TIMEOUT_MS)
    objective_ms: float = msgspec.field(name=names.TARGET_LATENCY_MS)
    service: str | None = msgspec.field(name=names.SERVICE, default=None)
    split: list[SplitDocument] | None = msgspec.field(name=names.SPLIT, default=None)
    max_attempts: int = msgspec.field(name=names.MAX_ATTEMPTS, default=1)
    priority: int = msgspec.field(name=names.PRIORITY, default=5)
    public: bool = msgspec.field(name=names.PUBLIC, default=False)
    sized: bool = msgspec.field(name=names.STICKY, default=False)
    resumable: bool = msgspec.field(name=names.RESUMABLE, default=False)
    longest_pause_ms: float | None = msgspec.field(name=names.GAP_AIM_MS, default=None)
    allowed_regions: list[Name] | None = msgspec.field(
        name=names.ALLOWED_REGIONS, default=None
    )


class UsualDocument(msgspec.Struct):
    """Mean token counts of a service's requests."""

    prompt: float = msgspec.field(name=names.PROMPT, default=0.0)
    answer: float = msgspec.field(name=names.ANSWER, default=0.0)


class EngineDocument(msgspec.Struct, kw_only=True):
    """Figures of a service's engines."""

    slots: int = msgspec.field(name=names.SLOTS)
    memory_tokens: int = msgspec.field(name=names.KV_TOKENS)
    step_ms: float = msgspec.field(name=names.STEP_MS)
    per_sequence_ms: float = msgspec.field(name=names.PER_SEQUENCE_MS)
    context_per_k: float = msgspec.field(name=names.CONTEXT_PER_K)
    read_per_s: float = msgspec.field(name=names.READ_PER_S)
    pairs_per_m: float = msgspec.field(name=names.PAIRS_PER_M)
    chunk: int = msgspec.field(name=names.CHUNK)
    stride: int = msgspec.field(name=names.STRIDE, default=1)
    hop_ms: float = msgspec.field(name=names.HOP_MS, default=0.0)
    report_lag_ms: float = msgspec.field(name=names.REPORT_LAG_MS, default=200.0)
    usual: UsualDocument = msgspec.field(
        name=names.USUAL, default_factory=UsualDocument
    )


class ServiceDocument(msgspec.Struct, kw_only=True):
    """A service."""

    name: str = msgspec.field(name=names.NAME)
    health_path: str = msgspec.field(name=names.HEALTH_PATH)
    max_connections: int = msgspec.field(name=names.MAX_CONNECTIONS)
    engine: EngineDocument | None = msgspec.field(name=names.ENGINE, default=None)
    cold_start_s: float | None = msgspec.field(name=names.COLD_START_S, default=None)
    cold_per_s: float | None = msgspec.field(name=names.COLD_PER_S, default=None)


class LimitsDocument(msgspec.Struct, kw_only=True):
    """What callers may send; None where nothing is said."""

    header_bytes: int | None = msgspec.field(name=names.MAX_HEADER_BYTES, default=None)
    body_bytes: int | None = msgspec.field(name=names.MAX_BODY_BYTES, default=None)
    header_ms: float | None = msgspec.field(name=names.HEADER_TIMEOUT_MS, default=None)
    idle_ms: float | None = msgspec.field(name=names.IDLE_TIMEOUT_MS, default=None)


class TenantDocument(msgspec.Struct, kw_only=True):
    """A client account."""

    name: str = msgspec.field(name=names.NAME)
    keys: list[str] = msgspec.field(name=names.API_KEYS, default_factory=list)
    priority: int | None = msgspec.field(name=names.PRIORITY, default=None)
    allowed_regions: list[Name] | None = msgspec.field(
        name=names.ALLOWED_REGIONS, default=None
    )


class ConfigurationDocument(msgspec.Struct, kw_only=True):
    """The configuration in full."""

    version: int = msgspec.field(name=names.VERSION)
    routes: list[RouteDocument] = msgspec.field(name=names.ROUTES)
    services: list[ServiceDocument] = msgspec.field(name=names.SERVICES)
    limits: LimitsDocument = msgspec.field(
        name=names.LIMITS, default_factory=LimitsDocument
    )
    tenants: list[TenantDocument] | None = msgspec.field(
        name=names.TENANTS, default=None
    )


class EndpointDocument(msgspec.Struct, kw_only=True):
    """An endpoint's word about itself.

    Guard: another writer may have written it. A text without end makes lines without
    end, slots below one an endpoint that looks ever emptier, and a birth in a far year
    a life that none of its own rows can end.
    """

    service: Name = msgspec.field(name=names.SERVICE)
    address: Name = msgspec.field(name=names.ADDRESS)
    zone: Name = msgspec.field(name=names.ZONE)
    slots: Slots = msgspec.field(name=names.SLOTS)
    state: Name = msgspec.field(name=names.STATE)
    software: Text = msgspec.field(name=names.VERSION, default="")
    cold_remaining_ms: ColdMs = msgspec.field(name=names.COLD_REMAINING_MS, default=0.0)
    sequence: Count = msgspec.field(name=names.SEQUENCE, default=0)
    born: BirthMs | None = msgspec.field(name=names.BORN, default=None)


class RowDocument(msgspec.Struct, kw_only=True):
    """A row in an answer of the store."""

    table: str = msgspec.field(name=names.TABLE)
    part: str = msgspec.field(name=names.PART, default="")
    key: str = msgspec.field(name=names.KEY)
    value: str = msgspec.field(name=names.VALUE, default="")
    version: int = msgspec.field(name=names.ROW_VERSION, default=0)
    removed: bool = msgspec.field(name=names.TOMBSTONE, default=False)


class RowsDocument(msgspec.Struct, kw_only=True):
    """An answer of the store about rows."""

    rows: list[RowDocument] = msgspec.field(name=names.ROWS, default_factory=list)
    version: int = msgspec.field(name=names.ROW_VERSION)
    truncated: bool = msgspec.field(name=names.TRUNCATED, default=False)


class WrittenDocument(msgspec.Struct):
    """The store's answer to a write that was done."""

    version: int = msgspec.field(name=names.ROW_VERSION)


def decode(value: bytes, form: type[Document]) -> Document:
    """Read a document.

    Raises
    ------
    DocumentError
        If it is not of that form; it says where.
    """
    try:
        return msgspec.json.decode(value, type=form)
    except UNDECODABLE as error:
        raise DocumentError(str(error)[:LONGEST_REASON]) from error


def duration(value_ms: float) -> timedelta:
    """Return a time that is given in milliseconds, none if it is below none.

    Guard: a number that no time can hold is an error of the language and not of the
    document, and ended the reading of all rows with its own. What is longer than the
    longest time means without end to whoever wrote it.
    """
    milliseconds = min(max(0.0, value_ms), LONGEST_TIME / MILLISECOND)
    return timedelta(milliseconds=milliseconds)
