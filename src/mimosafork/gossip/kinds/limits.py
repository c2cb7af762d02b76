"""Rate limits that endpoints stated in their responses."""

from datetime import timedelta
from typing import Annotated, cast

import msgspec

from ..ids import IdReader, IdWriter
from .base import Kind, register

PerSecond = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class LimitNote(msgspec.Struct, frozen=True):
    """What a response stated.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None if the limit has ended.
    response_ms : int
        Time between the request and its response.
    """

    per_s: float | None
    response_ms: int


class LimitCodec:
    """A note as a list of two."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        note = cast(LimitNote, value)
        return [note.per_s, note.response_ms]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        per_s, response_ms = msgspec.convert(
            packed, tuple[PerSecond | None, Milliseconds]
        )
        return LimitNote(per_s, response_ms)


LIMITS = register(
    Kind(
        8,
        LimitCodec(),
        coalesce=timedelta(milliseconds=5),
        lifetime=timedelta(seconds=30),
        outlives_silence=True,
    )
)
