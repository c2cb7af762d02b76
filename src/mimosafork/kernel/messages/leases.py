"""Leases held by this instance, and messages about them."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import FencingNumber
from .base import Message


class Duty(Enum):
    """Task that only one instance of an availability zone performs at a time."""

    ORDERS = "orders"
    """Sending orders to the zone's endpoints."""
    CLEANING = "cleaning"
    """Freeing resources that dead instances left on the zone's engines."""


class Lease(msgspec.Struct, frozen=True):
    """A lease as its holder sees it.

    Attributes
    ----------
    fencing : FencingNumber
        Greater than the number of every earlier holder.
    since, valid_until : timedelta
        Monotonic times of this instance.
    taken_over : bool
        The previous holder did not release it: its orders may still be in flight.
    """

    duty: Duty
    fencing: FencingNumber
    since: timedelta
    valid_until: timedelta
    taken_over: bool = False

    def covers(self, until: timedelta) -> bool:
        """Return whether the lease is still valid at a given time.

        Pass the latest time at which the operation under the lease will have ended. A
        pause of the process between this check and the operation is not covered.
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
