"""Effects that report metrics and state to operators."""

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
    """End of an attempt that did not fail."""

    FINISHED = "finished"
    CANCELLED = "cancelled"


class RequestReport(Effect, frozen=True):
    """A request has ended.

    Attributes
    ----------
    code : ProblemCode or None
        Reason why it has no answer.
    attempts : tuple
        End of each attempt, in order.
    first_token_after : timedelta or None
        Time from arrival to first token; None if there was none.
    duration : timedelta
        Time from arrival to end.
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
    """Whether an endpoint receives new requests, and the reason if not."""

    LIVE = "live"
    UNREPORTED = "unreported"
    """It is listed, but no load report has been received yet."""
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class EndpointView(msgspec.Struct, frozen=True):
    """State of one endpoint as reported to operators."""

    incarnation: Incarnation
    condition: EndpointCondition


class FleetReport(Effect, frozen=True):
    """Periodic report of the kernel's view of the fleet."""

    endpoints: dict[EndpointId, EndpointView]
    peers: dict[InstanceId, MemberState]
    waiting_requests: int
    leases: int


class OrderReport(Effect, frozen=True):
    """An order to an endpoint has ended with a result."""

    kind: OrderKind
    result: OrderResult
