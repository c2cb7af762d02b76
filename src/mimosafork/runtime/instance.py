"""One entry instance, put together from its parts."""

from logging import getLogger
from random import Random, SystemRandom

from ..claims.adapter import ClaimsAdapter
from ..clock import Clock, SystemClock
from ..endpoints.connector import Connector, ConnectorLimits
from ..endpoints.reservations import ReservationAdapter
from ..kernel.configuration import Configuration
from ..kernel.context import InstanceIdentity
from ..kernel.core import Kernel
from ..kernel.messages.configuration import ConfigurationReceived
from ..kernel.messages.problems import ProblemCode
from ..kernel.registry import create
from ..network.http import HttpClient
from ..policies import DEFAULT_PLUGINS
from ..relay.limits import RelayLimits
from ..relay.task import RelayTask
from ..server.front import Front, make_app
from ..server.in_force import ConfigurationView
from ..server.intake import Intake, IntakeLimits
from ..server.ops import OpsPages, make_ops_app
from ..server.serving import HttpServer
from ..settings.model import InstanceSettings
from ..storage.breaker import CircuitBreaker
from ..storage.meter import StoreMeter
from ..storage.objects import ObjectClient
from ..storage.table import TableClient
from ..telemetry.catalogue.requests import REJECTIONS
from ..telemetry.metrics import Metrics
from .adapters import Adapter
from .configuration_adapter import ConfigurationAdapter
from .duties_adapter import DutiesAdapter
from .fleet_adapter import FleetAdapter
from .health import Health, Watched
from .kernel_task import KernelTask
from .pages import add_metrics, add_pages
from .peers_adapter import PeersAdapter
from .readiness import Readiness
from .reporting_adapter import ReportingAdapter
from .watch_adapter import WatchAdapter

logger = getLogger(__name__)


class EntryInstance:
    """Wires the kernel with its adapters, the relay and the servers.

    Parameters
    ----------
    settings : InstanceSettings
    configuration : Configuration, optional
        In force from the start, until a newer one is accepted.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        configuration: Configuration | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.configuration = configuration
        self.identity = self.make_identity()
        self.random = self.make_random()
        self.http = HttpClient(
            self.identity.instance,
            settings.platform.connect_timeout,
            settings.platform.answer_timeout,
        )
        self.metrics = Metrics()
        meter = StoreMeter(self.metrics)
        self.table = TableClient(
            self.http,
            settings.platform.table,
            CircuitBreaker("table service", self.clock, self.random, meter=meter),
        )
        self.objects = ObjectClient(
            self.http,
            settings.platform.objects,
            CircuitBreaker("object store", self.clock, self.random, meter=meter),
        )
        self.kernel_task = KernelTask(self.make_kernel(), self.clock)
        self.connector = self.make_connector()
        self.relay = self.make_relay()
        self.view = ConfigurationView()
        self.peers = self.make_peers()
        self.followed = self.make_configuration()
        self.readiness = Readiness(self.view, self.may_serve)
        self.pages = OpsPages()
        self.adapters = self.make_adapters()
        self.front = self.make_front()
        self.ops = self.make_ops()

    def make_adapters(self) -> list[Adapter]:
        """Return the adapters, in the order in which they start."""
        return [
            ReportingAdapter(self.metrics),
            FleetAdapter(
                self.settings, self.http, self.clock, self.random, self.kernel_task
            ),
            self.make_watch(),
            self.peers,
            self.followed,
            self.make_claims(),
            self.make_duties(),
            self.make_reservations(),
        ]

    def make_claims(self) -> ClaimsAdapter:
        """Return what writes claims and keeps answers."""
        claims = ClaimsAdapter(
            self.table,
            self.objects,
            self.http,
            self.clock,
            Random(self.random.getrandbits(64)),
            self.kernel_task,
            self.relay.send,
        )
        self.relay.ports.keep_answer = claims.keeper.send
        claims.observe(self.metrics)
        return claims

    def make_duties(self) -> DutiesAdapter:
        """Return what keeps the leases, sends orders and frees holdings."""
        return DutiesAdapter(
            self.identity,
            self.table,
            self.http,
            self.clock,
            self.random,
            self.kernel_task,
        )

    def make_reservations(self) -> ReservationAdapter:
        """Return what carries out the steps of gangs of engines."""
        reservations = ReservationAdapter(
            self.identity, self.http, self.clock, self.kernel_task.send
        )
        self.relay.ports.prefill = reservations.prefill
        return reservations

    def make_watch(self) -> WatchAdapter:
        """Return what probes endpoints."""
        return WatchAdapter(
            self.settings.peers,
            self.identity.instance,
            self.clock,
            Random(self.random.getrandbits(64)),
            self.kernel_task,
        )

    def make_peers(self) -> PeersAdapter:
        """Return what exchanges with the other entry instances."""
        return PeersAdapter(
            self.settings,
            self.identity,
            self.http,
            self.clock,
            Random(self.random.getrandbits(64)),
            self.kernel_task,
        )

    def make_configuration(self) -> ConfigurationAdapter:
        """Return what follows the accepted configuration."""
        followed = ConfigurationAdapter(
            self.settings.platform,
            self.table,
            self.clock,
            Random(self.random.getrandbits(64)),
            self.kernel_task,
            self.peers.hold,
        )
        self.peers.takers.append(followed.offered)
        self.peers.task.configuration.heard = followed.heard
        followed.observe(self.metrics)
        self.peers.observe(self.metrics)
        return followed

    def may_serve(self) -> bool:
        """Return whether this instance has the newest configuration it can reach."""
        return self.followed.follower.is_ready(self.configuration is not None)

    def make_identity(self) -> InstanceIdentity:
        """Return who this instance is."""
        own = self.settings.instance
        now_ms = int(self.clock.now().timestamp() * 1000)
        return InstanceIdentity(
            own.id, self.settings.incarnation(now_ms), own.availability_zone
        )

    def make_random(self) -> Random:
        """Return the source of chance, seeded if the settings say so."""
        seed = self.settings.policies.seed
        return Random(SystemRandom().getrandbits(64) if seed is None else seed)

    def make_kernel(self) -> Kernel:
        """Return the kernel with its plug-ins."""
        names = self.settings.policies.plugins or DEFAULT_PLUGINS
        return Kernel(self.identity, self.clock, self.random, create(names))

    def make_connector(self) -> Connector:
        """Return what opens calls to endpoints."""
        limits = ConnectorLimits(connect_timeout=self.settings.relay.connect_timeout)
        return Connector(self.identity, self.clock, self.http, limits)

    def make_relay(self) -> RelayTask:
        """Return the task that owns the sockets."""
        own = self.settings.relay
        limits = RelayLimits(
            stall_timeout=own.stall_timeout,
            keepalive_interval=own.keepalive_interval,
            high_water=own.caller_buffer_bytes,
            low_water=own.caller_buffer_bytes // 4,
        )
        return RelayTask(self.clock, self.connector, self.kernel_task.send, limits)

    def make_front(self) -> HttpServer:
        """Return the server for callers."""
        own = self.settings.front
        limits = self.settings.limits
        intake = Intake(
            view=self.view,
            clock=self.clock,
            tell_relay=self.relay.send,
            tell_kernel=self.kernel_task.send,
            note_rejection=self.note_rejection,
            counters=self.relay.ports.counters,
            limits=IntakeLimits(
                body_bytes=own.body_limit_bytes,
                held_bytes=limits.waiting_bytes,
                exchanges=limits.streams + limits.waiting_requests,
            ),
        )
        app = make_app(Front(intake))
        return HttpServer("front", own.address, app, own.worker_threads)

    def note_rejection(self, code: ProblemCode) -> None:
        """Count a request that the kernel never heard of."""
        self.metrics.add(REJECTIONS, code=code.value)

    def make_health(self) -> Health:
        """Return what knows whether the two tasks in every request's way turn."""
        kernel_task, relay = self.kernel_task, self.relay
        watched = (
            Watched("kernel", kernel_task.thread, lambda: kernel_task.turned_at),
            Watched("relay", relay.thread, relay.turned_at),
        )
        return Health(self.clock, watched)

    def make_ops(self) -> HttpServer:
        """Return the server for operators."""
        add_pages(self.pages, self.kernel_task, self.make_health(), self.readiness)
        add_metrics(self.pages, self.metrics, self.relay.ports.counters)
        own = self.settings.operations
        app = make_ops_app(self.pages)
        return HttpServer("operations", own.address, app, own.worker_threads)

    def start(self) -> None:
        """Start all parts; callers are served when this returns."""
        self.view.register(self.kernel_task)
        self.relay.register(self.kernel_task)
        for adapter in self.adapters:
            adapter.register(self.kernel_task)
        self.kernel_task.start()
        self.connector.start(self.relay.send)
        self.relay.start()
        if self.configuration is not None:
            self.kernel_task.send(ConfigurationReceived(self.configuration))
        for each in self.adapters:
            each.start()
        self.ops.start()
        self.front.start()
        self.peers.list_at(self.front.address, self.ops.address)

    def stop(self) -> None:
        """Stop all parts at once; streams that still run are cut."""
        self.front.stop()
        for adapter in reversed(self.adapters):
            adapter.stop()
        self.kernel_task.stop()
        self.connector.stop()
        self.relay.stop()
        self.ops.stop()

    def idle(self) -> bool:
        """Return whether no request is in progress.

        An answer may be read on for a caller that has gone, to be kept for its
        return: then the relay has no exchange any more, but the kernel a request.
        """
        return self.relay.ports.counters.exchanges == 0 and not self.open_requests()

    def open_requests(self) -> int:
        """Return how many requests the kernel has not concluded."""
        return self.kernel_task.inspect(lambda state: len(state.requests))
