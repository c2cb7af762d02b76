"""An entry instance that passes calls on: its listeners, its start and its stop."""

import asyncio
import logging
import signal
import threading
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..directory.directory import Directory
from ..directory.follower import sleep
from ..directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
    TableChanged,
)
from ..gossip.members import Address
from ..gossip.peer_rows import PeerRows
from ..gossip.service import Gossip, GossipOptions, seed_addresses
from ..gossip.sockets import open_sockets
from ..ids import EndpointId, Incarnation
from ..kernel.context import InstanceIdentity
from ..kernel.core import Kernel
from ..kernel.messages.lifecycle import StopNow
from ..kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
)
from ..kernel.registry import create
from ..routing.engine import EngineFigures
from ..runtime.signals import SignalThread
from ..settings.errors import SettingsError
from ..settings.gateway import BoundsSection, GatewaySettings
from ..settings.types import split_address
from ..telemetry.catalogue.gateway import (
    GATEWAY_READY,
    GATEWAY_STARTING,
    GATEWAY_STOPPED,
    GATEWAY_STOPPING,
    METRICS_NOT_SERVED,
    SETTINGS_REFUSED,
    SETTINGS_TAKEN,
)
from ..telemetry.logs import PACKAGE_LOGGER, log_event
from .call_metrics import CallMetrics
from .dialect import Dialect
from .draining import LOOK_AGAIN, drain
from .gateway import Gateway
from .gauges import GatewayGauges, StoreCounts
from .gossip_adapter import GossipAdapter
from .instance_view import LiveInstanceView, milliseconds
from .metrics_page import MetricsConnection, new_metrics
from .policies import PLUGINS
from .policies.fleet_view import FleetView
from .policies.placing import WorkPlacer
from .policies.reserving import MemoryKeeper
from .policies.retry_budget import MAX_RETRY_TRANSIT
from .policies.retrying import BudgetedRetry
from .readiness_page import ReadyConnection
from .subset_selector import SubsetSelector

logger = logging.getLogger(__name__)

BACKLOG = 512
FLEET = "entry"
"""Name under which the instances of a deployment talk to each other."""

BALANCER_LAG = timedelta(milliseconds=2500)
"""After a stop was asked for, callers still come until the balancer has missed the
ready answer twice, for two seconds and a little more.

Guard: what callers send after three seconds counts as lost if it is taken and then cut,
as a long answer is at the end of the grace. The clock is looked at each 50 ms and a
request is on its way for a while, so the intake ends well before."""


class GatewayServer:
    """One entry instance.

    Parameters
    ----------
    settings : GatewaySettings
    read_settings : callable
        Reads the settings anew; raises `SettingsError`.
    directory : Directory
        Not started yet.
    dialect : Dialect
    peer_rows : PeerRows
        Where instances find each other.
    clock : Clock
    random : random.Random
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read_settings: Callable[[], GatewaySettings],
        directory: Directory,
        dialect: Dialect,
        peer_rows: PeerRows,
        clock: Clock,
        random: Random,
    ) -> None:
        self.settings = settings
        self.read_settings = read_settings
        self.directory = directory
        self.clock = clock
        self.started_at = clock.monotonic()
        identity = InstanceIdentity(
            settings.instance.id,
            Incarnation(settings.instance.incarnation or 1),
            settings.instance.availability_zone,
        )
        self.kernel = Kernel(identity, clock, random, create(PLUGINS))
        self.gateway = Gateway(
            self.kernel, dialect, clock, random, lambda: self.directory.table
        )
        neighbours = SubsetSelector(settings.instance.id, self.kernel.plugin(FleetView))
        self.gossip_adapter = GossipAdapter(
            directory, self.gateway.post, self.figures_of, clock, neighbours
        )
        self.kernel.plugin(WorkPlacer).engine_subset = neighbours.select_engines
        self.gateway.on_effect = self.gossip_adapter.publish_effect
        self.outlook = LiveInstanceView(
            self.kernel, directory, self.gossip_adapter, clock.monotonic
        )
        self.gateway.lines.instance_view = self.outlook
        self.store_counts: StoreCounts | None = None
        self.peer_rows = peer_rows
        self._apply_bounds(settings.bounds)
        self.listeners: list[asyncio.Server] = []
        self.metrics_task: asyncio.Task[None] | None = None
        self.stop_asked = asyncio.Event()
        self.reload_due = threading.Event()
        self.was_ready = False

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.directory.ready_to_serve and not self.gateway.draining

    async def run(self) -> int:
        """Serve until a stop is asked for; return the number of calls cut.

        In the main thread, once in a process: afterwards signals are ignored.

        Guard: the loop's own handlers are not enough. Their numbers go through a
        socket that holds a few hundred while the loop is busy, so that a stop could be
        lost behind others; and they end with the loop, so that a signal a moment
        later killed the process. Signals of changed settings that come faster than
        settings are read count as one, or a stop would wait behind them all.
        """
        loop = asyncio.get_running_loop()

        def receive(number: signal.Signals) -> None:
            if number is not signal.SIGHUP:
                loop.call_soon_threadsafe(self.stop_asked.set)
            elif not self.reload_due.is_set():
                self.reload_due.set()
                loop.call_soon_threadsafe(self._reload_due)

        with SignalThread(receive):
            await self.start()
            await self.stop_asked.wait()
            return await self.stop()

    def _reload_due(self) -> None:
        # First, so that a change that is announced meanwhile is read too.
        self.reload_due.clear()
        self.reload()

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        log_event(
            logger,
            GATEWAY_STARTING,
            instance=self.settings.instance.id,
            zone=self.settings.instance.availability_zone,
        )
        self.directory.add_listener(self._directory_changed)
        self.directory.add_listener(self.gossip_adapter.directory_changed)
        self.directory.peer_count = self.gossip_adapter.peers_heard
        self.directory.peer_feed.publish = self.gossip_adapter.feed_told
        self.gossip_adapter.gossip = self._new_gossip()
        self.gateway.zones.silent_zones = self.gossip_adapter.gossip.silent_zones
        await self.gossip_adapter.gossip.start()
        self.directory.start()
        self.gateway.start()
        loop = asyncio.get_running_loop()
        front = split_address(self.settings.listen.front)
        ready = split_address(self.settings.listen.ready)
        self.listeners = [
            await loop.create_server(
                self.gateway.new_connection, front.host, front.port, backlog=BACKLOG
            ),
            await loop.create_server(
                lambda: ReadyConnection(lambda: self.ready), ready.host, ready.port
            ),
        ]
        metrics = self.settings.listen.metrics
        if metrics is not None:
            self.metrics_task = loop.create_task(self._serve_metrics(metrics))

    async def _serve_metrics(self, address: str) -> None:
        metrics = await asyncio.to_thread(new_metrics)
        self.gateway.lines.meter = CallMetrics(metrics)
        GatewayGauges(self.gateway, self.outlook, self.store_counts).join(metrics)
        place = split_address(address)
        try:
            listener = await asyncio.get_running_loop().create_server(
                lambda: MetricsConnection(metrics.page), place.host, place.port
            )
        except OSError as error:
            log_event(logger, METRICS_NOT_SERVED, address=address, why=error)
            return
        self.listeners.append(listener)

    def reload(self) -> None:
        """Take changed settings; those that can't be used leave the old in force."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            log_event(logger, SETTINGS_REFUSED, why=error)
            return
        self.settings = settings
        self._apply_bounds(settings.bounds)
        logging.getLogger(PACKAGE_LOGGER).setLevel(settings.logging.level)
        log_event(logger, SETTINGS_TAKEN, instance=settings.instance.id)

    def _apply_bounds(self, bounds: BoundsSection) -> None:
        retry = self.kernel.plugin(BudgetedRetry)
        retry.ratio = bounds.retry_ratio
        retry.slack = bounds.retry_slack
        retry.window = bounds.retry_window
        retry.slack_share = self.gossip_adapter.slack_share
        self.gossip_adapter.settles_after = bounds.retry_window + MAX_RETRY_TRANSIT
        self.kernel.plugin(MemoryKeeper).longest_hold = bounds.longest_hold

    def _new_gossip(self) -> Gossip:
        settings = self.settings
        host = split_address(settings.listen.front).host
        port = settings.gossip.first_port
        options = GossipOptions(
            settings.instance.id,
            settings.instance.availability_zone,
            FLEET,
            seed_addresses(settings.gossip.seeds, port),
        )
        return Gossip(
            options,
            open_sockets(Address(host, port)),
            self.gossip_adapter.holding,
            self.gossip_adapter.callbacks,
            self.peer_rows,
        )

    def figures_of(self, endpoint: EndpointId) -> EngineFigures | None:
        """Return the figures of an endpoint's engine; None if it is none."""
        known = self.kernel.plugin(FleetView).endpoints.get(endpoint)
        table = self.directory.table
        if known is None or table is None:
            return None
        service = table.services.get(known.listed.service)
        return None if service is None else service.engine

    def _directory_changed(self, change: DirectoryChange) -> None:
        if isinstance(change, TableChanged):
            self.gateway.post(RoutingTableChanged(change.table))
        else:
            self._endpoint_changed(change)
        self._note_ready()

    def _endpoint_changed(self, change: EndpointChanged) -> None:
        if change.entry.takes_new_work:
            self.gateway.post(EndpointUsable(change.entry.listed))
            return
        final = change.entry.state is EndpointState.DRAINING
        self.gateway.post(EndpointLeaving(change.endpoint, final))
        self.gateway.pool.drop(change.endpoint)

    def _note_ready(self) -> None:
        if self.was_ready or not self.ready:
            return
        self.was_ready = True
        table = self.directory.table
        log_event(
            logger,
            GATEWAY_READY,
            after_ms=milliseconds(self.clock.monotonic() - self.started_at),
            version=None if table is None else table.version,
            endpoints=len(self.directory.endpoints),
        )

    @property
    def open_calls(self) -> int:
        """Calls that have not ended."""
        return len(self.gateway.calls)

    @property
    def busy(self) -> bool:
        """Whether a call is open, or a caller has yet to take its answer's rest."""
        return self.gateway.busy

    def end_intake(self) -> None:
        """Close the door to callers; calls that are open go on."""
        front, *_ = self.listeners
        front.close()
        self.gateway.end_intake()

    async def stop(self) -> int:
        """Serve on while the balancer notices, then let open calls end.

        Returns
        -------
        int
            Calls that had not ended in time.
        """
        gateway = self.gateway
        gateway.draining = True
        asked_at = self.clock.monotonic()
        log_event(logger, GATEWAY_STOPPING, open=len(gateway.calls))
        cut = await drain(
            self, BALANCER_LAG, self.settings.bounds.grace, self.clock, sleep
        )
        if self.metrics_task is not None:
            self.metrics_task.cancel()
        gateway.post(StopNow())
        for listener in self.listeners:
            listener.close()
        await gateway.orders.wait_until_idle()
        gateway.stop()
        await self.directory.stop()
        if self.gossip_adapter.gossip is not None:
            await self.gossip_adapter.gossip.close()
        took = self.clock.monotonic() - asked_at
        log_event(logger, GATEWAY_STOPPED, cut=cut, after_ms=milliseconds(took))
        await asyncio.sleep(LOOK_AGAIN.total_seconds())
        return cut
