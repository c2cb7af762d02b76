"""Tests of placement while several instances choose the last slots of engines at once.

The load is that of 64 instances and 45 engines of six slots: a burst of long prompts,
then one of short prompts at two and a half times their usual rate, as in large
deployments for ten seconds at a time. Calls arrive at the instances at random, and the
others know of a started call 6 ms later; the figures are those of `benchmarks.passes`,
which is checked against whole runs.
"""

from datetime import timedelta
from random import Random
from unittest import TestCase
from unittest.mock import patch

from benchmarks.passes.deployments import GROWN
from benchmarks.passes.play import Run, play
from mimosafork.ids import AvailabilityZoneId, EndpointId, RequestId
from mimosafork.placement import race
from mimosafork.placement.choice import Assignment, EngineView, PlacementRequest
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker, PrefillPart
from mimosafork.placement.policy import choose
from mimosafork.placement.rate import DecayingRate

from ...support.functions import function_tests

case = TestCase()

BURST_S = 24.0
SEEDS = (20_260_101, 20_260_102)
SECOND = timedelta(seconds=1)
FIGURES = GROWN.figures
ENGINES = tuple(EndpointId(f"i-{n}") for n in range(2))
ZONE = AvailabilityZoneId("z")


def late_share() -> float:
    """Return the share of short prompts that are not on time in a burst."""
    outcomes = [
        outcome
        for seed in SEEDS
        for outcome in play(Run(GROWN, "mimosafork", seed, BURST_S)).outcomes
        if outcome.call.kind.name == "short"
    ]
    return sum(not outcome.on_time for outcome in outcomes) / len(outcomes)


def test_short_prompts_do_not_race_for_the_last_slots_under_high_load() -> None:
    """Guards against late first tokens while other engines are free.

    Eight calls went to one engine of six slots within 80 ms: each instance saw a free
    slot there and did not yet know of the others' calls. The last ones were queued in
    the engine until an answer ended, a second later.
    """
    with patch.object(race, "REPORT_DELAY_S", 0.0):
        without = late_share()
    case.assertGreater(without, 0.05)
    case.assertLess(late_share(), without / 2)


def tracker_with(running: int, per_s: int) -> LoadTracker:
    """Return a tracker with requests on the first engine and a rate of starts."""
    tracker = LoadTracker()
    for number in range(per_s * 5):
        tracker.start_rate.record(SECOND * (number / per_s))
    for number in range(running):
        part = PrefillPart(ENGINES[0], 100, 1.0)
        started_at = SECOND * 4.0
        tracker.record(
            InFlightRequest(
                RequestId(str(number)),
                ENGINES[0],
                (part,),
                prompt_tokens=100,
                answer_tokens=300,
                longest_pause=SECOND / 4,
                started_at=started_at,
                first_token_at=started_at + SECOND / 10,
            )
        )
    return tracker


def chosen_host(tracker: LoadTracker) -> EndpointId:
    """Return the host of a short prompt."""
    views = [EngineView(name, "10.0.0.1:80", ZONE, FIGURES.slots) for name in ENGINES]
    request = PlacementRequest(
        RequestId("x"), 2_000, 0, 600, SECOND * 10, SECOND / 3, longest_pause=SECOND / 4
    )
    choice = choose(request, views, tracker, FIGURES, SECOND * 5, Random(1))
    assert isinstance(choice, Assignment)
    return choice.host


def test_the_last_slot_is_used_only_at_a_low_request_rate() -> None:
    case.assertEqual(ENGINES[0], chosen_host(tracker_with(running=5, per_s=2)))
    case.assertEqual(ENGINES[1], chosen_host(tracker_with(running=5, per_s=80)))
    case.assertEqual(ENGINES[0], chosen_host(tracker_with(running=2, per_s=80)))


def test_race_costs_fall_with_free_slots_and_grow_with_the_rate() -> None:
    calm, busy = (race.race_costs(rate, FIGURES) for rate in (1.0, 80.0))
    case.assertEqual(sorted(busy, reverse=True), list(busy))
    case.assertTrue(all(low < high for low, high in zip(calm, busy, strict=True)))
    case.assertEqual((0.0,) * race.MAX_CONTESTED_SLOTS, race.race_costs(0.0, FIGURES))


def test_the_rate_follows_request_starts_and_decays() -> None:
    rate = DecayingRate()
    for number in range(400):
        rate.record(SECOND * (number / 40))
    case.assertAlmostEqual(40.0, rate.per_s(SECOND * 10), delta=2.0)
    case.assertLess(rate.per_s(SECOND * 15), 1.0)


def test_a_request_counts_once_for_the_rate_whatever_is_recorded_later() -> None:
    tracker = tracker_with(running=3, per_s=1)
    before = tracker.start_rate.per_s(SECOND * 5)
    for request in list(tracker.own):
        tracker.record_first_token(request, SECOND * 5)
    case.assertEqual(before, tracker.start_rate.per_s(SECOND * 5))


load_tests = function_tests(__name__)
