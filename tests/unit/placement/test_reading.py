"""Tests of how long promised reading explains an engine's silence."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.ids import EndpointId, RequestId
from mimosafork.placement.load_tracker import InFlightRequest, PrefillPart
from mimosafork.placement.prefill_time import OVERRUN_SHARE, prefill_time_left

from ...support.functions import function_tests

case = TestCase()

ENGINE = EndpointId("e0")
NOW = timedelta(seconds=100)
NOTHING = timedelta(0)


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def read(name: str, length_ms: float, begun: timedelta = NOW) -> InFlightRequest:
    parts = (PrefillPart(ENGINE, 1_000, length_ms),)
    return InFlightRequest(RequestId(name), ENGINE, parts, started_at=begun)


def test_reads_follow_one_another() -> None:
    works = [read("a", 400), read("b", 600)]
    case.assertEqual(
        ms(1_000 * (1 + OVERRUN_SHARE)), prefill_time_left(ENGINE, works, NOW)
    )


def test_reading_that_should_be_over_for_long_explains_nothing() -> None:
    """An engine without power was waited for as long as its caller stayed.

    Its work stays in the book until an attempt ends; only the time that the reading
    may take says that something else is wrong.
    """
    works = [read("a", 400)]
    later = NOW + ms(400 * (1 + OVERRUN_SHARE))
    case.assertEqual(NOTHING, prefill_time_left(ENGINE, works, later))


def test_reading_that_began_after_a_pause_counts_from_its_own_start() -> None:
    works = [read("a", 400), read("b", 100, NOW + ms(5_000))]
    now = NOW + ms(5_000)
    case.assertEqual(
        ms(100 * (1 + OVERRUN_SHARE)), prefill_time_left(ENGINE, works, now)
    )


def test_what_writes_explains_no_silence() -> None:
    writer = InFlightRequest(RequestId("a"), ENGINE, started_at=NOW, first_token_at=NOW)
    case.assertEqual(NOTHING, prefill_time_left(ENGINE, [writer], NOW))


load_tests = function_tests(__name__)
