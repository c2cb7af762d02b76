"""Endpoints that an instance has ejected, as a hint to others."""

from enum import IntEnum
from typing import cast

import msgspec

from ..ids import IdReader, IdWriter
from .base import Kind, register


class Reason(IntEnum):
    """Why an endpoint was ejected."""

    GREY = 1
    SLOW = 2
    UNREACHABLE = 3


class Doubt(msgspec.Struct, frozen=True):
    """An ejection; the zone of who doubts is its origin's."""

    reason: Reason


class DoubtCodec:
    """The reason's number."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        return int(cast(Doubt, value).reason)

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        return Doubt(msgspec.convert(packed, Reason))


DOUBT = register(Kind(4, DoubtCodec()))
