"""Keeps decisions on contents in the store, for when all instances are restarted."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from logging import getLogger
from random import Random

from ..clock import Clock
from ..directory.errors import RowsError
from ..directory.restore_writes import write_delay
from ..directory.row_version import NO_VERSION, RowVersion
from ..directory.rows import RowKey, Rows
from ..ids import Digest
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.crashes import (
    PublishQuarantine,
    Quarantine,
    QuarantineReceived,
)
from ..quarantine.register import SAME_DECISION, QuarantineRegister, is_forgotten
from ..quarantine.rows import (
    TABLE,
    quarantine_of,
    read_rows,
    row_put,
    stored_quarantine,
)
from ..telemetry.catalogue.lifecycle import TASK_FAILED
from ..telemetry.logs import log_event

logger = getLogger(__name__)

RETRY_DELAY = timedelta(seconds=1)
READ_INTERVAL = timedelta(seconds=30)
"""While any content is quarantined: an operator may have lifted it."""

MAX_REMOVED_ROWS = 50
MAX_WAIT_AT_START = timedelta(seconds=1)
"""Time for which an instance is not ready because decisions may be missing."""


class QuarantineStore:
    """Writes own decisions to the store, and reads those of other instances.

    Parameters
    ----------
    rows : Rows
    register : QuarantineRegister
        The kernel's, read only.
    post : callable
        Posts a message to the kernel.
    clock : Clock
    members : callable, optional
        Returns the number of instances that keep decisions.
    random : Random, optional
        Spreads what instances write after a restore.
    """

    def __init__(
        self,
        rows: Rows,
        register: QuarantineRegister,
        post: Callable[[Message], None],
        clock: Clock,
        members: Callable[[], int] = lambda: 1,
        random: Random | None = None,
    ) -> None:
        self.rows = rows
        self.register = register
        self.post = post
        self.clock = clock
        self.members = members
        self.random = random or Random()
        self.created_at = clock.monotonic()
        self.is_read = False
        self.versions: dict[Digest, RowVersion] = {}
        """Version of the row that was read last, of each content."""
        self.expired: set[Digest] = set()
        """Contents of rows that are removed with the next write."""
        self.unwritten: dict[Digest, PublishQuarantine] = {}
        self.changed = asyncio.Event()
        self.restored = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def may_serve(self) -> bool:
        """Whether the decisions are known, or are not waited for any longer."""
        waited = self.clock.monotonic() - self.created_at
        return self.is_read or waited >= MAX_WAIT_AT_START

    def start(self) -> None:
        """Begin to read and to write."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._run_guarded(task))
            for task in (self._read_always, self._write_always, self._repair_always)
        ]

    async def _run_guarded(self, task: Callable[[], Awaitable[None]]) -> None:
        """Start a task again after an unexpected exception.

        It would end unnoticed, and its decisions would neither be read nor written.
        """
        while True:
            try:
                await task()
            except Exception:
                log_event(logger, TASK_FAILED, exc_info=True, task=task.__name__)
            await asyncio.sleep(RETRY_DELAY.total_seconds())

    async def stop(self) -> None:
        """End reading and writing."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def receive_after(
        self, publish: Callable[[Effect], None]
    ) -> Callable[[Effect], None]:
        """Return a listener that publishes an effect, and stores own decisions."""

        def publish_and_store(effect: Effect) -> None:
            publish(effect)
            if isinstance(effect, PublishQuarantine) and effect.is_own:
                self.unwritten[effect.quarantine.content] = effect
                self.changed.set()

        return publish_and_store

    def receive_restore(self, era: int) -> None:
        """Have decisions written again that a restored store lacks."""
        self.restored.set()

    async def _repair_always(self) -> None:
        while True:
            await self.restored.wait()
            self.restored.clear()
            delay = write_delay(self.members(), self.random)
            await asyncio.sleep(delay.total_seconds())
            try:
                await self.repair()
            except RowsError as error:
                logger.debug("cannot repair quarantines: %s", error)
                await asyncio.sleep(RETRY_DELAY.total_seconds())
                self.restored.set()

    async def repair(self) -> None:
        """Write the known decisions that are newer than the stored ones.

        Any instance writes them: the one that decided may be gone.

        Raises
        ------
        RowsError
        """
        stored = {row.stored.content: row for row in await read_rows(self.rows)}
        for decision in self.register.decisions.values():
            row = stored.get(decision.content)
            known = None if row is None else quarantine_of(row.stored, self.clock)
            if self._is_worth_writing(decision, known):
                effect = PublishQuarantine(decision, is_own=True)
                self.unwritten.setdefault(decision.content, effect)
        self.changed.set()

    def _is_worth_writing(
        self, decision: Quarantine, stored: Quarantine | None
    ) -> bool:
        until = stored_quarantine(decision, self.clock).until
        if is_forgotten(until, self.clock.now()):
            return False
        if stored is None:
            return True
        return decision.decided_at - stored.decided_at > SAME_DECISION

    async def _read_always(self) -> None:
        while True:
            try:
                await self.read()
            except RowsError as error:
                logger.debug("cannot read quarantines: %s", error)
                await asyncio.sleep(RETRY_DELAY.total_seconds())
                continue
            self.is_read = True
            await asyncio.sleep(READ_INTERVAL.total_seconds())
            while not self._has_quarantines():
                await asyncio.sleep(READ_INTERVAL.total_seconds())

    def _has_quarantines(self) -> bool:
        return any(not each.lifted for each in self.register.decisions.values())

    async def read(self) -> None:
        """Read all decisions, and post those that have changed.

        Raises
        ------
        RowsError
        """
        for row in await read_rows(self.rows):
            content = row.stored.content
            if is_forgotten(row.stored.until, self.clock.now()):
                self.expired.add(content)
            elif self.versions.get(content, NO_VERSION) < row.version:
                self.versions[content] = row.version
                decision = quarantine_of(row.stored, self.clock)
                self.post(QuarantineReceived(decision))

    async def _write_always(self) -> None:
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.unwritten:
                await self._write_next()

    async def _write_next(self) -> None:
        content, effect = next(iter(self.unwritten.items()))
        put = row_put(stored_quarantine(effect.quarantine, self.clock))
        removes = [RowKey(TABLE, "", each) for each in self.expired - {content}]
        try:
            await self.rows.write([put], removes[:MAX_REMOVED_ROWS])
        except RowsError as error:
            logger.debug("cannot write a quarantine: %s", error)
            await asyncio.sleep(RETRY_DELAY.total_seconds())
            return
        self.expired.clear()
        if self.unwritten.get(content) is effect:
            del self.unwritten[content]
