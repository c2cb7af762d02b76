"""Simulation of entry instances that enforce account limits, in virtual time."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from random import Random

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.ids import AvailabilityZoneId, Incarnation, InstanceId, Revision
from mimosafork.kernel import registry
from mimosafork.kernel.configuration import AccountPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Effect, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.fleet import (
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.peers import (
    Member,
    MembersChanged,
    MemberState,
    Origin,
    Publish,
    Scope,
)
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.watch import PublishForZone
from mimosafork.peers.kinds.base import kind_of
from mimosafork.policies.limits import AccountLimits

from .kernels import ACCOUNT, configuration, model_request

PLUGINS = ("known-target", "account-limits", "bounded-retry", "first-come")
STEP = timedelta(milliseconds=500)
MAX_DELAY_S = 4.0
REQUEST_TOKENS = 1_000
FOR_EVER = timedelta(days=1)


@dataclass
class LimitSimulation:
    """Instances in zones, delayed messages between them, and one account.

    Attributes
    ----------
    granted : Counter of str
        Tokens that each instance granted.
    partitioned : bool
        Zones receive no messages from each other.
    isolated : str
        Instance that neither sends messages to others nor receives any.
    largest_sum : float
        Largest sum of the instances' rates, over the limit.
    """

    policy: AccountPolicy
    zones: Mapping[str, int]
    clock: ManualClock = field(default_factory=ManualClock)
    granted: Counter[str] = field(default_factory=Counter)
    partitioned: bool = False
    isolated: str = ""
    largest_sum: float = 0.0

    def __post_init__(self) -> None:
        self.random = Random(11)
        self.numbers = count()
        self.in_transit: list[tuple[timedelta, str, Publish, Origin]] = []
        self.zone_of = {
            f"{zone}-{number}": zone
            for zone, size in self.zones.items()
            for number in range(size)
        }
        listed = tuple(entry_instance(*each) for each in self.zone_of.items())
        settings = configuration(accounts=[self.policy])
        self.kernels = {}
        for name, zone in self.zone_of.items():
            identity = InstanceIdentity(
                InstanceId(name), Incarnation(1), AvailabilityZoneId(zone)
            )
            plugins = registry.create(PLUGINS)
            kernel = Kernel(identity, self.clock, Random(1), plugins)
            kernel.handle(ConfigurationReceived(settings))
            kernel.handle(InstancesListed((), listed))
            self.kernels[name] = kernel
        self.send_members()

    def reaches(self, name: str, other: str) -> bool:
        """Return whether messages pass between two instances."""
        if self.isolated in (name, other):
            return name == other
        return not self.partitioned or self.zone_of[name] == self.zone_of[other]

    def partition(self, partitioned: bool = False, isolated: str = "") -> None:
        """Change which instances can reach each other."""
        self.partitioned, self.isolated = partitioned, isolated
        self.send_members()

    def send_members(self) -> None:
        """Send each instance the list of its members and silent zones."""
        for name, kernel in self.kernels.items():
            zone = self.zone_of[name]
            near = [each for each, home in self.zone_of.items() if home == zone]
            members = tuple(self._member(each, name) for each in near)
            silent = {
                home
                for other, home in self.zone_of.items()
                if home != zone and not self.reaches(name, other)
            }
            zones = tuple(AvailabilityZoneId(each) for each in silent)
            kernel.state.fleet.members = {each.instance: each for each in members}
            kernel.handle(MembersChanged(members, zones))

    def _member(self, name: str, seen_by: str) -> Member:
        live = self.reaches(seen_by, name)
        state = MemberState.LIVE if live else MemberState.SUSPECT
        zone = AvailabilityZoneId(self.zone_of[name])
        identity = InstanceId(name), Incarnation(1), zone
        return Member(*identity, "10.0.0.1:1", state, Revision(1))

    def run(self, seconds: float, demand: Mapping[str, float]) -> int:
        """Send requests at these rates per second; return the tokens granted."""
        before = self.granted.total()
        owed = dict.fromkeys(demand, 0.0)
        for step in range(int(seconds / STEP.total_seconds())):
            self.clock.advance(STEP)
            self._deliver()
            for name in self.kernels:
                self._take(name, self.kernels[name].handle(Tick()))
                owed[name] = owed.get(name, 0.0)
                owed[name] += demand.get(name, 0.0) * STEP.total_seconds()
                while owed[name] >= 1:
                    owed[name] -= 1
                    self.ask(name)
            if step % 2:
                self._speak()
            self._measure()
        return self.granted.total() - before

    def ask(self, name: str, tokens: int = REQUEST_TOKENS) -> Conclude | None:
        """Submit a request; return the refusal if there is one."""
        request = model_request(f"r{next(self.numbers)}", tokens - 100, FOR_EVER)
        effects = self.kernels[name].handle(Submit(replace(request, account=ACCOUNT)))
        ends = [each for each in effects if isinstance(each, Conclude)]
        if not ends:
            self.granted[name] += tokens
            # No endpoint serves them; placing them at each tick only costs time.
            self.kernels[name].state.waiting.by_target.clear()
            return None
        (end,) = ends
        assert end.problem is not None
        assert end.problem.code is ProblemCode.RATE_LIMITED
        return end

    def _speak(self) -> None:
        for zone in self.zones:
            name = f"{zone}-0"
            message = PublishForZone(AvailabilityZoneId(zone))
            self._take(name, self.kernels[name].handle(message))

    def _take(self, name: str, effects: Iterable[Effect]) -> None:
        """Queue published values for delivery, each with its own delay."""
        for effect in effects:
            if not isinstance(effect, Publish):
                continue
            kind = kind_of(effect.value)
            value = kind.decode(kind.encode(effect.value))
            identity = self.kernels[name].state.identity
            for other in self.kernels:
                near = self.zone_of[other] == self.zone_of[name]
                if other == name or (effect.scope is Scope.ZONE and not near):
                    continue
                age = timedelta(seconds=self.random.uniform(0.1, MAX_DELAY_S))
                origin = Origin(
                    identity.instance,
                    identity.incarnation,
                    identity.availability_zone,
                    age,
                )
                due = self.clock.monotonic() + age
                published = replace(effect, value=value)
                self.in_transit.append((due, other, published, origin))

    def _deliver(self) -> None:
        now = self.clock.monotonic()
        due = [each for each in self.in_transit if each[0] <= now]
        self.in_transit = [each for each in self.in_transit if each[0] > now]
        for _, name, published, origin in sorted(due, key=lambda each: each[0]):
            if self.reaches(name, origin.instance):
                message = kind_of(published.value).message(
                    published.key, published.value, origin
                )
                self.kernels[name].handle(message)

    def _measure(self) -> None:
        rates = [
            plugin.accounts[ACCOUNT].bucket.rate
            for kernel in self.kernels.values()
            if ACCOUNT in (plugin := kernel.plugin(AccountLimits)).accounts
        ]
        part = sum(rates) / self.policy.tokens_per_second
        self.largest_sum = max(self.largest_sum, part)


def entry_instance(name: str, zone: str) -> EntryInstance:
    """Return an entry instance as listed by the platform."""
    return EntryInstance(
        instance=InstanceId(name),
        address="10.0.0.1:2",
        peer_address="10.0.0.1:1",
        availability_zone=AvailabilityZoneId(zone),
        incarnation=Incarnation(1),
        state=LifecycleState.LIVE,
    )
