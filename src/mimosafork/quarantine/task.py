"""The task that writes and reads suspicions in the table service."""

from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta
from logging import getLogger
from random import Random
from typing import Any

import msgspec

from ..clock import Clock
from ..ids import Digest
from ..kernel.messages.base import Message
from ..kernel.messages.quarantine import (
    CrashEvidence,
    DropSuspicion,
    StoredSuspicion,
    StoreSuspicion,
    SuspicionsRead,
)
from ..runtime.task import Task
from ..storage.errors import PlatformError
from ..storage.table import ABSENT, Condition, Row, Table, Write, all_rows

logger = getLogger(__name__)

TABLE = "suspicions"
READ_PERIOD = timedelta(minutes=2)
SUSPICION_TTL = timedelta(hours=1)
TRIES = 3
DELETING_SHARE = 0.05
"""Part of the readers of an old row that delete it: one of them is enough."""


class _RowBody(msgspec.Struct, frozen=True):
    evidence: tuple[CrashEvidence, ...]
    written: datetime


class SuspicionTask(Task[StoreSuspicion | DropSuspicion]):
    """Carries out `StoreSuspicion` and `DropSuspicion`, and reads all now and then.

    With the store out, suspicions spread by gossip alone; nothing waits for this.

    Parameters
    ----------
    table : Table
    clock : Clock
    random : random.Random
    tell : callable
        Takes `SuspicionsRead`; must return at once, as `KernelTask.send` does.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        random: Random,
        send_to_kernel: Callable[[Message], None],
    ) -> None:
        super().__init__("suspicions")
        self.table = table
        self.clock = clock
        self.random = random
        self.send_to_kernel = send_to_kernel
        self.read_at = clock.monotonic()

    def wait_time(self) -> timedelta:
        """Return the time until the next reading."""
        return self.read_at - self.clock.monotonic()

    def idle(self) -> None:
        """Read all suspicions if it is time to."""
        if self.read_at > self.clock.monotonic():
            return
        pause = READ_PERIOD * (0.5 + self.random.random())
        self.read_at = self.clock.monotonic() + pause
        try:
            rows = list(all_rows(self.table, TABLE))
        except PlatformError as error:
            logger.debug("suspicions were not read: %s", error)
            return
        read = [kept for kept in map(self._kept, rows) if kept is not None]
        if read:
            self.send_to_kernel(SuspicionsRead(tuple(read)))

    def receive(self, message: StoreSuspicion | DropSuspicion) -> None:
        """Write, as often as other writers come in between."""
        for _ in range(TRIES):
            try:
                if self._write(message):
                    return
            except PlatformError as error:
                logger.debug("a suspicion was not written: %s", error)
                return

    def _write(self, message: StoreSuspicion | DropSuspicion) -> bool:
        """Write on the condition of what was read; return whether it is done.

        A write of unknown result is let be: what it says reaches the peers by
        gossip, and the same evidence joins to the same row.
        """
        row = self.table.get(TABLE, message.digest)
        value: Mapping[str, Any] | None = None
        if isinstance(message, StoreSuspicion):
            known = () if row is None else _evidence_of(row)
            joined = _joined(known, message.evidence)
            body = _RowBody(joined, self.clock.now())
            value = msgspec.to_builtins(body)
        elif row is None:
            return True
        condition = Condition(TABLE, message.digest, row.version if row else ABSENT)
        write = Write(TABLE, message.digest, value)
        return self.table.transact((condition,), (write,)).committed

    def _kept(self, row: Row) -> StoredSuspicion | None:
        """Return what a row says; None if it is too old or can't be read."""
        try:
            body = msgspec.convert(row.value, _RowBody)
        except msgspec.ValidationError:
            return None
        age = max(timedelta(0), self.clock.now() - body.written.astimezone(UTC))
        if age <= SUSPICION_TTL:
            return StoredSuspicion(Digest(row.key), body.evidence, age)
        if self.random.random() < DELETING_SHARE:
            self._delete(row)
        return None

    def _delete(self, row: Row) -> None:
        condition = Condition(TABLE, row.key, row.version)
        try:
            self.table.transact((condition,), (Write(TABLE, row.key, None),))
        except PlatformError as error:
            logger.debug("an old suspicion was not deleted: %s", error)


def _evidence_of(row: Row) -> tuple[CrashEvidence, ...]:
    try:
        return msgspec.convert(row.value, _RowBody).evidence
    except msgspec.ValidationError:
        return ()


def _joined(
    known: tuple[CrashEvidence, ...], new: tuple[CrashEvidence, ...]
) -> tuple[CrashEvidence, ...]:
    """Return all evidence, of each life once; the newer word wins."""
    by_life = {(each.endpoint, each.incarnation): each for each in (*known, *new)}
    return tuple(by_life.values())
