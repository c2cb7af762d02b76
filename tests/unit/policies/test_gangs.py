"""Gangs run prompts beyond one engine's memory and release all their holdings."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.messages.attempts import AttemptFinished, Exposure, RetryDue
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.fleet import InstancesListed
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ImportKv,
    KvImported,
    MemoryReserved,
    PrefillSegment,
    ReserveMemory,
    SegmentFailed,
    SegmentPrefilled,
)
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import CallerGone, Repeatability
from mimosafork.policies.gangs.placer import MAX_GANG_FAILURES, GangPlacer
from mimosafork.policies.prediction import Prediction
from tests.support.functions import function_tests
from tests.support.gang_engines import GangEngines
from tests.support.kernels import Bench, attempt_failure, engine_entry, model_request
from tests.support.policies import ADMITTED, policy_kernel

NAMES = ("e1", "e2", "e3", "e4")
FLEET = [engine_entry(name) for name in NAMES]
HUGE = 900_000
HOUR = timedelta(hours=1)


@contextmanager
def gang_fleet() -> Iterator[tuple[Bench, GangEngines]]:
    """Provide a kernel and four engines that can hold a huge prompt together."""
    with policy_kernel((*ADMITTED, "gangs"), FLEET) as bench:
        yield bench, GangEngines(bench)


def check_all_released(bench: Bench, engines: GangEngines) -> None:
    """Check that no engine and no plug-in holds anything for a gang."""
    assert not engines.held, engines.held
    assert not bench.kernel.plugin(GangPlacer).gangs
    loads = bench.kernel.plugin(Prediction).loads.values()
    assert not any(load.sent for load in loads)


def retry_gang(bench: Bench, engines: GangEngines, seconds: float = 2.0) -> None:
    """Advance past the pause of a failed gang, with new reports."""
    bench.clock.advance(timedelta(seconds=seconds))
    for name in NAMES:
        bench.report(name)
    engines.serve(bench.handle(Tick()))


def test_huge_prompt_runs_in_parts_and_leaves_nothing() -> None:
    with gang_fleet() as (bench, engines):
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        segments = bench.emitted(PrefillSegment)
        (last,) = bench.dispatches("r")
        firsts = [each.first for each in segments]
        ends = [each.first + each.tokens for each in segments]
        assert firsts == [0, *ends[:-1]]
        assert last.imported_tokens == ends[-1]
        assert last.imported_tokens < HUGE
        assert last.reservation is not None
        assert len(last.imports) == 1
        assert bench.emitted(ImportKv)[0].source == segments[0].address
        assert engines.held, "the exports must stay while the answer runs"
        engines.serve(bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1))))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.COMPLETED
        check_all_released(bench, engines)


def test_members_are_reserved_in_the_order_of_their_ids() -> None:
    with gang_fleet() as (bench, engines):
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        assert engines.order == sorted(engines.order)
        assert len(set(engines.order)) >= 3


def test_prompt_beyond_the_fleet_is_refused_at_once() -> None:
    """A caller waits for an hour for a prompt that does not fit into the fleet."""
    fleet = [engine_entry("e1"), engine_entry("e2")]
    with policy_kernel((*ADMITTED, "gangs"), fleet) as bench:
        bench.submit(model_request("r", HUGE, HOUR))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN
        assert conclusion.problem is not None
        assert conclusion.problem.code is ProblemCode.PROMPT_TOO_LONG
        assert conclusion.problem.retry_after is None
        assert not bench.emitted(ReserveMemory)


def test_refused_reservation_frees_the_others_and_is_tried_again() -> None:
    """A gang holds three engines and waits for a fourth that is never free.

    The last engine refuses. All reservations have to be freed at once, and the request
    is queued without holdings.
    """
    with gang_fleet() as (bench, engines):
        engines.hold("e4", "somebody's", 399_000)
        engines.serve(bench.submit(model_request("r", 1_000_000, HOUR)))
        assert not bench.dispatches("r")
        assert bench.emitted(FreeOwnHolding)
        assert set(engines.held) == {"somebody's"}
        engines.by_engine["e4"].clear()
        retry_gang(bench, engines)
        assert len(bench.dispatches("r")) == 1


def test_two_concurrent_gangs_do_not_deadlock() -> None:
    """Two gangs each hold half of the engines and wait for the other half.

    Both need engines that can hold only one of them, and their steps alternate. One
    completes; the other one holds nothing meanwhile and completes after it.
    """
    with gang_fleet() as (bench, engines):
        engines.holding_back = {ReserveMemory}
        for name in ("r1", "r2"):
            engines.serve(bench.submit(model_request(name, HUGE, HOUR)))
        for _ in range(40):
            if engines.held_back:
                engines.release_one()
        engines.holding_back.clear()
        placed = [name for name in ("r1", "r2") if bench.dispatches(name)]
        assert len(placed) <= 1
        for _ in range(10):
            retry_gang(bench, engines)
            for name in ("r1", "r2"):
                if bench.dispatches(name) and bench.conclusion(name) is None:
                    done = AttemptFinished(RequestId(name), AttemptNumber(1))
                    engines.serve(bench.handle(done))
        for name in ("r1", "r2"):
            conclusion = bench.conclusion(name)
            assert conclusion is not None, name
            assert conclusion.outcome is Outcome.COMPLETED
        check_all_released(bench, engines)


def test_member_that_restarts_between_reserve_and_prefill() -> None:
    """A request never ends: its next segment waits for an engine that was restarted.

    The list shows a new incarnation of a reserved member while the first segment is
    still being prefilled elsewhere.
    """
    with gang_fleet() as (bench, engines):
        engines.holding_back = {PrefillSegment}
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        (prefill,) = engines.held_back
        assert isinstance(prefill, PrefillSegment)
        members = {effect.endpoint for effect in bench.emitted(ReserveMemory)}
        died = max(members - {prefill.endpoint})
        engines.by_engine[died] = {}
        entries = [
            engine_entry(name, incarnation=2 if name == died else 1) for name in NAMES
        ]
        bench.handle(InstancesListed(tuple(entries), ()))
        engines.held_back.clear()
        engines.serve(bench.handle(Tick()))
        check_all_released(bench, engines)
        assert bench.conclusion("r") is None
        assert bench.kernel.state.requests[RequestId("r")].state.value == "waiting"


def test_expired_reservation_is_a_failure_like_any_other() -> None:
    """A prefill is refused because its reservation has expired, and holdings leak.

    This happens when a paused entry instance resumes after the engines have freed its
    reservations.
    """
    with gang_fleet() as (bench, engines):
        engines.holding_back = {PrefillSegment}
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        (prefill,) = engines.held_back
        assert isinstance(prefill, PrefillSegment)
        engines.held_back.clear()
        refused = SegmentFailed(
            RequestId("r"),
            prefill.stream_id,
            GangStepFailure.NO_MEMORY,
            Exposure.REFUSED,
        )
        engines.serve(bench.handle(refused))
        check_all_released(bench, engines)
        engines.holding_back.clear()
        retry_gang(bench, engines)
        assert len(bench.dispatches("r")) == 1


def test_reservations_last_for_earlier_segments_and_not_past_the_deadline() -> None:
    with gang_fleet() as (bench, engines):
        deadline = timedelta(minutes=20)
        engines.serve(bench.submit(model_request("r", HUGE, deadline)))
        times_to_live = [each.time_to_live for each in bench.emitted(ReserveMemory)]
        assert times_to_live == sorted(times_to_live)
        assert times_to_live[0] == timedelta(seconds=10)
        assert timedelta(seconds=30) < times_to_live[-1] < deadline


def test_failure_of_any_step_frees_all_holdings() -> None:
    """Engines leak memory with every gang that fails half-way, until none is left.

    Each kind of step fails in turn until the request ends.
    """
    for kind in (ReserveMemory, ImportKv):
        for failure in GangStepFailure:
            with gang_fleet() as (bench, engines):
                engines.failing[kind] = failure
                engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
                check_all_released(bench, engines)
                for _ in range(MAX_GANG_FAILURES):
                    retry_gang(bench, engines)
                check_all_released(bench, engines)
                conclusion = bench.conclusion("r")
                if failure is GangStepFailure.NO_MEMORY:
                    assert conclusion is None
                    continue
                assert conclusion is not None, (kind, failure)
                is_reserve = kind is ReserveMemory
                expected = Outcome.NOT_RUN if is_reserve else Outcome.FAILED
                assert conclusion.outcome is expected


def test_request_with_a_prefilled_segment_is_not_reported_as_not_run() -> None:
    """A caller gets "not run" although an engine has prefilled half of the prompt."""
    with gang_fleet() as (bench, engines):
        engines.failing[ImportKv] = GangStepFailure.LOST
        request = model_request(
            "r", HUGE, HOUR, repeatability=Repeatability.NON_IDEMPOTENT
        )
        engines.serve(bench.submit(request))
        engines.serve(bench.handle(CallerGone(RequestId("r"))))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.UNKNOWN


def test_caller_gone_and_deadline_free_all_parts() -> None:
    for kind in (ReserveMemory, PrefillSegment, ImportKv):
        for step in ("gone", "deadline"):
            with gang_fleet() as (bench, engines):
                engines.holding_back = {kind}
                engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
                assert engines.held_back
                if step == "gone":
                    engines.serve(bench.handle(CallerGone(RequestId("r"))))
                else:
                    engines.serve(bench.handle_after(HOUR, Tick()))
                assert bench.conclusion("r") is not None
                check_all_released(bench, engines)


def test_exports_of_late_answers_are_freed() -> None:
    """An export stays until the deadline if its answer arrives too late."""
    with gang_fleet() as (bench, engines):
        engines.holding_back = {PrefillSegment}
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        (prefill,) = engines.held_back
        assert isinstance(prefill, PrefillSegment)
        answers = engines.answer(prefill)
        engines.serve(bench.handle(CallerGone(RequestId("r"))))
        assert engines.held
        for answer in answers:
            assert isinstance(answer, SegmentPrefilled)
            engines.serve(bench.handle(answer))
        late = [
            MemoryReserved(RequestId("r"), prefill.reservation),
            KvImported(RequestId("r"), prefill.reservation),
        ]
        for message in late:
            engines.serve(bench.handle(message))
        check_all_released(bench, engines)


def test_failed_last_attempt_frees_the_exports_and_begins_anew() -> None:
    with gang_fleet() as (bench, engines):
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        assert engines.held
        engines.serve(bench.handle(attempt_failure("r")))
        check_all_released(bench, engines)
        engines.serve(bench.handle(RetryDue(RequestId("r"))))
        retry_gang(bench, engines)
        assert len(bench.dispatches("r")) == 2
        engines.serve(bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(2))))
        check_all_released(bench, engines)


def test_long_share_bounds_what_a_gang_takes_of_each_engine() -> None:
    many = [engine_entry(f"e{number:02}") for number in range(10)]
    with policy_kernel((*ADMITTED, "gangs"), many) as bench:
        engines = GangEngines(bench)
        engines.serve(bench.submit(model_request("r", HUGE, HOUR)))
        assert len(bench.dispatches("r")) == 1
        assert max(engines.most_held.values()) <= 0.5 * 400_000


def test_prompt_that_fits_on_one_engine_uses_no_gang() -> None:
    with gang_fleet() as (bench, _):
        bench.submit(model_request("r", 300_000, HOUR))
        assert len(bench.dispatches("r")) == 1
        assert not bench.emitted(ReserveMemory)


load_tests = function_tests(__name__)
