"""The weight store's rate limit, shared by all instances that send orders."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..ids import InstanceId
from ..storage.errors import StoreUnavailableError, UnknownResultError
from ..storage.table import ABSENT, Condition, Table, TableRow, Write

TABLE = "budgets"
KEY = "weight-store"
LOAD_INTERVAL = timedelta(seconds=2)
PAUSE_AFTER_TROUBLE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Sighting:
    """A version of the row and since when it is known here."""

    version: int
    since: timedelta


class WeightBudget:
    """One row whose every new version is the permission for one load.

    The row may be written again only by an instance that has known its present
    version for the whole interval, on its own monotonic clock, and on the
    condition of that version. So two loads are never closer than the interval,
    whoever sends them, and no clocks are compared. With the store out there is no
    permission: rollouts stand still and serving goes on.

    Parameters
    ----------
    instance : InstanceId
    table : Table
    clock : Clock
    random : random.Random
    interval : timedelta
        Least time between two loads in the whole deployment.

    Attributes
    ----------
    due : timedelta
        Earliest instant at which asking again makes sense.
    """

    def __init__(
        self,
        instance: InstanceId,
        table: Table,
        clock: Clock,
        random: Random,
        interval: timedelta = LOAD_INTERVAL,
    ) -> None:
        self.instance = instance
        self.table = table
        self.clock = clock
        self.random = random
        self.interval = interval
        self.seen: Sighting | None = None
        self.due = clock.monotonic()

    def take(self) -> bool:
        """Take the permission for one load; return whether there was one."""
        try:
            row = self.table.get(TABLE, KEY)
            version = ABSENT if row is None else row.version
            if not self._may_write(version):
                return False
            return self._write(version)
        except StoreUnavailableError:
            self.due = self.clock.monotonic() + PAUSE_AFTER_TROUBLE
            return False

    def _may_write(self, version: int) -> bool:
        if version == ABSENT and self.seen is None:
            return True
        now = self.clock.monotonic()
        if self.seen is None or version != self.seen.version:
            self._see(version)
            return False
        self.due = self.seen.since + self.interval
        return now >= self.due

    def _see(self, version: int) -> None:
        """Count the interval from now: the row can't have changed any later."""
        self.seen = Sighting(version, self.clock.monotonic())
        self.due = self.seen.since + self.interval

    def _write(self, version: int) -> bool:
        write_id = f"{self.instance}-{self.random.getrandbits(64):016x}"
        value = {"taker": self.instance, "write_id": write_id}
        condition = Condition(TABLE, KEY, version)
        try:
            result = self.table.transact((condition,), (Write(TABLE, KEY, value),))
        except UnknownResultError:
            return self._settle(version, write_id)
        if result.committed:
            self._see(result.versions[0])
            return True
        self._see(result.conflicts[0].version)
        return False

    def _settle(self, version: int, write_id: str) -> bool:
        """Find out whether a write of unknown result took the permission.

        Taking it for failed would lose a load's time; taking it for done, when it
        was not, would let another instance load in the same interval.
        """
        row = self.table.get(TABLE, KEY)
        if row is not None and _written_by(row, write_id):
            self._see(row.version)
            return True
        self._see(version if row is None else row.version)
        return False


def _written_by(row: TableRow, write_id: str) -> bool:
    return row.value.get("write_id") == write_id
