"""The way of log records from the threads that log to the one that writes."""

import logging
import threading
from datetime import timedelta
from logging.handlers import QueueHandler, QueueListener
from queue import Empty, Full, Queue
from typing import Any

from ..clock import Clock, SystemClock
from .budget import SAID_EVERY, LeftOut, LineBudget
from .catalogue.lifecycle import LOG_LINES_LEFT_OUT, LOG_RECORDS_DROPPED
from .events import Event, Importance
from .messages import EventMessage

QUEUE_LIMIT = 10_000
WAKE = object()
"""Has the writing thread look at the budget."""

STOP_TIMEOUT = timedelta(seconds=2)
"""How long a stop waits for the reader of stderr."""


class DroppingHandler(QueueHandler):
    """Queue records, and drop them where the queue is full.

    A reader of stderr that stops reading blocks whoever writes to the pipe. If the
    threads that serve requests wrote themselves, all streams would stand still at
    their next log line; here they only ever put into a queue without waiting.

    Parameters
    ----------
    limit : int
        How many records may wait.
    budget : LineBudget, optional
        Leaves out what there is too much of, before it waits.
    """

    def __init__(
        self, limit: int = QUEUE_LIMIT, budget: LineBudget | None = None
    ) -> None:
        self.records: Queue[Any] = Queue(limit)
        self.dropped = 0
        self.budget = budget
        super().__init__(self.records)

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; it stays in this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record into the queue, or count it as dropped.

        `logging` holds this handler's lock here, so that the count is exact.
        """
        if self.budget is not None:
            said = self.budget.due_in() is not None
            if not self.budget.admits(importance_of(record)):
                # The writing thread waits for records; it must wake to say in a
                # second what was left out, though none may come any more.
                if not said:
                    self.put(WAKE)
                return
        if not self.put(record):
            self.dropped += 1

    def put(self, item: object) -> bool:
        """Put something into the queue without waiting; return whether it is in."""
        try:
            self.records.put_nowait(item)
        except Full:
            return False
        return True


class LineWriter(logging.StreamHandler[Any]):
    """Writes lines to a stream, in the listener's thread alone.

    It has no lock: at the end of a process `logging` takes the lock of each handler,
    and that of one whose thread is stuck in a pipe that nobody reads would never be
    free.
    """

    def createLock(self) -> None:  # noqa: N802
        """Do without a lock."""
        self.lock = None


class LogListener(QueueListener):
    """Write queued records in a thread of its own.

    Parameters
    ----------
    source : DroppingHandler
        Whose records are written.
    writer : logging.Handler
        Writes them.
    clock : Clock, optional
    """

    def __init__(
        self,
        source: DroppingHandler,
        writer: logging.Handler,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(source.records, writer)
        self.source = source
        self.clock = clock or SystemClock()
        self.stop_timeout = STOP_TIMEOUT
        self.reported = 0
        self.reported_at: timedelta | None = None
        self.ending = False

    def dequeue(self, block: bool) -> Any:
        """Return the next record, or what was left out once that is due."""
        while True:
            due = self.source.budget.due_in() if self.source.budget else None
            if due is not None and (self.ending or due <= timedelta(0)):
                return self.left_out_record()
            if self.ending:
                return None
            try:
                wait_s = None if due is None else due.total_seconds()
                item = self.source.records.get(block, wait_s)
            except Empty:
                continue
            if item is None:
                self.ending = True
            elif item is not WAKE:
                return item

    def left_out_record(self) -> logging.LogRecord:
        """Return the record of what the budget left out."""
        assert self.source.budget is not None
        left_out = self.source.budget.take()
        assert left_out is not None
        return record_of(LOG_LINES_LEFT_OUT, left_out_fields(left_out))

    def handle(self, record: logging.LogRecord) -> None:
        """Write a record, and before it what was dropped, once a second."""
        lost = self.source.dropped - self.reported
        if lost and self.may_report():
            self.reported += lost
            super().handle(record_of(LOG_RECORDS_DROPPED, {"count": lost}))
        super().handle(record)

    def may_report(self) -> bool:
        """Return whether it is a second since drops were told; note that they are."""
        now = self.clock.monotonic()
        if self.reported_at is not None and now - self.reported_at < SAID_EVERY:
            return False
        self.reported_at = now
        return True

    def stop(self) -> None:
        """Write what is queued and end, or give up after its timeout.

        With a reader that has stopped reading, the thread would never come to the
        end of its queue and the process would never exit. The thread is a daemon:
        left behind, it does not keep the process.
        """
        thread: threading.Thread | None = getattr(self, "_thread", None)
        if thread is None:
            return
        timeout_s = self.stop_timeout.total_seconds()
        try:
            self.source.records.put(None, timeout=timeout_s)
        except Full:
            return
        thread.join(timeout_s)
        self._thread = None


def importance_of(record: logging.LogRecord) -> Importance:
    """Return how important a record is; one of a library, or an error, is."""
    event: Event | None = getattr(record.msg, "event", None)
    return Importance.BELIEF if event is None else event.importance


def left_out_fields(left_out: LeftOut) -> dict[str, object]:
    """Return the fields of the line that says what was left out."""
    return {
        "seconds": round(left_out.lasted.total_seconds(), 1),
        "served": left_out.counts[Importance.SERVED],
        "calls": left_out.counts[Importance.CALL],
        "others": left_out.counts[Importance.BELIEF],
    }


def record_of(event: Event, fields: dict[str, object]) -> logging.LogRecord:
    """Return the record of an event of the logging itself."""
    message = EventMessage(event, fields)
    return logging.LogRecord(__name__, event.level, "", 0, message, None, None)
