"""Tests of the fields of a call's log lines: id, rule, inputs and their age."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.attempt_diagnostics import AttemptPlacement
from mimosafork.gateway.call import Call
from mimosafork.gateway.call_log import CallLog
from mimosafork.gateway.dialect import CallMetadata
from mimosafork.gateway.event_stream import RawStreamEvent
from mimosafork.gateway.heads import Header, RequestHead
from mimosafork.gateway.instance_view import DecisionInputs
from mimosafork.gateway.intake import CallRefusal
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
    StreamId,
)
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    Exposure,
    FailureKind,
    RetryDue,
)
from mimosafork.kernel.messages.dispatch import Dispatch, PrefillHelper
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.kernel.messages.requests import Request, RequestKind
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.routing.table import CallKind, Route, RouteName, TrafficSplit
from mimosafork.telemetry.catalogue.gateway import (
    ATTEMPT_FAILED,
    ATTEMPT_OUT_OF_TIME,
    CALL_ENDED,
    CALL_NOT_SERVED,
    CALL_REFUSED,
)
from tests.support.functions import function_tests
from tests.support.log_lines import CaughtLines, caught_lines

MS = timedelta(milliseconds=1)
ZONE_A, ZONE_B = AvailabilityZoneId("zone-a"), AvailabilityZoneId("zone-b")
SERVICE = ServiceId("letters")
HOST = Header(b"Host", b"a.example")
HEAD = RequestHead(b"POST", b"/write", 1, (HOST,), 0)


class DiscardingResponder:
    """Discards the response."""

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Discard a complete response."""

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Discard a response head."""

    def send_body(self, data: bytes) -> None:
        """Discard body bytes."""

    def end_response(self) -> None:
        """Do nothing."""

    def abort_response(self) -> None:
        """Do nothing."""


class FixedInstanceView:
    """Returns constant inputs."""

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return constant inputs."""
        return DecisionInputs(
            listed=4,
            usable=3,
            running=7,
            peers_running=20,
            peers=6,
            retries_left=55,
            retries_sent=9,
            budget_instances=7,
            table_age=40 * MS,
            listing_age=90 * MS,
        )

    def load_age(self) -> timedelta | None:
        """Return a constant age."""
        return 400 * MS

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return two zones, and a first token predicted 250 ms after the start."""
        return AttemptPlacement(ZONE_B, (ZONE_A,) * len(dispatch.helpers), 250 * MS)

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """Return a constant zone."""
        return ZONE_A

    @property
    def own_instance(self) -> InstanceId | None:
        """Return a constant name."""
        return InstanceId("entry-1")


def call_at(clock: ManualClock) -> Call:
    route = Route(
        RouteName("r-1"),
        "a.example",
        "/write",
        CallKind.STREAM,
        2000 * MS,
        500 * MS,
        (TrafficSplit(SERVICE, 1),),
    )
    request = Request(
        RequestId("1"),
        AccountId("acme"),
        RequestKind.MODEL,
        SERVICE,
        2932,
        600,
        clock.monotonic() + 2000 * MS,
        Digest("00"),
    )
    return Call(
        request.request_id,
        RequestMessage(HEAD, b""),
        CallMetadata("c0ffee"),
        route,
        request.account,
        request,
        DiscardingResponder(),
        clock.monotonic(),
        table_version=7,
    )


def dispatch_to(endpoint: str) -> Dispatch:
    return Dispatch(
        RequestId("1"),
        AttemptNumber(1),
        StreamId("1.1"),
        EndpointId(endpoint),
        Incarnation(1),
        "10.0.0.1:80",
        2000 * MS,
        helpers=(PrefillHelper(EndpointId("h1"), "10.0.0.2:80"),),
    )


def failed_at(endpoint: str) -> AttemptFailed:
    return AttemptFailed(
        RequestId("1"),
        AttemptNumber(1),
        FailureKind.BROKEN,
        Exposure.POSSIBLE,
        endpoint=EndpointId(endpoint),
    )


def lines_at(clock: ManualClock) -> CallLog:
    lines = CallLog(clock)
    lines.instance_view = FixedInstanceView()
    return lines


def ended_as(problem: Problem | None, outcome: Outcome) -> Conclude:
    return Conclude(RequestId("1"), outcome, 1, problem)


def served() -> CaughtLines:
    clock = ManualClock()
    call, lines = call_at(clock), lines_at(clock)
    with caught_lines() as caught:
        clock.advance(30 * MS)
        lines.placed(call, dispatch_to("e1"))
        for gap in (100, 20, 900, 20):
            clock.advance(gap * MS)
            call.forward_event(RawStreamEvent(b"data", None), clock.monotonic())
        lines.ended(call, ended_as(None, Outcome.COMPLETED))
    return caught


def test_served_call_is_logged_in_one_line_with_its_times() -> None:
    caught = served()
    assert len(caught.lines) == 1
    fields = caught.one(CALL_ENDED)
    assert fields["call"] == "c0ffee"
    assert (fields["route"], fields["account"], fields["version"]) == ("r-1", "acme", 7)
    assert (fields["endpoints"], fields["helpers"]) == ("e1", "h1")
    assert (fields["waited_ms"], fields["first_ms"]) == (30, 130)
    assert (fields["pause_ms"], fields["total_ms"]) == (900, 1070)
    assert fields["prompt_tokens"] == 2932
    assert (fields["zones"], fields["helper_zones"]) == ("zone-b", "zone-a")
    assert fields["expected_ms"] == 250
    assert "own_zone" not in fields


def test_served_line_is_short() -> None:
    assert len(str(served().lines[0])) < 700


def test_unserved_call_logs_the_plug_in_and_its_inputs() -> None:
    """A call is rejected although endpoints seem to have free slots.

    Placement finds no memory for the call. The log line names the plug-in that rejected
    it, its inputs and their age.
    """
    clock = ManualClock()
    call, lines = call_at(clock), lines_at(clock)
    call.status = 503
    shortage = Problem(ProblemCode.OVERLOADED, "the memory is promised to others")
    with caught_lines() as caught:
        lines.ended(call, ended_as(shortage, Outcome.NOT_RUN))
    fields = caught.one(CALL_NOT_SERVED)
    assert fields["rule"] == "work-placer"
    assert fields["detail"] == "the memory is promised to others"
    assert (fields["usable"], fields["listed"]) == (3, 4)
    assert (fields["running"], fields["peers_running"]) == (7, 20)
    assert (fields["table_age_ms"], fields["listing_age_ms"]) == (40, 90)
    assert fields["load_age_ms"] == 400
    assert "waited_ms" not in fields


def test_home_regions_are_logged_with_a_refused_call() -> None:
    """A caller is refused, and nothing shows that its account is restricted."""
    problem = Problem(ProblemCode.NO_HOME_ENDPOINT, "no endpoint", 1000 * MS)
    for regions, shown in (
        (frozenset({RegionId("south"), RegionId("north")}), "north,south"),
        (frozenset[RegionId](), ""),
        (None, None),
    ):
        clock = ManualClock()
        call = call_at(clock)
        call.request = replace(call.request, home_regions=regions)
        with caught_lines() as caught:
            lines_at(clock).ended(call, ended_as(problem, Outcome.NOT_RUN))
        fields = caught.one(CALL_NOT_SERVED)
        assert (fields["rule"], fields["why"]) == ("home-regions", "no-home-endpoint")
        assert fields.get("home_regions") == shown


def test_failed_attempt_logs_the_decision() -> None:
    """An endpoint breaks off and the call is retried at another one.

    The log line alone must show the retry and the remaining retry budget.
    """
    clock = ManualClock()
    call, lines = call_at(clock), lines_at(clock)
    failure = failed_at("e1")
    again = [WakeAt(1 * MS, RetryDue(RequestId("1")))]
    with caught_lines() as caught:
        lines.attempt_failed(call, failure, True, again)
        lines.attempt_failed(call, failure, False, [ended_as(None, Outcome.FAILED)])
    first, second = caught.of(ATTEMPT_FAILED)
    assert (first["call"], first["version"], first["endpoint"]) == ("c0ffee", 7, "e1")
    assert (first["then"], second["then"]) == ("tried again", "given up")
    assert (first["kind"], first["exposure"]) == ("broken", "possible")
    assert (first["repeats_left"], first["left_ms"]) == (55, 2000)
    assert (first["repeats_sent"], first["sharers"]) == (9, 7)
    assert first["reused"] is True


def test_failed_attempt_logs_the_preceding_silence_and_the_prediction() -> None:
    """A stream falls silent after one event, is resumed elsewhere, and ends there.

    The prediction of the second attempt must not be compared with the first event,
    which another endpoint sent.
    """
    clock = ManualClock()
    call, lines = call_at(clock), lines_at(clock)
    with caught_lines() as caught:
        lines.placed(call, dispatch_to("e1"))
        clock.advance(100 * MS)
        call.forward_event(RawStreamEvent(b"data", None), clock.monotonic())
        clock.advance(900 * MS)
        lines.attempt_failed(call, failed_at("e1"), False, [])
        call.first_token_at = None
        lines.placed(call, dispatch_to("e2"))
        clock.advance(50 * MS)
        problem = Problem(ProblemCode.CALLER_GONE, "left")
        lines.ended(call, ended_as(problem, Outcome.UNKNOWN))
    first = caught.one(ATTEMPT_FAILED)
    assert (first["since_event_ms"], first["first_ms"]) == (900, 100)
    assert first["expected_ms"] == 250
    assert (first["zone"], first["own_zone"]) == ("zone-b", "zone-a")
    end = caught.one(CALL_NOT_SERVED)
    assert (end["since_event_ms"], end["zones"]) == (950, "zone-b,zone-b")
    assert "expected_ms" not in end


def failure_line(status: int, after: timedelta) -> dict[str, Any]:
    """Return the log line of an error response a given time after the arrival."""
    clock = ManualClock()
    call, lines = call_at(clock), lines_at(clock)
    own = replace(failed_at("e1"), kind=FailureKind.ENGINE_FAILED, status=status)
    with caught_lines() as caught:
        clock.advance(after)
        lines.attempt_failed(call, own, False, [])
    (line,) = caught.lines
    return line


def test_an_endpoints_504_at_the_deadline_is_no_warning() -> None:
    """Warnings about failed engines flood the log.

    Nearly all are calls whose deadline expired, which hides the engine that did fail.
    """
    for after in (1901 * MS, 2000 * MS, 2040 * MS):
        line = failure_line(504, after)
        assert (line["event"], line["level"]) == (ATTEMPT_OUT_OF_TIME.code, "INFO")
        assert line["fields"]["kind"] == "out-of-time"


def test_other_error_responses_of_endpoints_stay_warnings() -> None:
    """A 504 before the deadline is the endpoint's own limit; a 500 isn't a timeout."""
    for status, after in ((504, 1899 * MS), (504, 3 * MS), (500, 1990 * MS)):
        line = failure_line(status, after)
        assert (line["event"], line["level"]) == (ATTEMPT_FAILED.code, "WARNING")
        assert line["fields"]["kind"] == "engine-failed"


def test_call_rejected_by_routing_logs_the_version_and_its_age() -> None:
    refusal = CallRefusal(HTTPStatus.NOT_FOUND, "no-route")
    with caught_lines() as caught:
        lines_at(ManualClock()).refused(
            RequestMessage(HEAD, b""), CallMetadata("c0ffee"), refusal, None
        )
    fields = caught.one(CALL_REFUSED)
    assert (fields["rule"], fields["reason"]) == ("routing", "no-route")
    assert (fields["call"], fields["table_age_ms"]) == ("c0ffee", 40)


load_tests = function_tests(__name__)
