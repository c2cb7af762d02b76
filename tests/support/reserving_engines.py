"""Simulated model engines with memory reservations, and a gateway's kernel."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies import PLUGINS
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    Revision,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from mimosafork.kernel.messages.requests import CallTerms, Request, RequestKind
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create
from mimosafork.routing.engine import EngineFigures
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import ClientLimits, RoutingTable, Service

from .kernels import Bench

POOL = ServiceId("pool")
MEMORY = 405_000
HUGE = 700_000
ZONE = AvailabilityZoneId("zone-a")
START = timedelta(seconds=100)
FIGURES = EngineFigures(
    slots=8,
    memory_tokens=MEMORY,
    stride=34,
    step_ms=1.31,
    per_sequence_ms=0.0018,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_m_pairs=0.162,
    prefill_chunk_tokens=2_048,
    hop_ms=0.1,
)


@dataclass(slots=True)
class HeldMemory:
    """Memory that a model engine has reserved."""

    tokens: int
    until: timedelta
    renewals: int = 0


@dataclass(slots=True)
class FakeModelEngine:
    """Memory of an engine, with reservations that are renewed, freed and expire.

    Attributes
    ----------
    taken : int
        Tokens that others hold.
    silent : bool
        Orders to it are lost.
    """

    name: str
    reservations: dict[str, HeldMemory] = field(default_factory=dict)
    taken: int = 0
    silent: bool = False
    seen: set[str] = field(default_factory=set)

    @property
    def free(self) -> int:
        """Tokens that aren't held."""
        return MEMORY - self.taken - sum(t.tokens for t in self.reservations.values())

    def reserve(
        self, order: ReserveMemory, now: timedelta, late: timedelta = timedelta(0)
    ) -> GangStepFailure | None:
        """Reserve memory, or renew a reservation.

        Parameters
        ----------
        late : timedelta
            Time since the order arrived, from which its time to live counts.
        """
        self.seen.add(order.reservation)
        until = now - late + order.time_to_live
        known = self.reservations.get(order.reservation)
        if known is not None:
            known.until = until
            known.renewals += 1
            return None
        if order.tokens > self.free:
            return GangStepFailure.NO_MEMORY
        self.reservations[order.reservation] = HeldMemory(order.tokens, until)
        return None

    def expire(self, now: timedelta) -> None:
        """Free expired reservations."""
        held = self.reservations.items()
        self.reservations = {name: each for name, each in held if now < each.until}


class ReservingBench(Bench):
    """A kernel whose orders are carried out by simulated engines.

    Attributes
    ----------
    unanswered_orders : list of ReserveMemory or FreeOwnHolding
        Orders to silent engines.
    reserve_order : list of str
        Engines in the order of their requests, including renewals.
    """

    engines: dict[str, FakeModelEngine]

    def set_up_engines(self, names: Iterable[str]) -> None:
        """Create the engines and make them known to the kernel."""
        self.engines = {name: FakeModelEngine(name) for name in names}
        self.unanswered_orders: list[ReserveMemory | FreeOwnHolding] = []
        self.reserve_order: list[str] = []
        self.wakes: list[WakeAt] = []
        self.delayed_answers: list[Message] | None = None
        self.handle(RoutingTableChanged(table_of_pool()))
        for name in self.engines:
            self.handle(EndpointUsable(listed_engine(name)))

    def serve(self, message: Message) -> None:
        """Handle a message, and let the engines answer all orders at once."""
        messages = [message]
        while messages:
            for effect in self.handle(messages.pop(0)):
                answer = self._carry_out(effect)
                if answer is None:
                    continue
                if self.delayed_answers is None:
                    messages.append(answer)
                else:
                    self.delayed_answers.append(answer)

    def _carry_out(self, effect: Effect) -> Message | None:
        if isinstance(effect, WakeAt):
            self.wakes.append(effect)
        if isinstance(effect, ReserveMemory):
            self.reserve_order.append(effect.endpoint)
            engine = self.engines[effect.endpoint]
            if engine.silent:
                self.unanswered_orders.append(effect)
                return None
            failure = engine.reserve(effect, self.clock.monotonic())
            request, name = effect.request_id, effect.reservation
            if failure is None:
                return MemoryReserved(request, name)
            return ReservationFailed(request, name, failure)
        if isinstance(effect, FreeOwnHolding):
            engine = self.engines[effect.endpoint]
            if engine.silent:
                self.unanswered_orders.append(effect)
            else:
                engine.reservations.pop(effect.holding_id, None)
        return None

    def deliver_delayed_answers(self) -> None:
        """Deliver the delayed answers, and those that follow."""
        waiting, self.delayed_answers = self.delayed_answers or [], None
        for message in waiting:
            self.serve(message)

    def lose_orders(self, failure: GangStepFailure = GangStepFailure.LOST) -> None:
        """Report to the kernel that the open orders of silent engines got no answer."""
        lost = [o for o in self.unanswered_orders if isinstance(o, ReserveMemory)]
        self.unanswered_orders = [o for o in self.unanswered_orders if o not in lost]
        for order in lost:
            self.serve(ReservationFailed(order.request_id, order.reservation, failure))

    def run(self, time: timedelta, ticking: bool = True) -> None:
        """Let time pass in ticks; engines free what expires.

        Parameters
        ----------
        ticking : bool
            False while this instance is frozen or dead.
        """
        end = self.clock.monotonic() + time
        while self.clock.monotonic() < end:
            self.clock.advance(min(TICK, end - self.clock.monotonic()))
            now = self.clock.monotonic()
            for engine in self.engines.values():
                engine.expire(now)
            if ticking:
                due = [wake for wake in self.wakes if wake.at <= now]
                self.wakes = [wake for wake in self.wakes if wake.at > now]
                for wake in due:
                    self.serve(wake.message)
                self.serve(Tick())

    def held(self) -> dict[str, str]:
        """Return all reservations by id, with the engine that holds them."""
        return {
            reservation: engine.name
            for engine in self.engines.values()
            for reservation in engine.reservations
        }

    def last_dispatch(self, request_id: str) -> Dispatch:
        """Return the newest attempt of a request."""
        return self.dispatches(request_id)[-1]

    def fail_attempt(self, request_id: str, fault_at: str | None = None) -> None:
        """Have the newest attempt refused by its host."""
        dispatch = self.last_dispatch(request_id)
        self.serve(
            AttemptFailed(
                dispatch.request_id,
                dispatch.attempt,
                FailureKind.REFUSED,
                Exposure.REFUSED,
                refusal="not-run",
                fault_at=fault_at,
                endpoint=dispatch.endpoint,
            )
        )


def reserving_bench(engines: int = 6, seed: int = 1) -> ReservingBench:
    """Return a kernel that knows some engines with reservations."""
    clock = ManualClock(start=START)
    identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
    kernel = Kernel(identity, clock, Random(seed), create(PLUGINS))
    bench = ReservingBench(kernel, clock)
    bench.set_up_engines(f"e{number}" for number in range(engines))
    return bench


def listed_engine(name: str) -> ListedEndpoint:
    """Return the entry of an engine in the endpoint list."""
    address = address_of(name)
    ready = ListedState.READY
    return ListedEndpoint(EndpointId(name), POOL, address, ZONE, 8, ready)


def address_of(name: str) -> str:
    """Return the address of a model engine."""
    return f"10.0.0.{name[1:]}:80"


def table_of_pool() -> RoutingTable:
    """Return a routing table with the engines' service."""
    services = {POOL: Service(POOL, "/healthz", 200, FIGURES)}
    return RoutingTable(Revision(1), (), services, ClientLimits(), ())


def huge_request(
    name: str,
    now: timedelta = START,
    prompt: int = HUGE,
    time: timedelta = timedelta(seconds=15),
) -> Request:
    """Return a request whose prompt fits into no single engine."""
    terms = CallTerms(
        max_attempts=3,
        objective=timedelta(seconds=3),
        longest_pause=timedelta(seconds=1),
        streams=True,
        resumable=True,
    )
    return Request(
        request_id=RequestId(name),
        account=AccountId("account-a"),
        kind=RequestKind.SERVICE,
        target=POOL,
        prompt_tokens=prompt,
        max_tokens=1_000,
        deadline=now + time,
        body_digest=Digest(name.encode().hex()),
        terms=terms,
    )


def first_attempt() -> AttemptNumber:
    """Return the number of a request's first attempt."""
    return AttemptNumber(1)
