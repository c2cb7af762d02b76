"""Catches the product's log lines as they would be written."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mimosafork.telemetry.events import Event
from mimosafork.telemetry.formats import JsonFormatter
from mimosafork.telemetry.logs import PACKAGE_LOGGER


@dataclass
class CaughtLines:
    """Lines in the order in which they were logged, decoded."""

    lines: list[dict[str, Any]] = field(default_factory=list)

    def of(self, event: Event) -> list[dict[str, Any]]:
        """Return the fields of the lines of an event."""
        return [line["fields"] for line in self.lines if line["event"] == event.code]

    def one(self, event: Event) -> dict[str, Any]:
        """Return the fields of the only line of an event."""
        (found,) = self.of(event)
        return found


class Catcher(logging.Handler):
    """Formats records as JSON and keeps what that gives."""

    def __init__(self, caught: CaughtLines) -> None:
        super().__init__()
        self.caught = caught
        self.setFormatter(JsonFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record's line."""
        self.caught.lines.append(msgspec.json.decode(self.format(record)))


@contextmanager
def caught_lines(level: int = logging.INFO) -> Iterator[CaughtLines]:
    """Catch what the product logs from a level on."""
    caught = CaughtLines()
    logger = logging.getLogger(PACKAGE_LOGGER)
    level_before, handler = logger.level, Catcher(caught)
    logger.addHandler(handler)
    logger.setLevel(level)
    try:
        yield caught
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level_before)
