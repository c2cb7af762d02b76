"""Tests of evacuated zones with whole instances and the stand-in of the store."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import SystemClock
from mimosafork.gateway.gauges import GatewayGauges
from mimosafork.gateway.order_client import OrderClient
from mimosafork.gateway.pool import ConnectionPool
from mimosafork.ids import EndpointId, RequestId, ReservationId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from mimosafork.kernel.messages.recovery import HoldingKind
from mimosafork.platform.calls import PreparedDialect
from mimosafork.standins.prepared.background import LoopThread
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from ...support.functions import function_tests
from ...support.gateway import RunningGateway, gateway_world, running_gateway
from ...support.prepared import DESKS, deployment, one_engine
from ...support.waiting import eventually

case = TestCase()

HERE, AWAY = "zone-b", "zone-a"
"""The zone that is evacuated is the instances' own, whose endpoints they prefer."""
CALLS = 12


def visits(platform: Deployment, endpoint: Desk) -> int:
    return sum(visit.instance == endpoint.id for visit in platform.log.visits)


def knows(running: RunningGateway, zone: str) -> bool:
    """Return whether an instance knows that a zone is evacuated."""
    return zone in running.server.directory.evacuations.evacuated


def ask_all(running: RunningGateway, name: str) -> set[int]:
    return {running.ask("/safe/1", f"{name}-{n}").status for n in range(CALLS)}


def test_a_zone_is_left_and_used_again_as_its_row_comes_and_goes() -> None:
    with gateway_world() as world:
        world.add_desk(EndpointSettings(DESKS, zone=HERE))
        away = world.add_desk(EndpointSettings(DESKS, zone=AWAY))
        world.platform.evacuate(AWAY)
        world.running.wait_until(lambda: knows(world.running, AWAY))
        before = visits(world.platform, away)
        case.assertEqual({200}, ask_all(world.running, "evacuated"))
        case.assertEqual(before, visits(world.platform, away))
        world.platform.end_evacuation(AWAY)
        world.running.wait_until(lambda: not knows(world.running, AWAY))
        case.assertEqual({200}, ask_all(world.running, "returned"))
        case.assertGreater(visits(world.platform, away), before)


def test_an_instance_that_starts_without_the_store_knows_before_it_serves() -> None:
    """With the configuration it lets calls in; the zones must come no later.

    They must also come through a peer that was itself told by the store before the
    instance existed.
    """
    with deployment() as platform, deployment(None) as unavailable:
        unavailable.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        platform.add_desk(EndpointSettings(DESKS, zone=HERE))
        away = platform.add_desk(EndpointSettings(DESKS, zone=AWAY))
        with running_gateway(platform, "entry-0") as first:
            first.wait_until_listed(away)
            platform.evacuate(AWAY)
            first.wait_until(lambda: knows(first, AWAY))
            with running_gateway(platform, "entry-1", follows=unavailable) as late:

                def checked() -> bool:
                    has_table = late.server.directory.table is not None
                    assert not has_table or knows(late, AWAY), "serves without it"
                    return has_table

                late.wait_until(checked)
                late.wait_until_listed(away)
                before = visits(platform, away)
                case.assertEqual({200}, ask_all(late, "late"))
                case.assertEqual(before, visits(platform, away))
                platform.end_evacuation(AWAY)
                late.wait_until(lambda: not knows(late, AWAY))


def test_gauges_count_evacuated_zones_and_endpoints() -> None:
    with gateway_world() as world:
        world.add_desk(EndpointSettings(DESKS, zone=HERE))
        world.add_desk(EndpointSettings(DESKS, zone=AWAY))
        server = world.running.server
        gauges = GatewayGauges(server.gateway, server.live_view, None)
        for zone in (AWAY, "zone-without-endpoints"):
            world.platform.evacuate(zone)
            world.running.wait_until(lambda z=zone: knows(world.running, z))  # type: ignore[misc]
        (zones,), (endpoints,) = gauges.evacuated_zones(), gauges.evacuated_endpoints()
        case.assertEqual((2, 1), (zones.value, endpoints.value))


@contextmanager
def orders_to_evacuated_zone() -> Iterator[tuple[LoopThread, OrderClient]]:
    """Run an order client for which all endpoints are in evacuated zones."""
    thread, clock = LoopThread(), SystemClock()
    thread.start()
    pool = ConnectionPool(clock)
    received.clear()
    try:
        yield (
            thread,
            OrderClient(
                clock, pool, PreparedDialect(), received.append, lambda endpoint: True
            ),
        )
        thread.call(pool.close)
    finally:
        thread.stop()


received: list[Message] = []


def reserve(address: str, renewal: bool) -> ReserveMemory:
    return ReserveMemory(
        RequestId("r"),
        ReservationId("held"),
        EndpointId("e"),
        address,
        1000,
        timedelta(seconds=3),
        renewal,
    )


def test_only_renewals_and_releases_are_sent_to_an_evacuated_zone() -> None:
    """An order waits for its connection when the row arrives."""
    with one_engine() as engine, orders_to_evacuated_zone() as (thread, client):
        thread.call(lambda: client.perform(reserve(engine.address, renewal=False)))
        eventually(lambda: len(received) == 1)
        assert isinstance(received[0], ReservationFailed)
        case.assertIs(GangStepFailure.EVACUATED, received[0].failure)
        thread.call(lambda: client.perform(reserve(engine.address, renewal=True)))
        eventually(lambda: len(received) == 2)
        case.assertIsInstance(received[1], MemoryReserved)
        release = FreeOwnHolding(
            EndpointId("e"), engine.address, HoldingKind.RESERVATION, "held"
        )
        thread.call(lambda: client.perform(release))
        eventually(
            lambda: not engine.thread.call(lambda: list(engine.reservations.tickets))
        )


load_tests = function_tests(__name__)
