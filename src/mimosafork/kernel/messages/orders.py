"""Orders to endpoints, and what endpoints say of their state."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AdapterId, EndpointId, FencingNumber, Incarnation, ModelId, OrderId
from .base import Effect, Message
from .fleet import FencingMode

ORDER_TIMEOUT = timedelta(seconds=3)
"""Longest time from the look at the lease to the end of an order's call."""


class OrderKind(Enum):
    """What an endpoint is told to become."""

    LOAD_MODEL = "load-model"
    UNLOAD_MODEL = "unload-model"
    LOAD_ADAPTER = "load-adapter"


class Order(msgspec.Struct, frozen=True):
    """A desired state; sent twice, it is still one order."""

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
        What the endpoint does with the number; IGNORED when that is not known.
    fencing : FencingNumber
        Of the lease under which the order was decided.
    fetches_weights : bool
        The endpoint will read from the weight store.
    """

    endpoint: EndpointId
    address: str
    fencing_mode: FencingMode
    order: Order
    fencing: FencingNumber
    fetches_weights: bool


class OrderResult(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The endpoint said no."""
    STALE = "stale"
    """The endpoint has seen a larger fencing number."""
    NOT_SENT = "not-sent"
    """The lease had too little time left, or the endpoint was not reached."""
    UNKNOWN = "unknown"
    """No answer; a look at the endpoint's state tells."""


class OrderAnswered(Message, frozen=True):
    """An order has ended, in whatever way."""

    endpoint: EndpointId
    order: Order
    fencing: FencingNumber
    result: OrderResult
    detail: str = ""


class ReadState(Effect, frozen=True):
    """Ask an endpoint for its state."""

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
    """An endpoint's own word on its state."""

    endpoint: EndpointId
    incarnation: Incarnation
    models: tuple[LoadedModel, ...]
    adapters: tuple[AdapterId, ...]


class StateReadFailed(Message, frozen=True):
    """An endpoint did not tell its state."""

    endpoint: EndpointId
