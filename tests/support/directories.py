"""A directory whose sources answer by a script, for tests that have no store."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.errors import StoreUnavailableError, UnreadableRowError
from mimosafork.directory.follower import TableFollower
from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
    TableChanged,
)
from mimosafork.directory.rows import Row, RowPage
from mimosafork.ids import AvailabilityZoneId, EndpointId, Revision, ServiceId
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import ClientLimits, RoutingTable

Reply = RowPage | Exception


@dataclass
class ScriptedSource:
    """Answers each call by the next reply and keeps what was asked.

    Attributes
    ----------
    asked : list of int or None
        Version after which changes were asked for; None for a whole read.
    waits : list of timedelta
        How long each long poll was to wait.
    """

    replies: list[Reply] = field(default_factory=list)
    asked: list[int | None] = field(default_factory=list)
    waits: list[timedelta] = field(default_factory=list)

    async def whole(self) -> RowPage:
        """Answer a whole read."""
        self.asked.append(None)
        return self.next_reply()

    async def changes(self, after: int, wait: timedelta) -> RowPage:
        """Answer a long poll."""
        self.asked.append(after)
        self.waits.append(wait)
        return self.next_reply()

    def next_reply(self) -> RowPage:
        """Return or raise the next reply."""
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


class ScriptedConfigurations(ScriptedSource):
    """A row's value is the number of its configuration."""

    def decode(self, row: Row) -> RoutingTable:
        """Return an empty table of that number."""
        try:
            version = Revision(int(row.value))
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        return RoutingTable(version, (), {}, ClientLimits(), ())


class ScriptedEndpoints(ScriptedSource):
    """A row's value is its state, the address and the birth, with blanks between."""

    def decode(self, row: Row) -> ListedEndpoint:
        """Return a listing of that state; the row's version counts the reports."""
        word, *rest = row.value.decode().split(" ")
        address, born = [*rest, "", ""][:2]
        try:
            state = ListedState(word)
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        return ListedEndpoint(
            endpoint=EndpointId(row.key),
            service=ServiceId("s"),
            address=address or "10.0.0.1:80",
            zone=AvailabilityZoneId("z"),
            slots=8,
            state=state,
            sequence=row.version,
            started_ms=int(born) if born else None,
        )


class DirectoryWorld:
    """A directory with its sources, its clock, and what it told."""

    def __init__(self) -> None:
        self.clock = ManualClock(timedelta(hours=1))
        self.configurations = ScriptedConfigurations()
        self.listing = ScriptedEndpoints()
        self.published: list[DirectoryChange] = []
        self.directory = Directory(
            self.configurations, self.listing, self.clock, Random(1)
        )
        self.directory.add_listener(self.published.append)

    def endpoints(self, *replies: Reply) -> timedelta:
        """Let the endpoints' follower meet replies; return its last pause."""
        return run_steps(self.directory.endpoint_follower, self.listing, replies)

    def configuration(self, *replies: Reply) -> timedelta:
        """Let the configuration's follower meet replies; return its last pause."""
        follower = self.directory.configuration_follower
        return run_steps(follower, self.configurations, replies)

    def pass_time(self, seconds: float) -> None:
        """Move the clock."""
        self.clock.advance(timedelta(seconds=seconds))

    def outage(self) -> None:
        """Let calls about the endpoints fail for longer than rows need to expire."""
        self.endpoints(StoreUnavailableError("down"))
        self.pass_time(4)
        self.endpoints(StoreUnavailableError("down"))

    def state(self, key: str) -> EndpointState | None:
        """Return what is believed of an endpoint; None if it is not known."""
        entry = self.directory.endpoints.get(EndpointId(key))
        return None if entry is None else entry.state

    def version(self) -> int | None:
        """Return the number of the configuration in force."""
        table = self.directory.table
        return None if table is None else table.version

    def summaries(self) -> list[str]:
        """Return what was told, each in short."""
        return [summary_of(change) for change in self.published]


def run_steps(
    follower: TableFollower, source: ScriptedSource, replies: tuple[Reply, ...]
) -> timedelta:
    """Make a step for each reply."""
    source.replies += replies
    pause = timedelta(0)

    async def work() -> None:
        nonlocal pause
        for _ in replies:
            pause = await follower.guarded_step()

    asyncio.run(work())
    return pause


def summary_of(change: DirectoryChange) -> str:
    """Return a change in short."""
    if isinstance(change, TableChanged):
        return f"table {change.table.version}"
    assert isinstance(change, EndpointChanged)
    held = "" if change.entry.missing_version is None else " held"
    return f"{change.endpoint} {change.entry.state.value}{held}"


def listed(key: str, version: int, state: str = "ready") -> Row:
    """Return an endpoint's row."""
    return Row("endpoints", "", key, state.encode(), version)


def removed(key: str, version: int) -> Row:
    """Return the word that an endpoint's row was removed."""
    return Row("endpoints", "", key, b"", version, removed=True)


def configured(number: int, version: int) -> Row:
    """Return the row of a configuration."""
    return Row("configuration", "", "it", str(number).encode(), version)


def page(version: int, *rows: Row) -> RowPage:
    """Return rows as of a version."""
    return RowPage(rows, version)


@contextmanager
def directory_world() -> Iterator[DirectoryWorld]:
    """Give a directory that has not read anything yet."""
    yield DirectoryWorld()
