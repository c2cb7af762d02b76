"""Simulated fleet whose endpoints reject every call, with gossip between instances.

Runs kernels with the gateway's policies and their gossip in virtual time. Each instance
retries as often as its budget allows. Retries arrive late, as on slow links and busy
machines.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from mimosafork.gateway.fleet_shares import order_by_name
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.retry_budget import MAX_RETRY_TRANSIT, SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.members import Address
from mimosafork.ids import (
    AvailabilityZoneId,
    Incarnation,
    InstanceId,
    RequestId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import Request, Submit
from mimosafork.kernel.messages.routing import EndpointUsable
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create

from .call_rules import RETRY_WINDOW, Budget
from .gateway_kernels import ZONE, digest_of, listed, plain_request
from .gossip_network import STEP, Network, identity, ms

ENDPOINTS = 10
SLOTS = 1000
REFUSED_AFTER = ms(3)
SECOND = timedelta(seconds=1)

MAX_TRANSIT = ms(2300)
"""Maximum transit time of retries. Not taken from the policy, so that the tests check
the value that the policy assumes."""


class RetryingInstance:
    """One incarnation of an instance.

    Parameters
    ----------
    fleet : RetryingFleet
        Counts the calls that arrive at endpoints.
    """

    def __init__(
        self, fleet: "RetryingFleet", number: int, is_first_incarnation: bool
    ) -> None:
        self.fleet = fleet
        network = fleet.network
        seed = identity(0).address
        boot = fleet.boots[number]
        me = identity(number, boot, started_ms=boot)
        self.exchange: Exchange = network.add(me, [seed])
        fleet.zones[me.address] = me.zone
        own = InstanceIdentity(me.instance, Incarnation(1), ZONE)
        self.kernel = Kernel(own, network.clock, Random(boot), create(fleet.plugins))
        retry = self.kernel.plugin(BudgetedRetry)
        retry.slack = fleet.budget.slack
        retry.slack_share = self.share
        self.began_at = network.now
        self.is_first_incarnation = is_first_incarnation
        self.read_rows()
        self.due: list[tuple[timedelta, int, Message]] = []
        self.order = count()
        for each in range(fleet.endpoints):
            self.handle(EndpointUsable(listed(f"desk-{each}", SLOTS)))

    def read_rows(self) -> None:
        """Read the peers from the store, if it is available."""
        if not self.fleet.store_answers:
            return
        for number, boot in self.fleet.boots.items():
            self.exchange.learn(identity(number, boot), self.now)
        self.exchange.roster.census.complete = True

    def share(
        self,
        order: Callable[[InstanceId], tuple[int, InstanceId]] = order_by_name,
    ) -> SlackShare:
        """Return this instance's share of the slack, as a server does."""
        census = self.exchange.roster.census
        lasted = self.now - self.began_at
        is_over = (
            self.is_first_incarnation or lasted >= RETRY_WINDOW + MAX_RETRY_TRANSIT
        )
        since = None if is_over else self.began_at
        rank = census.rank(self.exchange.me.instance, self.now, order)
        return SlackShare(census.instances, rank, census.complete, since)

    @property
    def now(self) -> timedelta:
        """The current virtual time."""
        return self.fleet.network.now

    def submit(self, request: Request) -> None:
        """Submit a call."""
        self.handle(Submit(request))

    def handle(self, message: Message) -> None:
        """Let the kernel handle a message and perform its effects."""
        for effect in self.kernel.handle(message):
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        """Perform an effect."""
        if isinstance(effect, Dispatch):
            at = self.fleet.arrives_at(effect)
            self.later(at + REFUSED_AFTER, rejected_attempt(effect))
        elif isinstance(effect, WakeAt):
            self.later(effect.at, effect.message)

    def later(self, at: timedelta, message: Message) -> None:
        """Schedule a message for an instant."""
        heappush(self.due, (at, next(self.order), message))

    def step(self, now: timedelta) -> None:
        """Handle the messages that are due."""
        while self.due and self.due[0][0] <= now:
            self.handle(heappop(self.due)[2])
        # Like a gateway, which does not tick its kernel without calls.
        if self.kernel.state.requests and now % TICK < STEP:
            self.handle(Tick())


class RetryingFleet:
    """Instances whose calls all fail, and the retry budget that they share.

    Parameters
    ----------
    size : int
    slack : float
        Retries that the fleet may send in addition to the ratio of its requests.
    lag : timedelta
        Additional delay of datagrams, as instances are busy.
    loss : float
        Share of datagrams that are lost.

    Attributes
    ----------
    boots : dict of int to int
        Boot number of the latest incarnation under each name, as in its store row.
    names : list of int
        Number in the name of each instance.
    zones : dict of Address to AvailabilityZoneId
        Zone of each address that any incarnation listened on.
    latest : timedelta
        Upper bound of the random transit time of retries.
    delayed_until : timedelta
        Links are delayed until then; earlier retries arrive no sooner.
    store_answers : bool
        Whether starting instances can read the store.
    endpoints : int
        Number of endpoints.
    plugins : sequence of str
        Names of the plug-ins of each kernel.
    """

    instance_type: type[RetryingInstance] = RetryingInstance
    endpoints = ENDPOINTS
    plugins: Sequence[str] = PLUGINS

    def __init__(
        self,
        size: int,
        slack: float,
        lag: timedelta = timedelta(0),
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.network = Network(seed, loss=loss, lag=lag)
        self.random = Random(seed)
        self.budget = Budget(slack)
        self.size = size
        self.boots = {number: 1000 + number for number in range(size)}
        self.store_answers = True
        self.names = list(range(size))
        self.further_names = count(size)
        self.further_boots = count(2000)
        self.zones: dict[Address, AvailabilityZoneId] = {}
        self.latest = MAX_TRANSIT
        self.delayed_until = self.network.now
        self.calls = count()
        self.arrivals: set[RequestId] = set()
        self.instances: list[RetryingInstance] = []
        self.instances = [
            self.instance_type(self, number, is_first_incarnation=True)
            for number in range(size)
        ]

    def restart(self, numbers: Iterable[int]) -> None:
        """Restart some instances without their former state."""
        for number in numbers:
            self.begin(number)

    def replace(self, numbers: Iterable[int]) -> None:
        """Kill some instances and start others under new names in their place."""
        for number in numbers:
            self.network.stop(self.instances[number].exchange)
            self.names[number] = next(self.further_names)
            self.begin(number)
            self.instances[number].exchange.roster.census.joins = True

    def begin(self, number: int) -> None:
        """Start an incarnation in an existing fleet."""
        name = self.names[number]
        self.boots[name] = next(self.further_boots)
        self.instances[number] = self.instance_type(
            self, name, is_first_incarnation=False
        )

    def hold_up(self, span: timedelta) -> None:
        """Delay all retries sent within a span until its end."""
        self.delayed_until = self.network.now + span

    def cut_zones(self) -> None:
        """Partition the zones from each other."""
        self.network.cut = lambda a, b: self.zones.get(a) != self.zones.get(b)

    def arrives_at(self, dispatch: Dispatch) -> timedelta:
        """Count an arrival at an endpoint; return its time.

        The first attempt of a call is no retry and arrives at once.
        """
        at = self.network.now
        if dispatch.request_id in self.arrivals:
            # Often without delay, or with the maximum delay.
            late = self.latest * min(1.0, max(0.0, self.random.uniform(-1.0, 2.0)))
            at = max(at + late, self.delayed_until)
            self.budget.repeats.append(at)
        self.arrivals.add(dispatch.request_id)
        return at

    def run(self, span: timedelta, calls_s: float = 0.0) -> None:
        """Advance time while calls arrive at random instances."""
        end = self.network.now + span
        while self.network.now < end:
            self.network.run(STEP)
            if self.random.random() < calls_s * (STEP / SECOND):
                self.call(self.random.randrange(len(self.instances)))
            for each in self.instances:
                each.step(self.network.now)

    def call(self, number: int) -> None:
        """Submit a call to an instance."""
        name = f"c{next(self.calls)}"
        self.budget.requests.append(self.network.now)
        self.instances[number].submit(plain_request(name, self.network.now))

    def worst_window(self) -> float:
        """Return by how many retries the worst window exceeds its budget."""
        window = timedelta(seconds=10)
        found = -self.budget.slack
        repeats = sorted(self.budget.repeats)
        for at in repeats:
            end = at + window - timedelta.resolution
            sent = bisect_right(repeats, end) - bisect_left(repeats, at)
            found = max(found, sent - self.budget.allowed(end))
        return found

    def forget(self) -> None:
        """Drop retries and requests that belong to no current or future window."""
        budget, now = self.budget, self.network.now
        budget.repeats = [at for at in budget.repeats if now - RETRY_WINDOW <= at]
        budget.requests = [at for at in budget.requests if now - 3 * RETRY_WINDOW <= at]


def rejected_attempt(dispatch: Dispatch) -> AttemptFailed:
    """Return the rejection of an attempt by its endpoint."""
    return AttemptFailed(
        dispatch.request_id,
        dispatch.attempt,
        FailureKind.REFUSED,
        Exposure.REFUSED,
        status=503,
        refusal="not-run",
        endpoint=dispatch.endpoint,
        digest=digest_of(dispatch.request_id),
    )
