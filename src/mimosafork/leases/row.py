"""The row of one lease in the table service."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

import msgspec

from ..ids import AvailabilityZoneId, FencingNumber, Incarnation, InstanceId
from ..kernel.context import InstanceIdentity
from ..kernel.messages.leases import Duty
from ..storage.table import TableRow

TABLE = "leases"
NOBODY = InstanceId("")
OWN_VERSION = FencingNumber(0)
"""In a row: its fencing number is the version that the row got by this write."""


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """What a lease's row says.

    Attributes
    ----------
    holder : InstanceId
        Empty when the lease has been released.
    fencing : FencingNumber
        The version of the row with which the holder took the lease. Versions only
        grow, also when somebody deletes the row, so numbers never come again.
    write_id : str
        Names the write, so that a writer whose answer was lost knows its own.
    """

    holder: InstanceId
    incarnation: Incarnation
    fencing: FencingNumber
    write_id: str

    def held_by(self, identity: InstanceIdentity) -> bool:
        """Return whether an instance's present incarnation holds it."""
        return (self.holder, self.incarnation) == (
            identity.instance,
            identity.incarnation,
        )

    def to_value(self) -> Mapping[str, Any]:
        """Return the row's JSON object."""
        return asdict(self)


def key_of(zone: AvailabilityZoneId, duty: Duty) -> str:
    """Return the key of a lease's row."""
    return f"{zone}/{duty.value}"


def read_row(row: TableRow) -> LeaseRow:
    """Return what a row says.

    A row that can't be read, say after a change by hand, counts as held by an
    unknown instance: it is waited out like any other.
    """
    try:
        content = msgspec.convert(row.value, LeaseRow)
    except msgspec.ValidationError:
        unknown = InstanceId("unreadable")
        return LeaseRow(unknown, Incarnation(0), FencingNumber(row.version), "")
    if content.fencing == OWN_VERSION:
        return replace(content, fencing=FencingNumber(row.version))
    return content
