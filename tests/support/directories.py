"""A directory with scripted sources, for tests without a store."""

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
    EvacuationChanged,
    TableChanged,
)
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import Row, RowPage
from mimosafork.ids import AvailabilityZoneId, EndpointId, Revision, ServiceId
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import ClientLimits, RoutingTable

from .versions import ERA, version

EVACUATED = "evacuated "
"""Before the zone in the key of a row that evacuates it."""

Reply = RowPage | Exception


@dataclass
class ScriptedSource:
    """A source that answers each call with the next reply and records the calls.

    Attributes
    ----------
    asked : list of int or None
        Version after which changes were requested; None for a whole read.
    waits : list of timedelta
        Requested wait of each long poll.
    """

    replies: list[Reply] = field(default_factory=list)
    asked: list[int | None] = field(default_factory=list)
    waits: list[timedelta] = field(default_factory=list)

    async def whole(self) -> RowPage:
        """Answer a whole read."""
        self.asked.append(None)
        return self.next_reply()

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Answer a long poll."""
        self.asked.append(after.number)
        self.waits.append(wait)
        return self.next_reply()

    def next_reply(self) -> RowPage:
        """Return or raise the next reply."""
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


class ScriptedConfigurations(ScriptedSource):
    """A source whose row values are configuration versions."""

    def decode(self, row: Row) -> RoutingTable:
        """Return an empty table of that version."""
        try:
            version = Revision(int(row.value))
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        return RoutingTable(version, (), {}, ClientLimits(), ())

    def evacuated_zone(self, row: Row) -> AvailabilityZoneId | None:
        """Return the zone of a row of `evacuated`."""
        return zone_of_key(row.key)


class ScriptedEndpoints(ScriptedSource):
    """A source whose row values are state, address, start time and cold time."""

    def decode(self, row: Row) -> ListedEndpoint:
        """Return a listing of that state; the row version is its sequence number."""
        state_name, *rest = row.value.decode().split(" ")
        address, started, cold_ms = [*rest, "", "", ""][:3]
        try:
            state = ListedState(state_name)
        except ValueError as error:
            raise UnreadableRowError(str(error)) from error
        return ListedEndpoint(
            endpoint=EndpointId(row.key),
            service=ServiceId("s"),
            address=address or "10.0.0.1:80",
            zone=AvailabilityZoneId("z"),
            slots=8,
            state=state,
            sequence=row.version.number,
            started_ms=int(started) if started else None,
            cold_remaining=timedelta(milliseconds=int(cold_ms or 0)),
        )


class DirectoryWorld:
    """A directory with its sources, its clock, and the changes it published."""

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
        """Run the endpoint follower over replies; return its last pause."""
        return run_steps(self.directory.endpoint_follower, self.listing, replies)

    def configuration(self, *replies: Reply) -> timedelta:
        """Run the configuration follower over replies; return its last pause."""
        follower = self.directory.configuration_follower
        return run_steps(follower, self.configurations, replies)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.advance(timedelta(seconds=seconds))

    def outage(self) -> None:
        """Fail calls about endpoints for longer than rows take to expire."""
        self.endpoints(StoreUnavailableError("down"))
        self.pass_time(4)
        self.endpoints(StoreUnavailableError("down"))

    def state(self, key: str) -> EndpointState | None:
        """Return the state of an endpoint; None if it is not known."""
        entry = self.directory.endpoints.get(EndpointId(key))
        return None if entry is None else entry.state

    def version(self) -> int | None:
        """Return the version of the active configuration."""
        table = self.directory.table
        return None if table is None else table.version

    def summaries(self) -> list[str]:
        """Return a summary of each published change."""
        return [summary_of(change) for change in self.published]


def run_steps(
    follower: TableFollower, source: ScriptedSource, replies: tuple[Reply, ...]
) -> timedelta:
    """Run one follower step for each reply; return the last pause."""
    source.replies += replies
    pause = timedelta(0)

    async def work() -> None:
        nonlocal pause
        for _ in replies:
            pause = await follower.guarded_step()

    asyncio.run(work())
    return pause


def summary_of(change: DirectoryChange) -> str:
    """Return a short summary of a change."""
    if isinstance(change, TableChanged):
        return f"table {change.table.version}"
    if isinstance(change, EvacuationChanged):
        begun = "evacuated" if change.evacuated else "not evacuated"
        return f"{change.zone} {begun} as of {change.version.number}"
    assert isinstance(change, EndpointChanged)
    held = "" if change.entry.missing_version is None else " held"
    return f"{change.endpoint} {change.entry.state.value}{held}"


def listed(key: str, number: int, state: str = "ready", era: int = ERA) -> Row:
    """Return the row of an endpoint."""
    return Row("endpoints", "", key, state.encode(), version(number, era))


def removed(key: str, number: int, era: int = ERA) -> Row:
    """Return the removal of the row of an endpoint."""
    return Row("endpoints", "", key, b"", version(number, era), removed=True)


def configured(configuration: int, number: int, era: int = ERA) -> Row:
    """Return the row of a configuration."""
    return Row(
        "configuration", "", "it", str(configuration).encode(), version(number, era)
    )


def evacuated(zone: str, number: int, era: int = ERA, ended: bool = False) -> Row:
    """Return the row that evacuates a zone, or its removal."""
    key = f"{EVACUATED}{zone}"
    return Row("configuration", "", key, b"", version(number, era), removed=ended)


def zone_of_key(key: str) -> AvailabilityZoneId | None:
    """Return the zone that a row with a key evacuates."""
    if not key.startswith(EVACUATED):
        return None
    zone = key.removeprefix(EVACUATED)
    if not zone:
        raise UnreadableRowError("no zone")
    return AvailabilityZoneId(zone)


def page(number: int, *rows: Row, era: int = ERA) -> RowPage:
    """Return a page of rows as of a version."""
    return RowPage(rows, version(number, era))


@contextmanager
def directory_world() -> Iterator[DirectoryWorld]:
    """Provide a directory that has not read anything yet."""
    yield DirectoryWorld()
