"""Evacuated availability zones; the key is the zone.

The number was another kind's once, in releases that refuse datagrams with kinds that
they do not know; they cannot be in a fleet with this one.
"""

from datetime import timedelta
from typing import Annotated, cast

import msgspec

from ...directory.row_version import RowVersion
from ...directory.zone_state import ZoneState
from ..ids import IdReader, IdWriter
from .base import Kind, register

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class EvacuationCodec:
    """A state as a list of three."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        state = cast(ZoneState, value)
        return [state.version.era, state.version.number, state.evacuated]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        era, number, evacuated = msgspec.convert(packed, tuple[Number, Number, bool])
        return ZoneState(evacuated, RowVersion(era, number))


SOON = timedelta(milliseconds=5)

EVACUATIONS = register(
    Kind(
        6,
        EvacuationCodec(),
        coalesce=SOON,
        relay_after=SOON,
        outlives_silence=True,
    )
)
