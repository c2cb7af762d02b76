"""Whether an instance that has just started may know less than its peers."""

from datetime import timedelta

from ..clock import Clock
from ..gossip.service import Gossip

CONTACT_WAIT = timedelta(milliseconds=250)
"""Time after the start in which a peer is heard, if there is one."""

MAX_WAIT = timedelta(seconds=1)
"""A configuration that peers offer and nobody hands over is not waited for longer."""


class StartupCheck:
    """Keeps an instance from serving by a configuration that is older than its peers'.

    The store may have been restored from a copy, and not hold the newest configuration
    until it is written again. Only instances that knew it before do.

    Parameters
    ----------
    gossip : Gossip
    clock : Clock
        Its monotonic scale is used.
    """

    def __init__(self, gossip: Gossip, clock: Clock) -> None:
        self.gossip = gossip
        self.clock = clock
        self.started_at = clock.monotonic()

    @property
    def may_serve(self) -> bool:
        """Whether no peer is known to have a newer configuration, or time is up."""
        waited = self.clock.monotonic() - self.started_at
        if waited >= MAX_WAIT:
            return True
        if self.gossip.is_offered_configuration():
            return False
        return waited >= CONTACT_WAIT or self.gossip.knows_offers()
