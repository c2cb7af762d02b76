"""Tests of prompts that several engines read: when one waits for older ones."""

from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.ids import RequestId
from mimosafork.placement.choice import (
    Assignment,
    PlacementDecision,
    PlacementRequest,
    Shortage,
    WaitForCapacity,
)
from mimosafork.placement.load_tracker import LoadTracker
from mimosafork.placement.policy import choose

from ...support.functions import function_tests
from .test_policy import FIGURES, NOW, ask, ms, views

case = TestCase()

ENGINES = 8
LONG = 200_000
OBJECTIVE_MS = 3_000.0


def choose_at(
    book: LoadTracker, wanted: PlacementRequest, now: timedelta = NOW
) -> PlacementDecision:
    return choose(wanted, views(ENGINES), book, FIGURES, now, Random(1))


def reading_book(prompt: int) -> LoadTracker:
    """Return a book in which all engines have just begun to read a prompt."""
    wanted = ask(prompt, 60_000, 1_000, request=RequestId("older"))
    place = choose_at(LoadTracker(), wanted)
    assert isinstance(place, Assignment)
    assert len(place.parts) == ENGINES
    book = LoadTracker()
    book.record(place.to_in_flight_request(wanted, NOW))
    return book


def longest_read(book: LoadTracker) -> timedelta:
    """Return how long the engines read yet."""
    loads = [book.load(view.endpoint, NOW) for view in views(ENGINES)]
    return ms(max(load.prefill_backlog_ms for load in loads))


def test_a_long_prompt_lets_an_older_one_be_read_first() -> None:
    """A dossier waits fourteen seconds for its first word and is cut off.

    Engines read parts for other hosts newest first. Each dossier that came later went
    ahead of it on all engines, the last one was answered first, and the first one was
    read only when the flood was over.
    """
    book = reading_book(LONG)
    newer = ask(LONG, OBJECTIVE_MS, 1_000)
    choice = choose_at(book, newer)
    case.assertEqual(WaitForCapacity(Shortage.TURN), choice)
    after = NOW + longest_read(book)
    case.assertIsInstance(choose_at(book, newer, after), Assignment)


def test_a_prompt_goes_first_where_waiting_would_make_it_late() -> None:
    book = reading_book(LONG)
    hurried = ask(LONG, longest_read(book) / ms(1) * 1.6, 1_000)
    case.assertIsInstance(choose_at(book, hurried), Assignment)


def test_a_prompt_that_is_late_in_any_case_makes_no_other_late() -> None:
    """A huge dossier can't be on time, and went ahead of one that could."""
    book = reading_book(LONG)
    huge = ask(400_000, 500, 1_000, time_left=ms(30_000))
    case.assertEqual(WaitForCapacity(Shortage.TURN), choose_at(book, huge))


def test_a_late_prompt_goes_while_its_caller_still_waits() -> None:
    book = reading_book(LONG)
    huge = ask(400_000, 500, 1_000, time_left=ms(6_000))
    case.assertIsInstance(choose_at(book, huge), Assignment)


def test_prompts_of_one_engine_take_no_turns() -> None:
    """Short prompts are read behind the parts of others; they go ahead of none."""
    book = reading_book(LONG)
    case.assertIsInstance(choose_at(book, ask(2_000, 60_000, 60_000)), Assignment)


load_tests = function_tests(__name__)
