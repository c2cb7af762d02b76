"""Whom an instance tells its news."""

from collections.abc import Collection
from zlib import crc32

from ..ids import AvailabilityZoneId, InstanceId

NEAR = 1


def chosen_partners(
    own: InstanceId,
    own_zone: AvailabilityZoneId,
    members: dict[InstanceId, AvailabilityZoneId],
    mesh_size: int,
    fan_out: int,
) -> frozenset[InstanceId]:
    """Choose an instance's partners.

    Up to the mesh size these are all. Beyond it, instances stand on a ring by a
    checksum of their names: on the ring of its zone an instance has its neighbours
    and those a third of the ring away, on the ring of all it has its neighbours. Both
    sides choose each other wherever they know the same members.

    Parameters
    ----------
    members : dict of InstanceId to AvailabilityZoneId
        The living peers and their zones.
    fan_out : int
        Most partners beyond the mesh size.
    """
    if len(members) < mesh_size:
        return frozenset(members)
    zone = [each for each, its in members.items() if its == own_zone]
    chosen = on_ring(own, members, NEAR) + on_ring(own, zone, NEAR)
    chosen += on_ring(own, zone, max(len(zone) // 3, NEAR + 1))
    unique = dict.fromkeys(chosen)
    return frozenset(list(unique)[:fan_out])


def on_ring(
    own: InstanceId, others: Collection[InstanceId], step: int
) -> list[InstanceId]:
    """Return the two instances that stand so many steps away from one's own."""
    ring = sorted({own, *others}, key=place)
    at = ring.index(own)
    ahead, behind = ring[(at + step) % len(ring)], ring[(at - step) % len(ring)]
    return [each for each in (ahead, behind) if each != own]


def place(instance: InstanceId) -> tuple[int, InstanceId]:
    """Return where an instance stands on the ring."""
    return crc32(instance.encode()), instance
