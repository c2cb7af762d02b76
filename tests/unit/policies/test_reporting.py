"""Reports of the kernel about requests, endpoints and peers."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from mimosafork.ids import (
    AttemptNumber,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    Revision,
)
from mimosafork.kernel.messages.attempts import (
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
    RetryDue,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.fleet import ProbeFailed
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.peers import Member, MemberState
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.reports import (
    AttemptEnd,
    EndpointCondition,
    FleetReport,
    RequestReport,
)
from mimosafork.kernel.registry import create
from mimosafork.policies.reporting import FLEET_REPORT_INTERVAL
from tests.support.functions import function_tests
from tests.support.kernels import (
    ZONE,
    Bench,
    attempt_failure,
    engine_entry,
    model_request,
    running_kernel,
)

SECOND = timedelta(seconds=1)


@contextmanager
def reporting_kernel() -> Iterator[Bench]:
    plugins = create(("first-come", "bounded-retry", "least-requests", "reporting"))
    with running_kernel(plugins, [engine_entry("e1"), engine_entry("e2")]) as kernel:
        yield kernel


def peers_of(bench: Bench) -> dict[InstanceId, MemberState]:
    return fleet_of(bench).peers


def report_of(bench: Bench) -> RequestReport:
    (report,) = bench.emitted(RequestReport)
    return report


def fleet_of(bench: Bench) -> FleetReport:
    return bench.emitted(FleetReport)[-1]


def test_answered_request_is_reported_with_its_times_and_attempts() -> None:
    with reporting_kernel() as kernel:
        kernel.submit(model_request("r", prompt_tokens=5_000))
        kernel.clock.advance(SECOND)
        never_sent = Exposure.NEVER_SENT
        kernel.handle(
            attempt_failure("r", kind=FailureKind.UNREACHED, exposure=never_sent)
        )
        kernel.handle_after(SECOND, RetryDue(RequestId("r")))
        second = AttemptNumber(2)
        kernel.handle(FirstToken(RequestId("r"), second))
        kernel.clock.advance(SECOND)
        kernel.handle(AttemptFinished(RequestId("r"), second))
    report = report_of(kernel)
    assert report.outcome is Outcome.COMPLETED
    assert report.code is None
    assert report.attempts == (FailureKind.UNREACHED, AttemptEnd.FINISHED)
    assert report.first_token_after == 2 * SECOND
    assert report.duration == 3 * SECOND
    assert report.prompt_tokens == 5_000


def test_request_that_passes_its_deadline_is_reported_with_its_code() -> None:
    with reporting_kernel() as kernel:
        kernel.submit(model_request("r", deadline=kernel.clock.monotonic() + SECOND))
        kernel.handle_after(2 * SECOND, Tick())
    report = report_of(kernel)
    assert report.code is ProblemCode.DEADLINE_PASSED
    assert report.attempts == (AttemptEnd.CANCELLED,)
    assert report.first_token_after is None


def test_fleet_is_reported_periodically_with_the_worst_condition() -> None:
    with reporting_kernel() as kernel:
        kernel.handle(Tick())
        kernel.handle(ProbeFailed(EndpointId("e1")))
        kernel.handle(Tick())
        assert len(kernel.emitted(FleetReport)) == 1
        kernel.handle_after(FLEET_REPORT_INTERVAL, Tick())
    condition = fleet_of(kernel).endpoints[EndpointId("e1")].condition
    assert condition is EndpointCondition.UNREACHABLE


def test_own_instance_is_not_among_the_peers() -> None:
    with reporting_kernel() as kernel:
        members = {each.instance: each for each in (member("i1"), member("i2"))}
        kernel.kernel.state.fleet.members = members
        kernel.handle_after(FLEET_REPORT_INTERVAL, Tick())
    assert peers_of(kernel) == {InstanceId("i2"): MemberState.LIVE}


def member(name: str) -> Member:
    return Member(
        InstanceId(name), Incarnation(1), ZONE, "ip:1", MemberState.LIVE, Revision(1)
    )


load_tests = function_tests(__name__)
