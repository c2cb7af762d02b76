"""Tests of the detection of unreachable zones."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.endpoint_health import MAX_UNREACHABLE_BACKOFF
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.zone_suspicion import (
    FAILURE_WINDOW,
    SUSPICION_PERIOD,
    SUSPICION_THRESHOLD,
    ZoneSuspicion,
)
from mimosafork.ids import AvailabilityZoneId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.routing import EndpointUsable
from mimosafork.routing.listing import ListedEndpoint
from mimosafork.telemetry.catalogue.zones import ZONE_ANSWERS, ZONE_SUSPECTED

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    ZONE,
    GatewayBench,
    gateway_bench,
    listed,
    request_of,
)
from ...support.log_lines import caught_lines

case = TestCase()

FAR = AvailabilityZoneId("zone-b")
OTHER = AvailabilityZoneId("zone-c")
LONG = timedelta(seconds=60)
BETWEEN = timedelta(milliseconds=100)
MOMENT = timedelta(milliseconds=1)


def bench_of_zones(*zones: AvailabilityZoneId, each: int = 4) -> GatewayBench:
    """Return a kernel with some endpoints in each zone."""
    bench = gateway_bench(endpoints=0)
    for zone in zones:
        for number in range(each):
            entry = replace(listed(f"{zone}/{number}"), zone=zone)
            bench.handle(EndpointUsable(entry))
    return bench


def zone_of(dispatch: Dispatch) -> str:
    return dispatch.endpoint.partition("/")[0]


def serve(bench: GatewayBench, calls: int, cut: str = "", name: str = "a") -> int:
    """Run calls one by one; return how many went to the partitioned zone first."""
    lost = 0
    for number in range(calls):
        bench.clock.advance(BETWEEN)
        dispatch = bench.begin(request_of(bench, f"{name}{number}", time=LONG))
        lost += zone_of(dispatch) == cut
        while zone_of(dispatch) == cut:
            bench.fail(dispatch, FailureKind.UNREACHED, Exposure.NEVER_SENT)
            again = bench.retried(dispatch)
            assert again is not None
            dispatch = again
        bench.finish(dispatch)
    return lost


def test_calls_avoid_a_partitioned_zone() -> None:
    """Calls avoid all endpoints of a partitioned zone after a few failures.

    If each endpoint were ejected only by its own failures and retried soon, many calls
    would first wait for a connection timeout.
    """
    bench = bench_of_zones(FAR, OTHER, each=6)
    with caught_lines() as lines:
        lost = serve(bench, 100, FAR)
    seconds = 100 * BETWEEN / SUSPICION_PERIOD
    case.assertLessEqual(lost, SUSPICION_THRESHOLD + seconds)
    case.assertEqual(FAR, lines.one(ZONE_SUSPECTED)["zone"])


def test_a_zone_that_answers_again_is_used_again() -> None:
    bench = bench_of_zones(FAR, OTHER)
    serve(bench, 40, FAR)
    with caught_lines() as lines:
        bench.clock.advance(MAX_UNREACHABLE_BACKOFF)
        serve(bench, 40, name="b")
    case.assertEqual(FAR, lines.one(ZONE_ANSWERS)["zone"])
    later = [d for d in bench.emitted(Dispatch) if d.request_id.startswith("b")]
    case.assertGreater(sum(zone_of(d) == FAR for d in later), 10)


def suspicion_after(
    *failing: str, kind: FailureKind = FailureKind.UNREACHED
) -> tuple[ZoneSuspicion, timedelta]:
    """Return the suspicion after simultaneous failures of some endpoints."""
    zones, now = ZoneSuspicion(), timedelta(seconds=100)
    for endpoint in failing:
        zones.note_failure(far(endpoint), kind, now)
    return zones, now


def far(name: str) -> ListedEndpoint:
    return replace(listed(name), zone=FAR)


def test_one_unreachable_endpoint_does_not_make_its_zone_suspect() -> None:
    zones, now = suspicion_after("a", "a", "a")
    case.assertFalse(zones.suspected(FAR, now))
    later = now + FAILURE_WINDOW + MOMENT
    zones.note_failure(far("b"), FailureKind.UNREACHED, later)
    case.assertFalse(zones.suspected(FAR, later))


def test_a_few_stalled_endpoints_do_not_make_their_zone_suspect() -> None:
    """Stalls of a few endpoints do not make a healthy zone suspect.

    Engines that share the prefill of a prompt of 270,000 tokens stall their other
    streams; two such engines of a zone must not look like a network partition.
    """
    for count, suspected in ((3, False), (4, True)):
        zones, now = suspicion_after(*"abcd"[:count], kind=FailureKind.STALLED)
        case.assertEqual(suspected, zones.suspected(FAR, now))


def test_an_answer_between_two_failures_clears_the_zone() -> None:
    zones, now = suspicion_after("a")
    zones.note_answer(FAR, now)
    zones.note_failure(far("b"), FailureKind.UNREACHED, now)
    case.assertFalse(zones.suspected(FAR, now))


def test_a_suspicion_expires_and_one_failure_renews_it() -> None:
    zones, now = suspicion_after("a", "b")
    case.assertTrue(zones.suspected(FAR, now + SUSPICION_PERIOD - MOMENT))
    case.assertFalse(zones.suspected(OTHER, now))
    later = now + SUSPICION_PERIOD * 3
    case.assertFalse(zones.suspected(FAR, later))
    zones.note_failure(far("c"), FailureKind.UNREACHED, later)
    case.assertTrue(zones.suspected(FAR, later))


def test_the_own_zone_is_never_suspected() -> None:
    bench = bench_of_zones(ZONE, OTHER)
    serve(bench, 20, ZONE)
    now = bench.clock.monotonic()
    case.assertFalse(bench.kernel.plugin(FleetView).zone_suspicion.suspected(ZONE, now))


load_tests = function_tests(__name__)
