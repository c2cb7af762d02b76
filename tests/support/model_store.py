"""A store of configurations and endpoints' rows that fails, lapses and forgets."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from msgspec.structs import replace

from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import Row, RowPage

from .versions import ERA, version

EXPIRY = timedelta(seconds=3)
"""A row lapses after so much silence of its endpoint."""

REPORT = timedelta(seconds=1)
"""An endpoint reports so often."""

STABLE = timedelta(seconds=3)
"""Rules with a time bound hold once nothing has been wrong for so long."""

RETURN = timedelta(seconds=2)
"""A row that a restored store lacks counts as removed if it is missing for so long."""

LATEST_RETURN = timedelta(seconds=1.75)
"""A row that lapsed in an outage is back so long after it at the latest."""


class Condition(Enum):
    """How the store answers one instance."""

    CALM = "calm"
    DOWN = "down"
    TURNED_AWAY = "turned-away"
    """It refuses this instance and serves all others."""


@dataclass
class ReportingEndpoint:
    """One life of an endpoint, as it reports itself.

    Attributes
    ----------
    heard_at : timedelta
        When the store last took a report of it.
    connected : bool
        Whether its reports reach the store.
    """

    name: str
    service: str
    address: str
    heard_at: timedelta
    draining: bool = False
    alive: bool = True
    connected: bool = True

    @property
    def value(self) -> bytes:
        """What its row says."""
        state = "draining" if self.draining else "ready"
        return f"{state} {self.service} {self.address} zone-a 8".encode()


@dataclass
class StoredTable:
    """Rows of one table and how they came about.

    Attributes
    ----------
    changed_at : dict
        When a key's row was last written, removed or changed its state.
    kept_from : int
        Changes up to this version are no longer told.
    told : list of Row
        All rows and removals that were ever read, of all eras.
    """

    name: str
    rows: dict[str, Row] = field(default_factory=dict)
    log: list[Row] = field(default_factory=list)
    changed_at: dict[str, timedelta] = field(default_factory=dict)
    kept_from: int = 0
    told: list[Row] = field(default_factory=list)


@dataclass(frozen=True)
class StoreCopy:
    """The rows of all tables as they were at a version."""

    taken_at: timedelta
    version: int
    rows: dict[str, dict[str, Row]]


class ModelStore:
    """Tables under one counter of versions.

    Attributes
    ----------
    era : int
        Rises with each restore from a copy.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = ERA
        self.endpoints = StoredTable("endpoints")
        self.configuration = StoredTable("configuration")
        self.lives: dict[str, ReportingEndpoint] = {}
        self.condition = Condition.CALM
        self.returned_at = timedelta(0)
        self.calm_since = timedelta(0)
        self.gone_at: dict[str, timedelta] = {}
        self.disruptions = 0

    # What is written

    def write(
        self, table: StoredTable, key: str, value: bytes | None, now: timedelta
    ) -> Row:
        """Write a row, or remove it if there is no value."""
        self.version += 1
        removed = value is None
        written = version(self.version, self.era)
        row = Row(table.name, "", key, value or b"", written, removed)
        former = table.rows.pop(key, None)
        if not removed:
            table.rows[key] = row
        elif self.is_stable(now) and not self.lives[key].alive:
            self.gone_at.setdefault(key, now)
        table.log.append(row)
        table.told.append(row)
        if former is None or removed or former.value != value:
            table.changed_at[key] = now
        return row

    def report(self, life: ReportingEndpoint, now: timedelta) -> None:
        """Take an endpoint's report; one that changes nothing wakes no feed."""
        life.heard_at = now
        row = self.endpoints.rows.get(life.name)
        if row is None or row.value != life.value:
            self.write(self.endpoints, life.name, life.value, now)

    def become(self, condition: Condition, now: timedelta) -> None:
        """Change how the store answers."""
        if self.condition is Condition.DOWN and condition is not Condition.DOWN:
            self.returned_at = now
        if Condition.CALM in {condition, self.condition}:
            self.calm_since = now
        self.condition = condition

    def is_stable(self, now: timedelta) -> bool:
        """Whether nothing has been wrong for long enough."""
        return self.condition is Condition.CALM and now - self.calm_since >= STABLE

    def disturb(self, now: timedelta) -> None:
        """Note that something went wrong now, after which it is not yet stable."""
        self.calm_since = now

    def pass_time(self, now: timedelta) -> None:
        """Let endpoints report, and rows lapse whose endpoints are silent."""
        if self.condition is Condition.DOWN:
            return
        for name in list(self.endpoints.rows):
            if now - self.lives[name].heard_at >= EXPIRY:
                self.write(self.endpoints, name, None, now)
        for number, life in enumerate(list(self.lives.values())):
            if life.alive and life.connected and self._reports(life, number, now):
                self.report(life, now)

    def _reports(self, life: ReportingEndpoint, number: int, now: timedelta) -> bool:
        """Whether a report comes now; after an outage some come late."""
        lapsed = life.name not in self.endpoints.rows
        late = LATEST_RETURN * (number % 4) / 3 if lapsed else timedelta(0)
        return now - life.heard_at >= REPORT and now >= self.returned_at + late

    def disrupt(self) -> None:
        """Note that an answer was lost, or one of an older state given."""
        self.disruptions += 1

    def forget_history(self) -> None:
        """Drop the history of both tables."""
        self.endpoints.kept_from = self.configuration.kept_from = self.version

    # Copies

    @property
    def tables(self) -> tuple[StoredTable, StoredTable]:
        """Both tables."""
        return self.endpoints, self.configuration

    def copy(self, now: timedelta) -> StoreCopy:
        """Return a copy of all rows."""
        rows = {table.name: dict(table.rows) for table in self.tables}
        return StoreCopy(now, self.version, rows)

    def restore(self, copy: StoreCopy, now: timedelta) -> None:
        """Go on from a copy in the next era; its rows last as if just reported."""
        self.era += 1
        self.version = copy.version
        for name in set(self.endpoints.rows) - set(copy.rows[self.endpoints.name]):
            self.endpoints.changed_at[name] = now + RETURN
        for table in self.tables:
            table.kept_from, table.log = copy.version, []
            table.rows = {
                key: replace(row, version=row.version._replace(era=self.era))
                for key, row in copy.rows[table.name].items()
            }
            table.told += table.rows.values()
        for name in self.endpoints.rows:
            self.lives[name].heard_at = now
        self.disturb(now)

    # What is read

    def whole(self, table: StoredTable) -> RowPage:
        """Return all rows."""
        rows = sorted(table.rows.values(), key=lambda row: row.key)
        return RowPage(tuple(rows), version(self.version, self.era))

    def changes(self, table: StoredTable, after: RowVersion) -> RowPage:
        """Return what changed after a version; raises `HistoryExpiredError`."""
        if not table.kept_from <= after.number <= self.version:
            raise HistoryExpiredError("forgotten")
        rows = tuple(row for row in table.log if row.version.number > after.number)
        return RowPage(rows, version(self.version, self.era))


class StoreSource:
    """One table as an instance reads it.

    Attributes
    ----------
    lost : int
        Next answers that are lost.
    late : RowPage or None
        Answer of an older state, to come next.
    """

    def __init__(self, store: ModelStore, table: StoredTable) -> None:
        self.store = store
        self.table = table
        self.lost = 0
        self.late: RowPage | None = None

    async def whole(self) -> RowPage:
        """Answer a whole read."""
        self.refuse_if_down()
        late, self.late = self.late, None
        if late is None:
            return self.store.whole(self.table)
        self.store.disrupt()
        return late

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Answer a long poll at once."""
        self.refuse_if_down()
        return self.store.changes(self.table, after)

    def refuse_if_down(self) -> None:
        """Raise what a caller meets whose call gets no answer."""
        if self.store.condition is not Condition.CALM:
            raise StoreUnavailableError(self.store.condition.value)
        if self.lost:
            self.lost -= 1
            self.store.disrupt()
            raise StoreUnavailableError("lost")
