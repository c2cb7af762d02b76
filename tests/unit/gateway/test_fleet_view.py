"""Tests of what an instance believes of each endpoint."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.fleet_view import (
    ENDPOINT_SUSPICION_PERIOD,
    MAX_UNREACHABLE_BACKOFF,
    UNREACHABLE_BACKOFF,
    FleetView,
)
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
from ...support.gateway_kernels import listed as desk_listed

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
    """Let a call be placed on an endpoint that can't be connected to."""
    first = bench.begin(request_of(bench, request_id, time=timedelta(seconds=60)))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)


def test_an_endpoint_that_is_merely_silent_is_no_suspect() -> None:
    """A flood ends, and engines still read long prompts; short calls there wait.

    Their calls are tried elsewhere. Were each silent engine taken last for seconds,
    all calls would crowd onto the few others, which would fall silent in turn.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.STALLED)
    case.assertEqual(set(), suspects(bench))


def test_placement_hears_what_the_list_says_anew() -> None:
    """An engine is taken for a cold one for good, or for one with more slots.

    Views are kept between placements; one must not outlive the entry it came from.
    """
    bench = gateway_bench(endpoints=1)
    belief = bench.kernel.plugin(FleetView).service_endpoints(PLAIN_SERVICE)[0]
    now = bench.clock.monotonic()
    kept = belief.view(now)
    case.assertIs(kept, belief.view(now + MOMENT))
    cold = replace(belief.listed, slots=3, cold_remaining=MOMENT)
    for listed in (cold, belief.listed):
        bench.handle(EndpointUsable(listed))
        seen = belief.view(now)
        is_cold = listed.cold_remaining > timedelta(0)
        case.assertEqual((listed.slots, is_cold), (seen.slots, seen.cold))


def test_an_unreached_endpoint_is_left_alone_longer_each_time() -> None:
    bench = gateway_bench(endpoints=1)
    absence = UNREACHABLE_BACKOFF
    for number in range(4):
        miss(bench, f"a{number}")
        bench.handle_after(absence - MOMENT, Tick())
        case.assertEqual(set(), usable(bench))
        bench.clock.advance(MOMENT)
        case.assertEqual({"desk-0"}, usable(bench))
        absence = min(MAX_UNREACHABLE_BACKOFF, absence * 2)


def test_one_at_another_address_is_left_alone() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.REFUSED, Exposure.REFUSED, 421, "elsewhere")
    case.assertNotIn(first.endpoint, usable(bench))


def test_failures_make_a_suspect_for_a_while() -> None:
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


def test_an_answer_of_its_own_is_no_failure_of_the_endpoint() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.ENGINE_FAILED, status=500)
    case.assertEqual(set(), suspects(bench))


def test_a_leaving_endpoint_gets_nothing_new_whoever_says_so_first() -> None:
    """A call reaches an endpoint that has left.

    A peer told that the endpoint drains before this instance's own list did; the
    list, older, then said that it is ready, and brought it back.
    """
    bench = gateway_bench(endpoints=2)
    bench.handle(EndpointLeaving(EndpointId("desk-0"), final=True))
    bench.list_endpoint("desk-0")
    case.assertEqual({"desk-1"}, usable(bench))
    bench.handle(EndpointLeaving(EndpointId("desk-9"), final=True))
    bench.list_endpoint("desk-9")
    case.assertEqual({"desk-1"}, usable(bench))


def test_one_that_was_merely_missing_may_come_back() -> None:
    bench = gateway_bench(endpoints=2)
    bench.handle(EndpointLeaving(EndpointId("desk-0")))
    case.assertEqual({"desk-1"}, usable(bench))
    bench.list_endpoint("desk-0")
    case.assertEqual({"desk-0", "desk-1"}, usable(bench))


def test_an_endpoint_that_is_never_reached_again_stays_left_alone() -> None:
    """An endpoint dies under a burst, and a hundred connections to it fail at once.

    Each doubles the time for which it is left alone. Without a bound of its own the
    doubling leaves the range of times, and the call's failure is not handled.
    """
    bench = gateway_bench(endpoints=1)
    calls = [bench.begin(request_of(bench, f"a-{number}")) for number in range(100)]
    for first in calls:
        bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    belief = bench.kernel.plugin(FleetView).endpoints[calls[0].endpoint]
    left = belief.unusable_until - bench.clock.monotonic()
    case.assertEqual(MAX_UNREACHABLE_BACKOFF, left)


def test_what_was_learned_of_a_life_ends_with_it() -> None:
    """An engine fails calls, drains, and starts again under its id.

    The instance went on leaving it alone for what its former life had done.
    """
    bench = gateway_bench(endpoints=0)
    first = replace(desk_listed("desk-0"), started_ms=1000)
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
