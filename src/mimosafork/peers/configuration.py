"""Which configuration peers have, and when to ask one of them for it.

The revision in force travels in the head of every exchange; the text only on
request. So an instance that can't reach the store hears of a change within a few
exchanges and fetches it once.
"""

from collections.abc import Callable
from datetime import timedelta
from logging import getLogger

from ..ids import InstanceId, Revision
from ..telemetry.catalogue.peers import PEER_REVISION_DIFFERS
from ..telemetry.logs import log_event
from .frames import ConfigurationText, Sender

logger = getLogger(__name__)

ASK_AGAIN_AFTER = timedelta(seconds=3)
"""An answer may be lost, or not be accepted; the same revision is not asked for
again before."""

LARGE_TEXT_BYTES = 32 * 1024
STORE_FIRST = timedelta(milliseconds=1500)
"""Head start of the store before peers are asked for a large text: it has the
change alone, some hundred bytes, where a peer sends thousands of accounts."""

DIGEST_START_DIGITS = 16

Offer = Callable[[ConfigurationText], None]
Heard = Callable[[Revision], None]


def _unheard(revision: Revision) -> None:
    """Nobody wants to know which revision a peer has."""


class ConfigurationShare:
    """Holds the configuration in force for peers and asks for newer ones.

    Parameters
    ----------
    offer : callable
        Takes what a peer sent; must not block. Whoever takes it checks the text
        against the digest and moves forward only.
    heard : callable
        Told the revision of each peer that is heard; must not block.
    """

    def __init__(self, offer: Offer, heard: Heard = _unheard) -> None:
        self.offer = offer
        self.heard = heard
        self.held: ConfigurationText | None = None
        self.asked_revision = Revision(0)
        self.asked_s = float("-inf")
        self.heard_revision = Revision(0)
        self.heard_s = float("-inf")
        self.conflicts: set[Revision] = set()

    @property
    def revision(self) -> Revision:
        """Revision in force here; 0 before the first."""
        return Revision(0) if self.held is None else self.held.revision

    @property
    def digest_start(self) -> int:
        """First 64 bits of the digest in force here."""
        if self.held is None:
            return 0
        return int(self.held.digest[:DIGEST_START_DIGITS], 16)

    def hold(self, configuration: ConfigurationText) -> None:
        """Take what is in force here now; an older one is passed over."""
        if configuration.revision > self.revision:
            self.held = configuration

    def wants_from(self, sender: Sender, now_s: float) -> bool:
        """Return whether to ask a peer for its configuration now."""
        self._check_digest(sender)
        self.heard(sender.revision)
        if sender.revision <= self.revision:
            return False
        if self._store_goes_first(sender.revision, now_s):
            return False
        if sender.revision > self.asked_revision:
            return True
        return now_s - self.asked_s >= ASK_AGAIN_AFTER.total_seconds()

    def _store_goes_first(self, revision: Revision, now_s: float) -> bool:
        if self.held is None or len(self.held.text) < LARGE_TEXT_BYTES:
            return False
        if self.heard_revision <= self.revision:
            self.heard_revision = revision
            self.heard_s = now_s
        return now_s - self.heard_s < STORE_FIRST.total_seconds()

    def asking(self, revision: Revision, now_s: float) -> None:
        """Note that a peer has been asked."""
        self.asked_revision = revision
        self.asked_s = now_s

    def for_peer(self, wanted: Revision) -> ConfigurationText | None:
        """Return what a peer asked for, or something newer."""
        if wanted and self.held is not None and self.held.revision >= wanted:
            return self.held
        return None

    def received(self, configuration: ConfigurationText) -> None:
        """Pass on a configuration from a peer, if it is newer than the one held."""
        if configuration.revision > self.revision:
            self.offer(configuration)

    def _check_digest(self, sender: Sender) -> None:
        """Log once if a peer has another text under the same revision.

        The store gives each revision to one text, so this is never seen unless the
        store was put back to an older state. No instance can say which is right.
        """
        if sender.revision != self.revision or not self.revision:
            return
        if sender.digest_start == self.digest_start:
            return
        if sender.revision not in self.conflicts:
            self.conflicts.add(sender.revision)
            self._log_conflict(sender.instance, sender.revision)

    def _log_conflict(self, peer: InstanceId, revision: Revision) -> None:
        log_event(logger, PEER_REVISION_DIFFERS, peer=peer, revision=revision)
