"""Base classes of the kernel's messages and effects."""

import msgspec


class Message(msgspec.Struct, frozen=True):
    """An event that the kernel handles."""


class Effect(msgspec.Struct, frozen=True):
    """An operation that an adapter executes for the kernel."""


class Tick(Message, frozen=True):
    """Timer tick, at which deadlines and queues are checked.

    Adapters send it every `mimosafork.kernel.core.TICK`.
    """
