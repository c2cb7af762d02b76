"""Task that writes and reads crash suspicions in the table service."""

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
from ..storage.table import ABSENT, Condition, Table, TableRow, Write, all_rows

logger = getLogger(__name__)

TABLE = "suspicions"
READ_PERIOD = timedelta(minutes=2)
SUSPICION_TTL = timedelta(hours=1)
MAX_ATTEMPTS = 3
DELETE_PROBABILITY = 0.05
"""Probability that a reader deletes an expired row: one of all readers is enough."""


class _RowBody(msgspec.Struct, frozen=True):
    evidence: tuple[CrashEvidence, ...]
    written: datetime


class SuspicionTask(Task[StoreSuspicion | DropSuspicion]):
    """Carries out `StoreSuspicion` and `DropSuspicion`, and periodically reads all.

    While the store is unavailable, suspicions spread by gossip alone; nothing waits for
    this task.

    Parameters
    ----------
    table : Table
    clock : Clock
    random : random.Random
    send_to_kernel : callable
        Takes `SuspicionsRead`; must not block, like `KernelTask.send`.
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
        """Return the time until the next read."""
        return self.read_at - self.clock.monotonic()

    def idle(self) -> None:
        """Read all suspicions if the read is due."""
        if self.read_at > self.clock.monotonic():
            return
        delay = READ_PERIOD * (0.5 + self.random.random())
        self.read_at = self.clock.monotonic() + delay
        try:
            rows = list(all_rows(self.table, TABLE))
        except PlatformError as error:
            logger.debug("cannot read suspicions: %s", error)
            return
        read = [kept for kept in map(self._kept, rows) if kept is not None]
        if read:
            self.send_to_kernel(SuspicionsRead(tuple(read)))

    def receive(self, message: StoreSuspicion | DropSuspicion) -> None:
        """Write, retrying on conflicts with other writers."""
        for _ in range(MAX_ATTEMPTS):
            try:
                if self._write(message):
                    return
            except PlatformError as error:
                logger.debug("cannot write a suspicion: %s", error)
                return

    def _write(self, message: StoreSuspicion | DropSuspicion) -> bool:
        """Write conditionally on the version that was read; return whether it is done.

        A write with an unknown result is not retried: the suspicion reaches the peers
        by gossip, and the same evidence merges into the same row.
        """
        row = self.table.get(TABLE, message.digest)
        value: Mapping[str, Any] | None = None
        if isinstance(message, StoreSuspicion):
            known = () if row is None else _evidence_of(row)
            merged = _merged(known, message.evidence)
            body = _RowBody(merged, self.clock.now())
            value = msgspec.to_builtins(body)
        elif row is None:
            return True
        condition = Condition(TABLE, message.digest, row.version if row else ABSENT)
        write = Write(TABLE, message.digest, value)
        return self.table.transact((condition,), (write,)).committed

    def _kept(self, row: TableRow) -> StoredSuspicion | None:
        """Return the suspicion in a row; None if it has expired or is invalid."""
        try:
            body = msgspec.convert(row.value, _RowBody)
        except msgspec.ValidationError:
            return None
        age = max(timedelta(0), self.clock.now() - body.written.astimezone(UTC))
        if age <= SUSPICION_TTL:
            return StoredSuspicion(Digest(row.key), body.evidence, age)
        if self.random.random() < DELETE_PROBABILITY:
            self._delete(row)
        return None

    def _delete(self, row: TableRow) -> None:
        condition = Condition(TABLE, row.key, row.version)
        try:
            self.table.transact((condition,), (Write(TABLE, row.key, None),))
        except PlatformError as error:
            logger.debug("cannot delete an expired suspicion: %s", error)


def _evidence_of(row: TableRow) -> tuple[CrashEvidence, ...]:
    try:
        return msgspec.convert(row.value, _RowBody).evidence
    except msgspec.ValidationError:
        return ()


def _merged(
    known: tuple[CrashEvidence, ...], new: tuple[CrashEvidence, ...]
) -> tuple[CrashEvidence, ...]:
    """Merge evidence, one entry per incarnation; the new entry wins."""
    by_incarnation = {
        (each.endpoint, each.incarnation): each for each in (*known, *new)
    }
    return tuple(by_incarnation.values())
