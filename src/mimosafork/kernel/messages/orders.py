"""Orders to endpoints, and the state that endpoints report."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AdapterId, EndpointId, FencingNumber, Incarnation, ModelId, OrderId
from .base import Effect, Message
from .fleet import FencingMode

ORDER_TIMEOUT = timedelta(seconds=3)
"""Longest time from the lease check to the end of an order's call."""


class OrderKind(Enum):
    """Kind of state change requested from an endpoint."""

    LOAD_MODEL = "load-model"
    UNLOAD_MODEL = "unload-model"
    LOAD_ADAPTER = "load-adapter"


class Order(msgspec.Struct, frozen=True):
    """A desired state; resending an order is idempotent."""

    order_id: OrderId
    kind: OrderKind
    model: ModelId | None = None
    version: str | None = None
    adapter: AdapterId | None = None


class SendOrder(Effect, frozen=True):
    """Send an order under a lease.

    Attributes
    ----------
    fencing_mode : FencingMode
        Whether the endpoint checks the fencing number; IGNORED if unknown.
    fencing : FencingNumber
        Number of the lease under which the order was issued.
    fetches_weights : bool
        The endpoint will load weights from the weight store.
    """

    endpoint: EndpointId
    address: str
    fencing_mode: FencingMode
    order: Order
    fencing: FencingNumber
    fetches_weights: bool


class OrderResult(Enum):
    """Result of an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The endpoint refused the order."""
    STALE = "stale"
    """The endpoint has seen a greater fencing number."""
    NOT_SENT = "not-sent"
    """The lease was about to expire, or the endpoint was unreachable."""
    UNKNOWN = "unknown"
    """No answer; the endpoint's state shows whether the order took effect."""


class OrderAnswered(Message, frozen=True):
    """An order has ended with a result."""

    endpoint: EndpointId
    order: Order
    fencing: FencingNumber
    result: OrderResult
    detail: str = ""


class ReadState(Effect, frozen=True):
    """Read the state of an endpoint."""

    endpoint: EndpointId
    address: str


class LoadedModel(msgspec.Struct, frozen=True):
    """A model version on an endpoint.

    Attributes
    ----------
    is_ready : bool
        False while it loads.
    """

    model: ModelId
    version: str
    is_ready: bool


class StateRead(Message, frozen=True):
    """The state of an endpoint was read."""

    endpoint: EndpointId
    incarnation: Incarnation
    models: tuple[LoadedModel, ...]
    adapters: tuple[AdapterId, ...]


class StateReadFailed(Message, frozen=True):
    """The state of an endpoint could not be read."""

    endpoint: EndpointId
