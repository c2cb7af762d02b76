"""Reads log lines of several instances, and counts those that can't be read."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

import msgspec

from ..network.decoding import UNDECODABLE

UNNAMED = "?"


class WrittenLine(msgspec.Struct):
    """A line as the product writes it; fields are decoded only where needed."""

    event: str
    fields: msgspec.Raw
    time: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line that matters.

    Attributes
    ----------
    instance : str
        Who wrote it: the last word before the line's JSON, else its file's name.
    """

    instance: str
    time: str
    event: str
    message: str
    fields: dict[str, Any]

    @property
    def instant(self) -> datetime:
        """Wall time of the instance."""
        return datetime.fromisoformat(self.time)

    def number(self, name: str) -> int:
        """Return a field as a whole number; 0 if there is none."""
        value = self.fields.get(name)
        return int(value) if isinstance(value, (int, float)) else 0

    def text(self, name: str) -> str:
        """Return a field as text; empty if there is none."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def names(self, name: str) -> list[str]:
        """Return a field that is a list joined by commas."""
        return [each for each in self.text(name).split(",") if each]


@dataclass(frozen=True, slots=True)
class LogSource:
    """An open log.

    Attributes
    ----------
    name : str
        Taken for the instance's where its lines name none.
    size : int
        In bytes; 0 if it is not known.
    """

    name: str
    stream: Iterable[bytes]
    size: int = 0


@dataclass(slots=True)
class Tally:
    """How many lines were read, and how many of them could not be."""

    lines: int = 0
    bad: int = 0


Wanted = Callable[[str, bytes], bool]
"""Whether a line is to be decoded, by its event and its bytes."""


@dataclass(slots=True)
class LogReader:
    """Reads logs line by line.

    Parameters
    ----------
    wanted : callable
        Chooses lines.
    progress : callable, optional
        Told of bytes that were read.

    Attributes
    ----------
    tally : Tally
    """

    wanted: Wanted
    progress: Callable[[int], None] = lambda count: None
    tally: Tally = field(default_factory=Tally)

    def read(self, sources: Iterable[LogSource]) -> list[LogLine]:
        """Return the wanted lines of all logs, by time."""
        found = [line for source in sources for line in self._lines(source)]
        # The sort is stable: lines of one instance that share a millisecond stay in
        # the order in which they were written.
        return sorted(found, key=lambda line: line.time)

    def _lines(self, source: LogSource) -> Iterator[LogLine]:
        decode = msgspec.json.Decoder(WrittenLine).decode
        told = 0
        for raw in source.stream:
            told += len(raw)
            if told > REPORT_BYTES:
                self.progress(told)
                told = 0
            if not raw.strip():
                continue
            self.tally.lines += 1
            begin = raw.find(b"{")
            try:
                written = decode(raw[begin:] if begin > 0 else raw)
                if self.wanted(written.event, raw):
                    yield line_of(written, raw[: max(begin, 0)], source.name)
            except UNDECODABLE:
                self.tally.bad += 1
        self.progress(told)


REPORT_BYTES = 1 << 20


def line_of(written: WrittenLine, prefix: bytes, name: str) -> LogLine:
    """Return a whole line.

    Raises
    ------
    msgspec.MsgspecError
        If its fields are no JSON object.
    """
    fields = msgspec.json.decode(written.fields, type=dict[str, Any])
    words = prefix.decode("utf-8", "replace").split()
    instance = words[-1] if words else name
    return LogLine(instance, written.time, written.event, written.message, fields)


def shifted(time: str, by: timedelta) -> str:
    """Return a line's time moved by some, in the form in which lines have it."""
    return (datetime.fromisoformat(time) + by).isoformat(timespec="milliseconds")
