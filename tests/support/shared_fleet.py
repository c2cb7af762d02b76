"""Simulated fleet in front of few engines for which accounts compete, in virtual time.

Engines have slots and prefill one prompt after the other. Instances receive each
other's running work after a delay, and nothing else.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count

from msgspec.structs import replace

from mimosafork.gateway.policies import PLUGINS, SHARING_PLUGINS
from mimosafork.ids import AccountId, EndpointId, RequestId, Revision
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import CallTerms, Request, RequestKind
from mimosafork.kernel.messages.routing import (
    EndpointUsable,
    PeerWorkChanged,
    RoutingTableChanged,
)
from mimosafork.kernel.messages.sharing import PublishWork, PublishWorkEnd
from mimosafork.routing.table import ClientLimits, RoutingTable, Service

from .gateway_kernels import listed, plain_request
from .gossip_network import STEP, ms
from .reserving_engines import FIGURES, POOL
from .retrying_fleet import (
    REFUSED_AFTER,
    SECOND,
    RetryingFleet,
    RetryingInstance,
    rejected_attempt,
)

NEWS_DELAY = ms(20)
"""Time until peers know of running work."""

QUEUED_AT_ENGINE = 4
"""Requests beyond its slots that an engine queues before it rejects more."""

HOME_SHARE = 0.6
"""Share of an account's calls that reach one instance."""


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    timeout : timedelta
        Of the callers.
    """

    name: str
    prompt_tokens: int
    answer_tokens: int
    objective: timedelta
    timeout: timedelta
    priority: int = 5


SHORT = Kind("short", 5_000, 300, ms(500), ms(8_000))
LONG = Kind("long", 60_000, 300, ms(3_000), ms(16_000))


@dataclass(frozen=True)
class Load:
    """Calls of one account and kind, at a steady rate.

    Attributes
    ----------
    since, until : timedelta
        From the start of the run.
    returns_after : callable or None
        Returns when a refused caller calls again, by the delay that it was told; None
        if it does not.
    content : str
        Prefix of the call ids, which determines their body; empty for bodies that all
        differ.
    """

    account: str
    kind: Kind
    per_s: float
    since: timedelta = timedelta(0)
    until: timedelta = timedelta(hours=1)
    returns_after: Callable[[timedelta], timedelta] | None = None
    content: str = ""


@dataclass(frozen=True)
class Sent:
    """A call that was sent, and when."""

    load: Load
    instance: int
    at: timedelta


@dataclass
class Tally:
    """Numbers of calls of an account or kind."""

    sent: int = 0
    served: int = 0
    on_time: int = 0

    @property
    def served_share(self) -> float:
        """Share of the calls that were served."""
        return self.served / max(1, self.sent)

    @property
    def on_time_share(self) -> float:
        """Share of the calls whose first event came within the objective."""
        return self.on_time / max(1, self.sent)


@dataclass
class SimulatedEngine:
    """An engine that decodes in slots and prefills one prompt after the other."""

    ends: list[timedelta] = field(default_factory=list)
    prefilled_at: timedelta = timedelta(0)

    def is_full(self, now: timedelta) -> bool:
        """Return whether it rejects a call."""
        self.ends = sorted(at for at in self.ends if at > now)
        return len(self.ends) >= FIGURES.slots + QUEUED_AT_ENGINE

    def slot_free_at(self, now: timedelta) -> timedelta:
        """Return when a further call gets a slot."""
        waiting = len(self.ends) - FIGURES.slots
        return now if waiting < 0 else self.ends[waiting]

    def prefill(self, tokens: int, prompt_tokens: int, since: timedelta) -> timedelta:
        """Prefill a part of a prompt; return when it is done."""
        begun = max(since, self.prefilled_at)
        self.prefilled_at = begun + ms(FIGURES.prefill_ms(tokens, prompt_tokens))
        return self.prefilled_at


class SharingInstance(RetryingInstance):
    """One instance, whose calls run on the engines of its fleet."""

    fleet: "SharedFleet"

    def __init__(
        self, fleet: "SharedFleet", number: int, is_first_incarnation: bool
    ) -> None:
        super().__init__(fleet, number, is_first_incarnation)
        service = Service(POOL, "/", 8, FIGURES)
        table = RoutingTable(Revision(1), (), {POOL: service}, ClientLimits(), ())
        self.handle(RoutingTableChanged(table))
        for name in fleet.engines:
            engine = replace(listed(name, FIGURES.slots), service=POOL)
            self.handle(EndpointUsable(engine))

    def perform(self, effect: Effect) -> None:
        """Perform an effect on the fleet's engines."""
        if isinstance(effect, Dispatch):
            self.run(effect)
        elif isinstance(effect, PublishWork | PublishWorkEnd):
            self.tell(effect)
        elif isinstance(effect, Conclude):
            self.fleet.ended(effect)
            # As a gateway does, so that a place that becomes free is used at once.
            if self.kernel.state.waiting.by_target:
                self.later(self.now, Tick())
        else:
            super().perform(effect)

    def run(self, dispatch: Dispatch) -> None:
        """Run an attempt on its engine and helpers."""
        now = self.now
        host = self.fleet.engines[dispatch.endpoint]
        if host.is_full(now):
            self.later(now + REFUSED_AFTER, rejected_attempt(dispatch))
            return
        kind = self.fleet.sent[dispatch.request_id].load.kind
        gang = [host, *(self.fleet.engines[each.endpoint] for each in dispatch.helpers)]
        begun = host.slot_free_at(now)
        tokens = kind.prompt_tokens // len(gang)
        first_at = max(each.prefill(tokens, kind.prompt_tokens, begun) for each in gang)
        end = first_at + ms(kind.answer_tokens * FIGURES.step_ms)
        host.ends.append(end)
        self.later(first_at, FirstToken(dispatch.request_id, dispatch.attempt))
        self.later(end, AttemptFinished(dispatch.request_id, dispatch.attempt))

    def tell(self, effect: PublishWork | PublishWorkEnd) -> None:
        """Tell peers of running work after a delay."""
        me = self.exchange.me.instance

        def named(request_id: RequestId) -> RequestId:
            return RequestId(f"{me}/{request_id}")

        if isinstance(effect, PublishWork):
            work = replace(effect.work, request=named(effect.work.request))
            news = PeerWorkChanged(me, (work,), ())
        else:
            news = PeerWorkChanged(me, (), (named(effect.request_id),))
        for peer in self.fleet.instances:
            if peer is not self:
                peer.later(self.now + NEWS_DELAY, news)

    def handle(self, message: Message) -> None:
        """Let the kernel handle a message; record first events."""
        if isinstance(message, FirstToken):
            self.fleet.first_at.setdefault(message.request_id, self.now)
        super().handle(message)


class SharedFleet(RetryingFleet):
    """Instances in front of engines for which accounts compete.

    Parameters
    ----------
    shares : bool
        Whether capacity is shared among accounts; otherwise the usual order is in
        force.

    Attributes
    ----------
    ends : dict of RequestId to Conclude
    ended_at : dict of RequestId to timedelta
    delays : list of timedelta
        Retry delays that refused callers were told.
    """

    instance_type = SharingInstance
    endpoints = 0

    def __init__(
        self, shares: bool, size: int = 3, engines: int = 3, seed: int = 1
    ) -> None:
        self.plugins = SHARING_PLUGINS if shares else PLUGINS
        self.engines = {
            EndpointId(f"engine-{number}"): SimulatedEngine()
            for number in range(engines)
        }
        self.sent: dict[RequestId, Sent] = {}
        self.first_at: dict[RequestId, timedelta] = {}
        self.ends: dict[RequestId, Conclude] = {}
        self.ended_at: dict[RequestId, timedelta] = {}
        self.returns: list[tuple[timedelta, int, Sent]] = []
        self.order = count()
        super().__init__(size, slack=100.0, seed=seed)
        self.homes: dict[str, int] = {}

    def play(self, loads: Sequence[Load], span: timedelta) -> None:
        """Let calls come for a span of time, and let them end."""
        begun = self.network.now
        while self.network.now < begun + span:
            self.network.clock.advance(STEP)
            passed = self.network.now - begun
            for load in loads:
                if load.since <= passed < load.until:
                    self._submit_some(load)
            self._step()
        self.returns.clear()
        while len(self.ends) < len(self.sent):
            self.network.clock.advance(STEP)
            self._step()

    def _submit_some(self, load: Load) -> None:
        expected = load.per_s * (STEP / SECOND)
        for _ in range(int(expected) + (self.random.random() < expected % 1)):
            self.send(load, self._instance_for(load))

    def _step(self) -> None:
        now = self.network.now
        while self.returns and self.returns[0][0] <= now:
            _, _, sent = heappop(self.returns)
            self.send(sent.load, sent.instance)
        # No instance is always the first to see that a place is free.
        for each in self.random.sample(self.instances, self.size):
            each.step(now)

    def _instance_for(self, load: Load) -> int:
        """Return the instance of a call; the load of an account is spread unevenly."""
        home = self.homes.setdefault(load.account, len(self.homes) % self.size)
        if self.random.random() < HOME_SHARE:
            return home
        return self.random.randrange(self.size)

    def send(self, load: Load, instance: int) -> None:
        """Send a call to an instance."""
        number = next(self.calls)
        name = f"{load.content}-{number}" if load.content else f"c{number}"
        now = self.network.now
        self.sent[RequestId(name)] = Sent(load, instance, now)
        self.instances[instance].submit(shared_request(name, load, now))

    def ended(self, end: Conclude) -> None:
        """Record the end of a call; a refused caller may return."""
        self.ends[end.request_id] = end
        self.ended_at[end.request_id] = self.network.now
        sent = self.sent[end.request_id]
        problem = end.problem
        if problem is None or problem.retry_after is None:
            return
        if sent.load.returns_after is not None:
            at = self.network.now + sent.load.returns_after(problem.retry_after)
            heappush(self.returns, (at, next(self.order), sent))

    @property
    def delays(self) -> list[timedelta]:
        """Retry delays that refused callers were told."""
        problems = (end.problem for end in self.ends.values())
        return [p.retry_after for p in problems if p and p.retry_after]

    def by_account(self) -> dict[str, Tally]:
        """Return the numbers of calls of each account."""
        return self._tallies(lambda load: load.account)

    def by_kind(self) -> dict[str, Tally]:
        """Return the numbers of calls of each kind."""
        return self._tallies(lambda load: load.kind.name)

    def total(self) -> Tally:
        """Return the numbers of all calls."""
        return self._tallies(lambda load: "")[""]

    def _tallies(self, key: Callable[[Load], str]) -> dict[str, Tally]:
        found: dict[str, Tally] = {}
        for request_id, sent in self.sent.items():
            tally = found.setdefault(key(sent.load), Tally())
            tally.sent += 1
            if self.ends[request_id].problem is not None:
                continue
            tally.served += 1
            first_at = self.first_at[request_id]
            tally.on_time += first_at - sent.at <= sent.load.kind.objective
        return found

    def served_while_loaded(self) -> int:
        """Return how many calls were served before the last one was sent."""
        last = max(sent.at for sent in self.sent.values())
        return sum(
            end.problem is None and self.ended_at[request_id] <= last
            for request_id, end in self.ends.items()
        )

    def problems(self) -> Counter[str]:
        """Return why calls were not served."""
        problems = (end.problem for end in self.ends.values())
        return Counter(each.detail.split(":")[0] for each in problems if each)


def shared_request(name: str, load: Load, now: timedelta) -> Request:
    """Return a call to the engines."""
    kind = load.kind
    plain = plain_request(name, now, time=kind.timeout)
    terms = CallTerms(
        max_attempts=3,
        objective=kind.objective,
        longest_pause=ms(250),
        priority=kind.priority,
        streams=True,
        resumable=True,
        expected_tokens=kind.answer_tokens,
    )
    return replace(
        plain,
        account=AccountId(load.account),
        kind=RequestKind.MODEL,
        target=POOL,
        prompt_tokens=kind.prompt_tokens,
        max_tokens=2 * kind.answer_tokens,
        terms=terms,
    )


def compare(
    loads: Iterable[Load], span: timedelta, size: int = 3, engines: int = 3
) -> tuple[SharedFleet, SharedFleet]:
    """Play the same load with the usual order and with account shares."""
    fleets = SharedFleet(False, size, engines), SharedFleet(True, size, engines)
    for fleet in fleets:
        fleet.play(tuple(loads), span)
    return fleets
