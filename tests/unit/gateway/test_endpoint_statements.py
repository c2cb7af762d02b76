"""Tests of how an instance applies what endpoints announce in their responses."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.rate_limits import EndpointRateLimits
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.endpoint_statements import (
    LeavingAnnounced,
    MarkDraining,
)
from mimosafork.kernel.messages.routing import EndpointUsable

from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, gateway_bench, listed, request_of

case = TestCase()

DESK = EndpointId("desk-0")
SECOND = timedelta(seconds=1)


def announce_leaving(
    bench: GatewayBench, requested_ago: timedelta = timedelta(0)
) -> None:
    """Receive a response in which the first endpoint announces that it leaves."""
    requested_at = bench.clock.monotonic() - requested_ago
    bench.handle(LeavingAnnounced(DESK, requested_at))


def send_gate(bench: GatewayBench) -> EndpointSendGate:
    """Return the check of requests before they are sent."""
    fleet = bench.kernel.plugin(FleetView)
    return EndpointSendGate(fleet, bench.kernel.plugin(EndpointRateLimits))


def hosts(bench: GatewayBench, calls: int, prefix: str) -> set[EndpointId]:
    """Return the endpoints at which new calls are placed."""
    return {
        bench.begin(request_of(bench, f"{prefix}{number}")).endpoint
        for number in range(calls)
    }


def test_an_endpoint_that_leaves_is_withdrawn_at_once_and_published_once() -> None:
    """A further call must not be placed between the response and the directory."""
    bench = gateway_bench(endpoints=2)
    for _ in range(3):
        announce_leaving(bench)
    case.assertEqual({EndpointId("desk-1")}, hosts(bench, 6, "r"))
    case.assertEqual([MarkDraining(DESK)], bench.emitted(MarkDraining))


def test_a_listing_as_ready_does_not_restore_an_endpoint_that_leaves() -> None:
    """The store may list an endpoint as ready long after it has begun to leave."""
    bench = gateway_bench(endpoints=2)
    announce_leaving(bench)
    bench.handle(EndpointUsable(replace(listed(DESK), sequence=5)))
    case.assertEqual({EndpointId("desk-1")}, hosts(bench, 6, "r"))


def test_a_restarted_endpoint_is_used_whatever_the_former_one_announced() -> None:
    """A late response of the former incarnation must not withdraw the new one."""
    bench = gateway_bench(endpoints=0)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=4)))
    announce_leaving(bench)
    bench.clock.advance(SECOND)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=5)))
    announce_leaving(bench, requested_ago=2 * SECOND)
    case.assertEqual({DESK}, hosts(bench, 1, "r"))


def test_a_placed_call_is_not_sent_to_an_endpoint_that_leaves() -> None:
    """A call may wait for a connection while another response announces the leaving."""
    bench = gateway_bench(endpoints=1)
    placed = bench.begin(request_of(bench, "r0", non_idempotent=True))
    bench.list_endpoint("desk-1")
    announce_leaving(bench)
    objection = send_gate(bench).objection(placed, bench.clock.monotonic())
    case.assertIs(FailureKind.DRAINING, objection)
    bench.fail(placed, FailureKind.DRAINING, Exposure.NEVER_SENT)
    retried = bench.retried(placed)
    assert retried is not None
    case.assertEqual("desk-1", retried.endpoint)
    case.assertIsNone(send_gate(bench).objection(retried, bench.clock.monotonic()))


load_tests = function_tests(__name__)
