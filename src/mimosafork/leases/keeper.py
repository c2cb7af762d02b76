"""Takes, renews and gives up one lease."""

from dataclasses import dataclass
from datetime import timedelta
from logging import getLogger
from random import Random

from ..clock import Clock
from ..ids import FencingNumber
from ..kernel.context import InstanceIdentity
from ..kernel.messages.leases import Duty, Lease
from ..storage.errors import StoreUnavailableError, UnknownResultError
from ..storage.table import ABSENT, Condition, Conflict, Table, TableRow, Write
from ..telemetry.catalogue.orders import LEASE_RELEASE_UNKNOWN
from ..telemetry.logs import log_event
from .row import NOBODY, OWN_VERSION, TABLE, LeaseRow, key_of, read_row

logger = getLogger(__name__)

TTL = timedelta(seconds=10)
"""A row that stays as it is for so long has lost its holder."""

VALIDITY = 0.95
"""Part of the ttl for which the holder trusts its lease. The rest makes up for
clocks that run at different speeds."""

RENEWALS_PER_TTL = 3
PAUSE_AFTER_TROUBLE = timedelta(seconds=1)
JITTER = 0.1
"""Part of a wait that is drawn at random, so that observers don't act at once."""

REMEMBERED_WRITES = 8


@dataclass(frozen=True, slots=True)
class Observation:
    """A version of the row and when this instance first saw it."""

    version: int
    first_seen: timedelta


class LeaseKeeper:
    """State of one lease in one instance; not safe for threads.

    The holder trusts a lease from the instant *before* it sent the write. An
    observer counts from the instant *after* it first read the row's version, and
    writes on the condition of that version. Whatever the delays of the store, the
    holder's time is over before an observer's begins. No clock is compared with
    another instance's.

    Parameters
    ----------
    identity : Identity
    duty : Duty
    table : Table
    clock : Clock
    random : random.Random
        Draws write ids and jitter.
    ttl : timedelta
        The same in all instances.

    Attributes
    ----------
    lease : Lease or None
        Held as far as is known; look at its validity before each use.
    due : timedelta
        When `step` wants to be called next.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        duty: Duty,
        table: Table,
        clock: Clock,
        random: Random,
        ttl: timedelta = TTL,
    ) -> None:
        self.identity = identity
        self.duty = duty
        self.key = key_of(identity.availability_zone, duty)
        self.table = table
        self.clock = clock
        self.random = random
        self.ttl = ttl
        self.lease: Lease | None = None
        self.due = clock.monotonic()
        self.version = ABSENT
        self.observation: Observation | None = None
        self.sent: dict[str, timedelta] = {}
        self.taking_over = False

    def step(self) -> None:
        """Renew the lease if held, else look whether it may be taken."""
        self._drop_if_lapsed()
        try:
            if self.lease is None:
                self._observe()
            else:
                self._renew(self.lease)
        except StoreUnavailableError:
            self._wait(PAUSE_AFTER_TROUBLE)
        except UnknownResultError:
            # The write may have taken effect and its answer was lost. Acting as
            # if it had not would leave a lease that nobody uses, acting as if it
            # had would make a second holder. The row tells: its write id.
            self._settle()
        self._drop_if_lapsed()

    def release(self) -> None:
        """Give the lease up, so that the next holder need not wait.

        Whatever was done under the lease must be over.
        """
        lease, self.lease = self.lease, None
        if lease is None:
            return
        row = LeaseRow(NOBODY, self.identity.incarnation, lease.fencing, self._name())
        try:
            self._write(row)
        except (StoreUnavailableError, UnknownResultError) as error:
            log_event(logger, LEASE_RELEASE_UNKNOWN, lease=self.key, why=error)

    def _drop_if_lapsed(self) -> None:
        if self.lease is not None and not self.lease.covers(self.clock.monotonic()):
            self.lease = None
            self.observation = None

    def _observe(self) -> None:
        row = self.table.get(TABLE, self.key)
        if row is None:
            self._take(ABSENT, taken_over=False)
            return
        self._consider(row)

    def _consider(self, row: TableRow) -> None:
        """Take the lease if nobody can hold it any more."""
        seen = self.observation
        if seen is not None and row.version < seen.version:
            self._wait(PAUSE_AFTER_TROUBLE)  # a stale read tells nothing
            return
        content = read_row(row)
        if content.holder == NOBODY or content.held_by(self.identity):
            self._take(row.version, taken_over=False)
            return
        now = self.clock.monotonic()
        if seen is None or row.version > seen.version:
            self.observation = Observation(row.version, now)
            self._wait(self.ttl)
            return
        if now - seen.first_seen < self.ttl:
            self.due = seen.first_seen + self.ttl
            return
        self._take(row.version, taken_over=True)

    def _take(self, version: int, taken_over: bool) -> None:
        self.version = version
        self.taking_over = taken_over
        self._write_own(OWN_VERSION)

    def _renew(self, lease: Lease) -> None:
        self._write_own(lease.fencing)

    def _write_own(self, fencing: FencingNumber) -> None:
        row = LeaseRow(
            self.identity.instance, self.identity.incarnation, fencing, self._name()
        )
        self._remember(row.write_id, self.clock.monotonic())
        conflict = self._write(row)
        if conflict is None:
            self._hold(read_row(TableRow(self.key, self.version, row.to_value())))
        else:
            self._conflicted(conflict)

    def _write(self, row: LeaseRow) -> Conflict | None:
        """Write the row if it is as this instance knows it."""
        condition = Condition(TABLE, self.key, self.version)
        write = Write(TABLE, self.key, row.to_value())
        result = self.table.transact((condition,), (write,))
        if result.committed:
            (self.version,) = result.versions
            return None
        return result.conflicts[0]

    def _conflicted(self, conflict: Conflict) -> None:
        """Go by the row that stood in the way; it may be an own late write."""
        if conflict.value is None:
            self.lease = None
            self._wait(PAUSE_AFTER_TROUBLE)
            return
        self._learn(TableRow(self.key, conflict.version, conflict.value))

    def _settle(self) -> None:
        """Find out by reading whether an own write took effect."""
        try:
            row = self.table.get(TABLE, self.key)
        except StoreUnavailableError:
            row = None
        if row is None or row.version < self.version:
            self._wait(PAUSE_AFTER_TROUBLE)
            return
        self._learn(row)

    def _learn(self, row: TableRow) -> None:
        content = read_row(row)
        if content.write_id in self.sent:
            self.version = row.version
            self._hold(content)
            return
        if row.version == self.version:
            self._wait(PAUSE_AFTER_TROUBLE)  # not done, or not yet
            return
        self.lease = None
        self.observation = Observation(row.version, self.clock.monotonic())
        self._wait(self.ttl)

    def _hold(self, row: LeaseRow) -> None:
        sent_at = self.sent[row.write_id]
        valid_until = sent_at + self.ttl * VALIDITY
        known = self.lease
        if known is not None and known.fencing == row.fencing:
            since, taken_over = known.since, known.taken_over
        else:
            since, taken_over = self.clock.monotonic(), self.taking_over
        self.lease = Lease(self.duty, row.fencing, since, valid_until, taken_over)
        self.observation = None
        self.due = sent_at + self.ttl / RENEWALS_PER_TTL

    def _remember(self, write_id: str, sent_at: timedelta) -> None:
        self.sent[write_id] = sent_at
        while len(self.sent) > REMEMBERED_WRITES:
            del self.sent[next(iter(self.sent))]

    def _name(self) -> str:
        return f"{self.identity.instance}-{self.random.getrandbits(64):016x}"

    def _wait(self, pause: timedelta) -> None:
        self.due = self.clock.monotonic() + pause * (1 + JITTER * self.random.random())
