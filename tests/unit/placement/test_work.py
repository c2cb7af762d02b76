"""Tests of the load book: what running work puts on each engine."""

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


def work(name: str, host: EndpointId = A, **more: object) -> InFlightRequest:
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


def test_reads_queue_and_decay_with_time() -> None:
    book = LoadTracker()
    book.record(work("1"))
    book.record(work("2"))
    case.assertAlmostEqual(book.load(A, ms(1_000)).prefill_backlog_ms, 80.0)
    case.assertAlmostEqual(book.load(A, ms(1_050)).prefill_backlog_ms, 30.0)
    case.assertEqual(book.load(A, ms(2_000)).prefill_backlog_ms, 0.0)


def test_a_first_token_ends_the_reading_on_all_engines() -> None:
    book = LoadTracker()
    parts = (PrefillPart(A, 500, 400.0), PrefillPart(B, 500, 400.0))
    book.record(work("1", parts=parts))
    before = book.load(B, ms(1_000))
    book.record_first_token(RequestId("1"), ms(1_100))
    after = book.load(B, ms(1_100))
    case.assertEqual((before.prefill_backlog_ms, before.helping), (400.0, 1))
    case.assertEqual((after.prefill_backlog_ms, after.helping), (0.0, 0))
    case.assertEqual(book.load(A, ms(1_100)).decoding, 1)


def test_memory_lies_where_it_is_held() -> None:
    book = LoadTracker()
    book.record(work("1", held=(HeldTokens(A, 700), HeldTokens(B, 400))))
    book.record(work("2"))
    case.assertEqual(book.load(A, ms(0)).committed_tokens, 1_800)
    case.assertEqual(book.load(B, ms(0)).committed_tokens, 400)


def test_the_tightest_pause_is_that_of_an_engines_own_requests() -> None:
    book = LoadTracker()
    book.record(work("1", longest_pause=ms(600)))
    book.record(work("2", longest_pause=ms(250), parts=(PrefillPart(B, 1, 1.0),)))
    case.assertEqual(book.load(A, ms(0)).shortest_pause, ms(250))
    case.assertIsNone(book.load(B, ms(0)).shortest_pause)


def test_ended_work_leaves_nothing() -> None:
    book = LoadTracker()
    book.record(work("1"))
    book.record(work("1", ended=True))
    book.record(work("2"))
    book.remove(RequestId("2"))
    case.assertEqual(book.by_engine, {})


def test_a_snapshot_replaces_the_former_one_whole() -> None:
    book = LoadTracker()
    book.record(work("own"))
    book.replace_peer(PEER, [work("1"), work("2")], ms(1_000))
    case.assertEqual(book.load(A, ms(1_000)).running, 3)
    book.replace_peer(PEER, [work("2", first_token_at=ms(1_050))], ms(1_100))
    load = book.load(A, ms(1_100))
    case.assertEqual((load.running, load.decoding), (2, 1))
    book.remove_peer(PEER)
    case.assertEqual(book.load(A, ms(1_100)).running, 1)


def test_the_same_request_at_two_instances_counts_twice_and_ends_apart() -> None:
    """A caller sends a request twice with one id, to two instances.

    Both run until one ends; the other must stay in the book.
    """
    book = LoadTracker()
    book.record(work("1"))
    book.replace_peer(PEER, [work("1")], ms(1_000))
    case.assertEqual(book.load(A, ms(1_000)).running, 2)
    book.remove(RequestId("1"))
    case.assertEqual(book.load(A, ms(1_000)).running, 1)


def test_work_from_a_peer_whose_clock_is_ahead_starts_by_now() -> None:
    book = LoadTracker()
    book.replace_peer(PEER, [work("1", started_at=ms(9_000))], ms(1_000))
    case.assertAlmostEqual(book.load(A, ms(1_000)).prefill_backlog_ms, 40.0)


load_tests = function_tests(__name__)
