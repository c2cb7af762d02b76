"""Tests of what an engine's word that it is full adds to the book of work."""

from datetime import timedelta
from random import Random
from unittest import TestCase

from msgspec.structs import replace

from benchmarks.passes.deployments import FIGURES
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from mimosafork.placement.choice import (
    Assignment,
    EngineView,
    PlacementDecision,
    PlacementRequest,
    Shortage,
    WaitForCapacity,
)
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker
from mimosafork.placement.overload import (
    MAX_ANSWER_TIME,
    MIN_ANSWER_TIME,
    MIN_SLOT_RELEASE_TIME,
    OVERLOAD_FACTOR,
    lower_ceiling,
    slot_release_time,
    typical_answer_time,
)
from mimosafork.placement.policy import choose

from ...support.functions import function_tests

case = TestCase()

A, B = EndpointId("i-a"), EndpointId("i-b")
PEER = InstanceId("entry-2")
SLOTS = 8
FULL = round(SLOTS * OVERLOAD_FACTOR)
STAY = timedelta(seconds=1)
NOW = timedelta(seconds=100)
ZONE = AvailabilityZoneId("z")


def works(
    count: int, host: EndpointId = A, began: timedelta = NOW
) -> list[InFlightRequest]:
    """Return so many works on an engine."""
    return [
        InFlightRequest(RequestId(f"{host}/{n}"), host, started_at=began)
        for n in range(count)
    ]


def full_book(known: int = 0) -> LoadTracker:
    """Return a book whose first engine has said that it is full."""
    book = LoadTracker()
    book.replace_peer(PEER, works(known), NOW)
    book.record_rejection(A, SLOTS, STAY, NOW)
    return book


def chosen(book: LoadTracker, running_ceiling: int | None = None) -> PlacementDecision:
    """Return where a short prompt goes."""
    views = [EngineView(name, "10.0.0.1:80", ZONE, SLOTS) for name in (A, B)]
    ask = PlacementRequest(
        RequestId("x"), 2_000, 0, 600, STAY * 10, STAY, running_ceiling=running_ceiling
    )
    return choose(ask, views, book, FIGURES, NOW, Random(1))


def test_a_full_engine_has_its_slots_taken_whatever_is_known() -> None:
    for known in (0, 3, SLOTS, 2 * SLOTS):
        book = full_book(known)
        case.assertEqual(max(known, FULL), book.estimated_running(A, NOW))
        case.assertEqual(0, book.estimated_running(B, NOW))
        choice = chosen(book)
        assert isinstance(choice, Assignment)
        case.assertEqual(B, choice.host)


def test_what_is_not_heard_of_is_forgotten_evenly() -> None:
    book = full_book(known=2)
    instants = [NOW + STAY * share for share in (0.0, 0.25, 0.5, 0.75, 1.0)]
    case.assertEqual(
        [12, 10, 7, 5, 2], [book.estimated_running(A, t) for t in instants]
    )


def test_work_that_is_heard_of_late_counts_once() -> None:
    book = full_book()
    book.replace_peer(PEER, works(5), NOW)
    case.assertEqual(FULL, book.estimated_running(A, NOW))


def test_work_that_begins_later_counts_besides() -> None:
    book = full_book()
    book.replace_peer(PEER, works(2, began=NOW + STAY / 2), NOW + STAY / 2)
    case.assertEqual(FULL // 2 + 2, book.estimated_running(A, NOW + STAY / 2))


def test_the_end_of_known_work_makes_room() -> None:
    book = full_book(known=FULL)
    book.replace_peer(PEER, works(SLOTS - 1), NOW)
    case.assertEqual(SLOTS - 1, book.estimated_running(A, NOW))


def test_an_engine_that_is_full_again_is_believed_for_longer() -> None:
    book = full_book()
    later = NOW + STAY / 2
    book.record_rejection(A, SLOTS, STAY, later)
    case.assertEqual(FULL // 2, book.estimated_running(A, later + STAY))
    book.record_rejection(A, SLOTS, STAY, later + 5 * STAY)
    case.assertEqual(0, book.estimated_running(A, later + 6 * STAY))


def test_a_call_takes_no_engine_as_crowded_as_the_one_that_refused_it() -> None:
    book = LoadTracker()
    book.replace_peer(PEER, [*works(4), *works(3, B)], NOW)
    choice = chosen(book, running_ceiling=4)
    assert isinstance(choice, Assignment)
    case.assertEqual(B, choice.host)
    case.assertEqual(WaitForCapacity(Shortage.SLOTS), chosen(book, running_ceiling=3))


def test_each_rejection_leaves_a_call_fewer_engines() -> None:
    crowd = lower_ceiling(None, 0, NOW)
    case.assertEqual(1, crowd.running)
    crowd = lower_ceiling(crowd, 3, NOW)
    case.assertEqual(1, crowd.running)
    case.assertEqual(0, lower_ceiling(crowd, 0, NOW).running)


def test_times_follow_the_engines_figures_within_bounds() -> None:
    case.assertEqual(
        typical_answer_time(FIGURES) / FIGURES.slots, slot_release_time(FIGURES)
    )
    case.assertTrue(MIN_ANSWER_TIME < typical_answer_time(FIGURES) < MAX_ANSWER_TIME)
    case.assertEqual(
        MAX_ANSWER_TIME,
        typical_answer_time(replace(FIGURES, mean_answer_tokens=90_000)),
    )
    brief = replace(FIGURES, mean_answer_tokens=1)
    case.assertEqual(MIN_ANSWER_TIME, typical_answer_time(brief))
    case.assertEqual(MIN_SLOT_RELEASE_TIME, slot_release_time(brief))
    unstated = replace(FIGURES, mean_answer_tokens=0)
    case.assertTrue(MIN_ANSWER_TIME < typical_answer_time(unstated) < MAX_ANSWER_TIME)


load_tests = function_tests(__name__)
