"""Tests of endpoint health tracking."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.endpoint_health import (
    ENDPOINT_SUSPICION_PERIOD,
    MAX_UNREACHABLE_BACKOFF,
    UNREACHABLE_BACKOFF,
)
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.routing import EndpointLeaving, EndpointUsable

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    GatewayBench,
    gateway_bench,
    request_of,
)
from ...support.gateway_kernels import listed as plain_listed

case = TestCase()

MOMENT = timedelta(milliseconds=1)


def usable(bench: GatewayBench) -> set[str]:
    now = bench.clock.monotonic()
    views = (
        b.view(now)
        for b in bench.kernel.plugin(FleetView).service_endpoints(PLAIN_SERVICE)
    )
    return {view.endpoint for view in views if view.usable}


def suspects(bench: GatewayBench) -> set[str]:
    now = bench.clock.monotonic()
    views = (
        b.view(now)
        for b in bench.kernel.plugin(FleetView).service_endpoints(PLAIN_SERVICE)
    )
    return {view.endpoint for view in views if view.suspect}


def miss(bench: GatewayBench, request_id: str) -> None:
    """Place a call on an endpoint that is unreachable."""
    first = bench.begin(request_of(bench, request_id, time=timedelta(seconds=60)))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)


def test_a_stalled_endpoint_is_not_suspect() -> None:
    """Engines with long prefills after a flood stall, and their calls are moved.

    If stalled engines became suspect for seconds, all calls would be placed on the few
    other engines, which would stall in turn.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.STALLED)
    case.assertEqual(set(), suspects(bench))


def test_a_changed_listing_replaces_the_cached_view() -> None:
    """A cached view is replaced when its listing entry changes.

    Otherwise placement would use an outdated number of slots or a cold state.
    """
    bench = gateway_bench(endpoints=1)
    health = bench.kernel.plugin(FleetView).service_endpoints(PLAIN_SERVICE)[0]
    now = bench.clock.monotonic()
    kept = health.view(now)
    case.assertIs(kept, health.view(now + MOMENT))
    cold = replace(health.listed, slots=3, cold_remaining=MOMENT)
    for listed in (cold, health.listed):
        bench.handle(EndpointUsable(listed))
        seen = health.view(now)
        is_cold = listed.cold_remaining > timedelta(0)
        case.assertEqual((listed.slots, is_cold), (seen.slots, seen.cold))


def test_an_unreachable_endpoint_backs_off_exponentially() -> None:
    bench = gateway_bench(endpoints=1)
    backoff = UNREACHABLE_BACKOFF
    for number in range(4):
        miss(bench, f"a{number}")
        bench.handle_after(backoff - MOMENT, Tick())
        case.assertEqual(set(), usable(bench))
        bench.clock.advance(MOMENT)
        case.assertEqual({"desk-0"}, usable(bench))
        backoff = min(MAX_UNREACHABLE_BACKOFF, backoff * 2)


def test_an_endpoint_at_another_address_is_not_used() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.REFUSED, Exposure.REFUSED, 421, "elsewhere")
    case.assertNotIn(first.endpoint, usable(bench))


def test_a_failure_makes_an_endpoint_suspect_for_a_while() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    case.assertEqual({first.endpoint}, suspects(bench))
    case.assertEqual(2, len(usable(bench)))
    bench.clock.advance(ENDPOINT_SUSPICION_PERIOD)
    for number in range(3):
        case.assertEqual(first.endpoint in suspects(bench), number < 1)
        bench.kernel.plugin(FleetView).endpoints[first.endpoint].note_outcome(
            False, bench.clock.monotonic()
        )


def test_an_error_response_is_no_failure_of_the_endpoint() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.ENGINE_FAILED, status=500)
    case.assertEqual(set(), suspects(bench))


def test_a_draining_endpoint_gets_no_new_calls_whoever_reports_it_first() -> None:
    """An older listing does not revert a drain that was reported by a peer.

    Otherwise calls would be sent to an endpoint that has left.
    """
    bench = gateway_bench(endpoints=2)
    bench.handle(EndpointLeaving(EndpointId("desk-0"), final=True))
    bench.list_endpoint("desk-0")
    case.assertEqual({"desk-1"}, usable(bench))
    bench.handle(EndpointLeaving(EndpointId("desk-9"), final=True))
    bench.list_endpoint("desk-9")
    case.assertEqual({"desk-1"}, usable(bench))


def test_a_missing_endpoint_may_return() -> None:
    bench = gateway_bench(endpoints=2)
    bench.handle(EndpointLeaving(EndpointId("desk-0")))
    case.assertEqual({"desk-1"}, usable(bench))
    bench.list_endpoint("desk-0")
    case.assertEqual({"desk-0", "desk-1"}, usable(bench))


def backoff(bench: GatewayBench) -> timedelta:
    """Return the remaining backoff of the only endpoint."""
    (health,) = bench.kernel.plugin(FleetView).endpoints.values()
    return health.unusable_until - bench.clock.monotonic()


def test_the_backoff_of_an_unreachable_endpoint_is_bounded() -> None:
    """A hundred connections to an endpoint fail, one after the other.

    Each failure doubles the backoff; without a bound it would overflow and the failure
    would not be handled.
    """
    bench = gateway_bench(endpoints=1)
    for number in range(100):
        miss(bench, f"{number}")
        case.assertLessEqual(backoff(bench), MAX_UNREACHABLE_BACKOFF)
        if number < 99:
            bench.clock.advance(backoff(bench))
    case.assertEqual(MAX_UNREACHABLE_BACKOFF, backoff(bench))


def test_connections_that_fail_at_once_begin_one_backoff() -> None:
    """A short failure under many calls must not begin with the longest backoff."""
    bench = gateway_bench(endpoints=1)
    calls = [bench.begin(request_of(bench, f"a-{number}")) for number in range(100)]
    for first in calls:
        bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    case.assertEqual(UNREACHABLE_BACKOFF, backoff(bench))
    bench.clock.advance(UNREACHABLE_BACKOFF)
    miss(bench, "b")
    case.assertEqual(2 * UNREACHABLE_BACKOFF, backoff(bench))


def test_health_is_reset_with_a_new_incarnation() -> None:
    """An engine fails calls, drains, and restarts under the same id.

    The health of its previous incarnation must not apply to the new one.
    """
    bench = gateway_bench(endpoints=0)
    first = replace(plain_listed("desk-0"), started_ms=1000)
    bench.handle(EndpointUsable(first))
    miss(bench, "a")
    case.assertEqual(set(), usable(bench))
    second = replace(first, started_ms=2000)
    bench.handle(EndpointUsable(second))
    case.assertEqual({"desk-0"}, usable(bench))
    bench.handle(EndpointLeaving(second.endpoint, final=True))
    bench.handle(EndpointUsable(first))
    bench.handle(EndpointUsable(second))
    case.assertEqual(set(), usable(bench))
    bench.handle(EndpointUsable(replace(first, started_ms=3000)))
    case.assertEqual({"desk-0"}, usable(bench))


load_tests = function_tests(__name__)
