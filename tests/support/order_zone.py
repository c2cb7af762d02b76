"""A zone in virtual time: engines that take orders, instances that send them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
import urllib3

from mimosafork.clock import ManualClock
from mimosafork.ids import (
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    Revision,
)
from mimosafork.kernel.configuration import Configuration, ModelPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    FencingMode,
    InstancesListed,
    LifecycleState,
    LoadReport,
    LoadReported,
)
from mimosafork.kernel.messages.leases import Duty
from mimosafork.kernel.messages.orders import ReadState, SendOrder
from mimosafork.leases.keeper import LeaseKeeper
from mimosafork.leases.task import LeaseTask
from mimosafork.leases.view import LeaseView
from mimosafork.network.errors import NoAnswerError
from mimosafork.network.http import Answer
from mimosafork.orders.budget import WeightBudget
from mimosafork.orders.sender import OrderSender
from mimosafork.orders.task import OrderTask
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from mimosafork.policies.rollout import Rollout

from .fake_table import FakeTable

ZONE = AvailabilityZoneId("az-1")
MODEL = ModelId("reader")
LOAD_TIME = timedelta(seconds=8)
STEP = timedelta(milliseconds=250)


@dataclass(slots=True)
class FakeModel:
    """A model version on a fake engine."""

    version: str
    ready_at: timedelta


@dataclass(slots=True)
class FakeEngine:
    """Takes orders as docs/PLATFORM.md says.

    Attributes
    ----------
    loads : list of timedelta
        When weights were fetched.
    late_orders : int
        Orders that came with an older fencing number than one before.
    """

    entry: EndpointEntry
    mode: FencingMode
    models: list[FakeModel]
    fencing: int = 0
    late_orders: int = 0
    loads: list[timedelta] = field(default_factory=list)

    def ready_versions(self, now: timedelta) -> set[str]:
        """Return the versions that answer requests."""
        return {each.version for each in self.models if each.ready_at <= now}

    def take(self, body: Any, now: timedelta) -> Answer:
        """Take an order."""
        is_late = body["fencing"] < self.fencing
        self.late_orders += is_late
        if is_late and self.mode is FencingMode.CHECKED:
            return _answer(409, {"refused": "stale-fencing", "detail": ""})
        self.fencing = max(self.fencing, body["fencing"])
        version = body["version"]
        if body["kind"] == "unload-model":
            self.models = [each for each in self.models if each.version != version]
        elif all(each.version != version for each in self.models):
            self.models.append(FakeModel(version, now + LOAD_TIME))
            self.loads.append(now)
        return _answer(200, {"accepted": True})

    def state(self, now: timedelta) -> Answer:
        """Return the engine's state."""
        models = [
            {
                "model": MODEL,
                "version": each.version,
                "state": "ready" if each.ready_at <= now else "loading",
            }
            for each in self.models
        ]
        body = {"incarnation": 1, "models": models, "adapters": []}
        return _answer(200, body)


class FakeHttp:
    """Carries calls to the zone's engines.

    Attributes
    ----------
    before_order : dict of str to callable
        By the order's kind: called once when such an order is on its way, after its
        sender looked at the lease and before the engine has it.
    lose_answers : int
        The next so many orders take effect without an answer.
    """

    def __init__(self, zone: "OrderZone") -> None:
        self.zone = zone
        self.before_order: dict[str, Callable[[], None]] = {}
        self.lose_answers = 0

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta | None = None,
    ) -> Answer:
        """Fill the port of `mimosafork.orders.sender`."""
        engine = self.zone.engines[address]
        clock = self.zone.clock
        if path == "/v1/state":
            return engine.state(clock.monotonic())
        sent = msgspec.to_builtins(body)
        hook = self.before_order.pop(sent["kind"], None)
        if hook is not None:
            hook()
        answer = engine.take(sent, clock.monotonic())
        if self.lose_answers:
            self.lose_answers -= 1
            raise NoAnswerError("the connection ended without an answer")
        return answer


class Member:
    """An entry instance that wants to send orders."""

    def __init__(self, zone: "OrderZone", name: str) -> None:
        self.zone = zone
        clock = zone.clock
        identity = InstanceIdentity(InstanceId(name), Incarnation(1), ZONE)
        self.http = FakeHttp(zone)
        self.view = LeaseView()
        plugins = [Rollout(), BoundedRetry(), FirstCome()]
        self.kernel = Kernel(identity, clock, Random(name), plugins)
        keeper = LeaseKeeper(identity, Duty.ORDERS, zone.table, clock, Random(name))
        self.leases = LeaseTask([keeper], clock, self.view, self.tell)
        sender = OrderSender(self.http, clock, self.view)
        self.budget = WeightBudget(
            identity.instance, zone.table, clock, Random(name), zone.load_interval
        )
        self.orders = OrderTask(sender, self.budget, clock, self.tell)
        self.asleep = False
        self.tell(InstancesListed(tuple(e.entry for e in zone.engines.values()), ()))
        for engine in zone.engines.values():
            self.tell(LoadReported(_report(engine)))

    def tell(self, message: Message) -> None:
        """Hand the kernel a message and carry out what it wants."""
        for effect in self.kernel.handle(message):
            if isinstance(effect, SendOrder | ReadState):
                self.orders.receive(effect)

    def step(self) -> None:
        """Do what is due, in each task."""
        self.leases.idle()
        self.tell(Tick())
        self.orders.idle()

    @property
    def holds(self) -> bool:
        """Return whether it may send orders now."""
        lease = self.view.current(Duty.ORDERS)
        return lease is not None and lease.covers(self.zone.clock.monotonic())


class OrderZone:
    """Engines, instances, a table service and the time.

    Parameters
    ----------
    engines : int
    mode : FencingMode
        Of all engines.
    members : int
    load_interval : timedelta
        Least time between two loads.

    Attributes
    ----------
    on_step : list of callable
        Called after each step of time.
    """

    def __init__(
        self,
        engines: int,
        mode: FencingMode = FencingMode.IGNORED,
        members: int = 2,
        load_interval: timedelta = timedelta(seconds=2),
    ) -> None:
        self.clock = ManualClock()
        self.table = FakeTable()
        self.load_interval = load_interval
        made = [_engine(number, mode) for number in range(engines)]
        self.engines = {engine.entry.address: engine for engine in made}
        self.on_step: list[Callable[[], None]] = []
        self.revision = 0
        self.members = [Member(self, f"i{number}") for number in range(members)]
        self.want("1")

    def want(self, version: str) -> None:
        """Have a configuration with a model version accepted everywhere."""
        self.revision += 1
        policy = ModelPolicy(MODEL, version, 1000, 100)
        configuration = Configuration(
            Revision(self.revision), Digest(version), models={MODEL: policy}
        )
        for member in self.members:
            member.tell(ConfigurationReceived(configuration))

    def run(self, span: timedelta) -> None:
        """Let time pass for all members that are awake."""
        end = self.clock.monotonic() + span
        while self.clock.monotonic() < end:
            self.clock.advance(STEP)
            for member in self.members:
                if not member.asleep:
                    member.step()
            for check in self.on_step:
                check()

    def run_until(self, reached: Callable[[], bool]) -> None:
        """Let time pass until something is so, for ten minutes at most."""
        end = self.clock.monotonic() + timedelta(minutes=10)
        while not reached():
            assert self.clock.monotonic() < end, "it did not come to that"
            self.run(STEP)

    def versions(self) -> list[set[str]]:
        """Return the versions that each engine answers with."""
        now = self.clock.monotonic()
        return [engine.ready_versions(now) for engine in self.engines.values()]

    @property
    def holder(self) -> Member:
        """The one member that may send orders."""
        (holder,) = [member for member in self.members if member.holds]
        return holder


def _engine(number: int, mode: FencingMode) -> FakeEngine:
    entry = EndpointEntry(
        EndpointId(f"e{number}"),
        EndpointKind.MODEL_ENGINE,
        f"127.0.0.1:{number + 1}",
        ZONE,
        Incarnation(1),
        LifecycleState.LIVE,
    )
    return FakeEngine(entry, mode, [FakeModel("1", timedelta(0))])


def _report(engine: FakeEngine) -> LoadReport:
    return LoadReport(
        endpoint=engine.entry.endpoint,
        incarnation=engine.entry.incarnation,
        sequence=1,
        lag=timedelta(0),
        running=0,
        waiting=0,
        waiting_prefill_tokens=0,
        kv_used=0,
        kv_capacity=1000,
        prefill_rate=1000.0,
        models=(MODEL,),
        draining=False,
        fencing=engine.mode,
    )


def _answer(status: int, body: Any) -> Answer:
    return Answer(status, urllib3.HTTPHeaderDict(), msgspec.json.encode(body))
