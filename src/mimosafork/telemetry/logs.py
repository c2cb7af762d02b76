"""Structured logging of numbered events over the standard library's `logging`."""

import logging
from datetime import timedelta
from enum import Enum
from types import TracebackType
from typing import Protocol

import msgspec

from ..clock import SystemClock
from .budget import LineBudget
from .events import Event
from .formats import JsonFormatter, PlainFormatter
from .messages import EventMessage
from .pipeline import (
    QUEUE_LIMIT,
    STOP_TIMEOUT,
    DroppingHandler,
    LineWriter,
    LogListener,
)

PACKAGE_LOGGER = "mimosafork"


class LogFormat(Enum):
    """How a log line is written."""

    TEXT = "text"
    JSON = "json"


class LogOptions(msgspec.Struct, frozen=True):
    """What the settings say about logs.

    Parameters
    ----------
    level : str
        Lowest level of the product's own lines, as `logging` names it.
    format : LogFormat
        How they are written.
    library_level : str
        Lowest level of the libraries' lines.
    """

    level: str = "INFO"
    format: LogFormat = LogFormat.TEXT
    library_level: str = "WARNING"


class LogLimits(msgspec.Struct, frozen=True):
    """What the logs of a process may cost.

    Parameters
    ----------
    queue : int
        Records that may wait for the reader.
    rate : float or None
        Lines a second; None for no bound.
    burst : float
        Lines that may come at once.
    stop_timeout : timedelta
        How long a stop waits for the reader.
    """

    queue: int = QUEUE_LIMIT
    rate: float | None = None
    burst: float = 0.0
    stop_timeout: timedelta = STOP_TIMEOUT

    def budget(self) -> LineBudget | None:
        """Return a new budget of lines, if there is a bound."""
        if self.rate is None:
            return None
        return LineBudget(SystemClock(), self.rate, self.burst)


class LineStream(Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> int:
        """Take a text."""

    def flush(self) -> None:
        """Pass on what was taken."""


def log_event(
    logger: logging.Logger,
    event: Event,
    *,
    exc_info: BaseException | bool | None = None,
    **fields: object,
) -> None:
    """Log an event.

    Parameters
    ----------
    logger : logging.Logger
        The module's own.
    event : Event
        From the catalogue.
    exc_info : BaseException or bool, optional
        Exception whose trace is logged too; True for the one being handled.
    **fields : object
        Those of the event's message, and any that help to search.
    """
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level, EventMessage(event, fields), exc_info=exc_info, stacklevel=2
        )


class Logging:
    """Logging of a process, from start to stop.

    Records go through a bounded queue to one thread that writes them, so that a
    reader who stops reading cannot hold up the threads that serve
    requests: the queue fills, records are dropped and counted, and the count is
    logged once there is room.

    Parameters
    ----------
    options : LogOptions
        From the settings.
    stream : LineStream
        Where lines go, as a rule ``sys.stderr``.
    limits : LogLimits, optional
    """

    def __init__(
        self,
        options: LogOptions,
        stream: LineStream,
        limits: LogLimits | None = None,
    ) -> None:
        chosen = limits or LogLimits()
        self.options = options
        self.handler = DroppingHandler(chosen.queue, chosen.budget())
        writer = LineWriter(stream)
        writer.setFormatter(formatter(options.format))
        self.listener = LogListener(self.handler, writer)
        self.listener.stop_timeout = chosen.stop_timeout

    def start(self) -> "Logging":
        """Route the process's log records here.

        Returns
        -------
        Logging
            Itself.
        """
        root = logging.getLogger()
        root.addHandler(self.handler)
        root.setLevel(self.options.library_level)
        logging.getLogger(PACKAGE_LOGGER).setLevel(self.options.level)
        self.listener.start()
        return self

    def stop(self) -> None:
        """Write what is queued, as far as it is read, and stop."""
        logging.getLogger().removeHandler(self.handler)
        self.listener.stop()

    def __enter__(self) -> "Logging":
        return self.start()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()


def formatter(log_format: LogFormat) -> logging.Formatter:
    """Return the formatter of a format.

    Parameters
    ----------
    log_format : LogFormat
        From the settings.

    Returns
    -------
    logging.Formatter
        Which also hides secrets.
    """
    if log_format is LogFormat.JSON:
        return JsonFormatter()
    return PlainFormatter()
