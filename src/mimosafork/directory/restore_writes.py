"""When instances write their own rows again after the store was restored."""

from datetime import timedelta
from random import Random

WRITES_PER_SECOND = 20
"""Rate of all instances together: they notice a restore at the same moment, and the
store takes a few hundred writes a second from all callers."""


def write_delay(members: int, random: Random) -> timedelta:
    """Return a random delay that spreads the writes of a fleet.

    Parameters
    ----------
    members : int
        Instances that write.
    """
    return timedelta(seconds=members / WRITES_PER_SECOND) * random.random()
