"""A fleet whose calls are turned away, with what its instances tell each other.

Kernels with a gateway's policies stand beside their gossip, in virtual time. Endpoints
turn every call away, so that each instance repeats as often as it believes it may.
What is sent again arrives late, as links and busy machines hold it up.
"""

from collections.abc import Iterable
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.retry_budget import MAX_RETRY_TRANSIT, SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.members import Address
from mimosafork.ids import AvailabilityZoneId, Incarnation, RequestId
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
"""What is sent again arrives up to so much later. It is not read from the policy: what
that one reckons with is what the tests hold against it."""


class RetryingInstance:
    """One life of an instance.

    Parameters
    ----------
    fleet : RepeatingFleet
        Counts what arrives at endpoints.
    """

    def __init__(
        self, fleet: "RetryingFleet", number: int, is_first_life: bool
    ) -> None:
        self.fleet = fleet
        network = fleet.network
        seed = identity(0).address
        boot = fleet.boots[number]
        me = identity(number, boot, started_ms=boot)
        self.exchange: Exchange = network.add(me, [seed])
        fleet.zones[me.address] = me.zone
        own = InstanceIdentity(me.instance, Incarnation(1), ZONE)
        self.kernel = Kernel(own, network.clock, Random(boot), create(PLUGINS))
        retry = self.kernel.plugin(BudgetedRetry)
        retry.slack = fleet.budget.slack
        retry.slack_share = self.share
        self.began_at = network.now
        self.is_first_life = is_first_life
        self.read_rows()
        self.due: list[tuple[timedelta, int, Message]] = []
        self.order = count()
        for each in range(ENDPOINTS):
            self.handle(EndpointUsable(listed(f"desk-{each}", SLOTS)))

    def read_rows(self) -> None:
        """Learn from the store who else is there, if it answers."""
        if not self.fleet.store_answers:
            return
        for number, boot in self.fleet.boots.items():
            self.exchange.learn(identity(number, boot), self.now)
        self.exchange.roster.census.complete = True

    def share(self) -> SlackShare:
        """Return this instance's part of the slack, as a server does."""
        census = self.exchange.roster.census
        lasted = self.now - self.began_at
        is_over = self.is_first_life or lasted >= RETRY_WINDOW + MAX_RETRY_TRANSIT
        since = None if is_over else self.began_at
        rank = census.rank(self.exchange.me.instance, self.now)
        return SlackShare(census.instances, rank, census.complete, since)

    @property
    def now(self) -> timedelta:
        """The present instant."""
        return self.fleet.network.now

    def submit(self, request: Request) -> None:
        """Take a call."""
        self.handle(Submit(request))

    def handle(self, message: Message) -> None:
        """Have the kernel handle a message and carry out its effects."""
        for effect in self.kernel.handle(message):
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        """Carry out an effect."""
        if isinstance(effect, Dispatch):
            at = self.fleet.arrives_at(effect)
            self.later(at + REFUSED_AFTER, rejected_attempt(effect))
        elif isinstance(effect, WakeAt):
            self.later(effect.at, effect.message)

    def later(self, at: timedelta, message: Message) -> None:
        """Have a message handled at an instant."""
        heappush(self.due, (at, next(self.order), message))

    def step(self, now: timedelta) -> None:
        """Handle what is due."""
        while self.due and self.due[0][0] <= now:
            self.handle(heappop(self.due)[2])
        if now % TICK < STEP:
            self.handle(Tick())


class RetryingFleet:
    """Instances that all fail, and the budget that they share.

    Parameters
    ----------
    size : int
    slack : float
        Repeats that all instances may send beside the ratio of their requests.
    lag : timedelta
        Datagrams take so much longer than the shortest way, as instances are busy.
    loss : float
        Share of datagrams that are lost.

    Attributes
    ----------
    boots : dict of int to int
        Boot number of the latest life under each name, as its row in the store tells.
    names : list of int
        Number in the name of each instance.
    zones : dict of Address to AvailabilityZoneId
        Where those that ever lived listened.
    latest : timedelta
        What is sent again is late by a drawn time of up to this.
    whole_at : timedelta
        Links are held up until then: what is sent again before does not arrive earlier.
    store_answers : bool
        Whether lives that begin can read the rows.
    """

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
        self.whole_at = self.network.now
        self.calls = count()
        self.arrivals: set[RequestId] = set()
        self.instances: list[RetryingInstance] = []
        self.instances = [
            RetryingInstance(self, number, is_first_life=True) for number in range(size)
        ]

    def restart(self, numbers: Iterable[int]) -> None:
        """Begin a new life of some instances; what the former ones knew is gone."""
        for number in numbers:
            self.begin(number)

    def replace(self, numbers: Iterable[int]) -> None:
        """Kill some instances, and begin others under new names in their place."""
        for number in numbers:
            self.network.stop(self.instances[number].exchange)
            self.names[number] = next(self.further_names)
            self.begin(number)
            self.instances[number].exchange.roster.census.joins = True

    def begin(self, number: int) -> None:
        """Begin a life in a fleet that had others."""
        name = self.names[number]
        self.boots[name] = next(self.further_boots)
        self.instances[number] = RetryingInstance(self, name, is_first_life=False)

    def hold_up(self, span: timedelta) -> None:
        """Let links hold up what is sent again, all of which then arrives together."""
        self.whole_at = self.network.now + span

    def cut_zones(self) -> None:
        """Cut the zones off from each other."""
        self.network.cut = lambda a, b: self.zones.get(a) != self.zones.get(b)

    def arrives_at(self, dispatch: Dispatch) -> timedelta:
        """Count an arrival at an endpoint, and return when it is.

        The first of a call is no repeat, and comes at once.
        """
        at = self.network.now
        if dispatch.request_id in self.arrivals:
            # Often not late at all, or as late as can be.
            late = self.latest * min(1.0, max(0.0, self.random.uniform(-1.0, 2.0)))
            at = max(at + late, self.whole_at)
            self.budget.repeats.append(at)
        self.arrivals.add(dispatch.request_id)
        return at

    def run(self, span: timedelta, calls_s: float = 0.0) -> None:
        """Let time pass while calls come to instances at random."""
        end = self.network.now + span
        while self.network.now < end:
            self.network.run(STEP)
            if self.random.random() < calls_s * (STEP / SECOND):
                self.call(self.random.randrange(len(self.instances)))
            for each in self.instances:
                each.step(self.network.now)

    def call(self, number: int) -> None:
        """Let a call come to an instance."""
        name = f"c{next(self.calls)}"
        self.budget.requests.append(self.network.now)
        self.instances[number].submit(plain_request(name, self.network.now))

    def worst_window(self) -> float:
        """Return by how many repeats the worst window passes what it may have."""
        window = timedelta(seconds=10)
        found = -self.budget.slack
        for at in self.budget.repeats:
            end = at + window - timedelta.resolution
            sent = sum(at <= each <= end for each in self.budget.repeats)
            found = max(found, sent - self.budget.allowed(end))
        return found

    def forget(self) -> None:
        """Forget repeats whose windows are over, and requests that count for none.

        What comes later falls into no window that begins with one of these.
        """
        budget, now = self.budget, self.network.now
        budget.repeats = [at for at in budget.repeats if now - RETRY_WINDOW <= at]
        budget.requests = [at for at in budget.requests if now - 3 * RETRY_WINDOW <= at]


def rejected_attempt(dispatch: Dispatch) -> AttemptFailed:
    """Return that an endpoint turned an attempt away."""
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
