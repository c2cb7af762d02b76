"""Tests of the zones, connection and prediction fields in a call's log lines."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from errno import EHOSTUNREACH, ENETDOWN, EPIPE, ETIMEDOUT
from typing import Any, cast
from unittest.mock import Mock

from mimosafork.clock import ManualClock
from mimosafork.gateway.attempt_diagnostics import AttemptDiagnostics, NameList
from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.upstream import (
    CallSink,
    ConnectionLoss,
    EndpointConnection,
    connection_loss_of,
)
from mimosafork.kernel.messages.attempts import FailureKind
from mimosafork.standins.prepared.documents import LimitsEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.faults import (
    CutAnswer,
    Fault,
    Garbage,
    Hang,
    LostAnswer,
    Shed,
)
from mimosafork.standins.prepared.words import REQUEST_ID, TOKEN_USAGE
from mimosafork.telemetry.catalogue.gateway import (
    ATTEMPT_FAILED,
    ATTEMPT_SENT,
    CALL_ENDED,
    CALL_NOT_SERVED,
    MALFORMED_REQUEST,
)
from mimosafork.telemetry.events import Event

from ...support.functions import function_tests
from ...support.gateway import BEARER, World, gateway_world
from ...support.log_lines import CaughtLines, caught_lines
from ...support.prepared import DESKS, USUAL_CONFIG, request_bytes
from ...support.waiting import eventually

MS = timedelta(milliseconds=1)
OTHER_ZONE = EndpointSettings(DESKS, zone="zone-b")
LONG_PROMPT = {TOKEN_USAGE: "4000,40"}


def only_line(caught: CaughtLines, event: Event) -> dict[str, Any]:
    """Wait for the only line of an event; it is written in the gateway's thread."""
    eventually(lambda: bool(caught.of(event)))
    return caught.one(event)


def failure_after(break_it: Callable[[World], None]) -> dict[str, Any]:
    """Return the log line of a non-idempotent call at an endpoint in another zone."""
    with gateway_world() as world, caught_lines() as caught:
        world.add_desk(OTHER_ZONE)
        break_it(world)
        world.running.ask("/unsafe/1", "c1", X_Deadline_Ms="400")
        return only_line(caught, ATTEMPT_FAILED)


def playing(fault: Fault) -> Callable[[World], None]:
    return lambda world: world.platform.endpoints[0].play(fault)


def test_socket_errors_are_classified() -> None:
    endings = {
        ConnectionResetError(): ConnectionLoss.RESET,
        BrokenPipeError(EPIPE, "pipe"): ConnectionLoss.RESET,
        ConnectionRefusedError(): ConnectionLoss.REFUSED,
        TimeoutError(ETIMEDOUT, "unacknowledged"): ConnectionLoss.TIMED_OUT,
        TimeoutError("connecting timed out"): ConnectionLoss.TIMED_OUT,
        OSError(EHOSTUNREACH, "no way"): ConnectionLoss.NO_ROUTE,
        OSError(ENETDOWN, "no way"): ConnectionLoss.NO_ROUTE,
        OSError("the address makes no sense"): ConnectionLoss.RESET,
    }
    assert {error: connection_loss_of(error) for error in endings} == endings


def test_failed_attempt_logs_both_zones_and_the_reset() -> None:
    """All links into one zone break at once.

    Only the zones of both ends in each log line show which zone was cut off.
    """
    fields = failure_after(playing(LostAnswer()))
    assert (fields["zone"], fields["own_zone"]) == ("zone-b", "zone-a")
    assert (fields["kind"], fields["ending"]) == ("broken", "reset")
    assert fields["connect_ms"] >= 0
    assert fields["reused"] is False


def test_failed_attempt_distinguishes_an_orderly_close_from_a_reset() -> None:
    assert failure_after(playing(CutAnswer(reset=False)))["ending"] == "closed"


def test_failed_attempt_distinguishes_malformed_bytes_from_a_lost_connection() -> None:
    assert failure_after(playing(Garbage()))["ending"] == "garbled"


def test_refused_connection_is_logged_with_its_connect_time() -> None:
    """An endpoint's process has exited; its host refuses the connection."""
    fields = failure_after(lambda world: world.platform.endpoints[0].crash())
    assert (fields["kind"], fields["ending"]) == ("unreached", "refused")
    assert fields["connect_ms"] >= 0


def test_connection_that_stays_open_has_no_ending() -> None:
    fields = failure_after(playing(Shed()))
    assert fields["kind"] == FailureKind.REFUSED.value
    assert "ending" not in fields


def test_silent_attempt_is_closed_locally() -> None:
    """An endpoint accepts a call and sends nothing; the call is retried elsewhere.

    The connection wasn't lost: this instance closed it.
    """
    with gateway_world() as world, caught_lines() as caught:
        for _ in range(2):
            world.add_desk().play(Hang())
        world.running.ask("/safe/1", "c1", X_Deadline_Ms="1500")
        eventually(lambda: bool(caught.of(CALL_ENDED) + caught.of(CALL_NOT_SERVED)))
        first, *_ = caught.of(ATTEMPT_FAILED)
    assert (first["kind"], first["ending"]) == ("stalled", "own-end")


def test_unacknowledged_connection_timed_out() -> None:
    """Packets to an endpoint are dropped until TCP_USER_TIMEOUT expires.

    The event loop passes on the system's error, which isn't a reset.
    """
    losses: list[ConnectionLoss] = []
    connection = EndpointConnection(ManualClock(), lambda lost: None)
    connection.transport = cast(asyncio.Transport, Mock())
    sink = CallSink(lambda head: None, lambda data: None, lambda: None, losses.append)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", sink, False)
    connection.connection_lost(TimeoutError(ETIMEDOUT, "unacknowledged"))
    assert losses == [ConnectionLoss.TIMED_OUT]


def test_served_call_logs_the_connect_time_of_a_new_connection() -> None:
    with gateway_world() as world, caught_lines() as caught:
        world.add_desk(OTHER_ZONE)
        for number in range(2):
            assert world.running.ask("/safe/1", f"c{number}").status == 200
        eventually(lambda: len(caught.of(CALL_ENDED)) == 2)
    opened, reused = caught.of(CALL_ENDED)
    assert opened["connect_ms"] >= 0
    assert "connect_ms" not in reused
    assert opened["zones"] == reused["zones"] == "zone-b"
    assert "ending" not in reused


def test_connection_of_a_disconnected_caller_is_closed_locally() -> None:
    """A caller disconnects before its first event.

    The connection to the endpoint is closed as well. Logged as lost, it would look like
    a network failure.
    """
    with gateway_world() as world, caught_lines() as caught:
        world.add_engine(EngineFigures(events=5)).hold()
        channel = world.running.channel()
        headers = {REQUEST_ID: "c1", **BEARER}
        channel.send("POST", "/resume/1", headers)
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        channel.hang_up(False)
        fields = only_line(caught, CALL_NOT_SERVED)
    assert (fields["why"], fields["ending"]) == ("caller-gone", "own-end")
    assert fields["own_zone"] == fields["zones"] == "zone-a"
    assert "since_event_ms" not in fields
    assert "first_ms" not in fields


def test_attempts_on_one_connection_can_be_told_from_their_lines() -> None:
    """A repeated response on a reused connection leaves no trace in the log."""
    with gateway_world() as world, caught_lines() as caught:
        desk = world.add_desk()
        for number in range(2):
            desk.play(Shed())
            world.running.ask("/safe/1", f"c{number}")
        eventually(lambda: len(caught.of(CALL_ENDED)) == 2)
    first, second = caught.of(ATTEMPT_FAILED)
    assert (first["connection"], first["earlier_calls"]) == (1, 0)
    assert second["connection"] >= 1
    assert "unidentified" not in first


def test_prediction_is_logged_with_the_observed_first_event() -> None:
    with gateway_world() as world, caught_lines() as caught:
        world.add_engine()
        world.running.ask("/stream/1", "c1", b"prompt", **LONG_PROMPT)
        fields = only_line(caught, CALL_ENDED)
        placer = world.running.gateway.kernel.plugin(WorkPlacer)
        assert placer.predicted_first_token_at == {}
    assert fields["expected_ms"] > 0
    assert fields["first_ms"] > 0


def test_plain_call_has_no_prediction() -> None:
    with gateway_world() as world, caught_lines() as caught:
        world.add_desk()
        world.running.ask("/safe/1", "c1")
        assert "expected_ms" not in only_line(caught, CALL_ENDED)


def test_names_are_joined_on_formatting() -> None:
    assert str(NameList(("zone-a", None, "zone-b"))) == "zone-a,?,zone-b"


def test_connect_time_is_recorded_once() -> None:
    diagnostics = AttemptDiagnostics()
    diagnostics.note_connected(5 * MS)
    assert diagnostics.connect_time is None
    diagnostics.connecting_since = 5 * MS
    diagnostics.note_connected(12 * MS)
    diagnostics.note_connected(90 * MS)
    assert diagnostics.connect_time == 7 * MS


def test_each_sending_of_a_refused_call_can_be_told_from_its_id() -> None:
    """A call is refused as not run, and nothing shows which sendings that rests on."""
    with gateway_world() as world, caught_lines(logging.DEBUG) as caught:
        desk = world.add_desk()
        desk.play(Shed(), None)
        world.running.ask("/unsafe/1", "c1")
        end = only_line(caught, CALL_NOT_SERVED)
        sent, failed = caught.of(ATTEMPT_SENT), caught.of(ATTEMPT_FAILED)
        assert len(sent) == len(failed) == end["attempts"] > 1
        for number, line in enumerate(sent, 1):
            assert (line["call"], line["instance"]) == ("c1", "entry-1")
            assert (line["endpoint"], line["attempt"]) == (desk.id, number)
        numbers = [line["connection"] for line in sent]
        assert len(set(numbers)) == len(numbers)
        assert {line["response"] for line in failed} == {"503 not-run own-id"}
        assert [line["sent_ms"] for line in failed] == sorted(
            line["sent_ms"] for line in failed
        )
        assert set(end["exposures"].split(",")) == {"refused"}


def test_id_of_a_request_that_times_out_half_read_is_logged() -> None:
    """A caller is told 408, which means that its call has not run, without a line."""
    config = replace(USUAL_CONFIG, limits=LimitsEntry(idle_timeout=100 * MS))
    with gateway_world(config) as world, caught_lines() as caught:
        with world.running.channel() as channel:
            head = request_bytes(
                "POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER}, b"body", False
            )
            channel.send_bytes(head[:-1])
            assert channel.read_answer().status == 408
        line = only_line(caught, MALFORMED_REQUEST)
        assert (line["call"], line["status"]) == ("c1", 408)


load_tests = function_tests(__name__)
