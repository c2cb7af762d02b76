"""Messages about the lifecycle of this instance."""

from .base import Message


class DrainBegun(Message, frozen=True):
    """A graceful shutdown has begun.

    Requests are still accepted, because the load balancer has not reacted yet. Duties
    are handed over to other instances.
    """


class ProcessResumed(Message, frozen=True):
    """The process runs again after a freeze; updates that it missed may follow."""


class StopNow(Message, frozen=True):
    """The grace period is over: every open request gets its final answer now."""
