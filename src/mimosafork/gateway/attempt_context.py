"""Dependencies that all attempts share."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import msgspec

from ..clock import Clock
from ..ids import EndpointId, InstanceId, RegionId, RequestId
from ..kernel.messages.attempts import FailureKind
from ..kernel.messages.base import Message
from ..kernel.messages.dispatch import Dispatch
from .dialect import Dialect
from .pool import ConnectionPool


class SendGate(Protocol):
    """Admits each request that is sent to an endpoint."""

    def objection(self, dispatch: Dispatch, now: timedelta) -> FailureKind | None:
        """Count a request that is about to be sent; return why it may not be."""

    def tracks(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has stated a rate limit."""

    def home_regions(self, request_id: RequestId) -> frozenset[RegionId] | None:
        """Return the home regions of a call; None for no restriction."""


class AttemptContext(msgspec.Struct, frozen=True):
    """Dependencies that all attempts share."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    report: Callable[[Message], None]
    sends: SendGate
    instance: InstanceId
