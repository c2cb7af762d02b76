"""The task that sends orders and reads states."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from logging import getLogger

from ..clock import Clock
from ..kernel.messages.base import Message
from ..kernel.messages.orders import (
    OrderAnswered,
    OrderResult,
    ReadState,
    SendOrder,
)
from ..runtime.task import Task
from ..telemetry.catalogue.orders import ORDER_FAILED
from ..telemetry.logs import log_event
from .budget import WeightBudget
from .sender import OrderSender

logger = getLogger(__name__)

FAILURES = frozenset({OrderResult.REFUSED, OrderResult.STALE, OrderResult.UNKNOWN})


class OrderTask(Task[SendOrder | ReadState]):
    """Carries out `SendOrder` and `ReadState`, one call at a time.

    Orders that make an endpoint fetch weights wait here for their turn.

    Parameters
    ----------
    sender : OrderSender
    budget : WeightBudget
    clock : Clock
    tell : callable
        Takes the answers; must return at once, as `KernelTask.send` does.
    """

    def __init__(
        self,
        sender: OrderSender,
        budget: WeightBudget,
        clock: Clock,
        tell: Callable[[Message], None],
    ) -> None:
        super().__init__("orders")
        self.sender = sender
        self.budget = budget
        self.clock = clock
        self.tell = tell
        self.loads: deque[SendOrder] = deque()

    def wait_time(self) -> timedelta | None:
        """Return the time until the next load may be permitted."""
        if not self.loads:
            return None
        return self.budget.due - self.clock.monotonic()

    def idle(self) -> None:
        """Send the next load if it is permitted now."""
        if not self.loads or self.budget.due > self.clock.monotonic():
            return
        if not self.sender.may_send(self.loads[0]):
            # Asking would spend a permission on an order that can't go out.
            self._send(self.loads.popleft())
        elif self.budget.take():
            self._send(self.loads.popleft())

    def receive(self, message: SendOrder | ReadState) -> None:
        """Carry out a command, or put a load in the queue."""
        if isinstance(message, ReadState):
            self.tell(self.sender.read_state(message))
        elif message.fetches_weights:
            self.loads.append(message)
        else:
            self._send(message)
        self.idle()

    def _send(self, command: SendOrder) -> None:
        answered = self.sender.send(command)
        self.tell(answered)
        if answered.result in FAILURES:
            _log_failure(answered)


def _log_failure(answered: OrderAnswered) -> None:
    why = f"{answered.result.value} {answered.detail}".strip()
    log_event(
        logger,
        ORDER_FAILED,
        order=answered.order.order_id,
        endpoint=answered.endpoint,
        why=why,
    )
