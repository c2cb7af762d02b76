"""Entry instance of the gateway: listeners, startup and shutdown."""

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
)
from ..directory.rows import Rows
from ..gossip.peer_rows import PeerRows
from ..ids import EndpointId, Incarnation
from ..kernel.context import InstanceIdentity
from ..kernel.core import Kernel
from ..kernel.messages.lifecycle import StopNow
from ..kernel.messages.routing import (
    EndpointLeaving,
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
from .call_regions import CallRegions
from .cold_setup import bound_cold_endpoints
from .dialect import Dialect
from .directory_messages import kernel_message
from .draining import POLL_INTERVAL, drain
from .fleet_shares import FleetShares
from .forwarded_intake import ForwardedIntake
from .gateway import Gateway
from .gauges import GatewayGauges, StoreCallCounts
from .gossip_adapter import GossipAdapter
from .gossip_setup import new_gossip
from .instance_view import LiveInstanceView, milliseconds
from .metrics_page import MetricsConnection, create_metrics
from .policies import PLUGINS, SHARING_PLUGINS
from .policies.cold_endpoints import ColdEndpoints
from .policies.fleet_view import FleetView
from .policies.home_regions import HomeRegions
from .policies.placing import WorkPlacer
from .policies.quarantining import CrashQuarantine
from .policies.rate_limits import EndpointRateLimits
from .policies.reserving import MemoryKeeper
from .policies.retry_budget import MAX_RETRY_TRANSIT
from .policies.retrying import BudgetedRetry
from .quarantine_store import QuarantineStore
from .readiness_page import ReadinessConnection
from .startup_check import CONTACT_WAIT, MAX_WAIT, StartupCheck
from .subset_selector import SubsetSelector

logger = logging.getLogger(__name__)

BACKLOG = 512
BALANCER_LAG = timedelta(milliseconds=2500)
"""Time for which callers still arrive after a shutdown begins: the balancer removes an
instance after two failed readiness checks, which takes slightly over two seconds.

A request sent later than three seconds after that counts as lost if it is accepted and
then cut, as a long response is at the end of the grace period. The clock is polled
every 50 ms and requests take time to arrive, so intake ends well before."""


class GatewayServer:
    """An entry instance of the gateway.

    Parameters
    ----------
    settings : GatewaySettings
    read_settings : callable
        Reloads the settings; raises `SettingsError`.
    directory : Directory
        Not started yet.
    dialect : Dialect
    peer_rows : PeerRows
        Rows by which instances discover each other.
    clock : Clock
    random : random.Random
    account_shares : bool
        Whether scarce capacity is shared fairly among client accounts.
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
        account_shares: bool = False,
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
        plugins = SHARING_PLUGINS if account_shares else PLUGINS
        self.kernel = Kernel(identity, clock, random, create(plugins))
        self.gateway = Gateway(
            self.kernel, dialect, clock, random, lambda: self.directory.table
        )
        homes = self.kernel.plugin(HomeRegions)
        homes.regions_under = CallRegions(self.gateway.calls).under
        self.forwarded_intake = ForwardedIntake(
            self.gateway, settings.forwarding.max_calls
        )
        subset_selector = SubsetSelector(
            settings.instance.id, self.kernel.plugin(FleetView)
        )
        self.gossip_adapter = GossipAdapter(
            directory, self.gateway.post, self.engine_figures, clock, subset_selector
        )
        self.shares = FleetShares(clock)
        self.kernel.plugin(WorkPlacer).engine_subset = subset_selector.select_engines
        self.gateway.on_effect = self.gossip_adapter.publish_effect
        self.live_view = LiveInstanceView(
            self.kernel, directory, self.gossip_adapter, clock.monotonic
        )
        self.gateway.call_log.instance_view = self.live_view
        self.store_counts: StoreCallCounts | None = None
        self.quarantine_store: QuarantineStore | None = None
        self.startup_check: StartupCheck | None = None
        quarantine = self.kernel.plugin(CrashQuarantine)
        quarantine.register.rank = self.shares.rank_for_content
        self.peer_rows = peer_rows
        self._apply_settings(settings)
        self.listeners: list[asyncio.Server] = []
        self.metrics_task: asyncio.Task[None] | None = None
        self.stop_requested = asyncio.Event()
        self.reload_requested = threading.Event()
        self.ready_logged = False

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        if self.quarantine_store is not None and not self.quarantine_store.may_serve:
            return False
        if self.startup_check is not None and not self.startup_check.may_serve:
            return False
        return self.directory.ready_to_serve and not self.gateway.draining

    def keep_quarantines(self, rows: Rows) -> None:
        """Keep quarantines in shared rows; must be called before the start."""
        register = self.kernel.plugin(CrashQuarantine).register
        store = QuarantineStore(
            rows,
            register,
            self.gateway.post,
            self.clock,
            lambda: self.gossip_adapter.live_peer_count() + 1,
        )
        self.directory.era.listeners.append(store.receive_restore)
        self.quarantine_store = store
        self.gateway.on_effect = store.receive_after(self.gateway.on_effect)

    async def run(self) -> int:
        """Serve until a shutdown is requested; return the number of calls cut.

        Must be called in the main thread, once per process: signals are ignored
        afterwards.

        The event loop's own signal handlers are not sufficient. They pass signal
        numbers through a socket that holds only a few hundred while the loop is busy,
        so that a stop signal could be lost, and they end with the loop, so that a later
        signal would kill the process. Reload signals that arrive faster than settings
        are read are merged, or a stop would wait behind all of them.
        """
        loop = asyncio.get_running_loop()

        def handle_signal(number: signal.Signals) -> None:
            if number is not signal.SIGHUP:
                loop.call_soon_threadsafe(self.stop_requested.set)
            elif not self.reload_requested.is_set():
                self.reload_requested.set()
                loop.call_soon_threadsafe(self._run_reload)

        with SignalThread(handle_signal):
            await self.start()
            await self.stop_requested.wait()
            return await self.stop()

    def _run_reload(self) -> None:
        # Cleared first, so that a change signalled during the reload is read too.
        self.reload_requested.clear()
        self.reload()

    async def start(self) -> None:
        """Open the listeners and start to follow the store."""
        log_event(
            logger,
            GATEWAY_STARTING,
            instance=self.settings.instance.id,
            zone=self.settings.instance.availability_zone,
        )
        self.directory.add_listener(self._directory_changed)
        self.directory.add_listener(self.gossip_adapter.directory_changed)
        self.directory.peer_count = self.gossip_adapter.live_peer_count
        self.directory.peer_feed.publish = self.gossip_adapter.publish_feed_state
        gossip = new_gossip(self.settings, self.gossip_adapter, self.peer_rows)
        self.gossip_adapter.gossip = self.shares.gossip = gossip
        self.directory.era.listeners.append(gossip.receive_restore)
        self.gossip_adapter.connectivity.gossip = gossip
        self.gateway.zone_watch.silent_zones = gossip.silent_zones
        await gossip.start()
        self.startup_check = StartupCheck(gossip, self.clock)
        if self.quarantine_store is not None:
            self.quarantine_store.start()
        self.directory.start()
        self.gateway.start()
        loop = asyncio.get_running_loop()
        for wait in (CONTACT_WAIT, MAX_WAIT):
            loop.call_later(wait.total_seconds(), self._log_first_ready)
        front = split_address(self.settings.listen.front)
        ready = split_address(self.settings.listen.ready)
        self.listeners = [
            await loop.create_server(
                self.gateway.new_connection, front.host, front.port, backlog=BACKLOG
            ),
            await loop.create_server(
                lambda: ReadinessConnection(lambda: self.ready), ready.host, ready.port
            ),
        ]
        await self._accept_forwarded_calls(front.host)
        metrics = self.settings.listen.metrics
        if metrics is not None:
            self.metrics_task = loop.create_task(self._serve_metrics(metrics))

    async def _accept_forwarded_calls(self, host: str) -> None:
        listener = await asyncio.get_running_loop().create_server(
            self.forwarded_intake.new_connection,
            host,
            self.settings.forwarding_port,
            backlog=BACKLOG,
        )
        self.listeners.append(listener)
        connectivity = self.gossip_adapter.connectivity
        connectivity.forwarding_port = listener.sockets[0].getsockname()[1]
        connectivity.publish()

    async def _serve_metrics(self, address: str) -> None:
        metrics = await asyncio.to_thread(create_metrics)
        self.gateway.call_log.meter = CallMetrics(metrics)
        GatewayGauges(self.gateway, self.live_view, self.store_counts).register(metrics)
        bind_address = split_address(address)
        try:
            listener = await asyncio.get_running_loop().create_server(
                lambda: MetricsConnection(metrics.page),
                bind_address.host,
                bind_address.port,
            )
        except OSError as error:
            log_event(logger, METRICS_NOT_SERVED, address=address, why=error)
            return
        self.listeners.append(listener)

    def reload(self) -> None:
        """Apply changed settings; invalid settings leave the old ones in force."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            log_event(logger, SETTINGS_REFUSED, why=error)
            return
        self.settings = settings
        self._apply_settings(settings)
        logging.getLogger(PACKAGE_LOGGER).setLevel(settings.logging.level)
        log_event(logger, SETTINGS_TAKEN, instance=settings.instance.id)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        self._apply_bounds(settings.bounds)
        self.kernel.plugin(HomeRegions).region_of_zone = settings.zones

    def _apply_bounds(self, bounds: BoundsSection) -> None:
        retry = self.kernel.plugin(BudgetedRetry)
        retry.ratio = bounds.retry_ratio
        retry.slack = bounds.retry_slack
        retry.window = bounds.retry_window
        retry.slack_share = self.shares.of_retries
        self.kernel.plugin(EndpointRateLimits).share_of = self.shares.of_endpoint
        cold = self.kernel.plugin(ColdEndpoints)
        bound_cold_endpoints(cold, bounds, self.directory, self.shares, self.clock)
        self.shares.settle_time = bounds.retry_window + MAX_RETRY_TRANSIT
        self.kernel.plugin(MemoryKeeper).longest_hold = bounds.longest_hold

    def engine_figures(self, endpoint: EndpointId) -> EngineFigures | None:
        """Return the engine figures of an endpoint, or None if it is not an engine."""
        known = self.kernel.plugin(FleetView).endpoints.get(endpoint)
        table = self.directory.table
        if known is None or table is None:
            return None
        service = table.services.get(known.listed.service)
        return None if service is None else service.engine

    def _directory_changed(self, change: DirectoryChange) -> None:
        message = kernel_message(change)
        if message is not None:
            self.gateway.post(message)
        if isinstance(message, EndpointLeaving):
            self.gateway.pool.drop(message.endpoint)
        self._log_first_ready()

    def _log_first_ready(self) -> None:
        if self.ready_logged or not self.ready:
            return
        self.ready_logged = True
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
        """Whether a call is open or a response not yet fully sent."""
        return self.gateway.busy

    def end_intake(self) -> None:
        """Accept no further callers; open calls continue."""
        front, *_ = self.listeners
        front.close()
        self.gateway.end_intake()

    async def stop(self) -> int:
        """Serve until the balancer has noticed the shutdown, then finish open calls.

        Returns
        -------
        int
            Calls that did not end in time.
        """
        gateway = self.gateway
        gateway.draining = True
        self.gossip_adapter.connectivity.drain()
        requested_at = self.clock.monotonic()
        log_event(logger, GATEWAY_STOPPING, open=len(gateway.calls))
        cut = await drain(
            self, BALANCER_LAG, self.settings.bounds.grace, self.clock, sleep
        )
        if self.metrics_task is not None:
            self.metrics_task.cancel()
        gateway.post(StopNow())
        for listener in self.listeners:
            listener.close()
        await gateway.order_client.wait_until_idle()
        gateway.stop()
        await self.directory.stop()
        if self.quarantine_store is not None:
            await self.quarantine_store.stop()
        if self.gossip_adapter.gossip is not None:
            await self.gossip_adapter.gossip.close()
        elapsed = self.clock.monotonic() - requested_at
        log_event(logger, GATEWAY_STOPPED, cut=cut, after_ms=milliseconds(elapsed))
        await asyncio.sleep(POLL_INTERVAL.total_seconds())
        return cut
