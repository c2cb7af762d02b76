"""State machine test of a directory that relies on feed updates of peers."""

from collections.abc import Coroutine, Generator
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import rule

from mimosafork.directory.directory import Directory
from mimosafork.directory.errors import StoreUnavailableError
from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.follower import TableFollower
from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
)
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import RowPage
from mimosafork.ids import EndpointId, InstanceId

from ...support.functions import function_tests
from ...support.machines import explore
from ...support.model_store import Condition
from .test_directory_machine import (
    EXAMPLES,
    STEPS,
    ConfigurationRows,
    DirectoryMachine,
    ListedRows,
)

READERS = 3
WHICH = st.integers(0, READERS - 1)


class Parked:
    """An awaitable that suspends once, until it is resumed."""

    def __await__(self) -> Generator[None, None, None]:
        """Yield once."""
        yield


class ReaderRows(ListedRows):
    """Endpoint rows as requested by a reader whose process may freeze.

    Attributes
    ----------
    cut : bool
        Whether its calls get no answer.
    frozen : bool
        Whether its process is suspended once the answer has arrived.
    """

    cut = False
    frozen = False

    def refuse_if_down(self) -> None:
        """Raise the error of a call that gets no answer."""
        if self.cut or self.store.condition is Condition.DOWN:
            raise StoreUnavailableError("down")

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Answer at once; the answer is processed when the process runs again."""
        page = await super().changes(after, wait)
        while self.frozen:
            await Parked()
        return page


class Reader:
    """A peer that follows the feed and publishes updates of it.

    Attributes
    ----------
    dead : bool
        Whether it is stopped: it neither runs nor publishes.
    """

    def __init__(self, machine: "ReaderMachine", number: int) -> None:
        self.name = InstanceId(f"reader-{number}")
        self.machine = machine
        self.rows = ReaderRows(machine.store)
        self.step: Coroutine[Any, Any, timedelta] | None = None
        self.dead = False
        self.directory = Directory(
            ConfigurationRows(machine.store, machine.tables),
            self.rows,
            machine.clock,
            Random(number),
        )
        feed = self.directory.peer_feed
        feed.has_followers = True
        feed.publish = partial(machine.feed_told, self)
        self.directory.add_listener(partial(machine.endpoint_told, self))

    def run(self) -> None:
        """Run as far as the process can."""
        if self.dead:
            return
        if self.step is None:
            self.step = self.directory.endpoint_follower.step()
        try:
            self.step.send(None)
        except StopIteration:
            self.step = None

    def die(self) -> None:
        """Stop the process."""
        if self.step is not None:
            self.step.close()
            self.step = None
        self.dead = True


class ReaderMachine(DirectoryMachine):
    """The same failures for an instance whose peers read the feed, and may fail."""

    late_peers = False

    def boot(self) -> None:
        """Restart the instance, and its peers with it."""
        super().boot()
        self.words_lost = False
        self.directory.peer_feed.is_reader = False
        self.readers = [Reader(self, number) for number in range(READERS)]

    def feed_told(self, reader: Reader, word: FeedUpdate) -> None:
        """Deliver a feed update of a reader: nothing has changed."""
        if not self.words_lost:
            self.directory.peer_feed.receive(reader.name, word, timedelta(0))

    def endpoint_told(self, reader: Reader, change: DirectoryChange) -> None:
        """Deliver a message of a reader: an endpoint takes no new work."""
        if self.words_lost or not isinstance(change, EndpointChanged):
            return
        endpoint = EndpointId(change.endpoint)
        if change.entry.state is EndpointState.DRAINING:
            self.directory.offer_draining(endpoint, change.entry.row.version)
        gone = reader.directory.endpoint_registry.removed.removals.get(endpoint)
        if gone is not None and gone.confirmed:
            self.directory.offer_removal(endpoint, gone.row.version)

    def step(self, follower: TableFollower) -> None:
        """Let the readers run before this instance does."""
        if follower is self.directory.endpoint_follower:
            for reader in self.readers:
                reader.run()
        super().step(follower)

    @rule(which=WHICH, frozen=st.booleans())
    def reader_freezes(self, which: int, frozen: bool) -> None:
        """Freeze a reader with an unprocessed answer, or resume it."""
        self.readers[which].rows.frozen = frozen

    @rule(which=WHICH, cut=st.booleans())
    def reader_is_cut_off(self, which: int, cut: bool) -> None:
        """Disconnect a reader from the store, or reconnect it."""
        self.readers[which].rows.cut = cut

    @rule(which=WHICH)
    def reader_dies(self, which: int) -> None:
        """Stop a reader, or restart it."""
        reader = self.readers[which]
        if reader.dead:
            self.readers[which] = Reader(self, which)
        else:
            reader.die()

    @rule(lost=st.booleans())
    def words_are_lost(self, lost: bool) -> None:
        """Lose all messages between the readers and this instance, or none."""
        self.words_lost = lost

    def teardown(self) -> None:
        """End the failures of the readers as well."""
        for reader in self.readers:
            reader.rows.frozen = reader.rows.cut = False
        super().teardown()
        for reader in self.readers:
            reader.die()


def test_what_is_used_is_there_for_one_who_goes_by_peers_words() -> None:
    """Readers freeze with an answer, exit, lose the store, and lose messages.

    An instance that relies on their feed updates uses no endpoint that has left, and
    loses none, whatever the store does meanwhile.
    """
    explore(ReaderMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
