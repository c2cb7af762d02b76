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


def test_a_dead_store_is_not_called_by_every_caller() -> None:
    """While the store is down callers are refused without a call each.

    What a user sees without it: requests that need no store hang as well, since
    all threads sit out the store's timeout one after the other.
    """
    calls: list[int] = []
    breaker = opened(ManualClock())
    with case.assertRaisesRegex(StoreUnavailableError, "not called"):
        breaker.run(lambda: calls.append(1))
    case.assertEqual([], calls)


def test_one_probe_closes_it_again() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)
    case.assertEqual("row", breaker.run(up))
    case.assertIs(BreakerState.CLOSED, breaker.state)


def test_callers_beside_the_probe_fail_at_once() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)

    def probe() -> str:
        with case.assertRaisesRegex(StoreUnavailableError, "not called"):
            breaker.run(up)
        return "probed"

    case.assertEqual("probed", breaker.run(probe))


def test_failed_probes_lengthen_the_pause_up_to_its_bound() -> None:
    clock = ManualClock()
    breaker = opened(clock)
    for _ in range(10):
        clock.advance(MAX_PROBE_DELAY)
        with case.assertRaisesRegex(StoreUnavailableError, "down"):
            breaker.run(down)
        case.assertLessEqual(breaker.retry_at - clock.monotonic(), MAX_PROBE_DELAY)
    case.assertGreater(breaker.retry_at - clock.monotonic(), timedelta(seconds=0.9))


def test_a_probe_that_ends_in_a_fault_of_ours_does_not_shut_it_for_ever() -> None:
    """An unforeseen exception in the probing call is no answer of the store.

    Without the guard the breaker stays in `PROBING` and refuses all calls until
    the process is restarted, though the store is back.
    """
    clock = ManualClock()
    breaker = opened(clock)
    clock.advance(MAX_PROBE_DELAY)
    with case.assertRaises(ZeroDivisionError):
        breaker.run(lambda: 1 // 0)
    clock.advance(MAX_PROBE_DELAY)
    case.assertEqual("row", breaker.run(up))


def test_a_faulty_call_says_nothing_about_the_store() -> None:
    breaker = CircuitBreaker("table service", ManualClock(), Random(1))

    def rejected() -> str:
        raise CallRejectedError("no such table")

    for _ in range(10):
        with case.assertRaises(CallRejectedError):
            breaker.run(rejected)
    case.assertIs(BreakerState.CLOSED, breaker.state)


load_tests = function_tests(__name__)
