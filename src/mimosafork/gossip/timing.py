"""Sizes and times of the gossip."""

from datetime import timedelta

import msgspec


class Timing(msgspec.Struct, frozen=True):
    """Sizes and times, the same on all instances.

    Parameters
    ----------
    heartbeat : timedelta
        An idle partner is sent a datagram this often.
    crowd : int
        Beyond so many partners each is sent heartbeats half as often: to 63 of them,
        and from them, they were 252 datagrams a second, 0.8% of a core at rest. Three
        still lie within the time after which a peer is suspected.
    suspect_after, relayed_suspect_after : timedelta
        Silence after which a peer's load is forgotten; the second holds where news
        comes through others.
    drop_after : timedelta
        Silence after which a peer is forgotten altogether.
    probe_every : timedelta
        A suspected peer, or a seed that never spoke, is sent a datagram this often.
    late : timedelta
        A tick that comes so late after the one before means a suspended process.
    resend_after : timedelta
        A datagram that is unconfirmed for so long counts as lost.
    gap_after : timedelta
        One that is overtaken by a confirmed one counts as lost after this.
    names_every : timedelta
        One partner is sent names and addresses of others this often.
    pulse_every : timedelta
        Where news is relayed, an instance shows this often that it lives.
    mesh_size : int
        Up to so many instances, everyone sends to everyone and nobody relays. A word
        that is relayed is sent 4.2 times by each instance and takes three hops; one
        that is told directly is sent once, by its origin, to each. With 64 instances
        and 110 works a second 34 of 100 peers knew a work after 30 ms by relays, at 26
        KB a second each, and all of them directly, at 12 KB (tests/unit/gossip/
        test_flood.py). At 100 instances and 170 works a second the direct way would
        take some 19 KB, by the same slope.
    fan_out : int
        Partners that an instance chooses beyond that size.
    datagram_bytes : int
        Longest datagram; it fits one packet of a path with an ordinary MTU.
    budget_bytes_s : int
        State that may be sent a second; heartbeats go in any case.
    """

    heartbeat: timedelta = timedelta(milliseconds=500)
    crowd: int = 24
    suspect_after: timedelta = timedelta(seconds=3)
    relayed_suspect_after: timedelta = timedelta(seconds=8)
    drop_after: timedelta = timedelta(seconds=60)
    probe_every: timedelta = timedelta(seconds=2)
    late: timedelta = timedelta(seconds=1)
    resend_after: timedelta = timedelta(milliseconds=1200)
    gap_after: timedelta = timedelta(milliseconds=60)
    names_every: timedelta = timedelta(seconds=5)
    pulse_every: timedelta = timedelta(seconds=2)
    mesh_size: int = 100
    fan_out: int = 6
    datagram_bytes: int = 1200
    budget_bytes_s: int = 27_000

    def heartbeat_among(self, partners: int) -> timedelta:
        """Return how often an idle partner is sent a datagram."""
        return self.heartbeat * 2 if partners > self.crowd else self.heartbeat

    def probe_gap(self, calm: bool) -> timedelta:
        """Return how long to wait before calling into silence again."""
        return self.probe_every if calm else self.heartbeat
