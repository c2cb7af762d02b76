"""Tests of the random spread of placements while peers' reports are late or missing."""

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
QUEUE_ROOM = 3
"""Requests that queue at an engine of six slots."""
BURST_S = 14.0
SEED = 20_260_101


def run_with_late_reports() -> Played:
    """Return a run with a burst in which all reports of running requests are late."""
    run = Run(GROWN, "mimosafork", SEED, BURST_S, words=LATE, queue_room=QUEUE_ROOM)
    return play(run)


def test_late_reports_do_not_make_all_instances_choose_one_engine() -> None:
    """Guards against rejected calls while other engines are half empty.

    On busy machines, reports of running requests arrive a tenth of a second late. All
    instances find the same engine least loaded until it rejects their calls; that was
    every sixth call in a burst.
    """
    with patch.object(spread, "SPREAD_PER_UNREPORTED", 0.0):
        without = run_with_late_reports()
    spread_out = run_with_late_reports()
    case.assertGreater(len(without.rejections), without.arrivals * 0.1)
    case.assertLess(len(spread_out.rejections), len(without.rejections) / 4)


def test_overload_rejections_spread_calls_without_reports() -> None:
    """Guards against rejected calls during a network partition between zones.

    Instances of three zones reach all engines but not each other, and every fifth call
    is rejected. The reports that do arrive are on time, so their delay doesn't show the
    missing ones; overloaded engines do.
    """
    without, spread_out = 0, 0
    for seed in (SEED, SEED + 1):
        run = Run(GROWN, "mimosafork", seed, BURST_S, words=CUT, queue_room=QUEUE_ROOM)
        with patch.object(spread, "UNREPORTED_PER_REJECTION", 0.0):
            without += len(play(run).rejections)
        spread_out += len(play(run).rejections)
    case.assertGreater(without, 100)
    case.assertLess(spread_out, 0.9 * without)


def in_flight_request(
    number: int, started_at: timedelta, prefills: bool = True
) -> InFlightRequest:
    """Return a peer's request on an engine, or on a plain service."""
    parts = (PrefillPart(A, 100, 1.0),) if prefills else ()
    return InFlightRequest(
        RequestId(f"{PEER}/{number}"), A, parts, started_at=started_at
    )


def test_the_report_delay_is_measured_at_the_first_report() -> None:
    tracker = LoadTracker()
    first = in_flight_request(1, SECOND)
    tracker.replace_peer(PEER, [], SECOND)
    tracker.replace_peer(PEER, [first], 1.1 * SECOND)
    case.assertAlmostEqual(0.1 * DELAY_WEIGHT, tracker.report_delay.mean_s)
    tracker.replace_peer(PEER, [first], 2 * SECOND)
    case.assertAlmostEqual(0.1 * DELAY_WEIGHT, tracker.report_delay.mean_s)


def test_reports_that_are_old_by_design_do_not_count_as_delayed() -> None:
    """The first report of a peer includes requests that have run for seconds.

    And calls of plain services are reported only after some time, which is not a delay.
    """
    tracker = LoadTracker()
    tracker.replace_peer(PEER, [in_flight_request(1, SECOND)], 9 * SECOND)
    tracker.replace_peer(OTHER, [], SECOND)
    tracker.replace_peer(
        OTHER, [in_flight_request(2, SECOND, prefills=False)], 9 * SECOND
    )
    case.assertEqual(0.0, tracker.report_delay.mean_s)


def test_one_lost_report_changes_little() -> None:
    delay = ReportDelay()
    delay.record(60 * SECOND)
    case.assertLessEqual(delay.mean_s, MAX_DELAY_S * DELAY_WEIGHT)
    for _ in range(300):
        delay.record(10 * MILLISECOND)
    case.assertAlmostEqual(0.01, delay.mean_s, delta=0.001)


def test_rejections_count_as_unreported_requests() -> None:
    low = spread.spread_cost(10.0, 0.006)
    case.assertEqual(low, spread.spread_cost(10.0, 0.006, 0.0))
    case.assertLess(low, spread.spread_cost(10.0, 0.006, 0.5))
    # Rejections by an engine that is not overloaded must not spread all calls.
    case.assertLessEqual(spread.spread_cost(0.0, 0.0, 0.3), NOISE_COST)
    tracker = LoadTracker()
    tracker.record_rejection(A, 8, SECOND, SECOND)
    case.assertAlmostEqual(1.0, tracker.rejection_rate.per_s(SECOND))
    case.assertLess(tracker.rejection_rate.per_s(6 * SECOND), 0.01)


def test_the_spread_grows_with_unreported_requests_within_bounds() -> None:
    case.assertEqual(NOISE_COST, spread.spread_cost(0.0, 1.0))
    case.assertEqual(NOISE_COST, spread.spread_cost(35.0, 0.006))
    prompt, late = spread.spread_cost(40.0, 0.03), spread.spread_cost(40.0, 0.1)
    case.assertTrue(NOISE_COST < prompt < late < spread.MAX_SPREAD_COST)
    case.assertEqual(spread.MAX_SPREAD_COST, spread.spread_cost(1e4, MAX_DELAY_S))


load_tests = function_tests(__name__)
