"""Behaviour of the kernel during shutdown."""

from contextlib import AbstractContextManager

from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.messages.attempts import FirstToken
from mimosafork.kernel.messages.dispatch import CancelAttempt
from mimosafork.kernel.messages.lifecycle import DrainBegun, StopNow
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.peers import AnnounceDrain
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from tests.support.functions import function_tests
from tests.support.kernels import Bench, engine_entry, model_request, running_kernel


def stopping_kernel(engines: int = 1) -> AbstractContextManager[Bench]:
    """Return a context manager of a kernel with the simplest plug-ins."""
    plugins = [KnownTarget(), LeastRequests(), FirstCome(), BoundedRetry()]
    return running_kernel(plugins, [engine_entry(f"e{n}") for n in range(engines)])


def test_drain_is_announced_and_requests_are_still_accepted() -> None:
    """The load balancer keeps sending requests for some seconds after a drain begins.

    Refusing them would fail these requests at every planned shutdown.
    """
    with stopping_kernel() as bench:
        bench.handle(DrainBegun())
        assert len(bench.emitted(AnnounceDrain)) == 1
        assert bench.kernel.state.draining
        bench.submit(model_request("late"))
        assert len(bench.dispatches("late")) == 1


def test_stop_ends_each_request_with_its_known_outcome() -> None:
    """Open requests end with their known outcome at the end of the grace period.

    A waiting request was not run, one that has a first token has failed, and one
    that its engine has not answered yet is unknown.
    """
    with stopping_kernel() as bench:
        bench.submit(model_request("begun"))
        bench.handle(FirstToken(RequestId("begun"), AttemptNumber(1)))
        bench.submit(model_request("silent"))
        for entry in list(bench.kernel.state.fleet.endpoints):
            bench.kernel.state.fleet.remove(entry)
        bench.submit(model_request("waiting"))
        bench.handle(StopNow())
        outcomes = {}
        for name in ("begun", "silent", "waiting"):
            conclusion = bench.conclusion(name)
            assert conclusion is not None and conclusion.problem is not None
            assert conclusion.problem.code is ProblemCode.SHUTTING_DOWN
            assert conclusion.problem.retry_after is not None
            outcomes[name] = conclusion.outcome
        assert outcomes == {
            "begun": Outcome.FAILED,
            "silent": Outcome.UNKNOWN,
            "waiting": Outcome.NOT_RUN,
        }
        cancelled = {each.request_id for each in bench.emitted(CancelAttempt)}
        assert cancelled == {"begun", "silent"}


def test_requests_are_rejected_after_a_stop() -> None:
    with stopping_kernel() as bench:
        bench.handle(StopNow())
        bench.submit(model_request("too-late"))
        conclusion = bench.conclusion("too-late")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN


load_tests = function_tests(__name__)
