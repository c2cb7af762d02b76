"""What the relay needs of its neighbours."""

from collections.abc import Callable
from dataclasses import dataclass, field
from selectors import BaseSelector
from typing import Protocol

from ..claims.answers import AnswerCaptured
from ..endpoints.calls import CancelStream, EndpointCall, OpenCall
from ..kernel.messages.base import Message
from ..kernel.messages.placement import PrefillSegment
from .counters import RelayCounters
from .limits import RelayLimits


class OpensCalls(Protocol):
    """Opens calls to endpoints; neither method blocks."""

    def open(self, job: OpenCall) -> None:
        """Send a call; the relay gets `Opened` or `OpenFailed`."""
        ...

    def cancel(self, job: CancelStream) -> None:
        """Have an engine end a stream."""
        ...


def _keep_nothing(captured: AnswerCaptured) -> None:
    """Stand in for the answer keeper where there is none."""


@dataclass(slots=True)
class RelayPorts:
    """Shared by all exchanges of one relay.

    Attributes
    ----------
    tell_kernel : Callable
        Takes messages for the kernel; never blocks.
    keep_answer : Callable
        Takes the whole answers that are to be kept; never blocks.
    prefill : Callable or None
        Prefills a part of a call's prompt on one engine of several; never blocks.
    now_s : float
        Monotonic seconds at the start of the present round.
    """

    selector: BaseSelector
    connector: OpensCalls
    tell_kernel: Callable[[Message], None]
    limits: RelayLimits
    keep_answer: Callable[[AnswerCaptured], None] = _keep_nothing
    prefill: Callable[[PrefillSegment, EndpointCall], None] | None = None
    now_s: float = 0.0
    counters: RelayCounters = field(default_factory=RelayCounters)
