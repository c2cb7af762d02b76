"""Splitter for server-sent events."""

import re
from collections.abc import Iterator

import msgspec

from .errors import BadResponseError, EventOrderError
from .event_id import EventId, parse_event_id

EVENT_END = re.compile(rb"\n\r?\n|\r\r")
LONGEST_END = 3
LINE_END = re.compile(rb"\r\n|\n|\r")
COMMENT = b":"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_LINE = re.compile(rb"id(?<![^\r\n]id)(?::[ ]?([^\r\n]*))?(?=[\r\n]|$)")
DATA_LINE = re.compile(rb"data(?<![^\r\n]data)(?=[:\r\n]|$)")
"""The beginning of the line is checked last, as the search for a fixed text is fast."""

EVENT_STREAM = b"text/event-stream"
EVENT_BLOCK = re.compile(
    rb"(?:\xef\xbb\xbf)?"
    rb"(?:(?::[^\r\n]*|[A-Za-z][A-Za-z0-9_-]*(?::[^\r\n]*)?)?(?:\r\n|\n|\r(?!\n)))+"
)
"""Lines that are comments, fields or empty, after an optional byte order mark.

No two alternatives match the same bytes: CR LF that could be read as two line ends
would double the time of a failing match with each line."""

MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024
BLOCK_COST_BYTES = 256
"""A block counts as so many bytes more, as handling it takes time whatever its size."""

SLICE_BYTES = 4096


class RawStreamEvent(msgspec.Struct, frozen=True):
    """One event with its terminating empty line.

    Attributes
    ----------
    id : EventId or None
        None if it states none that is a number.
    """

    data: bytes
    id: EventId | None

    @property
    def number(self) -> int | None:
        """The number that is its id, if any."""
        return None if self.id is None else self.id.number

    @property
    def is_unplaced(self) -> bool:
        """Whether it contains a part of the answer, and its place isn't known."""
        fields = self.data.removeprefix(BYTE_ORDER_MARK)
        return self.id is None and DATA_LINE.search(fields) is not None


class EventSplitter:
    """Splits a byte stream into complete events.

    An endpoint may break off in the middle of an event. A caller that had received the
    first half would join it with the next event, so only complete events are returned.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.event_count = 0

    def feed(self, data: bytes) -> list[RawStreamEvent]:
        """Add received bytes; return the events that they complete."""
        # The buffer holds no complete terminator, so a new one ends in the new bytes.
        # Searching the whole buffer each time would be quadratic for a long event that
        # arrives in many pieces.
        searched = max(0, len(self.buffer) - LONGEST_END + 1)
        self.buffer += data
        events = []
        start = 0
        for match in EVENT_END.finditer(self.buffer, searched):
            block = bytes(self.buffer[start : match.end()])
            start = match.end()
            events.append(RawStreamEvent(block, event_id_of(block)))
        del self.buffer[:start]
        self.event_count += len(events)
        return events

    @property
    def inside_event(self) -> bool:
        """Whether the bytes so far end inside an event.

        Empty lines and complete comments after the last event belong to none.
        """
        *lines, unfinished = LINE_END.split(self.buffer)
        return bool(unfinished) or any(
            line and not line.startswith(COMMENT) for line in lines
        )

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self.buffer)


class EventReader:
    """Splits the stream of one attempt, and rejects what is no stream of events.

    The events of a stream have increasing ids. An endpoint in trouble may send blank
    lines, comments, repeated events or garbage without end, which would keep the
    processor busy and the caller waiting.
    """

    def __init__(self) -> None:
        self.splitter = EventSplitter()
        self.latest_id: int | None = None
        self.bytes_without_progress = 0

    def feed(self, data: bytes) -> Iterator[RawStreamEvent]:
        """Yield the events that received bytes complete.

        Raises
        ------
        BadResponseError
            If they are no events, out of order, or too many do not advance the stream.
        """
        # In slices, as a block may be as short as two bytes.
        for start in range(0, len(data), SLICE_BYTES):
            for event in self.splitter.feed(data[start : start + SLICE_BYTES]):
                self._check(event)
                yield event
        if len(self.splitter.buffer) > MAX_BYTES_WITHOUT_PROGRESS:
            raise BadResponseError("an event of the stream is too long")

    def _check(self, event: RawStreamEvent) -> None:
        if EVENT_BLOCK.fullmatch(event.data) is None:
            raise BadResponseError("the stream contains bytes that are no event")
        number = event.number
        if number is not None:
            if self.latest_id is not None and number <= self.latest_id:
                raise EventOrderError(event.data)
            self.latest_id = number
            self.bytes_without_progress = 0
            return
        self.bytes_without_progress += len(event.data) + BLOCK_COST_BYTES
        if self.bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS:
            raise BadResponseError("the stream does not advance")


def event_id_of(block: bytes) -> EventId | None:
    """Return the id of an event if it is a number, or None.

    Of several id lines the last one is in force.
    """
    texts = ID_LINE.findall(block.removeprefix(BYTE_ORDER_MARK))
    if not texts:
        return None
    event_id = parse_event_id(texts[-1].rstrip(b" "))
    return None if event_id.number is None else event_id
