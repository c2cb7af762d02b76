"""Holds calls back until a resumed process has received what it missed."""

from datetime import timedelta
from functools import singledispatchmethod

from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.lifecycle import ProcessResumed
from ...kernel.plugins import NotApplicable, Placement, Placer, Wait
from ...kernel.records import RequestRecord
from ...kernel.registry import register

CATCH_UP_TIME = timedelta(milliseconds=200)
"""Time for the updates that arrived in a freeze, and for the answers of peers."""


@register("catch-up")
class CatchUp(Placer):
    """Places no call for a moment after the process was frozen.

    Sockets become readable in any order, so that a call may be read before older
    updates of peers and of the store. It would be sent to an endpoint that has left,
    or although its content is quarantined.

    Attributes
    ----------
    current_from : timedelta
        Monotonic instant from which calls are placed.
    """

    order = 1

    def __init__(self) -> None:
        self.current_from = timedelta(0)

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Let calls wait while updates may be missing."""
        if context.now < self.current_from:
            return Wait("catch-up")
        return NotApplicable()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to the end of a freeze."""

    @handle.register
    def _(self, message: ProcessResumed, context: Context) -> None:
        self.current_from = context.now + CATCH_UP_TIME
