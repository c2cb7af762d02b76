"""The directory: follows the configuration and the endpoints, and publishes changes."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from ..clock import Clock
from ..ids import AvailabilityZoneId, EndpointId
from ..routing.table import RoutingTable
from .change_log import (
    log_endpoint,
    log_evacuation,
    log_kept,
    log_table,
    log_unreadable,
)
from .consumers import ConfigurationConsumer, EndpointConsumer
from .current_table import CurrentTable, TableKept
from .endpoint_registry import EndpointRegistry
from .era import StoreEra
from .errors import UnreadableRowError
from .evacuations import ZoneEvacuations
from .follower import Sleep, TableFollower, sleep
from .health import StoreHealth, VersionWatermark
from .messages import (
    DirectoryChange,
    DirectoryEntry,
    EndpointChanged,
    EvacuationChanged,
    Listener,
    TableChanged,
    UpdateOrigin,
)
from .operator_rows import OperatorRows, RowSplitter
from .peer_feed import PeerFeed
from .row_version import LATEST, NO_VERSION, RowVersion
from .rows import Row
from .settings import DirectorySettings
from .sources import ConfigurationSource, EndpointSource
from .zone_state import ZoneState


def no_peers() -> int:
    """Return zero, the number of peers before any is connected."""
    return 0


class Directory:
    """Maintains the instance's view of the configuration and the endpoints.

    Runs on one asyncio loop; listeners are called there, in the order of changes,
    and must not block.

    Parameters
    ----------
    configurations : ConfigurationSource
        The operator's configuration.
    endpoints : EndpointSource
        The endpoints' rows.
    clock : Clock
        Its monotonic scale is used.
    random : Random
        Jitters retries.
    settings : DirectorySettings, optional
        Timeouts and intervals.
    pause : Sleep, optional
        Sleeps for a duration.
    boot_clock : Clock, optional
        Clock whose monotonic scale includes suspensions, so that peers' updates age
        during them; default is `clock`.
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
        self.era = StoreEra()
        grace, min_outage = chosen.return_grace, chosen.min_outage
        self.health = StoreHealth(clock, grace, min_outage)
        self.current_table = CurrentTable(configurations)
        self.row_splitter = RowSplitter(configurations)
        self.evacuations = ZoneEvacuations()
        self.endpoint_registry = EndpointRegistry(
            endpoints, self.health, clock, chosen.removal_retention
        )
        self.peer_count: Callable[[], int] = no_peers
        """Returns the number of peers that would send a newer configuration."""
        self.peer_feed = PeerFeed(boot_clock or clock)
        self.unreadable_table_version = NO_VERSION
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
            StoreHealth(clock, grace, min_outage),
            self.watermark,
            era=self.era,
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
            self.era,
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
        """The row of the configuration in force, in raw form for peers."""
        return self.current_table.row

    @property
    def raw_endpoints(self) -> tuple[Row, ...]:
        """The rows of all endpoints including removals, in raw form for peers."""
        return self.endpoint_registry.raw_rows()

    @property
    def table_age(self) -> timedelta | None:
        """Time since the store last answered about the configuration."""
        return self.configuration_follower.age

    @property
    def listing_age(self) -> timedelta | None:
        """Time since the store last answered about the endpoints."""
        return self.endpoint_follower.age

    @property
    def ready_to_serve(self) -> bool:
        """Whether a configuration and a list of endpoints are known."""
        listed = bool(self.endpoints) or self.listing_age is not None
        return self.table is not None and listed

    def add_listener(self, listener: Listener) -> None:
        """Register a listener for all further changes."""
        self.listeners.append(listener)

    def start(self) -> None:
        """Start following both tables on the running loop."""
        loop = asyncio.get_running_loop()
        for follower in (self.configuration_follower, self.endpoint_follower):
            self.tasks.append(loop.create_task(follower.run(self.pause)))

    async def stop(self) -> None:
        """Stop following; the known state is kept."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    def offer_configuration(self, row: Row) -> None:
        """Apply a configuration from a peer, if it is newer."""
        self.watermark.observe(row.version)
        self.apply_configuration(row, UpdateOrigin.PEER)

    def offer_evacuation(
        self,
        zone: AvailabilityZoneId,
        state: ZoneState,
        age: timedelta | None = None,
    ) -> None:
        """Apply a peer's update of the evacuation of a zone, if it is newer."""
        self.watermark.observe(state.version)
        change = self.evacuations.apply(zone, state, UpdateOrigin.PEER, age)
        if change is not None:
            self.publish_evacuation(change)

    def split_rows(self, rows: Iterable[Row]) -> OperatorRows:
        """Return the operator's rows by what they are about."""
        return self.row_splitter.split(rows)

    def offer_endpoint(self, row: Row) -> None:
        """Apply a peer's update of an endpoint."""
        self.watermark.observe(row.version)
        self.apply_endpoint(row, UpdateOrigin.PEER)

    def offer_removal(self, endpoint: EndpointId, version: RowVersion) -> None:
        """Apply a peer's update that an endpoint's row was removed."""
        known = self.endpoint_registry.entries.get(endpoint)
        if known is not None:
            row = replace(known.row, value=b"", version=version, removed=True)
            self.apply_endpoint(row, UpdateOrigin.PEER)

    def offer_draining(
        self,
        endpoint: EndpointId,
        version: RowVersion = LATEST,
        origin: UpdateOrigin = UpdateOrigin.PEER,
    ) -> None:
        """Apply an update without a row that an endpoint is draining."""
        changed = self.endpoint_registry.mark_draining(endpoint, origin, version)
        if changed is not None:
            self.publish_endpoint(changed)

    def apply_configuration(self, row: Row, origin: UpdateOrigin) -> None:
        """Apply a configuration row and publish the change."""
        try:
            changed = self.current_table.apply(row, origin)
        except UnreadableRowError as error:
            # Every peer sends the same row repeatedly; log each version once.
            if row.version > self.unreadable_table_version:
                self.unreadable_table_version = row.version
                log_unreadable(row, origin, error)
            return
        if isinstance(changed, TableKept):
            log_kept(changed, row, origin)
        elif changed is not None:
            self.publish_table(changed)

    def apply_endpoint(self, row: Row, origin: UpdateOrigin) -> None:
        """Apply an endpoint row and publish the change."""
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
        """Apply an endpoint row that cannot be decoded, and log it once."""
        if self.endpoint_registry.record_unreadable(row):
            log_unreadable(row, origin, error)
        suspended = self.endpoint_registry.suspend(row, origin)
        if suspended is not None:
            self.notify(suspended)

    def resolve_missing(self) -> None:
        """Publish the endpoints that are still missing after an outage."""
        for changed in self.endpoint_registry.resolve_missing(UpdateOrigin.STORE):
            self.publish_endpoint(changed)

    def publish_table(self, changed: TableChanged) -> None:
        """Log a configuration change and notify the listeners."""
        log_table(changed, self.configuration_follower.health.time_since_answer)
        self.notify(changed)

    def publish_evacuation(self, changed: EvacuationChanged) -> None:
        """Log that an evacuation has begun or ended, and notify the listeners."""
        if changed.takes_effect:
            log_evacuation(
                changed, self.configuration_follower.health.time_since_answer
            )
        self.notify(changed)

    def publish_endpoint(self, changed: EndpointChanged) -> None:
        """Log a change of an endpoint and notify the listeners."""
        log_endpoint(changed)
        self.notify(changed)

    def notify(self, change: DirectoryChange) -> None:
        """Call all listeners."""
        for listener in self.listeners:
            listener(change)
