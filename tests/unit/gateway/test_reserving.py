"""Tests of memory reservations for prompts larger than one engine."""

from datetime import timedelta
from unittest import TestCase

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from msgspec.structs import replace

from mimosafork.gateway.gossip_adapter import work_note
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.policies.reservations import RENEWAL_MARGIN
from mimosafork.gateway.policies.reserving import (
    MAX_LOST_ORDERS,
    RENEWAL_RETRY_DELAY,
    RESERVATION_TTL,
    MemoryKeeper,
)
from mimosafork.gateway.policies.retry_budget import ServiceRetryBudget
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.ids import EndpointId, RequestId
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.lifecycle import StopNow
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ReserveMemory,
)
from mimosafork.kernel.messages.requests import CallerGone, Submit
from mimosafork.kernel.messages.routing import EndpointLeaving

from ...support.functions import function_tests
from ...support.machines import explore
from ...support.reserving_engines import (
    HUGE,
    MEMORY,
    POOL,
    ReservingBench,
    address_of,
    first_attempt,
    huge_request,
    reserving_bench,
)

case = TestCase()

LEAK = timedelta(seconds=4)
"""Maximum time for which unused memory may stay reserved."""


MANY_ORDERS = 50


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def submit_huge(bench: ReservingBench, name: str = "r") -> None:
    bench.serve(Submit(huge_request(name, bench.clock.monotonic())))


def assert_no_state_left(bench: ReservingBench) -> None:
    """Check that neither engines nor plug-ins hold any state."""
    case.assertEqual({}, bench.held())
    case.assertEqual({}, bench.kernel.plugin(MemoryKeeper).gangs)
    case.assertEqual({}, bench.kernel.plugin(WorkPlacer).load_tracker.own)


def reservation_ids(dispatch: Dispatch) -> list[str]:
    return [str(h.reservation) for h in dispatch.helpers if h.reservation is not None]


def test_all_memory_is_reserved_before_the_request_is_sent() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    dispatch = bench.last_dispatch("r")
    held = bench.held()
    case.assertEqual(set(held), set(reservation_ids(dispatch)))
    tokens = [t.tokens for e in bench.engines.values() for t in e.reservations.values()]
    case.assertGreaterEqual(sum(tokens), HUGE)
    case.assertLess(max(tokens), MEMORY)
    by_name = {h.reservation: h for h in dispatch.helpers}
    for ticket, engine in held.items():
        case.assertEqual(address_of(engine), by_name[ticket].address)  # type: ignore[index]


def test_the_hosts_own_memory_is_named_first() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    dispatch = bench.last_dispatch("r")
    named = [helper.endpoint for helper in dispatch.helpers]
    case.assertEqual(len(named), len(set(named)))
    case.assertEqual(dispatch.endpoint, named[0])
    holds = [helper.reservation is not None for helper in dispatch.helpers]
    case.assertEqual(sorted(holds, reverse=True), holds)


def test_engines_are_asked_in_the_same_order_by_all() -> None:
    for seed in range(5):
        bench = reserving_bench(seed=seed)
        submit_huge(bench)
        case.assertEqual(sorted(bench.reserve_order), bench.reserve_order)


def test_a_prompt_that_fits_reserves_nothing() -> None:
    bench = reserving_bench()
    bench.serve(Submit(huge_request("r", prompt=300_000)))
    case.assertEqual([], bench.emitted(ReserveMemory))
    case.assertTrue(bench.dispatches("r"))


def test_memory_is_renewed_rarely_and_freed_at_the_end() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    bench.serve(FirstToken(RequestId("r"), first_attempt()))
    count = len(bench.held())
    bench.run(RESERVATION_TTL * 3)
    case.assertEqual(count, len(bench.held()))
    case.assertLessEqual(len(bench.emitted(ReserveMemory)), count * 8)
    bench.serve(AttemptFinished(RequestId("r"), first_attempt()))
    assert_no_state_left(bench)


def test_a_caller_disconnect_during_reservation_frees_memory() -> None:
    """The caller disconnects between the first and the second order.

    The answer to the first order arrives after the request has ended and is ignored.
    """
    bench = reserving_bench()
    bench.delayed_answers = []
    submit_huge(bench)
    bench.serve(CallerGone(RequestId("r")))
    bench.deliver_delayed_answers()
    assert_no_state_left(bench)
    case.assertEqual([], bench.dispatches("r"))


def test_a_caller_disconnect_during_the_response_frees_memory() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    bench.serve(CallerGone(RequestId("r")))
    assert_no_state_left(bench)


def test_a_stop_frees_memory() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    submit_huge(bench, "s")
    bench.serve(StopNow())
    assert_no_state_left(bench)


def test_the_deadline_frees_memory() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    bench.run(timedelta(seconds=16))
    case.assertIsNotNone(bench.conclusion("r"))
    assert_no_state_left(bench)


def test_a_denial_at_one_engine_frees_the_others_and_retries_placement() -> None:
    """An engine has less free memory than expected, as others have just reserved it.

    The reservations already made on other engines are released immediately.
    """
    bench = reserving_bench()
    submit_huge(bench, "probe")
    full = bench.reserve_order[1]
    bench.serve(CallerGone(RequestId("probe")))
    bench = reserving_bench()
    bench.engines[full].taken = MEMORY
    submit_huge(bench)
    case.assertEqual({}, bench.held())
    case.assertEqual([], bench.dispatches("r"))
    case.assertEqual({}, bench.kernel.plugin(WorkPlacer).load_tracker.own)
    bench.run(ms(400))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(reservation_ids(dispatch)))
    case.assertNotIn(full, bench.held().values())


def test_a_request_without_memory_is_rejected_in_time() -> None:
    bench = reserving_bench()
    for engine in bench.engines.values():
        engine.taken = MEMORY
    submit_huge(bench)
    bench.run(timedelta(seconds=5))
    ended = bench.conclusion("r")
    assert ended is not None
    case.assertIs(Outcome.NOT_RUN, ended.outcome)
    case.assertLess(len(bench.emitted(ReserveMemory)), 40)
    assert_no_state_left(bench)


def test_a_silent_engine_is_retried_and_then_avoided() -> None:
    """An engine answers no orders; the other reservations are not held for long."""
    bench = reserving_bench()
    submit_huge(bench, "probe")
    silent = bench.reserve_order[-1]
    bench = reserving_bench()
    bench.engines[silent].silent = True
    submit_huge(bench)
    for _ in range(5):
        bench.run(ms(250))
        bench.lose_orders()
    case.assertGreater(bench.reserve_order.count(silent), 2)
    bench.run(ms(500))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(reservation_ids(dispatch)))
    case.assertNotIn(silent, {helper.endpoint for helper in dispatch.helpers})
    released = [o for o in bench.unanswered_orders if isinstance(o, FreeOwnHolding)]
    case.assertTrue(released, "what may have been carried out must be released")


def test_an_order_without_an_answer_is_repeated_under_another_id() -> None:
    """An order is lost, repeated under a new id and answered.

    If the first order is executed five seconds later, its time to live counts from its
    arrival; under the same id it would end a reservation in use and cut the response.
    """
    bench = reserving_bench()
    submit_huge(bench, "probe")
    lossy = bench.engines[bench.reserve_order[0]].name
    bench = reserving_bench()
    engine = bench.engines[lossy]
    engine.silent = True
    submit_huge(bench)
    lost = bench.emitted(ReserveMemory)[0]
    engine.silent = False
    bench.lose_orders()
    dispatch = bench.last_dispatch("r")
    case.assertNotIn(str(lost.reservation), reservation_ids(dispatch))
    released = {free.holding_id for free in bench.emitted(FreeOwnHolding)}
    case.assertEqual({str(lost.reservation)}, released)
    bench.run(timedelta(seconds=5))
    engine.reserve(lost, bench.clock.monotonic(), late=timedelta(seconds=5))
    bench.run(ms(50))
    case.assertEqual(set(bench.held()), set(reservation_ids(dispatch)))


def test_an_engine_that_breaks_off_orders_at_once_gets_few_of_them() -> None:
    """An engine in trouble is sent hundreds of orders and connections a second."""
    bench = reserving_bench()
    for engine in bench.engines.values():
        engine.silent = True
    submit_huge(bench)
    sent = 0
    while bench.unanswered_orders and sent < MANY_ORDERS:
        sent += sum(isinstance(each, ReserveMemory) for each in bench.unanswered_orders)
        bench.lose_orders()
        bench.unanswered_orders = [
            each for each in bench.unanswered_orders if isinstance(each, ReserveMemory)
        ]
    case.assertLessEqual(sent, MAX_LOST_ORDERS)
    bench.serve(CallerGone(RequestId("r")))


def test_an_order_that_is_executed_late_expires() -> None:
    """A lost order is executed seconds later, after its release.

    No instance knows of that memory, so only its time to live frees it.
    """
    bench = reserving_bench()
    submit_huge(bench)
    late = bench.emitted(ReserveMemory)[0]
    bench.serve(CallerGone(RequestId("r")))
    bench.run(timedelta(seconds=6))
    bench.engines[late.endpoint].reserve(late, bench.clock.monotonic())
    bench.run(LEAK)
    assert_no_state_left(bench)


def test_a_killed_instance_leaks_no_memory() -> None:
    """The process is killed during a response or between two reservations."""
    for amid_answer in (True, False):
        bench = reserving_bench()
        bench.delayed_answers = None if amid_answer else []
        submit_huge(bench)
        bench.run(timedelta(seconds=2) if amid_answer else ms(50))
        bench.run(LEAK, ticking=False)
        case.assertEqual({}, bench.held())


def test_a_frozen_instance_checks_expiry_before_it_sends() -> None:
    """The process is frozen between the last reservation and the request.

    All reservations have expired meanwhile, so the request must not be sent.
    """
    bench = reserving_bench()
    bench.delayed_answers = []
    submit_huge(bench)
    bench.run(RESERVATION_TTL, ticking=False)
    bench.deliver_delayed_answers()
    case.assertEqual([], bench.dispatches("r"))
    bench.run(ms(400))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(reservation_ids(dispatch)))


def test_an_engine_that_drains_during_reservation_is_not_used() -> None:
    """An engine starts draining between the first order and the request.

    Slow orders take up to a second in total, so the request would arrive at a host or
    helper that is about to exit.
    """
    for which in range(3):
        bench = reserving_bench()
        bench.delayed_answers = []
        submit_huge(bench)
        gang = bench.kernel.plugin(MemoryKeeper).gangs[RequestId("r")]
        engines = [gang.place.host, *(h.endpoint for h in gang.place.helpers)]
        leaving = engines[which]
        bench.serve(EndpointLeaving(leaving, final=True))
        bench.deliver_delayed_answers()
        bench.run(ms(400))
        dispatch = bench.last_dispatch("r")
        sent_to = {dispatch.endpoint, *(h.endpoint for h in dispatch.helpers)}
        case.assertNotIn(leaving, sent_to)
        case.assertEqual(set(bench.held()), set(reservation_ids(dispatch)))


def test_an_expired_reservation_is_not_renewed() -> None:
    """The process is frozen during a response until all reservations expire.

    The engine has aborted the request; a renewal would reserve memory nobody uses.
    """
    bench = reserving_bench()
    submit_huge(bench)
    bench.run(RESERVATION_TTL + ms(100), ticking=False)
    before = len(bench.emitted(ReserveMemory))
    bench.serve(Tick())
    case.assertEqual(before, len(bench.emitted(ReserveMemory)))
    case.assertEqual({}, bench.held())


def test_memory_of_a_short_answer_is_never_renewed() -> None:
    """No unnecessary renewals are sent.

    A renewal that is executed late undoes a later one.
    """
    bench = reserving_bench()
    submit_huge(bench)
    first = len(bench.emitted(ReserveMemory))
    bench.run(timedelta(seconds=2.5))
    case.assertEqual(first, len(bench.emitted(ReserveMemory)))


def test_a_lost_renewal_is_repeated_at_once() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    engine = bench.engines[bench.reserve_order[0]]
    bench.run(RESERVATION_TTL - RENEWAL_MARGIN - ms(50))
    engine.silent = True
    bench.run(ms(100))
    engine.silent = False
    case.assertTrue(bench.unanswered_orders)
    bench.lose_orders()
    bench.run(RENEWAL_RETRY_DELAY + ms(50))
    until = max(ticket.until for ticket in engine.reservations.values())
    case.assertGreater(until - bench.clock.monotonic(), RESERVATION_TTL - ms(200))


def test_memory_of_a_host_that_lost_power_is_not_renewed() -> None:
    """Other engines hold memory for a host that is gone, beyond what is allowed.

    It loses power shortly before the renewals, and only a time-out shows that.
    """
    for before in (ms(1), ms(100), ms(1000)):
        bench = reserving_bench()
        submit_huge(bench)
        host = bench.engines[bench.last_dispatch("r").endpoint]
        bench.run(RESERVATION_TTL - RENEWAL_MARGIN - before)
        host.silent = True
        lost_at = bench.clock.monotonic()
        while bench.clock.monotonic() - lost_at < LEAK:
            bench.run(ms(250))
            bench.lose_orders(GangStepFailure.UNREACHED)
        others = {name: e for name, e in bench.held().items() if e != host.name}
        case.assertEqual({}, others, before)


def test_an_unreachable_engine_is_avoided_and_the_request_placed_at_once() -> None:
    bench = reserving_bench()
    submit_huge(bench, "probe")
    dead = bench.reserve_order[1]
    bench = reserving_bench()
    bench.engines[dead].silent = True
    submit_huge(bench)
    bench.lose_orders(GangStepFailure.UNREACHED)
    health = bench.kernel.plugin(FleetView).endpoints[EndpointId(dead)]
    case.assertFalse(health.view(bench.clock.monotonic()).usable)
    bench.run(ms(50))
    case.assertNotIn(dead, bench.held().values())
    case.assertEqual(set(bench.held()), set(reservation_ids(bench.last_dispatch("r"))))


def test_each_attempt_has_ids_of_its_own() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    first = set(reservation_ids(bench.last_dispatch("r")))
    bench.fail_attempt("r")
    case.assertEqual({}, bench.held())
    bench.run(ms(300))
    second = set(reservation_ids(bench.last_dispatch("r")))
    case.assertEqual(2, len(bench.dispatches("r")))
    case.assertEqual(set(), first & second)
    case.assertEqual(second, set(bench.held()))


def test_another_incarnation_has_other_ids() -> None:
    ids: set[str] = set()
    for seed in range(3):
        bench = reserving_bench(seed=seed)
        submit_huge(bench)
        found = set(reservation_ids(bench.last_dispatch("r")))
        case.assertEqual(set(), ids & found)
        ids |= found


def test_the_engine_at_fault_is_suspected_and_not_its_host() -> None:
    bench = reserving_bench()
    submit_huge(bench)
    dispatch = bench.last_dispatch("r")
    at_fault = dispatch.helpers[-1]
    bench.fail_attempt("r", at_fault.address)
    fleet = bench.kernel.plugin(FleetView)
    now = bench.clock.monotonic()
    suspects = {n for n, b in fleet.endpoints.items() if b.view(now).suspect}
    case.assertEqual({at_fault.endpoint}, suspects)


def test_held_memory_is_published_to_peers() -> None:
    """Otherwise a peer would assign the same memory to its own requests."""
    bench = reserving_bench()
    submit_huge(bench)
    work = bench.kernel.plugin(WorkPlacer).load_tracker.own[RequestId("r")]
    numbered = replace(work, request=RequestId("7"))
    published = work_note(numbered, bench.clock.monotonic())
    case.assertEqual(
        {(held.endpoint, held.tokens) for held in work.held},
        {(part.helper, part.tokens) for part in published.held},
    )
    case.assertGreaterEqual(sum(part.tokens for part in published.held), HUGE)


def delayed_retry(bench: ReservingBench, retries: int) -> ServiceRetryBudget:
    """Reject a call and delay its next reservation until its charge has expired.

    Parameters
    ----------
    retries : int
        Retries of other calls that are sent meanwhile.
    """
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.0, 2.0
    submit_huge(bench)
    bench.delayed_answers = []
    bench.fail_attempt("r")
    bench.run(ms(50))
    own = policy.budget(POOL)
    case.assertEqual(1, own.counted_retries())
    bench.run(ms(400))
    for number in range(retries):
        own.count_retry(RequestId(f"o{number}"), bench.clock.monotonic())
    bench.deliver_delayed_answers()
    return own


def test_a_retry_that_waited_for_memory_is_counted_when_it_is_sent() -> None:
    """A retry with a slow reservation is counted once, when it is sent.

    Counting it also when the reservation starts would use up budget of other calls;
    counting it only then would charge another window.
    """
    bench = reserving_bench()
    own = delayed_retry(bench, retries=1)
    case.assertEqual(2, len(bench.dispatches("r")))
    case.assertEqual(2, own.counted_retries())
    case.assertEqual(bench.clock.monotonic(), own.sent_at[RequestId("r")])


def test_a_retry_that_waited_for_memory_needs_budget_when_it_is_sent() -> None:
    """A retry that waited for memory is checked against the budget again.

    Other retries may have used the budget while its memory was being reserved.
    """
    bench = reserving_bench()
    own = delayed_retry(bench, retries=2)
    case.assertEqual(1, len(bench.dispatches("r")))
    case.assertIsNotNone(bench.conclusion("r"))
    case.assertEqual(2, own.counted_retries())
    assert_no_state_left(bench)


class Reserving(RuleBasedStateMachine):
    """Requests start, end and fail while engines fill up, stall and recover."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = reserving_bench(engines=5)
        self.made = 0

    def running(self) -> list[str]:
        """Return the requests that an engine runs, oldest first."""
        gangs = self.bench.kernel.plugin(MemoryKeeper).gangs
        return [name for name in gangs if self.bench.dispatches(name)]

    @rule(prompt=st.integers(410_000, 1_500_000))
    def submit(self, prompt: int) -> None:
        """Submit a huge prompt."""
        self.made += 1
        now = self.bench.clock.monotonic()
        self.bench.serve(Submit(huge_request(f"r{self.made}", now, prompt)))

    @rule()
    def finish(self) -> None:
        """Finish the oldest response."""
        for name in self.running()[:1]:
            attempt = self.bench.last_dispatch(name).attempt
            self.bench.serve(AttemptFinished(RequestId(name), attempt))

    @rule()
    def refuse(self) -> None:
        """Reject the newest attempt."""
        for name in self.running()[-1:]:
            self.bench.fail_attempt(name)

    @rule()
    def leave(self) -> None:
        """Disconnect the newest caller."""
        self.bench.serve(CallerGone(RequestId(f"r{self.made}")))

    @rule(which=st.integers(0, 4), taken=st.sampled_from((0, 200_000, MEMORY)))
    def fill(self, which: int, taken: int) -> None:
        """Let others take or free memory, up to the free amount."""
        engine = self.bench.engines[f"e{which}"]
        engine.taken = min(taken, engine.free + engine.taken)

    @rule(which=st.integers(0, 4), silent=st.booleans())
    def set_silent(self, which: int, silent: bool) -> None:
        """Make an engine stop or resume answering."""
        self.bench.engines[f"e{which}"].silent = silent

    @rule(time=st.integers(1, 40))
    def wait(self, time: int) -> None:
        """Advance time and fail unanswered orders."""
        self.bench.run(ms(50 * time))
        self.bench.lose_orders()

    @rule(time=st.integers(1, 100))
    def freeze(self, time: int) -> None:
        """Freeze the instance."""
        self.bench.run(ms(50 * time), ticking=False)

    @invariant()
    def reservation_ids_are_unique(self) -> None:
        """Check that no reservation id is used by two attempts."""
        used = [t for d in self.bench.emitted(Dispatch) for t in reservation_ids(d)]
        assert len(used) == len(set(used)), used

    @invariant()
    def no_memory_is_held_for_ended_requests(self) -> None:
        """Check that nothing is held for a request that has ended."""
        gangs = self.bench.kernel.plugin(MemoryKeeper).gangs.values()
        wanted = {str(t.reservation_id) for gang in gangs for t in gang.reservations}
        for engine in self.bench.engines.values():
            unwanted = set(engine.reservations) - wanted
            lost = {o.holding_id for o in self._lost_releases()}
            assert unwanted <= lost, unwanted - lost

    def _lost_releases(self) -> list[FreeOwnHolding]:
        return [
            o for o in self.bench.unanswered_orders if isinstance(o, FreeOwnHolding)
        ]

    def teardown(self) -> None:
        """Let all remaining requests end and check that no state is left."""
        for engine in self.bench.engines.values():
            engine.silent = False
        self.bench.run(timedelta(seconds=20))
        assert_no_state_left(self.bench)


def test_no_sequence_of_events_leaks_memory() -> None:
    explore(Reserving, examples=40, steps=25)


load_tests = function_tests(__name__)
