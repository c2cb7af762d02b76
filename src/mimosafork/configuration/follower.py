"""The task that keeps this instance on the newest accepted configuration.

It reads one small row every few seconds, and hears from peers, so that an instance
that is cut off from the store still comes along.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger
from random import Random

from ..clock import Clock
from ..kernel.messages.configuration import ConfigurationReceived
from ..runtime.task import Task
from ..telemetry.catalogue.configuration import (
    CONFIGURATION_UNREACHABLE,
    CONFIGURATION_UNREADABLE,
)
from ..telemetry.logs import log_event
from .errors import ConfigurationUnavailableError, ConfigurationUnreadableError
from .messages import (
    AcceptedConfiguration,
    ConfigurationOffer,
    FollowerMessage,
    PeersAnswered,
)
from .revisions import Revisions
from .rows import CurrentRow
from .store import NO_REVISION, ConfigurationStore

logger = getLogger(__name__)

JITTER = 0.2
MOST_STEPS = 32
"""Changes read one by one; an instance that is farther behind reads a whole text."""

SOON = timedelta(milliseconds=300)
"""Until the next look when a row that must be there was not there yet."""

BOOT_WAIT = timedelta(seconds=1)
STORE = "the store"


class ConfigurationFollower(Task[FollowerMessage]):
    """Finds newer configurations and puts them in force.

    Parameters
    ----------
    store : ConfigurationStore
    clock : Clock
    random : random.Random
        Spreads the reads of many instances.
    period : timedelta
        Mean time between two reads.
    post : Callable
        Takes `ConfigurationReceived` for the kernel; must not block.
    announce : Callable
        Told of each configuration that is in force, for peers; must not block.
    boot_wait : timedelta
        How long a starting instance waits for what its peers have.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        random: Random,
        period: timedelta,
        post: Callable[[ConfigurationReceived], None],
        announce: Callable[[AcceptedConfiguration], None],
        boot_wait: timedelta = BOOT_WAIT,
    ) -> None:
        super().__init__("configuration")
        self.store = store
        self.clock = clock
        self.random = random
        self.period = period
        self.post = post
        self.announce = announce
        self.revisions = Revisions()
        self.next_read = clock.monotonic()
        self.reachable = True
        self.store_is_empty = False
        self.peers_answered = False
        self.newest_of_peers = NO_REVISION
        self.boot_ends = clock.monotonic() + boot_wait

    @property
    def accepted(self) -> AcceptedConfiguration | None:
        """The configuration in force; may be read from any thread."""
        return self.revisions.held

    def is_ready(self, has_first: bool = False) -> bool:
        """Return whether this instance may serve; from any thread.

        A starting instance whose first read is stale would serve by a revision
        that the fleet has left behind: to a caller the change looks reverted. So
        it waits, for a short while, for what its peers have.

        Parameters
        ----------
        has_first : bool
            The settings gave a configuration. It counts only once the store has
            said that nothing was accepted yet: in an outage an instance must not
            serve by a file that the fleet may have left behind long ago.
        """
        if self.revisions.held is None and not (has_first and self.store_is_empty):
            return False
        if self.clock.monotonic() >= self.boot_ends:
            return True
        return self.peers_answered and self.revisions.revision >= self.newest_of_peers

    def wait_time(self) -> timedelta:
        """Return the time until the next read."""
        return self.next_read - self.clock.monotonic()

    def idle(self) -> None:
        """Look for a newer revision in the store."""
        spread = 1 + JITTER * (2 * self.random.random() - 1)
        self.next_read = self.clock.monotonic() + self.period * spread
        try:
            self._read()
        except ConfigurationUnavailableError as error:
            self._unreachable(error)
        except ConfigurationUnreadableError as error:
            log_event(
                logger,
                CONFIGURATION_UNREADABLE,
                revision="?",
                source=STORE,
                why=str(error),
            )

    def receive(self, message: FollowerMessage) -> None:
        """Handle a message, then read if that has come due meanwhile."""
        self.handle(message)
        if self.wait_time() <= timedelta(0):
            self.idle()

    @singledispatchmethod
    def handle(self, message: FollowerMessage) -> None:
        """Handle one kind of message."""

    @handle.register
    def _(self, message: ConfigurationOffer) -> None:
        taken = self.revisions.take(
            message.revision, message.digest, message.text, message.source
        )
        if taken:
            self._put_in_force()

    @handle.register
    def _(self, message: PeersAnswered) -> None:
        self.peers_answered = True
        if message.newest <= self.newest_of_peers:
            return
        self.newest_of_peers = message.newest
        if message.newest > self.revisions.revision and self.reachable:
            # All hear of a change at about the same time; spread, the reads do not
            # reach the store as one burst.
            soon = self.clock.monotonic() + SOON * self.random.random()
            self.next_read = min(self.next_read, soon)

    def _read(self) -> None:
        current = self.store.current()
        self.reachable = True
        self.store_is_empty = current is None
        if current is None:
            return
        if not self.revisions.is_news(current.revision, current.digest, STORE):
            return
        text = self._text_of(current)
        if text is None:
            # Reads may be stale row by row, and a text may be dropped between two
            # reads. The next look sees a newer state of the store.
            self.next_read = self.clock.monotonic() + SOON
            return
        if self.revisions.take(current.revision, current.digest, text, STORE):
            self._put_in_force()

    def _text_of(self, current: CurrentRow) -> str | None:
        held = self.revisions.held
        if held is not None and current.revision - held.revision <= MOST_STEPS:
            steps = self.store.between(held.revision, current.revision)
            text = self.revisions.text_after(steps or [], current.digest)
            if text is not None:
                return text
        return self.store.text(current.revision, current.digest)

    def _put_in_force(self) -> None:
        accepted = self.revisions.held
        assert accepted is not None
        self.post(ConfigurationReceived(accepted.configuration))
        self.announce(accepted)

    def _unreachable(self, error: ConfigurationUnavailableError) -> None:
        """Log the first failed read of an outage; what is in force stays so."""
        if self.reachable:
            log_event(
                logger,
                CONFIGURATION_UNREACHABLE,
                revision=self.revisions.revision,
                why=str(error),
            )
        self.reachable = False
