"""Decides whether a response that has ended is complete."""

from enum import Enum

from .event_stream import EventSplitter
from .response_reader import ResponseHead


class ResponseEnd(Enum):
    """How a response ended."""

    FRAMED = "framed"
    """Its length or its last chunk says that it is complete."""
    CONNECTION_CLOSED = "closed"
    """It has neither, and the endpoint closed the connection in an orderly way."""
    BROKEN_OFF = "broken-off"
    """Part of it is missing, whatever its framing says."""


def end_of_response(head: ResponseHead) -> ResponseEnd:
    """Return how a response without events ended.

    If it isn't framed, one that broke off looks like a complete one.
    """
    return ResponseEnd.FRAMED if head.framed else ResponseEnd.CONNECTION_CLOSED


def end_of_stream(head: ResponseHead, splitter: EventSplitter) -> ResponseEnd:
    """Return how an event stream ended.

    A crashed endpoint may close its connections in an orderly way, or be behind a
    server that ends the framing for it. A stream that isn't framed and breaks off
    exactly between two events looks like a complete one.
    """
    if splitter.inside_event or not (head.framed or splitter.event_count):
        return ResponseEnd.BROKEN_OFF
    return end_of_response(head)


def end_of(head: ResponseHead, events: EventSplitter | None) -> ResponseEnd:
    """Return how a response ended; `events` splits its body if it is a stream."""
    return end_of_response(head) if events is None else end_of_stream(head, events)
