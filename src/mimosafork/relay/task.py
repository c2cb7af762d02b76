"""The task that owns the sockets of all streams."""

import socket
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger
from queue import Empty
from selectors import EVENT_READ, DefaultSelector

from ..claims.replayer import AnswerToReplay
from ..clock import Clock
from ..ids import RequestId
from ..kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from ..kernel.messages.base import Message
from ..kernel.messages.dispatch import CancelAttempt, Dispatch
from ..kernel.messages.outcomes import Conclude
from ..kernel.messages.placement import GangStepFailure, PrefillSegment, SegmentFailed
from ..runtime.kernel_task import KernelTask
from ..runtime.task import Task
from .cancelling import drop_opened
from .exchange import Exchange
from .limits import RelayLimits
from .messages import CallerAttached, Opened, OpenFailed, RelayMessage
from .ports import OpensCalls, RelayPorts

logger = getLogger(__name__)

EVENTS_BETWEEN_MAILS = 32
"""Ready sockets that are served before the mailbox is looked at again: new
requests and final answers go ahead of the streams."""


class RelayTask(Task[RelayMessage]):
    """Moves answers by readiness, in one thread.

    Parameters
    ----------
    clock : Clock
    connector : OpensCalls
    tell_kernel : Callable
        Takes messages for the kernel; never blocks.
    limits : RelayLimits, optional
    """

    def __init__(
        self,
        clock: Clock,
        connector: OpensCalls,
        tell_kernel: Callable[[Message], None],
        limits: RelayLimits | None = None,
    ) -> None:
        super().__init__("relay")
        self.clock = clock
        self.selector = DefaultSelector()
        self.ports = RelayPorts(
            selector=self.selector,
            connector=connector,
            tell_kernel=tell_kernel,
            limits=limits or RelayLimits(),
            now_s=clock.monotonic().total_seconds(),
        )
        self.exchanges: dict[RequestId, Exchange] = {}
        self.next_sweep_s = 0.0
        self.sweep_interval_s = self.ports.limits.sweep_interval.total_seconds()
        self.stopping = False
        self.wake_pending = False
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.wake_sender.setblocking(False)
        self.selector.register(self.wake_receiver, EVENT_READ, self._woken)

    def register(self, kernel_task: KernelTask) -> None:
        """Take the effects that concern answers."""
        for effect in (Dispatch, CancelAttempt, Conclude, PrefillSegment):
            kernel_task.register(effect, self.send)

    def send(self, message: RelayMessage) -> None:
        """Put a message into the mailbox; from any thread, never blocks."""
        super().send(message)
        self._wake()

    def stop(self, *arguments: object) -> None:
        """End the task after the messages that it already has."""
        self.mailbox.put(None)
        self._wake()
        if self.thread.ident is not None:
            self.thread.join(5.0)

    def turned_at(self) -> timedelta:
        """Return when the loop last came round; from any thread."""
        return timedelta(seconds=self.ports.now_s)

    def _wake(self) -> None:
        """End the loop's wait, at the cost of one call for many messages."""
        if self.wake_pending:
            return
        self.wake_pending = True
        try:
            self.wake_sender.send(b"\0")
        except BlockingIOError:
            # The buffer is full of wake-ups that the loop has not read yet.
            return

    def _run(self) -> None:
        while not self.stopping:
            ready = self.selector.select(self.sweep_interval_s)
            self.ports.now_s = self.clock.monotonic().total_seconds()
            for number, (key, mask) in enumerate(ready):
                if number % EVENTS_BETWEEN_MAILS == 0:
                    self._drain_mailbox()
                self._guarded(key.data, mask)
            if self.ports.now_s >= self.next_sweep_s:
                self._sweep()

    def _woken(self, mask: int) -> None:
        """Read the wake-ups, then the mailbox.

        In this order: a sender that finds the flag set relies on the mailbox
        being read after the flag is cleared, and on its own byte not being taken
        for an earlier one's. Read the other way round, its message would lie
        there until the next sweep.
        """
        try:
            self.wake_receiver.recv(4096)
        except BlockingIOError:
            return
        self.wake_pending = False
        self._drain_mailbox()

    def _drain_mailbox(self) -> None:
        while not self.stopping:
            try:
                message = self.mailbox.get_nowait()
            except Empty:
                return
            if message is None:
                self.stopping = True
                return
            self._guarded(self.receive, message)

    def _sweep(self) -> None:
        self.next_sweep_s = self.ports.now_s + self.sweep_interval_s
        for exchange in list(self.exchanges.values()):
            self._guarded(self._sweep_one, exchange)

    def _sweep_one(self, exchange: Exchange) -> None:
        exchange.sweep()
        self._forget_if_over(exchange)

    def _forget_if_over(self, exchange: Exchange) -> None:
        if exchange.over:
            del self.exchanges[exchange.request_id]
            self.ports.counters.exchanges = len(self.exchanges)
            self.ports.counters.held_bytes -= exchange.call.size

    @singledispatchmethod
    def receive(self, message: RelayMessage) -> None:
        """Handle one message, in the relay's own thread."""
        raise NotImplementedError(type(message).__name__)

    @receive.register
    def _(self, message: CallerAttached) -> None:
        request_id = message.request.request_id
        self.exchanges[request_id] = Exchange(message, self.ports)
        self.ports.counters.exchanges = len(self.exchanges)
        self.ports.counters.held_bytes += message.call.size

    @receive.register
    def _(self, message: Dispatch) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is not None and not exchange.concluded:
            exchange.dispatched(message)
            return
        self.ports.tell_kernel(
            AttemptFailed(
                message.request_id,
                message.attempt,
                FailureKind.UNREACHED,
                Exposure.NEVER_SENT,
            )
        )

    @receive.register
    def _(self, message: PrefillSegment) -> None:
        exchange = self.exchanges.get(message.request_id)
        prefill = self.ports.prefill
        if exchange is not None and not exchange.concluded and prefill is not None:
            prefill(message, exchange.call)
            return
        self.ports.tell_kernel(
            SegmentFailed(
                message.request_id,
                message.stream_id,
                GangStepFailure.UNREACHED,
                Exposure.NEVER_SENT,
            )
        )

    @receive.register
    def _(self, message: CancelAttempt) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is not None:
            exchange.cancelled(message)

    @receive.register
    def _(self, message: Conclude) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is not None:
            exchange.conclude(message)
            self._forget_if_over(exchange)

    @receive.register
    def _(self, message: AnswerToReplay) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is not None:
            exchange.replay(message)

    @receive.register
    def _(self, message: Opened) -> None:
        exchange = self.exchanges.get(message.job.dispatch.request_id)
        if exchange is not None:
            exchange.opened(message)
        else:
            drop_opened(message, self.ports)

    @receive.register
    def _(self, message: OpenFailed) -> None:
        exchange = self.exchanges.get(message.job.dispatch.request_id)
        if exchange is not None:
            exchange.open_failed(message)
