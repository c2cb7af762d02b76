"""Tests of how long assigned prefill accounts for an engine's silence."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.ids import EndpointId, RequestId
from mimosafork.placement.load_tracker import InFlightRequest, PrefillPart
from mimosafork.placement.prefill_time import OVERRUN_SHARE, prefill_time_left

from ...support.functions import function_tests

case = TestCase()

ENGINE = EndpointId("e0")
NOW = timedelta(seconds=100)
ZERO = timedelta(0)


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def prefilling(
    name: str, length_ms: float, started_at: timedelta = NOW
) -> InFlightRequest:
    parts = (PrefillPart(ENGINE, 1_000, length_ms),)
    return InFlightRequest(RequestId(name), ENGINE, parts, started_at=started_at)


def test_prefills_run_one_after_the_other() -> None:
    requests = [prefilling("a", 400), prefilling("b", 600)]
    case.assertEqual(
        ms(1_000 * (1 + OVERRUN_SHARE)), prefill_time_left(ENGINE, requests, NOW)
    )


def test_an_overdue_prefill_does_not_account_for_silence() -> None:
    """Guards against waiting for an engine without power until the client gives up.

    Its requests stay in the load tracker until an attempt ends; only the limit on the
    prefill time shows that something else is wrong.
    """
    requests = [prefilling("a", 400)]
    later = NOW + ms(400 * (1 + OVERRUN_SHARE))
    case.assertEqual(ZERO, prefill_time_left(ENGINE, requests, later))


def test_a_prefill_after_an_idle_time_counts_from_its_own_start() -> None:
    requests = [prefilling("a", 400), prefilling("b", 100, NOW + ms(5_000))]
    now = NOW + ms(5_000)
    case.assertEqual(
        ms(100 * (1 + OVERRUN_SHARE)), prefill_time_left(ENGINE, requests, now)
    )


def test_a_decoding_request_does_not_account_for_silence() -> None:
    decoding = InFlightRequest(
        RequestId("a"), ENGINE, started_at=NOW, first_token_at=NOW
    )
    case.assertEqual(ZERO, prefill_time_left(ENGINE, [decoding], NOW))


load_tests = function_tests(__name__)
