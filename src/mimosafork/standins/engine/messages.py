"""Bodies of the engine's calls, as PLATFORM.md gives them."""

from dataclasses import dataclass
from enum import Enum


class HoldingKind(Enum):
    """What holds KV memory."""

    STREAM = "stream"
    RESERVATION = "reservation"
    EXPORT = "export"


class FinishReason(Enum):
    """Why a stream ended."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    FAILED = "failed"


class ModelState(Enum):
    """Whether a model serves already."""

    LOADING = "loading"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class Owner:
    """The instance that answers for a holding."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StreamStart:
    """Start of a stream."""

    stream_id: str
    attempt: int
    owner: Owner
    model: str
    prompt: str
    max_tokens: int
    deadline_ms: int
    adapter: str | None = None
    priority: int = 0
    offset: int = 0
    imports: tuple[str, ...] = ()
    imported_tokens: int = 0
    export_kv: bool = False
    reservation: str | None = None


@dataclass(frozen=True, slots=True)
class Usage:
    """What a stream used."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class FinishEvent:
    """The end of an answer."""

    stream_id: str
    attempt: int
    offset: int
    finish: FinishReason
    usage: Usage
    kv_handle: str | None


@dataclass(frozen=True, slots=True)
class CancelAnswer:
    """Answer to a cancel: whether the stream had begun to run."""

    ran: bool


@dataclass(frozen=True, slots=True)
class HoldingEntry:
    """One holding of memory."""

    kind: HoldingKind
    id: str
    owner: Owner
    tokens: int
    expires_s: float


@dataclass(frozen=True, slots=True)
class HoldingsAnswer:
    """All holdings, or those of one owner."""

    incarnation: int
    holdings: list[HoldingEntry]


@dataclass(frozen=True, slots=True)
class ReservationStart:
    """Request to hold memory ahead of a stream."""

    id: str
    owner: Owner
    tokens: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class ImportStart:
    """Request to pull an export of another engine."""

    id: str
    owner: Owner
    source: str
    handle: str
    ttl_s: float


@dataclass(frozen=True, slots=True)
class ExportAnswer:
    """An export as callers see it."""

    handle: str
    tokens: int
    digest: str


@dataclass(frozen=True, slots=True)
class KvSegment:
    """The KV of one prompt, for which its text stands here.

    Parameters
    ----------
    id : str
        Unique over all engines, so that a segment is joined only once.
    """

    id: str
    text: str


@dataclass(frozen=True, slots=True)
class ExportContent:
    """An export as another engine pulls it."""

    handle: str
    tokens: int
    segments: tuple[KvSegment, ...]


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that serves."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the engine had to do at one instant."""

    endpoint: str
    incarnation: int
    sequence: int
    lag_s: float
    role: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    kv_used: int
    kv_capacity: int
    prefill_tokens_per_s: float
    models: tuple[LoadedModel, ...]
    adapters: tuple[str, ...]
    draining: bool
    fencing: str


class CacheEventKind(Enum):
    """What became of a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache."""

    sequence: int
    kind: CacheEventKind
    mark: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEventsAnswer:
    """Cache events that can be read by now."""

    incarnation: int
    newest: int
    events: list[CacheEvent]


@dataclass(frozen=True, slots=True)
class CachedMark:
    """A prefix in the cache."""

    mark: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheSnapshot:
    """The whole prefix cache after the event `sequence`."""

    incarnation: int
    sequence: int
    marks: list[CachedMark]


class OrderKind(Enum):
    """What an order wants."""

    LOAD_MODEL = "load-model"
    UNLOAD_MODEL = "unload-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"
    DRAIN = "drain"
    UNDRAIN = "undrain"


@dataclass(frozen=True, slots=True)
class Order:
    """A desired state, with the fencing number of who wants it."""

    order_id: str
    fencing: int
    kind: OrderKind
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The order was taken."""

    accepted: bool = True


@dataclass(frozen=True, slots=True)
class ModelEntry:
    """A model that the engine has or loads."""

    model: str
    version: str
    state: ModelState


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """State of the engine, without lag."""

    incarnation: int
    role: str
    models: list[ModelEntry]
    adapters: list[str]
    fencing: int
    draining: bool


@dataclass(frozen=True, slots=True)
class StreamEntry:
    """What became of a stream, in the journal.

    Parameters
    ----------
    prompt_digest : str
        Tells which prompt ran, whatever the ids say.
    """

    stream_id: str
    attempt: int
    event: str
    at_s: float
    incarnation: int
    owner: str
    prompt_digest: str
    detail: str = ""
