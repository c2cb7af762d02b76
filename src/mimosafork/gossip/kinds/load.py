"""The works that run for an instance, so that others know what endpoints bear."""

from datetime import timedelta
from typing import cast

import msgspec

from ...ids import EndpointId
from ..errors import BadDatagramError
from ..ids import IdReader, IdWriter
from .base import Kind, register


class Part(msgspec.Struct, frozen=True):
    """Tokens of a prompt that a helper reads, or that an engine holds."""

    helper: EndpointId
    tokens: int


class WorkNote(msgspec.Struct, frozen=True):
    """One running work, as of the instant of the note.

    Ages go on by themselves at the receiver: a note is to be told anew when a work
    begins, writes its first event or gets other helpers, not because time passes.

    Parameters
    ----------
    number : int
        Tells the works of one instance apart; small.
    host : EndpointId
        Endpoint that writes the answer.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and expected length of the answer.
    longest_pause_ms : int
        Longest pause between events that is on time, 0 where none is asked.
    age_ms : int
        Since the work began.
    writing_ms : int or None
        Since its first event; None before it.
    parts : tuple of Part
        What helpers read.
    held : tuple of Part
        Where the memory of a prompt is that is larger than one engine's; empty where
        its host holds it all.
    """

    number: int
    host: EndpointId
    prompt_tokens: int
    answer_tokens: int
    longest_pause_ms: int = 0
    age_ms: int = 0
    writing_ms: int | None = None
    parts: tuple[Part, ...] = ()
    held: tuple[Part, ...] = ()


class WireNote(msgspec.Struct, array_like=True):
    """A note as it travels; parts are pairs of index and tokens.

    What is held goes last and only where there is some, as such prompts are rare.
    """

    number: int
    host: int
    prompt: int
    answer: int
    pause: int
    age: int
    writing: int | None
    parts: list[int]
    held: list[int] = []


class LoadCodec:
    """Notes with indexes in place of ids."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        note = cast(WorkNote, value)
        packed: list[object] = [
            note.number,
            ids.index(note.host),
            note.prompt_tokens,
            note.answer_tokens,
            note.longest_pause_ms,
            note.age_ms,
            note.writing_ms,
            flat(note.parts, ids),
        ]
        if note.held:
            packed.append(flat(note.held, ids))
        return packed

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        wire = msgspec.convert(packed, WireNote)
        return WorkNote(
            number=wire.number,
            host=ids.endpoint(wire.host),
            prompt_tokens=wire.prompt,
            answer_tokens=wire.answer,
            longest_pause_ms=wire.pause,
            age_ms=wire.age,
            writing_ms=wire.writing,
            parts=parts_of(wire.parts, ids) if wire.parts else (),
            held=parts_of(wire.held, ids) if wire.held else (),
        )


def flat(parts: tuple[Part, ...], ids: IdWriter) -> list[int]:
    """Return parts as pairs of index and tokens."""
    numbers: list[int] = []
    for part in parts:
        numbers += (ids.index(part.helper), part.tokens)
    return numbers


def parts_of(numbers: list[int], ids: IdReader) -> tuple[Part, ...]:
    """Return the parts that pairs of index and tokens stand for.

    Raises
    ------
    BadDatagramError
        If a number is missing.
    """
    if len(numbers) % 2:
        raise BadDatagramError("a helper has no tokens")
    pairs = zip(numbers[::2], numbers[1::2], strict=True)
    return tuple(Part(ids.endpoint(each), tokens) for each, tokens in pairs)


SOON = timedelta(milliseconds=4)
"""Instances that place calls before they hear of one another's choose the same engines,
so that a work is told almost at once."""

LOAD = register(Kind(5, LoadCodec(), coalesce=SOON, relayed=False))
