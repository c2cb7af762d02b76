"""Resources held on engines, and recovery of abandoned ones."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import EndpointId, Incarnation, InstanceId
from .base import Effect, Message


class HoldingKind(Enum):
    """Kind of resource that occupies engine memory."""

    STREAM = "stream"
    RESERVATION = "reservation"
    EXPORT = "export"


class Holding(msgspec.Struct, frozen=True):
    """Engine memory that is held by an instance.

    Attributes
    ----------
    tokens : int
        Occupied memory in tokens.
    time_left : timedelta
        Time until the engine should free it by itself; negative when that has passed.
    """

    kind: HoldingKind
    holding_id: str
    owner: InstanceId
    owner_incarnation: Incarnation
    tokens: int
    time_left: timedelta


class ListHoldings(Effect, frozen=True):
    """List the holdings on an engine.

    Attributes
    ----------
    owner : InstanceId or None
        Only holdings of this instance, of any incarnation; None for all.
    """

    endpoint: EndpointId
    address: str
    owner: InstanceId | None = None


class HoldingsListed(Message, frozen=True):
    """The holdings on an engine were listed."""

    endpoint: EndpointId
    holdings: tuple[Holding, ...]


class FreeReason(Enum):
    """Reason why a holding may be freed by another instance than its owner."""

    PAST_DEADLINE = "past its deadline"
    OWNER_REPLACED = "its owner has begun a new life"
    OWNER_REMOVED = "its owner has long been removed from the platform's list"


class FreeHolding(Effect, frozen=True):
    """Free a holding whose owner can no longer free it."""

    endpoint: EndpointId
    address: str
    holding: Holding
    reason: FreeReason
