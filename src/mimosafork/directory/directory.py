"""The directory: follows configuration and endpoints, and tells what changed."""

import asyncio
import logging
import sys
from collections.abc import Callable
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from ..clock import Clock
from ..ids import EndpointId
from ..routing.changes import TableChanges
from ..routing.table import RoutingTable
from ..telemetry.catalogue.directory import (
    ENDPOINT_DRAINING,
    ENDPOINT_GONE,
    ENDPOINT_HELD,
    ENDPOINT_LISTED,
    ENTRY_UNREADABLE,
    TABLE_TAKEN,
)
from ..telemetry.logs import log_event
from .current_table import CurrentTable
from .endpoint_registry import EndpointRegistry
from .errors import UnreadableRowError
from .follower import MILLISECOND, Sleep, TableFollower, sleep
from .health import StoreHealth, VersionWatermark
from .messages import (
    DirectoryChange,
    DirectoryEntry,
    EndpointChanged,
    EndpointState,
    Listener,
    TableChanged,
    UpdateOrigin,
)
from .peer_feed import PeerFeed
from .rows import Row, RowPage
from .settings import DirectorySettings
from .sources import ConfigurationSource, EndpointSource

logger = logging.getLogger(__name__)

MISSED_DETECTION_PROBABILITY = 0.001
"""Share of the cases in which no instance finds all connections silent soon."""
LONGEST_WAIT = timedelta(seconds=10)
"""Half of the time for which the store keeps its history."""

LATEST = sys.maxsize
"""Version of an update that is not older than anything known."""

MAX_FIELD_CHARS = 300
"""Characters of a field of a line that another's row fills."""

HELD = "held"
"""Of an endpoint that stays in use though its row vanished."""


def no_peers() -> int:
    """Return that no peer is heard."""
    return 0


def long_poll_wait(usual: timedelta, peers: int) -> timedelta:
    """Return how long a call about the configuration may wait among some peers.

    A connection that has fallen silent is found when its wait is over. Where that
    befalls all instances at once, the first to find it reads the configuration and
    hands it to its peers. They wait at all instants, so that with this wait one of them
    finds it within the usual time but in `UNFOUND` of all cases; each call that waits
    longer saves one of the store's, 0.6 of them for 64 instances.

    Parameters
    ----------
    usual : timedelta
        Wait of an instance alone.
    """
    if peers == 0:
        return usual
    found_by_one = 1.0 - MISSED_DETECTION_PROBABILITY ** (1.0 / (peers + 1))
    return min(usual / found_by_one, max(usual, LONGEST_WAIT))


class Directory:
    """What this instance believes of the configuration and the endpoints.

    Lives on one asyncio loop; listeners are called there, in the order of changes,
    and must not wait.

    Parameters
    ----------
    configurations : ConfigurationSource
        The operator's configuration.
    endpoints : EndpointSource
        The endpoints' rows.
    clock : Clock
        Its monotonic scale is used.
    random : Random
        Spreads retries.
    settings : DirectorySettings, optional
        Times.
    pause : Sleep, optional
        Waits for a time.
    boot_clock : Clock, optional
        Its monotonic scale counts the time of a suspension, by which peers' updates
        grow old; `clock` if it is not given.
    """

    def __init__(
        self,
        configurations: ConfigurationSource,
        endpoints: EndpointSource,
        clock: Clock,
        random: Random,
        settings: DirectorySettings | None = None,
        pause: Sleep = sleep,
        boot_clock: Clock | None = None,
    ) -> None:
        chosen = settings or DirectorySettings()
        self.pause = pause
        self.watermark = VersionWatermark()
        grace, least = chosen.return_grace, chosen.min_outage
        self.health = StoreHealth(clock, grace, least)
        self.current_table = CurrentTable(configurations)
        self.endpoint_registry = EndpointRegistry(
            endpoints, self.health, clock, chosen.removal_retention
        )
        self.peer_count: Callable[[], int] = no_peers
        """Returns how many instances would tell of a newer configuration."""
        self.peer_feed = PeerFeed(boot_clock or clock)
        self.unreadable_table_version = 0
        """Version of the newest configuration that could not be read."""
        self.listeners: list[Listener] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.configuration_follower = TableFollower(
            "configuration",
            configurations,
            ConfigurationConsumer(self),
            chosen.configuration,
            clock,
            random,
            StoreHealth(clock, grace, least),
            self.watermark,
        )
        self.endpoint_follower = TableFollower(
            "endpoints",
            endpoints,
            EndpointConsumer(self),
            chosen.endpoints,
            clock,
            random,
            self.health,
            self.watermark,
            self.peer_feed,
        )

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force, or None before the first."""
        return self.current_table.table

    @property
    def endpoints(self) -> dict[EndpointId, DirectoryEntry]:
        """Ready and draining endpoints; not to be changed by others."""
        return self.endpoint_registry.entries

    @property
    def raw_configuration(self) -> Row | None:
        """The row of the configuration in force, to hand to peers."""
        return self.current_table.row

    @property
    def raw_endpoints(self) -> tuple[Row, ...]:
        """The rows of all endpoints, removals included, to hand to peers."""
        return self.endpoint_registry.raw_rows()

    @property
    def table_age(self) -> timedelta | None:
        """Time since the store last told the configuration."""
        return self.configuration_follower.age

    @property
    def listing_age(self) -> timedelta | None:
        """Time since the store last told the endpoints."""
        return self.endpoint_follower.age

    @property
    def ready_to_serve(self) -> bool:
        """Whether a configuration and a list of endpoints are known."""
        listed = bool(self.endpoints) or self.listing_age is not None
        return self.table is not None and listed

    def add_listener(self, listener: Listener) -> None:
        """Tell a listener each change from now on."""
        self.listeners.append(listener)

    def start(self) -> None:
        """Begin to follow, on the running loop."""
        loop = asyncio.get_running_loop()
        for follower in (self.configuration_follower, self.endpoint_follower):
            self.tasks.append(loop.create_task(follower.run(self.pause)))

    async def stop(self) -> None:
        """End following; what is known stays."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    def offer_configuration(self, row: Row) -> None:
        """Take the configuration that a peer knows, if it is newer."""
        self.watermark.observe(row.version)
        self.apply_configuration(row, UpdateOrigin.PEER)

    def offer_endpoint(self, row: Row) -> None:
        """Take a peer's update about an endpoint."""
        self.watermark.observe(row.version)
        self.apply_endpoint(row, UpdateOrigin.PEER)

    def offer_removal(self, endpoint: EndpointId, version: int) -> None:
        """Take a peer's update that an endpoint's row is no longer there."""
        known = self.endpoint_registry.entries.get(endpoint)
        if known is not None:
            row = replace(known.row, value=b"", version=version, removed=True)
            self.apply_endpoint(row, UpdateOrigin.PEER)

    def offer_draining(self, endpoint: EndpointId, version: int = LATEST) -> None:
        """Take a peer's update, of some version, that an endpoint leaves."""
        changed = self.endpoint_registry.mark_draining(
            endpoint, UpdateOrigin.PEER, version
        )
        if changed is not None:
            self.publish_endpoint(changed)

    def apply_configuration(self, row: Row, origin: UpdateOrigin) -> None:
        """Take a configuration's row and tell what changed."""
        try:
            changed = self.current_table.apply(row, origin)
        except UnreadableRowError as error:
            # Each peer hands over what the store holds, again and again.
            if row.version > self.unreadable_table_version:
                self.unreadable_table_version = row.version
                log_unreadable(row, origin, error)
            return
        if changed is not None:
            self.publish_table(changed)

    def apply_endpoint(self, row: Row, origin: UpdateOrigin) -> None:
        """Take an endpoint's row and tell what changed."""
        try:
            changed = self.endpoint_registry.apply(row, origin)
        except UnreadableRowError as error:
            self.apply_unreadable(row, origin, error)
            return
        if changed is not None:
            self.publish_endpoint(changed)

    def apply_unreadable(
        self, row: Row, origin: UpdateOrigin, error: UnreadableRowError
    ) -> None:
        """Take an endpoint's row that cannot be read; one line tells it."""
        if self.endpoint_registry.record_unreadable(row):
            log_unreadable(row, origin, error)
        resting = self.endpoint_registry.suspend(row, origin)
        if resting is not None:
            self.notify(resting)

    def resolve_missing(self) -> None:
        """Tell what is still missing after an outage."""
        for changed in self.endpoint_registry.resolve_missing(UpdateOrigin.STORE):
            self.publish_endpoint(changed)

    def publish_table(self, changed: TableChanged) -> None:
        """Log a configuration and tell the listeners."""
        silence = self.configuration_follower.health.time_since_answer
        before = changed.before
        log_event(
            logger,
            TABLE_TAKEN,
            version=changed.table.version,
            source=changed.origin.value,
            before=None if before is None else before.version,
            changes=TableChanges(before, changed.table),
            age_ms=None if silence is None else silence // MILLISECOND,
        )
        self.notify(changed)

    def publish_endpoint(self, changed: EndpointChanged) -> None:
        """Log a change of an endpoint and tell the listeners."""
        log_endpoint(changed)
        self.notify(changed)

    def notify(self, change: DirectoryChange) -> None:
        """Tell all listeners."""
        for listener in self.listeners:
            listener(change)


class ConfigurationConsumer:
    """Hands the configuration's rows to the directory.

    Parameters
    ----------
    directory : Directory
        Who takes them.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether a row is older than that of the configuration in force."""
        known = self.directory.raw_configuration
        if known is None:
            return False
        return any(row.version < known.version for row in page.rows)

    def apply_snapshot(self, page: RowPage) -> None:
        """Take the configuration; one that is missing stays in force."""
        self.apply_changes(page)

    def apply_changes(self, page: RowPage) -> None:
        """Take the configuration."""
        for row in page.rows:
            self.directory.apply_configuration(row, UpdateOrigin.STORE)

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return a longer wait the more peers there are that would tell."""
        return long_poll_wait(usual, self.directory.peer_count())

    def apply_no_change(self, version: int) -> None:
        """Do nothing: no peer's update stands for an answer about the configuration."""

    @property
    def is_uncertain(self) -> bool:
        """Nothing of the configuration is ever in doubt."""
        return False


class EndpointConsumer:
    """Hands the endpoints' rows to the directory.

    Parameters
    ----------
    directory : Directory
        Who takes them.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether a row is older than what is known of its endpoint."""
        return self.directory.endpoint_registry.is_newer_than(page.rows)

    def apply_snapshot(self, page: RowPage) -> None:
        """Take all rows and what is missing among them."""
        book = self.directory.endpoint_registry
        self.apply_rows(page.rows + book.missing_from(page.rows, page.version))
        book.record_followed(page.version)

    def apply_changes(self, page: RowPage) -> None:
        """Take changed rows."""
        self.apply_rows(page.rows)
        self.directory.endpoint_registry.record_followed(page.version)

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return the usual wait, or what is left of a doubt.

        Guard: what is missing after an outage is judged when an answer is taken. A
        call that waits on past the end of the doubt puts the judgement off by its
        whole wait, and endpoints that left get calls seconds after they said so.
        """
        if not self.directory.endpoint_registry.has_missing:
            return usual
        return min(usual, self.directory.health.uncertainty_left)

    def apply_no_change(self, version: int) -> None:
        """Note up to where all is known, and drop updates that are long over."""
        self.directory.endpoint_registry.record_followed(version)
        self.directory.resolve_missing()

    @property
    def is_uncertain(self) -> bool:
        """Whether something vanished or came back that time has yet to judge."""
        book = self.directory.endpoint_registry
        return book.has_missing or bool(book.reappeared) or book.health.is_uncertain

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Take rows, then settle what was in doubt."""
        for row in rows:
            self.directory.apply_endpoint(row, UpdateOrigin.STORE)
        self.directory.resolve_missing()


def log_endpoint(changed: EndpointChanged) -> None:
    """Log what is believed of an endpoint from now on."""
    entry = changed.entry
    if entry.state is EndpointState.GONE:
        event = ENDPOINT_GONE
    elif entry.state is EndpointState.DRAINING:
        event = ENDPOINT_DRAINING
    elif entry.missing_version is not None:
        event = ENDPOINT_HELD
    else:
        event = ENDPOINT_LISTED
    log_event(
        logger,
        event,
        endpoint=changed.endpoint,
        service=entry.listed.service,
        address=entry.listed.address,
        source=changed.origin.value,
        zone=entry.listed.zone,
        before=None if changed.before is None else state_name(changed.before),
    )


def state_name(entry: DirectoryEntry) -> str:
    """Return by name what is believed of an endpoint."""
    return HELD if entry.missing_version is not None else entry.state.value


def log_unreadable(row: Row, origin: UpdateOrigin, error: UnreadableRowError) -> None:
    """Log a row that cannot be read."""
    log_event(
        logger,
        ENTRY_UNREADABLE,
        version=row.version,
        row=truncate_field(row.key),
        source=origin.value,
        why=truncate_field(str(error)),
    )


def truncate_field(text: str) -> str:
    """Return as much of a text as a line holds."""
    return text if len(text) <= MAX_FIELD_CHARS else f"{text[:MAX_FIELD_CHARS]}..."
