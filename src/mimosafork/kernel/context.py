"""State and operations available to a plug-in while it handles a message."""

from collections import deque
from datetime import timedelta
from random import Random

import msgspec

from ..ids import AvailabilityZoneId, Incarnation, InstanceId, RequestId
from .configuration import Configuration
from .fleet import Fleet
from .messages.base import Effect, Message
from .messages.timers import WakeAt
from .queue import WaitingQueue
from .records import RequestRecord


class InstanceIdentity(msgspec.Struct, frozen=True):
    """Identity of this entry instance."""

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId


class KernelState(msgspec.Struct):
    """State shared by all plug-ins; each also keeps private state.

    Attributes
    ----------
    draining : bool
        A graceful shutdown has begun: duties are handed over, requests are still
        accepted.
    stopping : bool
        The shutdown grace period is over: requests are rejected.
    """

    identity: InstanceIdentity
    fleet: Fleet
    waiting: WaitingQueue
    requests: dict[RequestId, RequestRecord] = msgspec.field(default_factory=dict)
    configuration: Configuration | None = None
    draining: bool = False
    stopping: bool = False


class Context(msgspec.Struct):
    """Passed to plug-ins with each message.

    Attributes
    ----------
    now : timedelta
        Monotonic time at which the message is handled.
    random : random.Random
        The kernel's only source of randomness, seeded by the caller.
    faults : list of Exception
        Exceptions raised by plug-ins and the kernel while the message was handled.
    """

    now: timedelta
    random: Random
    state: KernelState
    effects: list[Effect] = msgspec.field(default_factory=list)
    posted: deque[Message] = msgspec.field(default_factory=deque)
    faults: list[Exception] = msgspec.field(default_factory=list)

    def emit(self, effect: Effect) -> None:
        """Add an effect for an adapter to execute."""
        self.effects.append(effect)

    def post(self, message: Message) -> None:
        """Queue a message for handling right after the current one."""
        self.posted.append(message)

    def wake_after(self, pause: timedelta, message: Message) -> None:
        """Schedule a message for handling after a delay."""
        self.emit(WakeAt(self.now + pause, message))
