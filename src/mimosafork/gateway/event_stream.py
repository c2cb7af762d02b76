"""Splitter for server-sent events."""

import re

import msgspec

EVENT_END = re.compile(rb"\n\r?\n|\r\r")
LONGEST_END = 3
LINE_END = re.compile(rb"\r\n|\n|\r")
COMMENT = b":"
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,18})[ ]*(?=[\r\n]|$)")
EVENT_STREAM = b"text/event-stream"


class RawStreamEvent(msgspec.Struct, frozen=True):
    """One event with its terminating empty line; `number` is its id, if any."""

    data: bytes
    number: int | None


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


def event_id_of(block: bytes) -> int | None:
    """Return the numeric id of an event, or None."""
    match = EVENT_ID.search(block)
    return int(match[1]) if match else None
