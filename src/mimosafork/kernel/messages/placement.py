"""Messages and effects for prompts that are split across several engines (gangs)."""

from datetime import timedelta
from enum import Enum

from ...ids import EndpointId, Incarnation, RequestId, ReservationId, StreamId
from .attempts import Exposure
from .base import Effect, Message
from .recovery import HoldingKind


class GangStepFailure(Enum):
    """Why a step of a gang failed."""

    NO_MEMORY = "no-memory"
    """The engine refused for lack of free memory."""
    REFUSED = "refused"
    """The engine refused for another reason."""
    EVACUATED = "evacuated"
    """The engine's zone is evacuated, and nothing was sent."""
    UNREACHED = "unreached"
    LOST = "lost"
    """No answer was received; the step may have taken effect."""
    FAILED = "failed"
    """The engine started the step and reported a failure."""


class ReserveMemory(Effect, frozen=True):
    """Reserve memory on an engine for a limited time.

    Attributes
    ----------
    renewal : bool
        The memory is held by a request that has been sent.
    """

    request_id: RequestId
    reservation: ReservationId
    endpoint: EndpointId
    address: str
    tokens: int
    time_to_live: timedelta
    renewal: bool = False


class MemoryReserved(Message, frozen=True):
    """An engine has reserved the memory."""

    request_id: RequestId
    reservation: ReservationId


class ReservationFailed(Message, frozen=True):
    """An engine has not reserved the memory, as far as is known."""

    request_id: RequestId
    reservation: ReservationId
    failure: GangStepFailure


class PrefillSegment(Effect, frozen=True):
    """Prefill a part of a prompt on an engine and keep its KV cache for export.

    Attributes
    ----------
    first : int
        First prompt token of the part; the tokens before it are imported.
    tokens : int
        Length of the part.
    """

    request_id: RequestId
    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str
    deadline: timedelta
    priority: int
    first: int
    tokens: int
    reservation: ReservationId
    imports: tuple[ReservationId, ...] = ()


class SegmentPrefilled(Message, frozen=True):
    """A part of a prompt has been prefilled.

    Attributes
    ----------
    handle : str
        Handle by which other engines import its KV cache.
    """

    request_id: RequestId
    stream_id: StreamId
    endpoint: EndpointId
    address: str
    handle: str


class SegmentFailed(Message, frozen=True):
    """A part of a prompt was not prefilled."""

    request_id: RequestId
    stream_id: StreamId
    failure: GangStepFailure
    exposure: Exposure


class ImportKv(Effect, frozen=True):
    """Import the exported KV cache of another engine."""

    request_id: RequestId
    import_id: ReservationId
    endpoint: EndpointId
    address: str
    source: str
    handle: str
    time_to_live: timedelta


class KvImported(Message, frozen=True):
    """An engine has imported the KV cache."""

    request_id: RequestId
    import_id: ReservationId


class ImportFailed(Message, frozen=True):
    """An engine has not imported the KV cache, as far as is known."""

    request_id: RequestId
    import_id: ReservationId
    failure: GangStepFailure


class FreeOwnHolding(Effect, frozen=True):
    """Free a holding of this instance's request on an engine, if it exists."""

    endpoint: EndpointId
    address: str
    kind: HoldingKind
    holding_id: str
