"""Memory for prompts beyond one engine is reserved whole, and left nowhere."""

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
from mimosafork.gateway.policies.reserving import (
    RENEWAL_MARGIN,
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
"""Memory must not stay set aside for longer after its last use."""


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def begun(bench: ReservingBench, name: str = "r") -> None:
    bench.serve(Submit(huge_request(name, bench.clock.monotonic())))


def nothing_kept(bench: ReservingBench) -> None:
    """Check that neither engines nor plug-ins hold anything."""
    case.assertEqual({}, bench.held())
    case.assertEqual({}, bench.kernel.plugin(MemoryKeeper).gangs)
    case.assertEqual({}, bench.kernel.plugin(WorkPlacer).load_tracker.own)


def tickets_of(dispatch: Dispatch) -> list[str]:
    return [str(h.reservation) for h in dispatch.helpers if h.reservation is not None]


def test_all_memory_is_held_before_the_request_is_sent() -> None:
    bench = reserving_bench()
    begun(bench)
    dispatch = bench.last_dispatch("r")
    held = bench.held()
    case.assertEqual(set(held), set(tickets_of(dispatch)))
    tokens = [t.tokens for e in bench.engines.values() for t in e.reservations.values()]
    case.assertGreaterEqual(sum(tokens), HUGE)
    case.assertLess(max(tokens), MEMORY)
    by_name = {h.reservation: h for h in dispatch.helpers}
    for ticket, engine in held.items():
        case.assertEqual(address_of(engine), by_name[ticket].address)  # type: ignore[index]


def test_the_hosts_own_memory_is_named_first() -> None:
    bench = reserving_bench()
    begun(bench)
    dispatch = bench.last_dispatch("r")
    named = [helper.endpoint for helper in dispatch.helpers]
    case.assertEqual(len(named), len(set(named)))
    case.assertEqual(dispatch.endpoint, named[0])
    holds = [helper.reservation is not None for helper in dispatch.helpers]
    case.assertEqual(sorted(holds, reverse=True), holds)


def test_engines_are_asked_in_the_same_order_by_all() -> None:
    for seed in range(5):
        bench = reserving_bench(seed=seed)
        begun(bench)
        case.assertEqual(sorted(bench.reserve_order), bench.reserve_order)


def test_a_prompt_that_fits_reserves_nothing() -> None:
    bench = reserving_bench()
    bench.serve(Submit(huge_request("r", prompt=300_000)))
    case.assertEqual([], bench.emitted(ReserveMemory))
    case.assertTrue(bench.dispatches("r"))


def test_memory_is_renewed_rarely_and_freed_at_the_end() -> None:
    bench = reserving_bench()
    begun(bench)
    bench.serve(FirstToken(RequestId("r"), first_attempt()))
    count = len(bench.held())
    bench.run(RESERVATION_TTL * 3)
    case.assertEqual(count, len(bench.held()))
    case.assertLessEqual(len(bench.emitted(ReserveMemory)), count * 8)
    bench.serve(AttemptFinished(RequestId("r"), first_attempt()))
    nothing_kept(bench)


def test_a_caller_that_leaves_while_memory_is_reserved_frees_it() -> None:
    """The caller hangs up between the first and the second order.

    The answer to the first comes after the request has ended; it must not go on.
    """
    bench = reserving_bench()
    bench.delayed_answers = []
    begun(bench)
    bench.serve(CallerGone(RequestId("r")))
    bench.deliver_delayed_answers()
    nothing_kept(bench)
    case.assertEqual([], bench.dispatches("r"))


def test_a_caller_that_leaves_amid_the_answer_frees_it() -> None:
    bench = reserving_bench()
    begun(bench)
    bench.serve(CallerGone(RequestId("r")))
    nothing_kept(bench)


def test_a_stop_frees_it() -> None:
    bench = reserving_bench()
    begun(bench)
    begun(bench, "s")
    bench.serve(StopNow())
    nothing_kept(bench)


def test_the_deadline_frees_it() -> None:
    bench = reserving_bench()
    begun(bench)
    bench.run(timedelta(seconds=16))
    case.assertIsNotNone(bench.conclusion("r"))
    nothing_kept(bench)


def test_a_refusal_at_one_engine_frees_the_others_and_it_is_placed_anew() -> None:
    """An engine has less memory than its load tells, as others have just taken it.

    The first engines of the gang have reserved by then; they must not wait.
    """
    bench = reserving_bench()
    begun(bench, "probe")
    full = bench.reserve_order[1]
    bench.serve(CallerGone(RequestId("probe")))
    bench = reserving_bench()
    bench.engines[full].taken = MEMORY
    begun(bench)
    case.assertEqual({}, bench.held())
    case.assertEqual([], bench.dispatches("r"))
    case.assertEqual({}, bench.kernel.plugin(WorkPlacer).load_tracker.own)
    bench.run(ms(400))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(tickets_of(dispatch)))
    case.assertNotIn(full, bench.held().values())


def test_a_request_that_finds_no_memory_is_refused_in_time() -> None:
    bench = reserving_bench()
    for engine in bench.engines.values():
        engine.taken = MEMORY
    begun(bench)
    bench.run(timedelta(seconds=5))
    ended = bench.conclusion("r")
    assert ended is not None
    case.assertIs(Outcome.NOT_RUN, ended.outcome)
    case.assertLess(len(bench.emitted(ReserveMemory)), 40)
    nothing_kept(bench)


def test_a_silent_engine_is_asked_again_then_left_out() -> None:
    """An engine answers no order. Those that answered must not be held for long."""
    bench = reserving_bench()
    begun(bench, "probe")
    silent = bench.reserve_order[-1]
    bench = reserving_bench()
    bench.engines[silent].silent = True
    begun(bench)
    for _ in range(5):
        bench.run(ms(250))
        bench.lose_orders()
    case.assertGreater(bench.reserve_order.count(silent), 2)
    bench.run(ms(500))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(tickets_of(dispatch)))
    case.assertNotIn(silent, {helper.endpoint for helper in dispatch.helpers})
    released = [o for o in bench.unanswered_orders if isinstance(o, FreeOwnHolding)]
    case.assertTrue(released, "what may have been carried out must be released")


def test_an_order_without_an_answer_is_repeated_under_another_id() -> None:
    """An order is lost, repeated and answered, and the request is sent.

    Five seconds later the first order is carried out after all. Its time counts from
    its arrival, so under the same id it would end the memory that is in use, and the
    answer would break off.
    """
    bench = reserving_bench()
    begun(bench, "probe")
    lossy = bench.engines[bench.reserve_order[0]].name
    bench = reserving_bench()
    engine = bench.engines[lossy]
    engine.silent = True
    begun(bench)
    lost = bench.emitted(ReserveMemory)[0]
    engine.silent = False
    bench.lose_orders()
    dispatch = bench.last_dispatch("r")
    case.assertNotIn(str(lost.reservation), tickets_of(dispatch))
    released = {free.holding_id for free in bench.emitted(FreeOwnHolding)}
    case.assertEqual({str(lost.reservation)}, released)
    bench.run(timedelta(seconds=5))
    engine.reserve(lost, bench.clock.monotonic(), late=timedelta(seconds=5))
    bench.run(ms(50))
    case.assertEqual(set(bench.held()), set(tickets_of(dispatch)))


def test_an_order_that_is_carried_out_late_ends_by_itself() -> None:
    """A lost order is carried out seconds later, after its release.

    Nobody knows of that memory; only its short time frees it.
    """
    bench = reserving_bench()
    begun(bench)
    late = bench.emitted(ReserveMemory)[0]
    bench.serve(CallerGone(RequestId("r")))
    bench.run(timedelta(seconds=6))
    bench.engines[late.endpoint].reserve(late, bench.clock.monotonic())
    bench.run(LEAK)
    nothing_kept(bench)


def test_a_killed_instance_leaves_nothing_behind() -> None:
    """The process dies amid an answer, or between two reservations."""
    for amid_answer in (True, False):
        bench = reserving_bench()
        bench.delayed_answers = None if amid_answer else []
        begun(bench)
        bench.run(timedelta(seconds=2) if amid_answer else ms(50))
        bench.run(LEAK, ticking=False)
        case.assertEqual({}, bench.held())


def test_a_frozen_instance_looks_again_before_it_sends() -> None:
    """The process stands still between the last reservation and the request.

    All memory has run out meanwhile, and others may have it. A request sent then
    would be refused at best.
    """
    bench = reserving_bench()
    bench.delayed_answers = []
    begun(bench)
    bench.run(RESERVATION_TTL, ticking=False)
    bench.deliver_delayed_answers()
    case.assertEqual([], bench.dispatches("r"))
    bench.run(ms(400))
    dispatch = bench.last_dispatch("r")
    case.assertEqual(set(bench.held()), set(tickets_of(dispatch)))


def test_an_engine_that_leaves_while_memory_is_reserved_gets_nothing() -> None:
    """An engine says that it leaves between the first order and the request.

    It was chosen before, as host or to help, and has reserved its part. Slow orders
    add up to a second, so the request would come when the engine is about to exit.
    """
    for which in range(3):
        bench = reserving_bench()
        bench.delayed_answers = []
        begun(bench)
        gang = bench.kernel.plugin(MemoryKeeper).gangs[RequestId("r")]
        engines = [gang.place.host, *(h.endpoint for h in gang.place.helpers)]
        leaving = engines[which]
        bench.serve(EndpointLeaving(leaving, final=True))
        bench.deliver_delayed_answers()
        bench.run(ms(400))
        dispatch = bench.last_dispatch("r")
        sent_to = {dispatch.endpoint, *(h.endpoint for h in dispatch.helpers)}
        case.assertNotIn(leaving, sent_to)
        case.assertEqual(set(bench.held()), set(tickets_of(dispatch)))


def test_what_has_run_out_is_not_reserved_anew() -> None:
    """The process stands still amid an answer, until all memory has run out.

    The engine has cut the request off. To renew now would set memory aside that
    nobody uses.
    """
    bench = reserving_bench()
    begun(bench)
    bench.run(RESERVATION_TTL + ms(100), ticking=False)
    before = len(bench.emitted(ReserveMemory))
    bench.serve(Tick())
    case.assertEqual(before, len(bench.emitted(ReserveMemory)))
    case.assertEqual({}, bench.held())


def test_memory_of_a_short_answer_is_never_renewed() -> None:
    """A renewal that is carried out late takes back the time of a later one.

    So there should be none where there need not be.
    """
    bench = reserving_bench()
    begun(bench)
    first = len(bench.emitted(ReserveMemory))
    bench.run(timedelta(seconds=2.5))
    case.assertEqual(first, len(bench.emitted(ReserveMemory)))


def test_a_lost_renewal_is_repeated_at_once() -> None:
    bench = reserving_bench()
    begun(bench)
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


def test_a_dead_engine_is_left_alone_by_all_and_the_request_placed_at_once() -> None:
    bench = reserving_bench()
    begun(bench, "probe")
    dead = bench.reserve_order[1]
    bench = reserving_bench()
    bench.engines[dead].silent = True
    begun(bench)
    bench.lose_orders(GangStepFailure.UNREACHED)
    belief = bench.kernel.plugin(FleetView).endpoints[EndpointId(dead)]
    case.assertFalse(belief.view(bench.clock.monotonic()).usable)
    bench.run(ms(50))
    case.assertNotIn(dead, bench.held().values())
    case.assertEqual(set(bench.held()), set(tickets_of(bench.last_dispatch("r"))))


def test_each_attempt_has_ids_of_its_own() -> None:
    bench = reserving_bench()
    begun(bench)
    first = set(tickets_of(bench.last_dispatch("r")))
    bench.fail_attempt("r")
    case.assertEqual({}, bench.held())
    bench.run(ms(300))
    second = set(tickets_of(bench.last_dispatch("r")))
    case.assertEqual(2, len(bench.dispatches("r")))
    case.assertEqual(set(), first & second)
    case.assertEqual(second, set(bench.held()))


def test_another_life_under_the_same_name_has_other_ids() -> None:
    ids: set[str] = set()
    for seed in range(3):
        bench = reserving_bench(seed=seed)
        begun(bench)
        found = set(tickets_of(bench.last_dispatch("r")))
        case.assertEqual(set(), ids & found)
        ids |= found


def test_the_engine_at_fault_is_suspected_and_not_its_host() -> None:
    bench = reserving_bench()
    begun(bench)
    dispatch = bench.last_dispatch("r")
    at_fault = dispatch.helpers[-1]
    bench.fail_attempt("r", at_fault.address)
    fleet = bench.kernel.plugin(FleetView)
    now = bench.clock.monotonic()
    suspects = {n for n, b in fleet.endpoints.items() if b.view(now).suspect}
    case.assertEqual({at_fault.endpoint}, suspects)


def test_peers_are_told_whose_memory_is_held() -> None:
    """A peer that didn't know would promise the same memory to its own requests."""
    bench = reserving_bench()
    begun(bench)
    work = bench.kernel.plugin(WorkPlacer).load_tracker.own[RequestId("r")]
    numbered = replace(work, request=RequestId("7"))
    told = work_note(numbered, bench.clock.monotonic())
    case.assertEqual(
        {(held.endpoint, held.tokens) for held in work.held},
        {(part.helper, part.tokens) for part in told.held},
    )
    case.assertGreaterEqual(sum(part.tokens for part in told.held), HUGE)


def held_up_repeat(bench: ReservingBench, repeats: int) -> ServiceRetryBudget:
    """Have a call refused and its memory reserved again, for longer than it is paid.

    Parameters
    ----------
    repeats : int
        Of other calls, which are sent meanwhile.
    """
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.0, 2.0
    begun(bench)
    bench.delayed_answers = []
    bench.fail_attempt("r")
    bench.run(ms(50))
    own = policy.budget(POOL)
    case.assertEqual(1, own.counted_retries())
    bench.run(ms(400))
    for number in range(repeats):
        own.count_retry(RequestId(f"o{number}"), bench.clock.monotonic())
    bench.deliver_delayed_answers()
    return own


def test_a_repeat_that_waited_for_memory_is_counted_when_it_is_sent() -> None:
    """Other calls are refused their repeats though the budget has room.

    Memory for a repeat was reserved slowly, in several steps. It was counted when they
    began and again when it was sent, or only when they began: in another window.
    """
    bench = reserving_bench()
    own = held_up_repeat(bench, repeats=1)
    case.assertEqual(2, len(bench.dispatches("r")))
    case.assertEqual(2, own.counted_retries())
    case.assertEqual(bench.clock.monotonic(), own.sent_at[RequestId("r")])


def test_a_repeat_that_waited_for_memory_needs_room_when_it_is_sent() -> None:
    """Engines are sent more repeats than they may be, after waiting for memory.

    A repeat had room when its memory began to be reserved. Others took the room before
    all of it was.
    """
    bench = reserving_bench()
    own = held_up_repeat(bench, repeats=2)
    case.assertEqual(1, len(bench.dispatches("r")))
    case.assertIsNotNone(bench.conclusion("r"))
    case.assertEqual(2, own.counted_retries())
    nothing_kept(bench)


class Reserving(RuleBasedStateMachine):
    """Requests come, end and fail while engines fill up, fall silent and recover."""

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
        """Let a huge prompt come."""
        self.made += 1
        now = self.bench.clock.monotonic()
        self.bench.serve(Submit(huge_request(f"r{self.made}", now, prompt)))

    @rule()
    def finish(self) -> None:
        """Let the oldest answer be whole."""
        for name in self.running()[:1]:
            attempt = self.bench.last_dispatch(name).attempt
            self.bench.serve(AttemptFinished(RequestId(name), attempt))

    @rule()
    def refuse(self) -> None:
        """Have the newest attempt refused."""
        for name in self.running()[-1:]:
            self.bench.fail_attempt(name)

    @rule()
    def leave(self) -> None:
        """Let the newest caller hang up."""
        self.bench.serve(CallerGone(RequestId(f"r{self.made}")))

    @rule(which=st.integers(0, 4), taken=st.sampled_from((0, 200_000, MEMORY)))
    def fill(self, which: int, taken: int) -> None:
        """Let others take or free memory, as far as it is there."""
        engine = self.bench.engines[f"e{which}"]
        engine.taken = min(taken, engine.free + engine.taken)

    @rule(which=st.integers(0, 4), silent=st.booleans())
    def hush(self, which: int, silent: bool) -> None:
        """Let an engine stop or begin to answer."""
        self.bench.engines[f"e{which}"].silent = silent

    @rule(time=st.integers(1, 40))
    def wait(self, time: int) -> None:
        """Let time pass, and give up orders without an answer."""
        self.bench.run(ms(50 * time))
        self.bench.lose_orders()

    @rule(time=st.integers(1, 100))
    def freeze(self, time: int) -> None:
        """Let the instance stand still."""
        self.bench.run(ms(50 * time), ticking=False)

    @invariant()
    def nothing_is_sent_without_its_memory(self) -> None:
        """Check that ids of memory are never used by two attempts."""
        used = [t for d in self.bench.emitted(Dispatch) for t in tickets_of(d)]
        assert len(used) == len(set(used)), used

    @invariant()
    def engines_hold_only_what_somebody_wants(self) -> None:
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
        """Let all end that is left, and with it what is held."""
        for engine in self.bench.engines.values():
            engine.silent = False
        self.bench.run(timedelta(seconds=20))
        nothing_kept(self.bench)


def test_no_order_of_events_leaves_memory_behind() -> None:
    explore(Reserving, examples=40, steps=25)


load_tests = function_tests(__name__)
