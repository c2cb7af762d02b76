"""State machine test of directories whose store is restored from copies."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
)
from mimosafork.ids import EndpointId

from ...support.functions import function_tests
from ...support.machines import explore
from ...support.model_store import (
    RETURN,
    Condition,
    ReportingEndpoint,
    StoreCopy,
)
from .test_directory_machine import (
    APPLIED_WITHIN,
    SPANS,
    USED_WITHIN,
    DirectoryMachine,
)
from .test_reader_machine import ReaderMachine

COPY_AGES = st.sampled_from([1, 2, 4, 8, 20, 40])
"""In quarters of a second."""
EXAMPLES = 150
STEPS = 50
REWRITE_DELAYS = st.sampled_from([0.0, 0.5, 1.5, 5.0])


class RestoredStoreMachine(DirectoryMachine):
    """The same failures, and a store that goes back to copies some seconds old.

    The endpoints report again by themselves; the operator writes the newest
    configuration again after some time. Peers tell rows of all eras.
    """

    def __init__(self) -> None:
        self.copies: list[StoreCopy] = []
        self.protected: set[EndpointId] = set()
        self.newest = b"0"
        self.rewrite_at: timedelta | None = None
        super().__init__()

    @initialize()
    def deploy(self) -> None:
        """Start with a copy as well."""
        super().deploy()
        self.copies.append(self.store.copy(self.now))

    @rule(age=COPY_AGES, delay_s=REWRITE_DELAYS, away=st.booleans())
    def store_is_restored(self, age: int, delay_s: float, away: bool) -> None:
        """Restore the store from a copy, with or without calls that fail."""
        copy = self.copies[-min(age, len(self.copies))]
        if away:
            self.store.become(Condition.DOWN, self.now)
            self.time_passes(0.25)
        self.newest = max(self.newest, self.current_value(), key=int)
        self.protect_reporting()
        self.store.restore(copy, self.now)
        self.rewrite_at = self.now + timedelta(seconds=delay_s)
        if away:
            self.store.become(Condition.CALM, self.now)

    def current_value(self) -> bytes:
        """Return the newest configuration's row value."""
        (row,) = self.store.configuration.rows.values()
        return row.value

    def protect_reporting(self) -> None:
        """Note the endpoints that a restore must not take out of use."""
        rows = self.store.endpoints.rows
        self.protected = {
            name
            for name in self.usable
            if self.is_reporting(self.store.lives[name]) and name in rows
        }
        self.protected_until = self.now + RETURN

    def is_reporting(self, life: ReportingEndpoint) -> bool:
        """Whether an endpoint is ready and its reports reach the store."""
        return life.alive and life.connected and not life.draining

    def heard(self, change: DirectoryChange) -> None:
        """Check that endpoints are not dropped that report again soon."""
        super().heard(change)
        if not isinstance(change, EndpointChanged) or change.entry.takes_new_work:
            return
        if change.entry.state is EndpointState.UNREADABLE:
            return
        if change.endpoint in self.protected and self.now < self.protected_until:
            life = self.store.lives[change.endpoint]
            assert not self.is_reporting(life), "LOST: dropped by a restore"

    def boot(self) -> None:
        """Start again without anything that must stay in use."""
        self.protected = set()
        self.protected_until = timedelta(0)
        super().boot()

    def operator_writes_again(self) -> None:
        """Let the operator write what a restore has lost."""
        if self.rewrite_at is None or self.now < self.rewrite_at:
            return
        if self.store.condition is Condition.DOWN:
            return
        self.rewrite_at = None
        if int(self.current_value()) < int(self.newest):
            key = next(iter(self.store.configuration.rows))
            self.store.write(self.store.configuration, key, self.newest, self.now)

    @rule(age=COPY_AGES, restarted=st.booleans())
    def store_is_restored_at_once(self, age: int, restarted: bool) -> None:
        """Restore the store while all is calm, or as the instance restarts."""
        self.time_passes(1.0)
        self.store_is_restored(age, 0.0, away=False)
        if restarted:
            self.boot()

    @rule(seconds=SPANS)
    def time_passes(self, seconds: float) -> None:
        """Let time pass in steps, so that the operator writes when it is due."""
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.operator_writes_again()
            self.copies.append(self.store.copy(self.now))
            super().time_passes(0.25)

    def the_newest_configuration_is_in_force(self) -> None:
        """Check that the newest that the store holds, or held, is in force."""
        if self.rewrite_at is not None:
            return
        super().the_newest_configuration_is_in_force()

    def teardown(self) -> None:
        """End all failures; the newest configuration must be in force."""
        self.store.become(Condition.CALM, self.now)
        self.rewrite_at = None if self.rewrite_at is None else self.now
        super().teardown()
        self.time_passes(APPLIED_WITHIN.total_seconds())
        assert self.in_force == len(self.tables.tables), "CONFIG: lost"


class RestoredReadersMachine(RestoredStoreMachine, ReaderMachine):
    """The same for an instance whose peers read the feed, and may fail."""

    def teardown(self) -> None:
        """End all failures; the readers that run must use the same endpoints."""
        for reader in self.readers:
            reader.rows.frozen = reader.rows.cut = False
        self.words_lost = False
        self.store.become(Condition.CALM, self.now)
        self.time_passes(USED_WITHIN.total_seconds())
        for reader in self.readers:
            entries = reader.directory.endpoints.values()
            used = {e.listed.endpoint for e in entries if e.takes_new_work}
            assert reader.dead or used == set(self.usable), "views differ at rest"
        super().teardown()


def test_what_is_used_is_there_whatever_copy_the_store_goes_back_to() -> None:
    """Rows of copies revive no endpoint that left, and no older configuration."""
    explore(RestoredStoreMachine, EXAMPLES, STEPS)


def test_what_is_used_is_there_for_one_whose_peers_see_a_restore_first() -> None:
    """Feed updates and messages of two eras arrive side by side."""
    explore(RestoredReadersMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
