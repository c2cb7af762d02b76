"""Whole events of an event stream, with their ids."""

import re

import msgspec

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
LONGEST_END = 4
EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,18})[ ]*(?=[\r\n]|$)")
EVENT_STREAM = b"text/event-stream"


class RawStreamEvent(msgspec.Struct, frozen=True):
    """One event with the empty line that ends it; `number` is its id, if any."""

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts a stream into whole events.

    An endpoint may stop in the middle of an event. A caller that got the first half
    would join it to whatever follows, so only whole events leave this class.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[RawStreamEvent]:
        """Take bytes; return the events that they complete."""
        # No end was found before: a new one ends in the new bytes. Searching all
        # again would make a long event in many pieces cost the square of its length.
        searched = max(0, len(self.buffer) - LONGEST_END + 1)
        self.buffer += data
        events = []
        start = 0
        for match in EVENT_END.finditer(self.buffer, searched):
            block = bytes(self.buffer[start : match.end()])
            start = match.end()
            events.append(RawStreamEvent(block, event_id_of(block)))
        del self.buffer[:start]
        return events

    @property
    def remainder(self) -> bytes:
        """What came after the last whole event."""
        return bytes(self.buffer)


def event_id_of(block: bytes) -> int | None:
    """Return the id of an event; None if it has none."""
    match = EVENT_ID.search(block)
    return int(match[1]) if match else None
