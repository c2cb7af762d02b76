"""Requests that can't meet their deadline are refused at once, with a retry delay."""

from datetime import timedelta

from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from tests.support.functions import function_tests
from tests.support.kernels import Bench, engine_entry, model_request
from tests.support.policies import ADMITTED, policy_kernel, tick

TWO = [engine_entry("e1"), engine_entry("e2")]


def refused(bench: Bench, name: str) -> Problem:
    """Return the problem of a request; check that it was refused as not run."""
    conclusion = bench.conclusion(name)
    assert conclusion is not None
    assert conclusion.outcome is Outcome.NOT_RUN
    assert conclusion.problem is not None
    assert not bench.dispatches(name)
    return conclusion.problem


def test_request_with_enough_time_is_admitted() -> None:
    with policy_kernel(ADMITTED, TWO) as bench:
        bench.submit(model_request("r", 3_000, timedelta(seconds=10)))
        assert len(bench.dispatches("r")) == 1


def test_request_that_no_idle_engine_could_finish_gets_no_retry_delay() -> None:
    with policy_kernel(ADMITTED, TWO) as bench:
        bench.submit(model_request("r", 300_000, timedelta(seconds=5)))
        problem = refused(bench, "r")
        assert problem.code is ProblemCode.DEADLINE_UNREACHABLE
        assert problem.retry_after is None


def test_backlog_refuses_at_once_with_the_time_until_it_is_processed() -> None:
    """A caller waits half a minute for an answer that can't be in time.

    Both engines have a minute of work. The request is refused on submission, and the
    retry delay is about the time by which the backlog exceeds the deadline.
    """
    with policy_kernel(ADMITTED, TWO) as bench:
        for each in ("e1", "e2"):
            bench.report(each, waiting_prefill_tokens=1_800_000)
        emitted = bench.submit(model_request("r", 40_000, timedelta(seconds=20)))
        assert any(isinstance(effect, Conclude) for effect in emitted)
        problem = refused(bench, "r")
        assert problem.retry_after is not None
        pause_s = problem.retry_after.total_seconds()
        assert 40 <= pause_s <= 75, pause_s
        bench.clock.advance(problem.retry_after)
        for each in ("e1", "e2"):
            left = max(0, 1_800_000 - int(30_000 * pause_s))
            bench.report(each, waiting_prefill_tokens=left)
        deadline = bench.clock.monotonic() + timedelta(seconds=20)
        bench.submit(model_request("again", 40_000, deadline))
        assert bench.conclusion("again") is None


def test_queue_of_this_instance_counts() -> None:
    with policy_kernel(ADMITTED, TWO) as bench:
        for number in range(400):
            deadline = timedelta(seconds=12)
            bench.submit(model_request(f"r{number}", 3_000, deadline, max_tokens=10))
        concluded = [n for n in range(400) if bench.conclusion(f"r{n}") is not None]
        assert concluded, "an endless queue was admitted"
        assert concluded[0] > 60, concluded[0]
        assert len(concluded) > 100


def test_waiting_request_is_given_up_before_its_deadline() -> None:
    """The final answer comes only when the deadline has passed.

    The engine stays full. Once the remaining time is less than prefill and answer
    take, the request is refused without waiting longer.
    """
    with policy_kernel(ADMITTED, [engine_entry("e1")]) as bench:
        bench.report("e1", kv_used=399_900)
        bench.submit(model_request("r", 90_000, timedelta(seconds=20)))
        given_up_s = None
        for step in range(1, 100):
            tick(bench, 0.25)
            if bench.conclusion("r") is not None:
                given_up_s = step * 0.25
                break
        assert given_up_s is not None
        assert 8.0 < given_up_s < 19.0, given_up_s
        assert refused(bench, "r").code is ProblemCode.DEADLINE_UNREACHABLE


def test_observed_answer_time_is_part_of_the_prediction() -> None:
    with policy_kernel(ADMITTED, TWO) as bench:
        for number in range(80):
            name = f"r{number}"
            deadline = bench.clock.monotonic() + timedelta(minutes=5)
            bench.submit(model_request(name, 1_000, deadline))
            bench.handle(FirstToken(RequestId(name), AttemptNumber(1)))
            finished = AttemptFinished(RequestId(name), AttemptNumber(1))
            bench.handle_after(timedelta(seconds=20), finished)
            for each in ("e1", "e2"):
                bench.report(each)
        deadline = bench.clock.monotonic() + timedelta(seconds=10)
        bench.submit(model_request("late", 1_000, deadline))
        problem = refused(bench, "late")
        assert problem.code is ProblemCode.DEADLINE_UNREACHABLE


def test_request_with_high_max_tokens_is_admitted() -> None:
    """Every call of a client that sets a high `max_tokens` is refused.

    It requests 8192 tokens with the usual deadline of two minutes, and gets about a
    hundred tokens. An answer of 8192 tokens could not be finished in time.
    """
    with policy_kernel(ADMITTED, TWO) as bench:
        asked = timedelta(minutes=2)
        bench.submit(model_request("r", 1_000, asked, max_tokens=8_192))
        assert len(bench.dispatches("r")) == 1


load_tests = function_tests(__name__)
