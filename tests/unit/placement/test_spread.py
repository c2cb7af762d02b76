"""Tests of how far instances spread that don't know of one another's last calls."""

from datetime import timedelta
from unittest import TestCase
from unittest.mock import patch

from benchmarks.passes.deployments import GROWN
from benchmarks.passes.play import Played, Run, play
from benchmarks.passes.words import Words
from mimosafork.ids import EndpointId, InstanceId, RequestId
from mimosafork.placement import spread
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker, PrefillPart
from mimosafork.placement.plan import NOISE_COST
from mimosafork.placement.rate import DELAY_WEIGHT, MAX_DELAY_S, ReportDelay

from ...support.functions import function_tests

case = TestCase()

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
A = EndpointId("i-a")
PEER, OTHER = InstanceId("entry-2"), InstanceId("entry-3")
LATE = Words(late_s=0.1)
CUT = Words(cut_s=(4.0, 12.0))
ROOM = 3
"""Requests that wait at an engine of six slots."""
FLOODS_S = 14.0
SEED = 20_260_101


def played_late() -> Played:
    """Return a flood in which all words of running work are late."""
    run = Run(GROWN, "mimosafork", SEED, FLOODS_S, words=LATE, queue_room=ROOM)
    return play(run)


def test_instances_that_hear_late_do_not_fill_one_engine_after_the_other() -> None:
    """In a flood every sixth call is turned away while other engines are half empty.

    The machines are busy and words of running work come a tenth of a second late. All
    instances take the same engine for the emptiest, until it turns their calls away.
    """
    with patch.object(spread, "SPREAD_PER_UNREPORTED", 0.0):
        without = played_late()
    spread_out = played_late()
    case.assertGreater(len(without.rejections), without.arrivals * 0.1)
    case.assertLess(len(spread_out.rejections), len(without.rejections) / 4)


def test_instances_that_hear_nothing_spread_when_engines_are_full() -> None:
    """Behind a cut between zones every fifth call is turned away.

    Instances of three zones reach all engines and don't hear each other. What is heard
    comes in time, so that no age tells of what is missing; engines that are full do.
    """
    without, spread_out = 0, 0
    for seed in (SEED, SEED + 1):
        run = Run(GROWN, "mimosafork", seed, FLOODS_S, words=CUT, queue_room=ROOM)
        with patch.object(spread, "UNREPORTED_PER_REJECTION", 0.0):
            without += len(play(run).rejections)
        spread_out += len(play(run).rejections)
    case.assertGreater(without, 100)
    case.assertLess(spread_out, 0.9 * without)


def work(number: int, began: timedelta, reads: bool = True) -> InFlightRequest:
    """Return a peer's work on an engine, or on a plain endpoint."""
    parts = (PrefillPart(A, 100, 1.0),) if reads else ()
    return InFlightRequest(RequestId(f"{PEER}/{number}"), A, parts, started_at=began)


def test_the_age_of_works_is_that_of_their_first_word() -> None:
    book = LoadTracker()
    first = work(1, SECOND)
    book.replace_peer(PEER, [], SECOND)
    book.replace_peer(PEER, [first], 1.1 * SECOND)
    case.assertAlmostEqual(0.1 * DELAY_WEIGHT, book.report_delay.mean_s)
    book.replace_peer(PEER, [first], 2 * SECOND)
    case.assertAlmostEqual(0.1 * DELAY_WEIGHT, book.report_delay.mean_s)


def test_works_that_say_nothing_of_words_are_left_out() -> None:
    """A peer that is heard for the first time tells works that have run for seconds.

    And calls of plain endpoints are told when they have lasted for a while, not late.
    """
    book = LoadTracker()
    book.replace_peer(PEER, [work(1, SECOND)], 9 * SECOND)
    book.replace_peer(OTHER, [], SECOND)
    book.replace_peer(OTHER, [work(2, SECOND, reads=False)], 9 * SECOND)
    case.assertEqual(0.0, book.report_delay.mean_s)


def test_one_lost_word_changes_little() -> None:
    age = ReportDelay()
    age.record(60 * SECOND)
    case.assertLessEqual(age.mean_s, MAX_DELAY_S * DELAY_WEIGHT)
    for _ in range(300):
        age.record(10 * MILLISECOND)
    case.assertAlmostEqual(0.01, age.mean_s, delta=0.001)


def test_rejections_count_as_works_that_nobody_told_of() -> None:
    calm = spread.spread_cost(10.0, 0.006)
    case.assertEqual(calm, spread.spread_cost(10.0, 0.006, 0.0))
    case.assertLess(calm, spread.spread_cost(10.0, 0.006, 0.5))
    # An engine that turns calls away without being full must not send all others about.
    case.assertLessEqual(spread.spread_cost(0.0, 0.0, 0.3), NOISE_COST)
    book = LoadTracker()
    book.record_rejection(A, 8, SECOND, SECOND)
    case.assertAlmostEqual(1.0, book.rejection_rate.per_s(SECOND))
    case.assertLess(book.rejection_rate.per_s(6 * SECOND), 0.01)


def test_the_spread_grows_with_what_is_not_known_yet_within_bounds() -> None:
    case.assertEqual(NOISE_COST, spread.spread_cost(0.0, 1.0))
    case.assertEqual(NOISE_COST, spread.spread_cost(35.0, 0.006))
    at_once, late = spread.spread_cost(40.0, 0.03), spread.spread_cost(40.0, 0.1)
    case.assertTrue(NOISE_COST < at_once < late < spread.MAX_SPREAD_COST)
    case.assertEqual(spread.MAX_SPREAD_COST, spread.spread_cost(1e4, MAX_DELAY_S))


load_tests = function_tests(__name__)
