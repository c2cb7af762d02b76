"""Which availability zones have fallen silent as a whole.

One silent peer may have been killed or frozen. Where all peers of a zone fall silent
at once while others are received, a partition is far likelier, and it is known several
times sooner than any single peer's silence tells it.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from ..ids import AvailabilityZoneId
from .members import Member

LEAST_PEERS = 2
"""Living peers of a zone whose common silence says something of the zone."""
SHORTEST_SILENCE = timedelta(milliseconds=300)
GAP_RATIO = 3
"""A zone is silent after so many times the longest gap between its datagrams."""
GAP_SPAN = timedelta(seconds=2)
"""The longest gap is that of this span and of the one before it."""
WITNESS_RATIO = 1.5
"""Other zones must have been received for so many times a zone's longest gap after its
latest datagram: an instance that is cut off itself misses all zones at once."""
LATE_HEARTBEAT = timedelta(milliseconds=200)


class ZoneTraffic(msgspec.Struct):
    """When a zone's datagrams came.

    Attributes
    ----------
    received_at : timedelta
        The latest.
    longest_gap, former_gap : timedelta
        Longest time between two, in this span and in the one before.
    """

    received_at: timedelta
    span_began: timedelta
    longest_gap: timedelta = timedelta(0)
    former_gap: timedelta = timedelta(0)

    def received(self, now: timedelta) -> None:
        """Take in a datagram."""
        gap = now - self.received_at
        self.received_at = now
        if now - self.span_began > GAP_SPAN:
            self.former_gap, self.longest_gap = self.longest_gap, timedelta(0)
            self.span_began = now
        self.longest_gap = max(self.longest_gap, gap)

    @property
    def usual_gap(self) -> timedelta:
        """The longest gap lately."""
        return max(self.longest_gap, self.former_gap)

    def usual_silence(self) -> timedelta:
        """Return a silence that its own traffic explains."""
        return max(SHORTEST_SILENCE, GAP_RATIO * self.usual_gap)

    def is_missed(self, witnessed_at: timedelta) -> bool:
        """Return whether others were received long enough without it."""
        return witnessed_at - self.received_at > WITNESS_RATIO * self.usual_gap


class ZoneSilence:
    """Compares each zone's silence with its own traffic.

    Parameters
    ----------
    own_zone : AvailabilityZoneId
        While its peers are silent too, this instance itself may be cut off.
    """

    def __init__(self, own_zone: AvailabilityZoneId) -> None:
        self.own_zone = own_zone
        self.zones: dict[AvailabilityZoneId, ZoneTraffic] = {}
        self.silent: set[AvailabilityZoneId] = set()

    def received(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Take in that a peer of a zone has sent a datagram itself."""
        traffic = self.zones.get(zone)
        if traffic is None:
            self.zones[zone] = ZoneTraffic(now, now)
            return
        traffic.received(now)
        if self.silent:
            self.silent.discard(zone)

    def review(
        self,
        members: Iterable[Member],
        heartbeat: timedelta | None,
        now: timedelta,
    ) -> Mapping[AvailabilityZoneId, timedelta]:
        """Return the silent zones, each with the time since its latest datagram.

        Parameters
        ----------
        members : iterable of Member
        heartbeat : timedelta or None
            Each living peer sends a datagram this often; None where not all do.
        """
        late = [
            zone
            for zone, traffic in self.zones.items()
            if now - traffic.received_at > limit_of(traffic, heartbeat)
        ]
        if not late or self.own_zone in late or len(late) == len(self.zones):
            return {}
        witnessed_at = max(traffic.received_at for traffic in self.zones.values())
        for zone in late:
            missed = self.zones[zone].is_missed(witnessed_at)
            if missed and peers_of(zone, members) >= LEAST_PEERS:
                self.silent.add(zone)
        return {
            zone: now - self.zones[zone].received_at
            for zone in late
            if zone in self.silent
        }


def limit_of(traffic: ZoneTraffic, heartbeat: timedelta | None) -> timedelta:
    """Return the silence after which a zone counts as silent."""
    usual = traffic.usual_silence()
    return usual if heartbeat is None else min(usual, heartbeat + LATE_HEARTBEAT)


def peers_of(zone: AvailabilityZoneId, members: Iterable[Member]) -> int:
    """Return how many living peers a zone has."""
    return sum(member.alive and member.identity.zone == zone for member in members)
