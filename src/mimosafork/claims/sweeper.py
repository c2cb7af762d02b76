"""The task that removes claims, and their answers, that have expired."""

from datetime import timedelta
from logging import getLogger
from random import Random

from ..clock import Clock
from ..runtime.task import Task
from ..storage.errors import PlatformError
from ..storage.objects import ObjectClient
from ..storage.table import Condition, Table, TableRow, Write
from ..telemetry.catalogue.claims import CLAIMS_NOT_SWEPT
from ..telemetry.logs import log_event
from .errors import BadClaimRowError
from .rows import TABLE, ClaimRow, decoded, expired

logger = getLogger(__name__)

PAGE = 100
BUSY_PAUSE = timedelta(seconds=5)
IDLE_PAUSE = timedelta(seconds=60)
KEY_BITS = 128


class ClaimSweeper(Task[None]):
    """Looks at a page of the table at a random place, now and then.

    Every instance does, without agreement: keys are digests and so spread evenly,
    and a row is removed only in the version that was seen to be expired.
    """

    def __init__(
        self, table: Table, objects: ObjectClient, clock: Clock, random: Random
    ) -> None:
        super().__init__("claim-sweeper")
        self.table = table
        self.objects = objects
        self.clock = clock
        self.random = random
        self.next_at = clock.monotonic() + IDLE_PAUSE * random.random()

    def wait_time(self) -> timedelta:
        """Return the time until the next page."""
        return max(timedelta(0), self.next_at - self.clock.monotonic())

    def receive(self, message: None) -> None:
        """Nothing is sent to this task."""

    def idle(self) -> None:
        """Sweep a page; soon again if it held something."""
        removed = 0
        try:
            removed = self.sweep()
        except PlatformError as error:
            log_event(logger, CLAIMS_NOT_SWEPT, why=error)
        pause = BUSY_PAUSE if removed else IDLE_PAUSE
        jittered = pause * (0.5 + self.random.random())
        self.next_at = self.clock.monotonic() + jittered

    def sweep(self) -> int:
        """Remove the expired rows of one page; return how many.

        Raises
        ------
        PlatformError
        """
        after = f"{self.random.getrandbits(KEY_BITS):032x}"
        rows = self.table.page(TABLE, after=after, limit=PAGE)
        if len(rows) < PAGE:
            rows += self.table.page(TABLE, limit=PAGE - len(rows))
        old = {row.key: row for row in rows if self._expired(row) is not None}
        for row in old.values():
            claim = self._expired(row)
            if claim is not None and claim.answer_object is not None:
                self.objects.delete(claim.answer_object)
        if not old:
            return 0
        conditions = [Condition(TABLE, row.key, row.version) for row in old.values()]
        writes = [Write(TABLE, row.key, None) for row in old.values()]
        self.table.transact(tuple(conditions), tuple(writes))
        return len(old)

    def _expired(self, row: TableRow) -> ClaimRow | None:
        """Return a row's claim if it has expired."""
        try:
            claim = decoded(row.value)
        except BadClaimRowError:
            return None
        return claim if expired(claim, self.clock.now()) else None
