"""What instances hold on engines, and freeing what nobody will free."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import EndpointId, Incarnation, InstanceId
from .base import Effect, Message


class HoldingKind(Enum):
    """What takes an engine's memory."""

    STREAM = "stream"
    RESERVATION = "reservation"
    EXPORT = "export"


class Holding(msgspec.Struct, frozen=True):
    """A part of an engine's memory, and whose it is.

    Attributes
    ----------
    tokens : int
        Memory that it takes.
    time_left : timedelta
        Until the engine should free it by itself; negative when that has passed.
    """

    kind: HoldingKind
    holding_id: str
    owner: InstanceId
    owner_incarnation: Incarnation
    tokens: int
    time_left: timedelta


class ListHoldings(Effect, frozen=True):
    """Ask an engine what is held there.

    Attributes
    ----------
    owner : InstanceId or None
        Only what belongs to any life of this instance.
    """

    endpoint: EndpointId
    address: str
    owner: InstanceId | None = None


class HoldingsListed(Message, frozen=True):
    """An engine has told what is held there."""

    endpoint: EndpointId
    holdings: tuple[Holding, ...]


class FreeReason(Enum):
    """Why a holding may be freed by somebody else than its owner."""

    PAST_DEADLINE = "past its deadline"
    OWNER_REPLACED = "its owner has begun a new life"
    OWNER_REMOVED = "its owner has long been removed from the platform's list"


class FreeHolding(Effect, frozen=True):
    """Free a holding that its owner can't free any more."""

    endpoint: EndpointId
    address: str
    holding: Holding
    reason: FreeReason
