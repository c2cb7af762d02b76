"""How the kernel's reports show in metrics and in the log."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import (
    AccountId,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    RequestId,
)
from mimosafork.kernel.messages.attempts import FailureKind
from mimosafork.kernel.messages.orders import OrderKind, OrderResult
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.peers import MemberState
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.reports import (
    AttemptEnd,
    EndpointCondition,
    EndpointView,
    FleetReport,
    OrderReport,
    RequestReport,
)
from mimosafork.runtime.reporting_adapter import (
    ReportingAdapter,
    logger,
)
from mimosafork.storage.errors import (
    CallRejectedError,
    StoreUnavailableError,
    UnknownResultError,
)
from mimosafork.storage.meter import StoreMeter
from mimosafork.telemetry.lengths import length_band
from mimosafork.telemetry.messages import EventMessage
from mimosafork.telemetry.metrics import Metrics
from tests.support.functions import function_tests

ENGINE = EndpointId("e1")
PEER = InstanceId("i2")

ANSWERED = RequestReport(
    request_id=RequestId("r1"),
    account=AccountId("parish"),
    target=ModelId("reader"),
    prompt_tokens=5_000,
    outcome=Outcome.COMPLETED,
    code=None,
    attempts=(FailureKind.BROKEN, AttemptEnd.FINISHED),
    first_token_after=timedelta(seconds=0.2),
    duration=timedelta(seconds=3),
)


class Codes(logging.Handler):
    """Keep the numbers of the events that are logged."""

    def __init__(self) -> None:
        super().__init__()
        self.codes: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        assert isinstance(record.msg, EventMessage)
        assert "?" not in str(record.msg)
        self.codes.append(record.msg.event.code)


@contextmanager
def logged() -> Iterator[list[str]]:
    handler = Codes()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    try:
        yield handler.codes
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


def value_of(metrics: Metrics, line_start: str) -> float:
    lines = metrics.page().decode().splitlines()
    (line,) = [each for each in lines if each.startswith(line_start)]
    return float(line.rpartition(" ")[2])


def fleet(condition: EndpointCondition, incarnation: int = 1) -> FleetReport:
    view = EndpointView(Incarnation(incarnation), condition)
    return FleetReport({ENGINE: view}, {}, waiting_requests=4, leases=1)


def peers(state: MemberState) -> FleetReport:
    return FleetReport({}, {PEER: state}, waiting_requests=0, leases=0)


def test_answered_request_is_counted_and_timed_by_length() -> None:
    metrics = Metrics()
    with logged() as codes:
        ReportingAdapter(metrics).take(ANSWERED)
    labels = 'code="none",outcome="completed",target="reader"'
    assert value_of(metrics, f"mimosafork_requests_total{{{labels}") == 1
    first = 'mimosafork_request_first_token_duration_seconds_sum{length="up to 10k"'
    assert value_of(metrics, first) == 0.2
    assert value_of(metrics, 'mimosafork_attempts_total{result="broken"') == 1
    assert value_of(metrics, 'mimosafork_attempts_total{result="finished"') == 1
    assert codes == ["MF1201"]


def test_request_whose_caller_left_is_logged_as_that() -> None:
    left = replace(ANSWERED, outcome=Outcome.FAILED, code=ProblemCode.CALLER_GONE)
    with logged() as codes:
        ReportingAdapter(Metrics()).take(left)
    assert codes == ["MF1204"]


def test_orders_are_counted_by_result() -> None:
    metrics = Metrics()
    report = OrderReport(OrderKind.LOAD_MODEL, OrderResult.STALE)
    ReportingAdapter(metrics).take(report)
    start = 'mimosafork_orders_total{kind="load-model",result="stale"'
    assert value_of(metrics, start) == 1


def test_refused_request_is_logged_as_refused() -> None:
    metrics = Metrics()
    refused = replace(
        ANSWERED,
        outcome=Outcome.NOT_RUN,
        code=ProblemCode.OVERLOADED,
        attempts=(),
        first_token_after=None,
    )
    with logged() as codes:
        ReportingAdapter(metrics).take(refused)
    assert codes == ["MF1202"]
    assert "first_token" not in metrics.page().decode()


def test_names_that_nobody_serves_share_one_label() -> None:
    """The metrics page grows with each wrong name, and the memory with it.

    A caller asks for a thousand models that do not exist. Each name would be a time
    series of its own until the process ends.
    """
    metrics = Metrics()
    adapter = ReportingAdapter(metrics)
    for number in range(1_000):
        adapter.take(
            replace(
                ANSWERED,
                target=ModelId(f"wrong-{number}"),
                outcome=Outcome.NOT_RUN,
                code=ProblemCode.UNKNOWN_MODEL,
            )
        )
    page = metrics.page().decode()
    assert "wrong-" not in page
    assert value_of(metrics, "mimosafork_requests_total{") == 1_000


def test_bands_of_length_include_their_bounds() -> None:
    found = [length_band(each) for each in (1, 1_000, 1_001, 100_000, 1_000_000)]
    assert found == ["up to 1k", "up to 1k", "up to 10k", "up to 100k", "over 100k"]


def test_endpoint_changes_are_logged_once() -> None:
    adapter = ReportingAdapter(Metrics())
    conditions = [
        EndpointCondition.UNREPORTED,
        EndpointCondition.LIVE,
        EndpointCondition.UNREACHABLE,
        EndpointCondition.UNREACHABLE,
        EndpointCondition.LIVE,
        EndpointCondition.EJECTED,
        EndpointCondition.LEAVING,
    ]
    with logged() as codes:
        for condition in conditions:
            adapter.take(fleet(condition))
    assert codes == ["MF1301", "MF1302", "MF1304", "MF1303"]


def test_endpoint_that_is_first_seen_in_trouble_is_logged() -> None:
    with logged() as codes:
        ReportingAdapter(Metrics()).take(fleet(EndpointCondition.UNREACHABLE))
    assert codes == ["MF1301"]


def test_peer_changes_are_logged_once() -> None:
    adapter = ReportingAdapter(Metrics())
    states = [
        MemberState.LIVE,
        MemberState.LIVE,
        MemberState.SUSPECT,
        MemberState.LIVE,
        MemberState.DRAINING,
    ]
    with logged() as codes:
        for state in states:
            adapter.take(peers(state))
    assert codes == ["MF1501", "MF1502", "MF1501", "MF1503"]


def test_gauges_show_the_newest_report_with_zeros() -> None:
    metrics = Metrics()
    adapter = ReportingAdapter(metrics)
    adapter.take(fleet(EndpointCondition.LEAVING))
    assert value_of(metrics, 'mimosafork_endpoints{state="leaving"') == 1
    assert value_of(metrics, 'mimosafork_endpoints{state="live"') == 0
    assert value_of(metrics, "mimosafork_requests_waiting") == 4
    assert value_of(metrics, "mimosafork_leases") == 1


def test_store_calls_are_counted_by_what_they_leave_open() -> None:
    metrics = Metrics()
    meter = StoreMeter(metrics)
    errors = [
        None,
        StoreUnavailableError("x"),
        CallRejectedError("x"),
        UnknownResultError("x"),
    ]
    for error in errors:
        meter.record_call("table service", timedelta(milliseconds=5), error)
    for result in ("done", "unavailable", "rejected", "unknown"):
        start = f'mimosafork_store_calls_total{{result="{result}"'
        assert value_of(metrics, start) == 1, result


load_tests = function_tests(__name__)
