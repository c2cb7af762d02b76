"""Messages about the leases that this instance holds."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import FencingNumber
from .base import Message


class Duty(Enum):
    """What one instance of an availability zone does at a time."""

    ORDERS = "orders"
    """Sends orders to the zone's endpoints."""
    CLEANING = "cleaning"
    """Frees what dead instances have left on the zone's engines."""


class Lease(msgspec.Struct, frozen=True):
    """A lease as its holder sees it.

    Attributes
    ----------
    fencing : FencingNumber
        Larger than that of every earlier holder.
    since, valid_until : timedelta
        Monotonic instants of this instance.
    taken_over : bool
        The last holder did not release it: orders of its may still be on the way.
    """

    duty: Duty
    fencing: FencingNumber
    since: timedelta
    valid_until: timedelta
    taken_over: bool = False

    def covers(self, until: timedelta) -> bool:
        """Return whether the lease still holds at an instant.

        Whoever acts under a lease asks with the instant at which the act is over
        at the latest. A pause between this question and the act is not covered.
        """
        return until < self.valid_until


class LeaseChanged(Message, frozen=True):
    """A lease was taken, renewed or lost.

    Attributes
    ----------
    lease : Lease or None
        None when this instance does not hold it.
    """

    duty: Duty
    lease: Lease | None
