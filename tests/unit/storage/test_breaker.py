"""Tests of the circuit breaker."""

from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.storage.breaker import MAX_PROBE_DELAY, BreakerState, CircuitBreaker
from mimosafork.storage.errors import CallRejectedError, StoreUnavailableError

from ...support.functions import function_tests

case = TestCase()


def down() -> str:
    raise StoreUnavailableError("down")


def up() -> str:
    return "row"


def opened(clock: ManualClock) -> CircuitBreaker:
    breaker = CircuitBreaker("table service", clock, Random(1))
    for _ in range(breaker.failures_to_open):
        with case.assertRaises(StoreUnavailableError):
            breaker.run(down)
    return breaker


def test_open_breaker_rejects_calls_without_sending_them() -> None:
    """While the store is down, calls fail without being sent.

    Otherwise all threads wait for the store's timeout, and requests that do not need
    the store hang as well.
    """
    calls: list[int] = []
    breaker = opened(ManualClock())
    with case.assertRaisesRegex(StoreUnavailableError, "not called"):
        breaker.run(lambda: calls.append(1))
    case.assertEqual([], calls)


def test_successful_probe_closes_the_breaker() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)
    case.assertEqual("row", breaker.run(up))
    case.assertIs(BreakerState.CLOSED, breaker.state)


def test_calls_during_a_probe_fail_immediately() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)

    def probe() -> str:
        with case.assertRaisesRegex(StoreUnavailableError, "not called"):
            breaker.run(up)
        return "probed"

    case.assertEqual("probed", breaker.run(probe))


def test_failed_probes_increase_the_delay_up_to_its_maximum() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    for _ in range(10):
        clock.advance(MAX_PROBE_DELAY)
        with case.assertRaisesRegex(StoreUnavailableError, "down"):
            breaker.run(down)
        case.assertLessEqual(breaker.retry_at - clock.monotonic(), MAX_PROBE_DELAY)
    case.assertGreater(breaker.retry_at - clock.monotonic(), timedelta(seconds=0.9))


def test_unexpected_error_in_a_probe_does_not_keep_the_breaker_open() -> None:
    """An unexpected exception ends the probe call.

    If it were not counted, the breaker would stay in `PROBING` and reject all calls
    until the process restarts, although the store is available again.
    """
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)
    with case.assertRaises(ZeroDivisionError):
        breaker.run(lambda: 1 // 0)
    clock.advance(MAX_PROBE_DELAY)
    case.assertEqual("row", breaker.run(up))


def test_rejected_calls_do_not_open_the_breaker() -> None:
    breaker = CircuitBreaker("table service", ManualClock(), Random(1))

    def rejected() -> str:
        raise CallRejectedError("no such table")

    for _ in range(10):
        with case.assertRaises(CallRejectedError):
            breaker.run(rejected)
    case.assertIs(BreakerState.CLOSED, breaker.state)


load_tests = function_tests(__name__)
