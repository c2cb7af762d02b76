"""Server-sent events of a streamed answer, as typed values."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from ..network.decoding import UNDECODABLE
from .errors import UnreadableAnswerError

END = "[DONE]"
BLOCK_END = b"\n\n"


class ProblemBody(msgspec.Struct, frozen=True):
    """Why there is no answer: the members of RFC 9457 and our own."""

    title: str = ""
    detail: str = ""
    status: int = 0
    outcome: str = "unknown"
    request_id: str = ""
    retry_after: int | None = None


class ChoiceBody(msgspec.Struct, frozen=True):
    """One choice in an event."""

    text: str = ""
    finish_reason: str | None = None


class EventBody(msgspec.Struct, frozen=True):
    """The data of one event."""

    choices: tuple[ChoiceBody, ...] = ()
    error: ProblemBody | None = None


@dataclass(frozen=True, slots=True)
class TextEvent:
    """A piece of the answer.

    Attributes
    ----------
    offset : int or None
        Tokens of the answer up to and with this piece.
    """

    text: str
    offset: int | None
    finish: str | None


@dataclass(frozen=True, slots=True)
class ErrorEvent:
    """The answer was given up in the middle."""

    problem: ProblemBody


@dataclass(frozen=True, slots=True)
class EndEvent:
    """The answer is whole."""


AnswerEvent = TextEvent | ErrorEvent | EndEvent


def read_events(chunks: Iterable[bytes]) -> Iterator[AnswerEvent]:
    """Cut a body into events; what is left of a broken one is dropped.

    Raises
    ------
    UnreadableAnswerError
    """
    unread = b""
    for chunk in chunks:
        unread += chunk
        while BLOCK_END in unread:
            block, _, unread = unread.partition(BLOCK_END)
            event = _event_of(block)
            if event is not None:
                yield event


def read_problem(body: bytes, status: int) -> ProblemBody:
    """Return the problem that a refusal states.

    One that can't be read leaves open whether the request was run.
    """
    try:
        return msgspec.json.decode(body, type=ProblemBody)
    except UNDECODABLE:
        return ProblemBody(title=f"status {status}", status=status)


def _event_of(block: bytes) -> AnswerEvent | None:
    fields = _fields(block)
    data = fields.get("data", "")
    if not data:
        return None
    if data == END:
        return EndEvent()
    body = _decoded(data)
    if body.error is not None:
        return ErrorEvent(body.error)
    offset = fields.get("id")
    text = "".join(choice.text for choice in body.choices)
    reasons = [each.finish_reason for each in body.choices if each.finish_reason]
    is_number = offset is not None and offset.isdecimal()
    number = int(offset) if offset is not None and is_number else None
    return TextEvent(text, number, reasons[0] if reasons else None)


def _fields(block: bytes) -> dict[str, Any]:
    lines = block.decode("utf-8", "replace").split("\n")
    pairs = (line.partition(":") for line in lines if line and line[0] != ":")
    return {name: value.removeprefix(" ") for name, _, value in pairs}


def _decoded(data: str) -> EventBody:
    try:
        return msgspec.json.decode(data, type=EventBody)
    except UNDECODABLE as error:
        raise UnreadableAnswerError(f"an event can't be read: {error}") from error
