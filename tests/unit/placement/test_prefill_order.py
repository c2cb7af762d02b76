"""Tests of when a prompt that is split over several engines waits for older ones."""

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
from .test_policy import FIGURES, NOW, ms, placement_request, views

case = TestCase()

ENGINES = 8
LONG = 200_000
OBJECTIVE_MS = 3_000.0


def choose_at(
    tracker: LoadTracker, request: PlacementRequest, now: timedelta = NOW
) -> PlacementDecision:
    return choose(request, views(ENGINES), tracker, FIGURES, now, Random(1))


def prefilling_tracker(prompt: int) -> LoadTracker:
    """Return a tracker in which all engines have just begun to prefill a prompt."""
    request = placement_request(prompt, 60_000, 1_000, request=RequestId("older"))
    assignment = choose_at(LoadTracker(), request)
    assert isinstance(assignment, Assignment)
    assert len(assignment.parts) == ENGINES
    tracker = LoadTracker()
    tracker.record(assignment.to_in_flight_request(request, NOW))
    return tracker


def longest_backlog(tracker: LoadTracker) -> timedelta:
    """Return the longest prefill backlog of the engines."""
    loads = [tracker.load(view.endpoint, NOW) for view in views(ENGINES)]
    return ms(max(load.prefill_backlog_ms for load in loads))


def test_a_long_prompt_waits_for_an_older_prefill() -> None:
    """Guards against starvation of the oldest of several long prompts.

    Engines prefill parts for other hosts newest first. Each later prompt overtook the
    oldest on all engines, which waited fourteen seconds for its first token until the
    burst was over and its connection was closed.
    """
    tracker = prefilling_tracker(LONG)
    newer = placement_request(LONG, OBJECTIVE_MS, 1_000)
    choice = choose_at(tracker, newer)
    case.assertEqual(WaitForCapacity(Shortage.TURN), choice)
    after = NOW + longest_backlog(tracker)
    case.assertIsInstance(choose_at(tracker, newer, after), Assignment)


def test_a_prompt_does_not_wait_if_that_would_make_it_late() -> None:
    tracker = prefilling_tracker(LONG)
    urgent = placement_request(LONG, longest_backlog(tracker) / ms(1) * 1.6, 1_000)
    case.assertIsInstance(choose_at(tracker, urgent), Assignment)


def test_a_prompt_that_is_late_in_any_case_does_not_delay_others() -> None:
    """Guards against a huge, late prompt that overtakes one that could be on time."""
    tracker = prefilling_tracker(LONG)
    huge = placement_request(400_000, 500, 1_000, time_left=ms(30_000))
    case.assertEqual(WaitForCapacity(Shortage.TURN), choose_at(tracker, huge))


def test_a_late_prompt_is_placed_before_its_caller_gives_up() -> None:
    tracker = prefilling_tracker(LONG)
    huge = placement_request(400_000, 500, 1_000, time_left=ms(6_000))
    case.assertIsInstance(choose_at(tracker, huge), Assignment)


def test_prompts_on_a_single_engine_do_not_wait() -> None:
    """Short prompts are prefilled behind the parts of others; they overtake none."""
    tracker = prefilling_tracker(LONG)
    case.assertIsInstance(
        choose_at(tracker, placement_request(2_000, 60_000, 60_000)), Assignment
    )


load_tests = function_tests(__name__)
