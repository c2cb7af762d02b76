"""Messages about the life of this instance itself."""

from .base import Message


class DrainBegun(Message, frozen=True):
    """A graceful shutdown has begun.

    Requests are still let in: the balancer has not noticed yet. Duties pass on to
    other instances.
    """


class StopNow(Message, frozen=True):
    """There is no time left: every open request gets its final answer now."""
