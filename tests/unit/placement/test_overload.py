"""Tests of the load estimate after overload rejections."""

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
OVERLOADED = round(SLOTS * OVERLOAD_FACTOR)
ANSWER_TIME = timedelta(seconds=1)
NOW = timedelta(seconds=100)
ZONE = AvailabilityZoneId("z")


def entries(
    count: int, host: EndpointId = A, started_at: timedelta = NOW
) -> list[InFlightRequest]:
    """Return a number of requests on an engine."""
    return [
        InFlightRequest(RequestId(f"{host}/{n}"), host, started_at=started_at)
        for n in range(count)
    ]


def overloaded_tracker(known: int = 0) -> LoadTracker:
    """Return a tracker whose first engine has rejected a call as overloaded."""
    tracker = LoadTracker()
    tracker.replace_peer(PEER, entries(known), NOW)
    tracker.record_rejection(A, SLOTS, ANSWER_TIME, NOW)
    return tracker


def decision_for(
    tracker: LoadTracker, running_ceiling: int | None = None
) -> PlacementDecision:
    """Return the decision for a short prompt."""
    views = [EngineView(name, "10.0.0.1:80", ZONE, SLOTS) for name in (A, B)]
    request = PlacementRequest(
        RequestId("x"),
        2_000,
        0,
        600,
        ANSWER_TIME * 10,
        ANSWER_TIME,
        running_ceiling=running_ceiling,
    )
    return choose(request, views, tracker, FIGURES, NOW, Random(1))


def test_an_overloaded_engine_counts_as_full_whatever_is_reported() -> None:
    for known in (0, 3, SLOTS, 2 * SLOTS):
        tracker = overloaded_tracker(known)
        case.assertEqual(max(known, OVERLOADED), tracker.estimated_running(A, NOW))
        case.assertEqual(0, tracker.estimated_running(B, NOW))
        choice = decision_for(tracker)
        assert isinstance(choice, Assignment)
        case.assertEqual(B, choice.host)


def test_unreported_requests_decay_linearly() -> None:
    tracker = overloaded_tracker(known=2)
    instants = [NOW + ANSWER_TIME * share for share in (0.0, 0.25, 0.5, 0.75, 1.0)]
    case.assertEqual(
        [12, 10, 7, 5, 2], [tracker.estimated_running(A, t) for t in instants]
    )


def test_a_request_reported_late_counts_once() -> None:
    tracker = overloaded_tracker()
    tracker.replace_peer(PEER, entries(5), NOW)
    case.assertEqual(OVERLOADED, tracker.estimated_running(A, NOW))


def test_a_later_request_counts_in_addition() -> None:
    tracker = overloaded_tracker()
    tracker.replace_peer(
        PEER, entries(2, started_at=NOW + ANSWER_TIME / 2), NOW + ANSWER_TIME / 2
    )
    case.assertEqual(
        OVERLOADED // 2 + 2, tracker.estimated_running(A, NOW + ANSWER_TIME / 2)
    )


def test_the_end_of_reported_requests_frees_capacity() -> None:
    tracker = overloaded_tracker(known=OVERLOADED)
    tracker.replace_peer(PEER, entries(SLOTS - 1), NOW)
    case.assertEqual(SLOTS - 1, tracker.estimated_running(A, NOW))


def test_a_second_overload_report_is_kept_for_longer() -> None:
    tracker = overloaded_tracker()
    later = NOW + ANSWER_TIME / 2
    tracker.record_rejection(A, SLOTS, ANSWER_TIME, later)
    case.assertEqual(OVERLOADED // 2, tracker.estimated_running(A, later + ANSWER_TIME))
    tracker.record_rejection(A, SLOTS, ANSWER_TIME, later + 5 * ANSWER_TIME)
    case.assertEqual(0, tracker.estimated_running(A, later + 6 * ANSWER_TIME))


def test_a_call_avoids_engines_as_loaded_as_the_one_that_rejected_it() -> None:
    tracker = LoadTracker()
    tracker.replace_peer(PEER, [*entries(4), *entries(3, B)], NOW)
    choice = decision_for(tracker, running_ceiling=4)
    assert isinstance(choice, Assignment)
    case.assertEqual(B, choice.host)
    case.assertEqual(
        WaitForCapacity(Shortage.SLOTS), decision_for(tracker, running_ceiling=3)
    )


def test_each_rejection_lowers_the_load_ceiling() -> None:
    ceiling = lower_ceiling(None, 0, NOW)
    case.assertEqual(1, ceiling.running)
    ceiling = lower_ceiling(ceiling, 3, NOW)
    case.assertEqual(1, ceiling.running)
    case.assertEqual(0, lower_ceiling(ceiling, 0, NOW).running)


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
