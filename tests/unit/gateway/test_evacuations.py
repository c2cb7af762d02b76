"""Tests of evacuated zones in the gateway's decisions."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.evacuated_zones import (
    ALL_EVACUATED,
    FORMER_ZONE_RETENTION,
    RETRY_AFTER,
)
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.rate_limits import EndpointRateLimits
from mimosafork.gateway.policies.reserving import MemoryKeeper
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.gateway.problems import final_status
from mimosafork.gateway.subset_selector import SubsetSelector
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId
from mimosafork.kernel.messages.attempts import (
    AttemptHedged,
    AttemptSent,
    ConnectionOpening,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch, PrefillHelper
from mimosafork.kernel.messages.lifecycle import StopNow
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ReserveMemory,
)
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    ZoneEvacuated,
    ZoneEvacuationEnded,
)

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    GatewayBench,
    gateway_bench,
    listed,
    request_of,
)
from ...support.reserving_engines import (
    POOL,
    ReservingBench,
    huge_request,
    listed_engine,
    reserving_bench,
)

case = TestCase()

AWAY = AvailabilityZoneId("zone-b")
HERE = AvailabilityZoneId("zone-a")


def list_away(bench: GatewayBench, *names: str) -> None:
    """List plain endpoints in the zone that is evacuated."""
    for name in names:
        bench.handle(EndpointUsable(replace(listed(name), zone=AWAY)))


def gate_of(bench: GatewayBench | ReservingBench) -> EndpointSendGate:
    kernel = bench.kernel
    return EndpointSendGate(
        kernel.plugin(FleetView),
        SendPermits.of(kernel.plugin),
        kernel.plugin(HomeRegions),
    )


def objection(
    bench: GatewayBench | ReservingBench, dispatch: Dispatch
) -> FailureKind | None:
    return gate_of(bench).objection(dispatch, bench.clock.monotonic())


def test_no_call_is_placed_in_an_evacuated_zone() -> None:
    bench = gateway_bench(2)
    list_away(bench, "away-0", "away-1")
    bench.handle(ZoneEvacuated(AWAY))
    used = {bench.begin(request_of(bench, f"r{n}")).endpoint for n in range(30)}
    case.assertEqual({"desk-0", "desk-1"}, used)


def test_a_zone_is_used_again_after_its_evacuation() -> None:
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    bench.handle(ZoneEvacuated(AWAY))
    bench.handle(ZoneEvacuationEnded(AWAY))
    case.assertEqual("away-0", bench.begin(request_of(bench, "r")).endpoint)


def test_an_endpoint_that_is_listed_after_the_row_is_not_used() -> None:
    """The evacuation of a zone without endpoints must be kept."""
    bench = gateway_bench(1)
    bench.handle(ZoneEvacuated(AWAY))
    list_away(bench, "away-0")
    used = {bench.begin(request_of(bench, f"r{n}")).endpoint for n in range(9)}
    case.assertEqual({"desk-0"}, used)


def test_a_request_that_waits_for_its_connection_is_placed_again() -> None:
    """The objection must cost no retry, and the call must still count as not run."""
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    dispatch = bench.begin(request_of(bench, "r", non_idempotent=True))
    bench.handle(ConnectionOpening(dispatch.request_id, dispatch.attempt))
    bench.list_endpoint("desk-0")
    bench.handle(ZoneEvacuated(AWAY))
    kind = objection(bench, dispatch)
    case.assertIs(FailureKind.EVACUATED, kind)
    assert kind is not None
    bench.fail(dispatch, kind, Exposure.NEVER_SENT)
    again = bench.retried(dispatch)
    assert again is not None
    case.assertEqual("desk-0", again.endpoint)
    case.assertIsNone(objection(bench, again))
    retry = bench.kernel.plugin(BudgetedRetry)
    case.assertEqual(0, retry.retries_sent(PLAIN_SERVICE))


def test_a_call_without_another_endpoint_ends_as_not_run_at_once() -> None:
    """Its only endpoint was evacuated while it waited for the connection."""
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    dispatch = bench.begin(request_of(bench, "r", non_idempotent=True))
    bench.handle(ZoneEvacuated(AWAY))
    bench.fail(dispatch, FailureKind.EVACUATED, Exposure.NEVER_SENT)
    case.assertIsNone(bench.retried(dispatch))
    end = bench.concluded("r")
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    assert end.problem is not None
    case.assertEqual(ALL_EVACUATED, end.problem.detail)


def test_a_service_in_evacuated_zones_only_is_refused_at_once() -> None:
    """Nobody knows when the operator returns the zone: waiting is of no use."""
    bench = gateway_bench(0)
    list_away(bench, "away-0", "away-1")
    bench.handle(ZoneEvacuated(AWAY))
    bench.submit(request_of(bench, "r"))
    end = bench.concluded("r")
    status = final_status(end)
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    case.assertEqual((503, RETRY_AFTER), (int(status.status), status.retry_after))


def test_a_waiting_call_is_refused_when_the_last_zone_is_evacuated() -> None:
    """It would wait until its deadline."""
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    unreached = bench.begin(request_of(bench, "a"))
    bench.fail(unreached, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    for number in range(6):
        bench.submit(request_of(bench, f"w{number}"))
    case.assertEqual(6, len(bench.kernel.state.waiting))
    bench.handle(ZoneEvacuated(AWAY))
    bench.handle(Tick())
    case.assertEqual(0, len(bench.kernel.state.waiting))
    for number in range(6):
        case.assertIs(Outcome.NOT_RUN, bench.concluded(f"w{number}").outcome)


def test_an_unknown_service_is_not_taken_for_an_evacuated_one() -> None:
    """A service without endpoints waits for one, as without evacuations."""
    bench = gateway_bench(0)
    bench.handle(ZoneEvacuated(AWAY))
    case.assertFalse(bench.kernel.plugin(FleetView).all_evacuated(PLAIN_SERVICE))


def test_an_evacuated_zone_is_no_last_resort() -> None:
    """Where all others failed, only a suspected endpoint may still be used."""
    bench = gateway_bench(1)
    list_away(bench, "away-0")
    bench.handle(ZoneEvacuated(AWAY))
    first = bench.begin(request_of(bench, "r"))
    bench.fail(first)
    again = bench.retried(first)
    if again is not None:
        case.assertEqual("desk-0", again.endpoint)
    case.assertEqual({"desk-0"}, {d.endpoint for d in bench.dispatches("r")})


def test_a_running_call_goes_on_to_its_end() -> None:
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    dispatch = bench.begin(request_of(bench, "r"))
    bench.handle(AttemptSent(dispatch.request_id, dispatch.attempt))
    bench.handle(ZoneEvacuated(AWAY))
    bench.handle(Tick())
    case.assertEqual([], bench.emitted(CancelAttempt))
    bench.finish(dispatch)
    case.assertIs(Outcome.COMPLETED, bench.concluded("r").outcome)


def test_a_hedged_stream_goes_on_when_no_other_endpoint_is_left() -> None:
    """The refusal of the next attempt must not cut the one that runs."""
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    dispatch = bench.begin(request_of(bench, "r"))
    bench.handle(FirstToken(dispatch.request_id, dispatch.attempt))
    bench.handle(ZoneEvacuated(AWAY))
    bench.handle(
        AttemptHedged(
            dispatch.request_id,
            dispatch.attempt,
            FailureKind.STALLED,
            Exposure.POSSIBLE,
            endpoint=dispatch.endpoint,
        )
    )
    case.assertIsNone(bench.retried(dispatch))
    case.assertEqual([], bench.emitted(CancelAttempt))
    bench.finish(dispatch)
    case.assertIs(Outcome.COMPLETED, bench.concluded("r").outcome)


def test_a_helper_in_an_evacuated_zone_is_an_objection() -> None:
    """The host would have the helper read a part of the prompt."""
    bench = gateway_bench(1)
    list_away(bench, "away-0")
    dispatch = bench.begin(request_of(bench, "r"))
    helper = PrefillHelper(EndpointId("away-0"), "127.0.0.1:1")
    dispatch = replace(dispatch, endpoint=EndpointId("desk-0"), helpers=(helper,))
    case.assertIsNone(objection(bench, dispatch))
    bench.handle(ZoneEvacuated(AWAY))
    case.assertIs(FailureKind.EVACUATED, objection(bench, dispatch))


def test_the_zone_of_an_endpoint_that_has_left_is_known() -> None:
    """Its row is gone or it drains, but requests to it still wait for connections.

    A helper is not asked whether it drains.
    """
    for final in (False, True):
        bench = gateway_bench(1)
        list_away(bench, "away-0")
        helper = PrefillHelper(EndpointId("away-0"), "127.0.0.1:1")
        dispatch = bench.begin(request_of(bench, "r"))
        dispatch = replace(dispatch, endpoint=EndpointId("desk-0"), helpers=(helper,))
        bench.handle(EndpointLeaving(EndpointId("away-0"), final))
        bench.handle(ZoneEvacuated(AWAY))
        case.assertIs(FailureKind.EVACUATED, objection(bench, dispatch))


def test_zones_of_endpoints_that_have_left_are_forgotten_in_time() -> None:
    """Endpoint ids change with each start: they would be kept for ever."""
    bench = gateway_bench(0)
    zones = bench.kernel.plugin(FleetView).evacuations
    for number in range(3):
        list_away(bench, f"away-{number}")
        bench.handle(EndpointLeaving(EndpointId(f"away-{number}"), final=True))
        bench.clock.advance(FORMER_ZONE_RETENTION * 0.6)
    case.assertEqual({"away-1", "away-2"}, set(zones.former_zones))


def test_a_rate_limit_permit_of_an_objected_request_is_given_back() -> None:
    bench = gateway_bench(0)
    list_away(bench, "away-0")
    limits = bench.kernel.plugin(EndpointRateLimits)
    dispatch = bench.begin(request_of(bench, "r"))
    limits.reservations[dispatch.request_id] = dispatch.endpoint
    bench.handle(ZoneEvacuated(AWAY))
    objection(bench, dispatch)
    case.assertEqual({}, limits.reservations)


def away_engines(engines: int, away: int) -> ReservingBench:
    """Return a kernel with engines, the first of which are in the other zone."""
    bench = reserving_bench(engines)
    for number in range(away):
        bench.handle(EndpointUsable(replace(listed_engine(f"e{number}"), zone=AWAY)))
    return bench


def ordered(bench: ReservingBench) -> set[str]:
    """Return the engines that were asked for memory."""
    return {str(each.endpoint) for each in bench.emitted(ReserveMemory)}


def test_no_memory_is_reserved_in_an_evacuated_zone() -> None:
    bench = away_engines(engines=6, away=3)
    bench.handle(ZoneEvacuated(AWAY))
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))
    case.assertFalse({"e0", "e1", "e2"} & ordered(bench))
    case.assertTrue(bench.dispatches("r"))
    bench.serve(StopNow())


def test_a_gang_that_reserves_in_the_zone_is_placed_again_at_once() -> None:
    """Waiting for the next answer of an engine would delay the call for nothing."""
    bench = away_engines(engines=6, away=3)
    bench.delayed_answers = []
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))
    gang = bench.kernel.plugin(MemoryKeeper).gangs
    if not {"e0", "e1", "e2"} & {
        str(e) for each in gang.values() for e in each.engines()
    }:
        raise AssertionError("the scenario needs an engine of the zone")
    bench.serve(ZoneEvacuated(AWAY))
    case.assertEqual({}, gang)
    case.assertTrue(bench.emitted(FreeOwnHolding))
    bench.deliver_delayed_answers()
    bench.serve(Tick())
    dispatch = bench.last_dispatch("r")
    used = {dispatch.endpoint, *(each.endpoint for each in dispatch.helpers)}
    case.assertFalse({"e0", "e1", "e2"} & used)
    bench.serve(StopNow())
    case.assertEqual({}, bench.held())


def test_memory_of_a_running_request_is_renewed() -> None:
    """Without renewals its engines would end the stream that goes on there."""
    bench = away_engines(engines=6, away=6)
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))
    dispatch = bench.last_dispatch("r")
    bench.serve(FirstToken(dispatch.request_id, dispatch.attempt))
    before = len(bench.emitted(ReserveMemory))
    bench.serve(ZoneEvacuated(AWAY))
    bench.run(timedelta(seconds=4))
    renewals = bench.emitted(ReserveMemory)[before:]
    case.assertTrue(renewals)
    case.assertTrue(all(each.renewal for each in renewals))
    case.assertTrue(bench.held())
    bench.serve(StopNow())


def test_an_order_that_was_not_sent_blames_no_engine() -> None:
    """It must not count as an engine without a connection."""
    bench = away_engines(engines=6, away=0)
    bench.delayed_answers = []
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))
    bench.delayed_answers = None
    for engine in bench.engines.values():
        engine.silent = True
    bench.lose_orders(GangStepFailure.EVACUATED)
    fleet = bench.kernel.plugin(FleetView)
    case.assertFalse(any(each.misses for each in fleet.endpoints.values()))
    bench.serve(StopNow())


def test_work_in_an_evacuated_zone_still_has_recipients() -> None:
    """A call runs on an engine that is no longer among those of its service.

    Its news could not be sent, and the exception would end the call.
    """
    bench = reserving_bench(120)
    for number in range(60):
        bench.handle(EndpointUsable(replace(listed_engine(f"e{number}"), zone=AWAY)))
    fleet = bench.kernel.plugin(FleetView)
    own = InstanceId("entry-0")
    selector = SubsetSelector(own, fleet)
    selector.update_peers([InstanceId(f"entry-{n}") for n in range(1, 120)], large=True)
    bench.handle(ZoneEvacuated(AWAY))
    for engine in (EndpointId("e0"), EndpointId("e100")):
        recipients = selector.work_recipients([engine])
        assert recipients is not None
        case.assertGreater(len(recipients), 0)
    views = [each.view(timedelta(0)) for each in fleet.service_endpoints(POOL)]
    case.assertEqual(60, len(views))
    case.assertTrue(selector.select_engines(views))


load_tests = function_tests(__name__)
