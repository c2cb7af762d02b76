"""Tests of the decisions about endpoints that may be cold."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.cold_endpoint import ColdReason
from mimosafork.gateway.policies.cold_endpoints import FIRST_LISTING, ColdEndpoints
from mimosafork.gateway.policies.fleet_allowance import (
    COLD_COUNTED_SPAN,
)
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.cold_endpoints import ColdReviewDue
from mimosafork.kernel.messages.connectivity import ConnectionProbed, ProbeTarget
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuationEnded,
)
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.placement.choice import Shortage
from mimosafork.routing.listing import ListedEndpoint
from mimosafork.telemetry.catalogue.cold_endpoints import (
    COLD_BOUND_ENFORCED,
    COLD_BOUND_LIFTED,
)

from ...support.cold_fleet import (
    ALLOWED,
    COLD_FOR,
    COLD_PER_S,
    FACTOR,
    SLACK,
    cold_table,
    old_row,
)
from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    ZONE,
    GatewayBench,
    gateway_bench,
    request_of,
)
from ...support.gossip_network import ms
from ...support.kernels import Bench
from ...support.log_lines import caught_lines
from ...support.reserving_engines import huge_request, reserving_bench

case = TestCase()

DESK = EndpointId("desk-0")
SECOND = timedelta(seconds=1)
LATER = timedelta(seconds=5)
"""Time after which evidence has ended."""


def cold_bench(endpoints: int = 2, factor: float | None = FACTOR) -> GatewayBench:
    """Return a kernel in front of warm endpoints that may become cold."""
    bench = gateway_bench(endpoints=0)
    cold = bench.kernel.plugin(ColdEndpoints)
    cold.set_bound(factor, SLACK, bench.clock.monotonic())
    bench.handle(RoutingTableChanged(cold_table()))
    for number in range(endpoints):
        bench.handle(EndpointUsable(old_row(EndpointId(f"desk-{number}"))))
    return bench


def plugin(bench: Bench) -> ColdEndpoints:
    """Return the plug-in under test."""
    return bench.kernel.plugin(ColdEndpoints)


def reasons(bench: GatewayBench) -> dict[EndpointId, ColdReason]:
    """Return which endpoints may be cold, and why."""
    return plugin(bench).enforced(bench.clock.monotonic())


def cold_row(
    endpoint: EndpointId = DESK, remaining: timedelta = SECOND
) -> ListedEndpoint:
    """Return a row that says that an endpoint is cold."""
    return replace(old_row(endpoint), cold_remaining=remaining)


def use_up(bench: GatewayBench, endpoint: EndpointId = DESK) -> None:
    """Take all permits of an endpoint, as by requests that were sent just now."""
    plugin(bench).bounded[endpoint].permits.take_all(bench.clock.monotonic())


def test_without_settings_or_configuration_no_endpoint_is_tracked() -> None:
    """Other deployments must be served as before."""
    for factor, per_s in ((None, COLD_PER_S), (FACTOR, 0.0)):
        bench = cold_bench(factor=factor)
        bench.handle(RoutingTableChanged(cold_table(per_s)))
        bench.handle(EndpointUsable(cold_row()))
        bench.begin(request_of(bench, "r0"))
        cold, now = plugin(bench), bench.clock.monotonic()
        case.assertEqual({}, cold.bounded)
        case.assertFalse(cold.may_hold_back(now))
        views = [bench.kernel.plugin(FleetView).endpoints[DESK].view(now)]
        case.assertIs(views, cold.eligible(views, now))


def test_a_row_that_says_so_counts_until_it_says_otherwise() -> None:
    bench = cold_bench()
    bench.handle(EndpointUsable(cold_row()))
    bench.clock.advance(LATER)
    case.assertEqual({DESK: ColdReason.STATED}, reasons(bench))
    bench.handle(EndpointUsable(old_row(DESK)))
    case.assertEqual({}, reasons(bench))


def test_new_endpoints_and_incarnations_may_be_cold() -> None:
    """Their rows may not say so yet."""
    bench = cold_bench()
    case.assertEqual({}, reasons(bench))
    bench.clock.advance(FIRST_LISTING)
    for row in (
        replace(old_row(EndpointId("desk-9")), sequence=1),
        replace(old_row(DESK), sequence=2),
        replace(old_row(EndpointId("desk-1")), sequence=1, started_ms=7),
    ):
        bench.handle(EndpointUsable(row))
        case.assertEqual({row.endpoint: ColdReason.LISTED}, reasons(bench))
        bench.clock.advance(COLD_FOR)
        case.assertIn(row.endpoint, reasons(bench))
        bench.clock.advance(LATER)
        case.assertEqual({}, reasons(bench))
    bench.handle(EndpointUsable(replace(old_row(DESK), sequence=2**62)))
    case.assertEqual({}, reasons(bench))


def test_endpoints_of_the_first_listing_are_as_cold_as_their_rows_say() -> None:
    """An instance that has just started must not take all endpoints for cold.

    The number of reports in a row does not show how long an endpoint has run: the row
    changes only with another field.
    """
    bench = cold_bench(endpoints=3)
    early = replace(old_row(EndpointId("desk-9")), sequence=1)
    bench.handle(EndpointUsable(early))
    case.assertEqual({}, reasons(bench))
    bench.handle(EndpointUsable(cold_row()))
    case.assertEqual({DESK: ColdReason.STATED}, reasons(bench))


def test_failures_that_a_start_may_follow_are_evidence() -> None:
    for kind, exposure, expected in (
        (FailureKind.UNREACHED, Exposure.NEVER_SENT, ColdReason.FAILED),
        (FailureKind.BROKEN, Exposure.POSSIBLE, ColdReason.FAILED),
        (FailureKind.REFUSED, Exposure.REFUSED, None),
        (FailureKind.ENGINE_FAILED, Exposure.POSSIBLE, None),
    ):
        bench = cold_bench(endpoints=1)
        bench.fail(bench.begin(request_of(bench, "r0")), kind, exposure, status=503)
        case.assertEqual(expected, reasons(bench).get(DESK), kind)


def test_an_endpoint_that_no_probe_reaches_may_be_cold() -> None:
    bench = cold_bench()
    target = ProbeTarget(PLAIN_SERVICE, DESK, "127.0.0.1:1")
    bench.handle(ConnectionProbed(target, opened=True))
    case.assertEqual({}, reasons(bench))
    bench.handle(ConnectionProbed(target, opened=False))
    case.assertEqual({DESK: ColdReason.FAILED}, reasons(bench))


def test_endpoints_of_a_zone_may_be_cold_after_its_evacuation() -> None:
    bench = cold_bench()
    bench.handle(ZoneEvacuationEnded(ZONE))
    case.assertEqual({ColdReason.EVACUATED}, set(reasons(bench).values()))
    case.assertEqual(2, len(reasons(bench)))


def test_an_unconfirmed_list_bounds_all_endpoints() -> None:
    bench = cold_bench()
    plugin(bench).unconfirmed = lambda: True
    case.assertEqual({ColdReason.UNCONFIRMED}, set(reasons(bench).values()))
    plugin(bench).unconfirmed = lambda: False
    case.assertEqual({}, reasons(bench))


def test_a_cold_endpoint_without_a_permit_is_not_even_the_last_resort() -> None:
    """A suspected endpoint with a permit must be preferred to it."""
    bench = cold_bench()
    other = EndpointId("desk-1")
    bench.handle(EndpointUsable(cold_row()))
    use_up(bench)
    fleet = bench.kernel.plugin(FleetView)
    fleet.endpoints[other].suspect_until = bench.clock.monotonic() + LATER
    hosts = {bench.begin(request_of(bench, f"r{n}")).endpoint for n in range(20)}
    case.assertEqual({other}, hosts)


def test_a_warm_endpoint_is_used_beyond_its_permits_where_none_is_free() -> None:
    """A fleet with few endpoints must not stay at the cold rate."""
    bench = cold_bench(endpoints=2)
    for number in range(2):
        use_up(bench, EndpointId(f"desk-{number}"))
    placed = [bench.begin(request_of(bench, f"r{n}")) for n in range(40)]
    case.assertEqual(40, len(placed))


def test_a_warm_endpoint_with_a_permit_is_preferred() -> None:
    bench = cold_bench(endpoints=2)
    use_up(bench)
    hosts = {bench.begin(request_of(bench, f"r{n}")).endpoint for n in range(3)}
    case.assertEqual({"desk-1"}, hosts)


def test_requests_beyond_the_permits_leave_none_when_an_endpoint_is_cold() -> None:
    """Otherwise it would get all permits in addition at that moment."""
    bench = cold_bench(endpoints=1)
    permits = SendPermits.of(bench.kernel.plugin)
    now = bench.clock.monotonic()
    for number in range(ALLOWED):
        dispatch = bench.begin(request_of(bench, f"r{number}"))
        case.assertIsNone(permits.objection(dispatch, now))
    bench.handle(EndpointUsable(cold_row()))
    bench.submit(request_of(bench, "late"))
    case.assertEqual([], bench.dispatches("late"))


def test_an_endpoint_that_becomes_cold_gets_no_call_that_was_placed_before() -> None:
    """An attempt may wait for its connection meanwhile."""
    bench = cold_bench(endpoints=1)
    fleet = bench.kernel.plugin(FleetView)
    permits = SendPermits.of(bench.kernel.plugin)
    gate = EndpointSendGate(fleet, permits, bench.kernel.plugin(HomeRegions))
    placed = [bench.begin(request_of(bench, f"r{number}")) for number in range(50)]
    bench.handle(EndpointUsable(cold_row()))
    now = bench.clock.monotonic()
    objections = [gate.objection(each, now) for each in placed]
    case.assertEqual(30, objections.count(None))
    case.assertEqual({None, FailureKind.COLD}, set(objections))


def test_a_call_that_is_not_sent_gives_its_permit_back() -> None:
    """A caller that leaves, or a failed connection, must not keep a permit."""
    bench = cold_bench(endpoints=1)
    dispatch = bench.begin(request_of(bench, "r0"))
    permits = plugin(bench).bounded[DESK].permits
    case.assertEqual({"r0"}, permits.reserved)
    bench.fail(dispatch, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    case.assertEqual(set(), permits.reserved)


def test_a_call_waits_for_a_permit_that_is_free_soon() -> None:
    bench = cold_bench(endpoints=1)
    bench.handle(EndpointUsable(cold_row()))
    use_up(bench)
    bench.submit(request_of(bench, "r0"))
    case.assertEqual([], bench.dispatches("r0"))
    case.assertIsNone(bench.conclusion("r0"))


def test_a_call_that_would_wait_too_long_is_refused_at_once() -> None:
    """A caller must not wait for a permit that is free only after its time."""
    bench = cold_bench(endpoints=2)
    for number in range(2):
        endpoint = EndpointId(f"desk-{number}")
        bench.handle(EndpointUsable(cold_row(endpoint)))
        use_up(bench, endpoint)
    bench.submit(request_of(bench, "r0", time=2 * SECOND))
    concluded = bench.concluded("r0")
    case.assertEqual(Outcome.NOT_RUN, concluded.outcome)
    assert concluded.problem is not None
    case.assertEqual(Shortage.COLD.value, concluded.problem.detail)
    case.assertEqual(ms(50), concluded.problem.retry_after)
    case.assertEqual(1, plugin(bench).refused)


def test_an_instance_without_a_share_refuses_at_once() -> None:
    """In a fleet with few endpoints, some instances have no permit at any of them."""
    bench = cold_bench(endpoints=1)
    plugin(bench).share_of = lambda endpoint: SlackShare(75, 40)
    bench.clock.advance(SECOND)
    bench.handle(EndpointUsable(cold_row()))
    bench.submit(request_of(bench, "r0"))
    case.assertEqual(Outcome.NOT_RUN, bench.concluded("r0").outcome)


def test_a_bound_that_begins_in_service_counts_what_was_sent_before() -> None:
    """Settings or a configuration may enable it while an endpoint is used."""
    bench = cold_bench(endpoints=1, factor=None)
    now = bench.clock.monotonic()
    plugin(bench).set_bound(FACTOR, SLACK, now)
    permits = plugin(bench).bounded[DESK].permits
    case.assertEqual(30, permits.taken(now))
    case.assertEqual(0, permits.taken(now + COLD_COUNTED_SPAN))
    bench.handle(RoutingTableChanged(cold_table(per_s=10.0)))
    case.assertEqual(14, plugin(bench).bounded[DESK].permits.portion)
    plugin(bench).set_bound(None, 0.0, now)
    case.assertEqual({}, plugin(bench).bounded)


def test_an_endpoint_that_returns_to_the_list_keeps_its_requests() -> None:
    """A list that lacks it for a moment must not free its permits."""
    bench = cold_bench(endpoints=1)
    use_up(bench)
    bench.handle(EndpointLeaving(DESK))
    case.assertEqual({}, reasons(bench))
    bench.handle(EndpointUsable(cold_row()))
    bench.submit(request_of(bench, "r0"))
    case.assertEqual([], bench.dispatches("r0"))


def test_endpoints_that_have_left_are_forgotten() -> None:
    """Endpoints get a new id with each start; state must stay bounded."""
    bench = cold_bench(endpoints=0)
    for number in range(50):
        endpoint = EndpointId(f"engine-{number}")
        bench.handle(EndpointUsable(old_row(endpoint)))
        bench.handle(EndpointLeaving(endpoint, final=True))
        bench.clock.advance(timedelta(seconds=10))
    cold = plugin(bench)
    case.assertLessEqual(len(cold.bounded), 7)
    case.assertEqual(({}, set()), (cold.listed, cold.stated))


def test_the_beginning_and_the_end_of_the_bound_are_logged_once() -> None:
    """Many endpoints that are cold at the same time must not flood the log."""
    bench = cold_bench(endpoints=0)
    with caught_lines() as caught:
        for number in range(45):
            row = cold_row(EndpointId(f"desk-{number:02}"))
            bench.handle(EndpointUsable(row))
        for _ in range(3):
            bench.handle_after(SECOND, ColdReviewDue())
        for number in range(45):
            bench.handle(EndpointUsable(old_row(EndpointId(f"desk-{number:02}"))))
        for _ in range(3):
            bench.handle_after(SECOND, ColdReviewDue())
    begun, ended = caught.one(COLD_BOUND_ENFORCED), caught.one(COLD_BOUND_LIFTED)
    case.assertEqual((45, "stated 45"), (begun["count"], begun["reasons"]))
    case.assertEqual(45, ended["count"])
    case.assertEqual(20, len(begun["endpoints"].split(",")))


def test_an_unconfirmed_list_is_logged_without_any_call() -> None:
    """An operator must see it although nothing else happens in the kernel."""
    bench = cold_bench()
    with caught_lines() as caught:
        bench.handle_after(SECOND, ColdReviewDue())
        plugin(bench).unconfirmed = lambda: True
        wakes = [each.message for each in bench.emitted(WakeAt)]
        case.assertEqual(2, wakes.count(ColdReviewDue()))
        bench.handle_after(SECOND, ColdReviewDue())
    case.assertEqual("unconfirmed 2", caught.one(COLD_BOUND_ENFORCED)["reasons"])


def test_a_cold_engine_does_not_help_and_an_unconfirmed_one_does() -> None:
    """Without helpers, no long prompt is served in time during an outage."""
    for unconfirmed, helps in ((True, True), (False, False)):
        bench = reserving_bench()
        cold, now = plugin(bench), bench.clock.monotonic()
        fleet = bench.kernel.plugin(FleetView)
        assert fleet.table is not None
        services = {
            name: replace(each, cold_duration=COLD_FOR, cold_rate_per_s=COLD_PER_S)
            for name, each in fleet.table.services.items()
        }
        cold.set_bound(FACTOR, SLACK, now)
        bench.handle(RoutingTableChanged(replace(fleet.table, services=services)))
        bench.clock.advance(LATER)
        now = bench.clock.monotonic()
        if unconfirmed:
            cold.unconfirmed = lambda: True
        else:
            for known in list(fleet.endpoints.values()):
                row = replace(known.listed, cold_remaining=SECOND)
                bench.handle(EndpointUsable(row))
        views = cold.eligible(
            [each.view(now) for each in fleet.endpoints.values()], now
        )
        case.assertEqual({helps}, {not view.rate_limited for view in views})
        bench.submit(huge_request("0", now, 2_000))
        case.assertEqual(1, len(bench.dispatches("0")))


load_tests = function_tests(__name__)
