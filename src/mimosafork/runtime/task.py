"""A thread with a mailbox."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import timedelta
from logging import getLogger
from queue import Empty, SimpleQueue
from typing import Any, Generic, TypeVar

from ..telemetry.catalogue.lifecycle import TASK_FAILED
from ..telemetry.logs import log_event

logger = getLogger(__name__)

M = TypeVar("M")

JOIN_TIMEOUT = timedelta(seconds=5)


class Task(ABC, Generic[M]):
    """Owns its state; others reach it only by messages in its mailbox.

    Parameters
    ----------
    name : str
        Name of the thread, shown in logs.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox: SimpleQueue[M | None] = SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def send(self, message: M) -> None:
        """Put a message into the mailbox; from any thread, never blocks."""
        self.mailbox.put(message)

    def stop(self, timeout: timedelta = JOIN_TIMEOUT) -> None:
        """Have the task end after the messages that it already has."""
        self.mailbox.put(None)
        if self.thread.ident is not None:
            self.thread.join(timeout.total_seconds())

    def wait_time(self) -> timedelta | None:
        """Return how long to wait for a message before `idle`; None: for ever."""
        return None

    def idle(self) -> None:
        """Do what is due by time; called when `wait_time` has passed."""

    @abstractmethod
    def receive(self, message: M) -> None:
        """Handle one message, in the task's own thread."""

    def _run(self) -> None:
        while True:
            wait = self.wait_time()
            try:
                message = self.mailbox.get(
                    timeout=None if wait is None else max(0.0, wait.total_seconds())
                )
            except Empty:
                self._guarded(self.idle)
                continue
            if message is None:
                return
            self._guarded(self.receive, message)

    def _guarded(self, step: Callable[..., None], *arguments: Any) -> None:
        """Run a step so that one bad message can't end the task.

        An exception that left the loop would kill the thread silently: the
        process would look alive and answer nothing. It is logged with its trace
        and the next message is handled.
        """
        try:
            step(*arguments)
        except Exception:
            log_event(logger, TASK_FAILED, exc_info=True, task=self.name)
