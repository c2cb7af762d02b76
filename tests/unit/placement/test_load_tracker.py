"""Tests of the load tracker: the load of each engine by its in-flight requests."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.ids import EndpointId, InstanceId, RequestId
from mimosafork.placement.load_tracker import (
    IDLE_LOAD,
    HeldTokens,
    InFlightRequest,
    LoadTracker,
    PrefillPart,
)

from ...support.functions import function_tests

case = TestCase()

A, B = EndpointId("a"), EndpointId("b")
PEER = InstanceId("peer")


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def in_flight_request(
    name: str, host: EndpointId = A, **more: object
) -> InFlightRequest:
    fields: dict[str, object] = {
        "parts": (PrefillPart(host, 1_000, 40.0),),
        "prompt_tokens": 1_000,
        "answer_tokens": 100,
        "longest_pause": ms(250),
        "started_at": ms(1_000),
    }
    return InFlightRequest(RequestId(name), host, **{**fields, **more})  # type: ignore[arg-type]


def test_an_unknown_engine_is_idle() -> None:
    case.assertEqual(LoadTracker().load(A, ms(0)), IDLE_LOAD)


def test_the_prefill_backlog_adds_up_and_shrinks_with_time() -> None:
    tracker = LoadTracker()
    tracker.record(in_flight_request("1"))
    tracker.record(in_flight_request("2"))
    case.assertAlmostEqual(tracker.load(A, ms(1_000)).prefill_backlog_ms, 80.0)
    case.assertAlmostEqual(tracker.load(A, ms(1_050)).prefill_backlog_ms, 30.0)
    case.assertEqual(tracker.load(A, ms(2_000)).prefill_backlog_ms, 0.0)


def test_a_first_token_ends_the_prefill_on_all_engines() -> None:
    tracker = LoadTracker()
    parts = (PrefillPart(A, 500, 400.0), PrefillPart(B, 500, 400.0))
    tracker.record(in_flight_request("1", parts=parts))
    before = tracker.load(B, ms(1_000))
    tracker.record_first_token(RequestId("1"), ms(1_100))
    after = tracker.load(B, ms(1_100))
    case.assertEqual((before.prefill_backlog_ms, before.helping), (400.0, 1))
    case.assertEqual((after.prefill_backlog_ms, after.helping), (0.0, 0))
    case.assertEqual(tracker.load(A, ms(1_100)).decoding, 1)


def test_memory_counts_where_it_is_held() -> None:
    tracker = LoadTracker()
    tracker.record(
        in_flight_request("1", held=(HeldTokens(A, 700), HeldTokens(B, 400)))
    )
    tracker.record(in_flight_request("2"))
    case.assertEqual(tracker.load(A, ms(0)).committed_tokens, 1_800)
    case.assertEqual(tracker.load(B, ms(0)).committed_tokens, 400)


def test_the_shortest_pause_is_that_of_an_engines_own_requests() -> None:
    tracker = LoadTracker()
    tracker.record(in_flight_request("1", longest_pause=ms(600)))
    tracker.record(
        in_flight_request("2", longest_pause=ms(250), parts=(PrefillPart(B, 1, 1.0),))
    )
    case.assertEqual(tracker.load(A, ms(0)).shortest_pause, ms(250))
    case.assertIsNone(tracker.load(B, ms(0)).shortest_pause)


def test_ended_requests_leave_nothing() -> None:
    tracker = LoadTracker()
    tracker.record(in_flight_request("1"))
    tracker.record(in_flight_request("1", ended=True))
    tracker.record(in_flight_request("2"))
    tracker.remove(RequestId("2"))
    case.assertEqual(tracker.by_engine, {})


def test_a_snapshot_replaces_the_previous_one() -> None:
    tracker = LoadTracker()
    tracker.record(in_flight_request("own"))
    tracker.replace_peer(
        PEER, [in_flight_request("1"), in_flight_request("2")], ms(1_000)
    )
    case.assertEqual(tracker.load(A, ms(1_000)).running, 3)
    tracker.replace_peer(
        PEER, [in_flight_request("2", first_token_at=ms(1_050))], ms(1_100)
    )
    load = tracker.load(A, ms(1_100))
    case.assertEqual((load.running, load.decoding), (2, 1))
    tracker.remove_peer(PEER)
    case.assertEqual(tracker.load(A, ms(1_100)).running, 1)


def test_one_request_id_at_two_instances_counts_twice() -> None:
    """A client sends a request twice with one id, to two instances.

    Both run until one ends; the other must still be counted.
    """
    tracker = LoadTracker()
    tracker.record(in_flight_request("1"))
    tracker.replace_peer(PEER, [in_flight_request("1")], ms(1_000))
    case.assertEqual(tracker.load(A, ms(1_000)).running, 2)
    tracker.remove(RequestId("1"))
    case.assertEqual(tracker.load(A, ms(1_000)).running, 1)


def test_a_start_time_in_the_future_is_clamped_to_the_report_time() -> None:
    tracker = LoadTracker()
    tracker.replace_peer(
        PEER, [in_flight_request("1", started_at=ms(9_000))], ms(1_000)
    )
    case.assertAlmostEqual(tracker.load(A, ms(1_000)).prefill_backlog_ms, 40.0)


load_tests = function_tests(__name__)
