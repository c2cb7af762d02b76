"""Messages and effects of prompts that are spread over several engines."""

from datetime import timedelta
from enum import Enum

from ...ids import EndpointId, Incarnation, RequestId, ReservationId, StreamId
from .attempts import Exposure
from .base import Effect, Message
from .recovery import HoldingKind


class GangStepFailure(Enum):
    """Why a step of a gang failed."""

    NO_MEMORY = "no-memory"
    """The engine refused: it has not enough free memory."""
    REFUSED = "refused"
    """The engine refused for another reason."""
    UNREACHED = "unreached"
    LOST = "lost"
    """The answer did not come; the step may have taken effect."""
    FAILED = "failed"
    """The engine began and ended the step as failed."""


class ReserveMemory(Effect, frozen=True):
    """Have an engine set memory aside for a while."""

    request_id: RequestId
    reservation: ReservationId
    endpoint: EndpointId
    address: str
    tokens: int
    time_to_live: timedelta


class MemoryReserved(Message, frozen=True):
    """An engine has set the memory aside."""

    request_id: RequestId
    reservation: ReservationId


class ReservationFailed(Message, frozen=True):
    """An engine has not set the memory aside, as far as is known."""

    request_id: RequestId
    reservation: ReservationId
    failure: GangStepFailure


class PrefillSegment(Effect, frozen=True):
    """Have an engine prefill a part of a prompt and keep its KV for others.

    Attributes
    ----------
    first : int
        Prompt token with which the part begins; those before it are imported.
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
    """A part of a prompt is prefilled.

    Attributes
    ----------
    handle : str
        By which other engines import its KV.
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
    """Have an engine pull another one's exported KV."""

    request_id: RequestId
    import_id: ReservationId
    endpoint: EndpointId
    address: str
    source: str
    handle: str
    time_to_live: timedelta


class KvImported(Message, frozen=True):
    """An engine has the exported KV."""

    request_id: RequestId
    import_id: ReservationId


class ImportFailed(Message, frozen=True):
    """An engine has not got the exported KV, as far as is known."""

    request_id: RequestId
    import_id: ReservationId
    failure: GangStepFailure


class FreeOwnHolding(Effect, frozen=True):
    """Free what an engine holds for a request of ours; it need not be there."""

    endpoint: EndpointId
    address: str
    kind: HoldingKind
    holding_id: str
