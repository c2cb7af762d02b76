"""Who an instance is in the gossip, and where others may be."""

from collections.abc import Iterable
from random import Random

import msgspec

from ..clock import Clock
from ..ids import AvailabilityZoneId, InstanceId
from .members import Address, Identity
from .timing import Timing

BOOT_BITS = 64
MS_PER_SECOND = 1000


def seed_addresses(seeds: Iterable[str], port: int) -> tuple[Address, ...]:
    """Return where instances may listen, from addresses of their other listeners.

    Parameters
    ----------
    seeds : iterable of str
        Each as ``IP:PORT``; that port is another listener's.
    port : int
        Of the gossip, the same on all machines.
    """
    return tuple(Address(each.rpartition(":")[0], port) for each in seeds)


class GossipOptions(msgspec.Struct, frozen=True):
    """Who this instance is, and where others may be.

    Parameters
    ----------
    fleet : str
        Name of the fleet; datagrams of others are refused.
    seeds : tuple of Address
        Hosts where instances may listen, with the gossip's own port number.
    """

    instance: InstanceId
    zone: AvailabilityZoneId
    fleet: str
    seeds: tuple[Address, ...] = ()
    timing: Timing = Timing()


def own_identity(
    options: GossipOptions, address: Address, clock: Clock, random: Random
) -> Identity:
    """Draw the identity of a new life."""
    return Identity(
        options.instance,
        options.zone,
        address,
        random.getrandbits(BOOT_BITS),
        int(clock.now().timestamp() * MS_PER_SECOND),
    )
