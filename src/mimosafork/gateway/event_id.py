"""Ids of the events of a stream."""

import re

import msgspec

DIGITS = re.compile(rb"[0-9]{1,100}")
"""Limited, as the conversion to a number takes quadratic time."""


class EventId(msgspec.Struct, frozen=True):
    """Id of an event, as it is written.

    Attributes
    ----------
    text : bytes
    number : int or None
        Its place in the order of the events; None if it is no number, so that its place
        is unknown.
    """

    text: bytes
    number: int | None

    def __str__(self) -> str:
        """Return the text."""
        return self.text.decode("latin-1")


def parse_event_id(text: bytes) -> EventId:
    """Return the id that a text states."""
    number = int(text) if DIGITS.fullmatch(text) else None
    return EventId(text, number)
