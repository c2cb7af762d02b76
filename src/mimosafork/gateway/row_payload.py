"""Rows of the store as they are transferred to a peer."""

from collections.abc import Mapping

import msgspec

from ..directory.row_version import RowVersion
from ..directory.rows import Row
from ..directory.zone_state import ZoneState
from ..ids import AvailabilityZoneId
from ..network.decoding import UNDECODABLE

NO_ZONES: Mapping[AvailabilityZoneId, ZoneState] = {}


class TransferredRow(msgspec.Struct):
    """A row as it is transferred.

    The era is a field of its own, which the release before passes over.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False
    era: int = 0


class TransferredZone(msgspec.Struct):
    """Whether a zone is evacuated, as of a version."""

    zone: str
    evacuated: bool
    era: int
    version: int


class RowsPayload(msgspec.Struct):
    """Rows as they are transferred to a peer.

    Attributes
    ----------
    zones : list of TransferredZone
        Beside the configuration, so that an instance that gets it from a peer serves no
        call without them. The release before passes them over.
    """

    rows: list[TransferredRow]
    zones: list[TransferredZone] = []


def encode_rows(
    rows: list[Row], zones: Mapping[AvailabilityZoneId, ZoneState] = NO_ZONES
) -> bytes:
    """Return the payload that holds some rows, and states of zones."""
    transferred = [
        TransferredRow(
            row.table,
            row.part,
            row.key,
            row.value,
            row.version.number,
            row.removed,
            row.version.era,
        )
        for row in rows
    ]
    states = [
        TransferredZone(zone, each.evacuated, each.version.era, each.version.number)
        for zone, each in zones.items()
    ]
    return msgspec.msgpack.encode(RowsPayload(transferred, states))


def decode_rows(payload: bytes) -> list[Row]:
    """Return the rows in a peer's payload; none if it can't be decoded."""
    try:
        rows = msgspec.msgpack.decode(payload, type=RowsPayload).rows
    except UNDECODABLE:
        return []
    return [
        Row(
            row.table,
            row.part,
            row.key,
            row.value,
            RowVersion(row.era, row.version),
            row.removed,
        )
        for row in rows
    ]


def decode_zones(payload: bytes) -> dict[AvailabilityZoneId, ZoneState]:
    """Return the states of zones in a payload; none if it can't be decoded."""
    try:
        zones = msgspec.msgpack.decode(payload, type=RowsPayload).zones
    except UNDECODABLE:
        return {}
    return {
        AvailabilityZoneId(each.zone): ZoneState(
            each.evacuated, RowVersion(each.era, each.version)
        )
        for each in zones
    }
