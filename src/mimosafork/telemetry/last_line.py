"""The last line of a process: why it ends, whatever ends it."""

import faulthandler
import logging
import select
import threading
from datetime import timedelta
from types import TracebackType

from .catalogue.lifecycle import PROCESS_ENDED, PROCESS_FAILED, THREAD_FAILED
from .events import Event
from .pipeline import record_of
from .writing import DescriptorStream

STDERR = 2
PATIENCE = timedelta(milliseconds=300)
"""How long the last line waits for a reader that stands still."""

LONGEST_REASON = 200
"""Characters; with it a line is shorter than what a pipe takes at once, also where each
is written as an escape, twice."""

BARE = "-"
"""Stands for what is not known."""


class LastLine:
    """Writes, as the last thing, why the process ends.

    To be entered before the process's logging starts and left after it has stopped, in
    the main thread. The line goes straight to the descriptor.

    Guard: an exception that leaves the loop, and a thread that fails, are told on
    standard error alone, and the log ends in the midst of served calls. By way of the
    logging the line could be left out: its queue is full or its budget spent just when
    the process ends by what fills them. A fault of a C library runs no more of this
    code; the interpreter's fault handler writes the trace to standard error. Only
    a kill leaves nothing.

    Parameters
    ----------
    formatter : logging.Formatter
        Of the log's lines.
    descriptor : int
        Where they go.

    Attributes
    ----------
    patience : timedelta
        How long a line waits for its reader.
    """

    def __init__(self, formatter: logging.Formatter, descriptor: int) -> None:
        self.formatter = formatter
        self.descriptor = descriptor
        self.stream = DescriptorStream(descriptor)
        self.former_hook = threading.excepthook
        self.patience = PATIENCE
        self.spare = self.line_of(PROCESS_FAILED, {"why": BARE})

    def __enter__(self) -> "LastLine":
        """Begin to watch over threads and the interpreter."""
        # The thread at fault alone: another may run on while its frames are read, and
        # the reading then meets a fault of its own before it has come to this one.
        faulthandler.enable(STDERR, all_threads=False)
        self.former_hook = threading.excepthook
        threading.excepthook = self.thread_failed
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Write the line; the exception goes on to whoever starts the process."""
        threading.excepthook = self.former_hook
        if error is None:
            self.write(PROCESS_ENDED, {})
        else:
            self.write(PROCESS_FAILED, {"why": reason(error)})

    def thread_failed(self, failed: threading.ExceptHookArgs) -> None:
        """Write that a thread has ended by a fault, and its trace as before."""
        error = failed.exc_value or failed.exc_type()
        thread = BARE if failed.thread is None else failed.thread.name
        self.write(THREAD_FAILED, {"thread": thread, "why": reason(error)})
        self.former_hook(failed)

    def write(self, event: Event, fields: dict[str, object]) -> None:
        """Write an event's line, unless nobody reads within the patience.

        Guard: without memory the line cannot be put together, and the log would end
        without one just then. One that says nothing of the cause was made at the start.
        """
        try:
            line = self.line_of(event, fields)
        except Exception:  # noqa: BLE001
            line = self.spare
        if self.takes_a_line():
            self.stream.write(line)

    def line_of(self, event: Event, fields: dict[str, object]) -> str:
        """Return an event's line."""
        return self.formatter.format(record_of(event, fields)) + "\n"

    def takes_a_line(self) -> bool:
        """Wait until a line can be written without waiting; say whether it can.

        Guard: with a reader that stands still a write would never return, and the
        process never end.
        """
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(self.patience / timedelta(milliseconds=1)))


def reason(error: BaseException) -> str:
    """Return what an error says, as much of it as a line holds."""
    try:
        return repr(error)[:LONGEST_REASON]
    except Exception:  # noqa: BLE001
        return type(error).__name__
