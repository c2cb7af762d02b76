"""Requests and repeats that an instance has sent to a service in this life."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, cast

import msgspec

from ..ids import IdReader, IdWriter
from .base import Kind, register


@dataclass(frozen=True, slots=True)
class Spent:
    """Counters that only grow within a life.

    Parameters
    ----------
    requests : int
        Requests of callers on a route to the service.
    repeats : int
        Attempts beyond the first.
    """

    requests: int = 0
    repeats: int = 0


class SpentCodec:
    """Both counters."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        spent = cast(Spent, value)
        return [spent.requests, spent.repeats]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        fields: Any = msgspec.convert(packed, tuple[int, int])
        return Spent(*fields)


SPENDING = register(
    Kind(
        6,
        SpentCodec(),
        coalesce=timedelta(milliseconds=200),
        outlives_silence=True,
    )
)
