"""Retry decisions after one failed attempt."""

from datetime import timedelta

from mimosafork.ids import RequestId
from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.requests import Repeatability, Submit
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.plugins import Plugin
from mimosafork.policies.claims.attach import AttachToRun
from mimosafork.policies.retry import RESERVE, BoundedRetry
from tests.support.functions import function_tests
from tests.support.requests import request
from tests.support.storm import MODEL, StormFleet


class Trial:
    """One kernel whose effects are checked one by one."""

    def __init__(self, *plugins: Plugin) -> None:
        self.fleet = StormFleet(
            FleetPolicy(), kernels=1, engines=2, seed=1, extra_plugins=plugins
        )
        self.kernel = self.fleet.kernels[0]

    def submit(
        self,
        name: str = "r",
        time_left: timedelta = timedelta(seconds=20),
        repeatability: Repeatability = Repeatability.IDEMPOTENT,
    ) -> Dispatch:
        """Submit a request that is dispatched at once."""
        deadline = self.fleet.clock.monotonic() + time_left
        submitted = request(name, MODEL, deadline, repeatability=repeatability)
        (dispatch,) = self.kernel.handle(Submit(submitted))
        assert isinstance(dispatch, Dispatch)
        return dispatch

    def fail(
        self,
        dispatch: Dispatch,
        refusal: str | None = None,
        kind: FailureKind = FailureKind.BROKEN,
    ) -> WakeAt | Conclude:
        """Fail an attempt; return the scheduled retry or the conclusion."""
        exposure = Exposure.POSSIBLE
        if refusal is not None:
            kind, exposure = FailureKind.REFUSED, Exposure.REFUSED
        elif kind is FailureKind.UNREACHED:
            exposure = Exposure.NEVER_SENT
        failed = AttemptFailed(
            dispatch.request_id, dispatch.attempt, kind, exposure, refusal=refusal
        )
        effect = self.kernel.handle(failed)[-1]
        assert isinstance(effect, WakeAt | Conclude)
        return effect


def test_no_attempt_begins_after_the_deadline() -> None:
    """A backoff that ends past the deadline would delay the caller in vain."""
    trial = Trial()
    effect = trial.fail(trial.submit(time_left=timedelta(microseconds=500)))
    assert isinstance(effect, Conclude)
    assert effect.problem is not None
    assert "no time is left" in effect.problem.detail


def test_non_idempotent_request_that_may_have_run_is_not_repeated() -> None:
    trial = Trial()
    dispatch = trial.submit(repeatability=Repeatability.NON_IDEMPOTENT)
    effect = trial.fail(dispatch)
    assert isinstance(effect, Conclude)
    assert effect.outcome is not Outcome.NOT_RUN


def test_refused_requests_end_as_not_run_when_the_budget_is_spent() -> None:
    """All endpoints are busy: beyond the budget, requests are rejected at once."""
    trial = Trial()
    effects = [
        trial.fail(trial.submit(f"r{number}"), "busy")
        for number in range(int(RESERVE) + 1)
    ]
    assert all(isinstance(effect, WakeAt) for effect in effects[:-1])
    last = effects[-1]
    assert isinstance(last, Conclude)
    assert last.outcome is Outcome.NOT_RUN
    assert last.problem is not None and last.problem.retry_after is not None


def test_redirected_requests_take_nothing_from_the_budget() -> None:
    """A draining endpoint refuses requests sent before its state has propagated.

    Charging these to the budget would fail requests that another endpoint serves
    at once, during planned maintenance.
    """
    trial = Trial()
    for number in range(2 * int(RESERVE)):
        effect = trial.fail(trial.submit(f"r{number}"), "draining")
        assert isinstance(effect, WakeAt)


def test_requests_of_a_crashed_endpoint_take_nothing_from_the_budget() -> None:
    """An endpoint crashes with sixty streams; attaching to them is impossible.

    Charged to the budget, the first twenty would be retried and forty refused.
    """
    trial = Trial()
    for number in range(3 * int(RESERVE)):
        effect = trial.fail(trial.submit(f"r{number}"), kind=FailureKind.UNREACHED)
        assert isinstance(effect, WakeAt)


def test_attaching_to_running_streams_takes_nothing_from_the_budget() -> None:
    """A switch is replaced: the connections of all streams break at once.

    The engines keep running, so the streams can be resumed. Charging that to the
    budget would fail all requests but the first twenty.
    """
    trial = Trial(AttachToRun())
    for number in range(3 * int(RESERVE)):
        effect = trial.fail(trial.submit(f"r{number}"))
        assert isinstance(effect, WakeAt)


def test_budget_of_one_target_is_not_spent_by_another() -> None:
    trial = Trial()
    while not isinstance(trial.fail(trial.submit(), "busy"), Conclude):
        trial.kernel.state.requests.pop(RequestId("r"))
    policy = trial.kernel.plugin(BoundedRetry)
    assert list(policy.budgets) == [MODEL]
    policy.budgets["other"] = policy.budgets.pop(MODEL)  # type: ignore[index]
    assert isinstance(trial.fail(trial.submit(), "busy"), WakeAt)


load_tests = function_tests(__name__)
