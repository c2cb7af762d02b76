"""Base classes of what goes into the kernel and what comes out."""

import msgspec


class Message(msgspec.Struct, frozen=True):
    """Something that happened, told to the kernel."""


class Effect(msgspec.Struct, frozen=True):
    """Something that the kernel wants done by an adapter."""


class Tick(Message, frozen=True):
    """Time has passed; timers are looked at.

    Adapters send it every `mimosafork.kernel.core.TICK`.
    """
