"""What a plug-in may see and do while it handles one message."""

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
    """Who this entry instance is."""

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId


class KernelState(msgspec.Struct):
    """All state that plug-ins share; each keeps its own beside it.

    Attributes
    ----------
    draining : bool
        A graceful shutdown has begun: duties pass on, requests are still let in.
    stopping : bool
        There is no time left: no request is let in.
    """

    identity: InstanceIdentity
    fleet: Fleet
    waiting: WaitingQueue
    requests: dict[RequestId, RequestRecord] = msgspec.field(default_factory=dict)
    configuration: Configuration | None = None
    draining: bool = False
    stopping: bool = False


class Context(msgspec.Struct):
    """Handed to plug-ins with each message.

    Attributes
    ----------
    now : timedelta
        Monotonic instant at which the message is handled.
    random : random.Random
        The kernel's only source of chance, seeded by its maker.
    faults : list of Exception
        What plug-ins and the kernel's own part raised while it was handled.
    """

    now: timedelta
    random: Random
    state: KernelState
    effects: list[Effect] = msgspec.field(default_factory=list)
    posted: deque[Message] = msgspec.field(default_factory=deque)
    faults: list[Exception] = msgspec.field(default_factory=list)

    def emit(self, effect: Effect) -> None:
        """Have an adapter do something."""
        self.effects.append(effect)

    def post(self, message: Message) -> None:
        """Have the kernel handle a message right after this one."""
        self.posted.append(message)

    def wake_after(self, pause: timedelta, message: Message) -> None:
        """Have the kernel handle a message after a pause."""
        self.emit(WakeAt(self.now + pause, message))
