"""Effects that only tell: what operators count and read."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import (
    AccountId,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    RequestId,
    ServiceId,
)
from .attempts import FailureKind
from .base import Effect
from .orders import OrderKind, OrderResult
from .outcomes import Outcome
from .peers import MemberState
from .problems import ProblemCode


class AttemptEnd(Enum):
    """How an attempt ended that did not fail."""

    FINISHED = "finished"
    CANCELLED = "cancelled"


class RequestReport(Effect, frozen=True):
    """A request's life has ended.

    Attributes
    ----------
    code : ProblemCode or None
        Why it has no answer.
    attempts : tuple
        How each of its attempts ended, in their order.
    first_token_after : timedelta or None
        From its arrival; None if no token came.
    duration : timedelta
        From its arrival to its end.
    """

    request_id: RequestId
    account: AccountId
    target: ModelId | ServiceId
    prompt_tokens: int
    outcome: Outcome
    code: ProblemCode | None
    attempts: tuple[AttemptEnd | FailureKind, ...]
    first_token_after: timedelta | None
    duration: timedelta


class EndpointCondition(Enum):
    """Whether an endpoint gets new requests, and if not, why."""

    LIVE = "live"
    UNREPORTED = "unreported"
    """It is listed, and no load report of it has come yet."""
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class EndpointView(msgspec.Struct, frozen=True):
    """One endpoint as operators see it."""

    incarnation: Incarnation
    condition: EndpointCondition


class FleetReport(Effect, frozen=True):
    """What the kernel knows of its surroundings, told now and then."""

    endpoints: dict[EndpointId, EndpointView]
    peers: dict[InstanceId, MemberState]
    waiting_requests: int
    leases: int


class OrderReport(Effect, frozen=True):
    """An order to an endpoint has ended, in whatever way."""

    kind: OrderKind
    result: OrderResult
