"""End-to-end tests of prompts larger than one engine, with reservations."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import SystemClock
from mimosafork.gateway.order_client import ORDER_TIMEOUT, OrderClient
from mimosafork.gateway.pool import ConnectionPool
from mimosafork.ids import EndpointId, RequestId, ReservationId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.placement import (
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from mimosafork.platform.calls import PreparedDialect
from mimosafork.standins.prepared.background import LoopThread
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.runs import RunLog
from mimosafork.standins.prepared.words import (
    HELPERS,
    ORDER_PATH,
    REQUEST_ID,
    TOKEN_USAGE,
)

from ...support.functions import function_tests
from ...support.gateway import BEARER, World, gateway_world
from ...support.prepared import call_json, one_engine
from ...support.waiting import eventually

case = TestCase()

MEMORY = 400_000
HUGE = "700000,80"
SEVERAL = 4
SHORT = timedelta(milliseconds=20)


def engines_of(world: World, count: int = SEVERAL) -> list[Engine]:
    figures = EngineFigures(memory=MEMORY, events=4, gap=SHORT)
    return [world.add_engine(figures) for _ in range(count)]


def reservation_ids(engines: list[Engine]) -> list[str]:
    return [
        name
        for engine in engines
        for name in engine.thread.call(lambda e=engine: list(e.reservations.tickets))  # type: ignore[misc]
    ]


def until_free(engines: list[Engine]) -> None:
    """Wait until nothing is reserved, for less than the time to live."""
    eventually(lambda: not reservation_ids(engines), within=timedelta(seconds=2))
    case.assertEqual([], [name for e in engines for name in e.shared_tickets()])


def sent_reservation_ids(log: RunLog, request_id: str) -> list[str]:
    run = log.of(request_id)[0]
    helpers = run.headers[HELPERS].split(",")
    return [each.partition("/")[2] for each in helpers if "/" in each]


def test_a_prompt_larger_than_one_engine_is_served_and_its_memory_freed() -> None:
    with gateway_world() as world:
        engines = engines_of(world)
        result = world.running.ask("/resume/1", "huge", b"x", X_Token_Usage=HUGE)
        case.assertEqual((200, True), (result.status, result.complete))
        case.assertEqual(4, len(result.events))
        case.assertGreaterEqual(
            len(sent_reservation_ids(world.platform.log, "huge")), 2
        )
        until_free(engines)


def test_a_caller_disconnect_frees_the_memory() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        engines = engines_of(world)
        for engine in engines:
            engine.hold()
        headers = {REQUEST_ID: "huge", TOKEN_USAGE: HUGE, **BEARER}
        channel.send("POST", "/resume/1", headers, b"x")
        world.platform.log.wait_until(lambda log: bool(log.of("huge")))
        case.assertTrue(reservation_ids(engines))
        channel.hang_up()
        until_free(engines)


def test_an_engine_whose_memory_is_taken_is_avoided() -> None:
    """The memory of two engines is reserved by a process unknown to this instance.

    Reservations made before the denial are freed, and the other engines serve.
    """
    with gateway_world() as world:
        engines = engines_of(world)
        for engine in engines[:2]:
            document = {
                "op": "reserve",
                "id": "foreign",
                "tokens": MEMORY - 1000,
                "hold-ms": 20_000,
            }
            case.assertEqual(
                200, call_json(engine.address, ORDER_PATH, document).status
            )
        result = world.running.ask("/resume/1", "huge", b"x", X_Token_Usage=HUGE)
        case.assertEqual((200, 4), (result.status, len(result.events)))
        until_free(engines[2:])
        case.assertEqual(["foreign", "foreign"], reservation_ids(engines[:2]))


@contextmanager
def orders() -> Iterator[tuple[LoopThread, OrderClient, list[Message]]]:
    """Run an order client in its own event loop."""
    thread, received = LoopThread(), list[Message]()
    thread.start()
    pool = ConnectionPool(SystemClock())
    try:
        adapter = OrderClient(SystemClock(), pool, PreparedDialect(), received.append)
        yield thread, adapter, received
        thread.call(pool.close)
    finally:
        thread.stop()


def reserve(address: str, tokens: int = 1000) -> ReserveMemory:
    return ReserveMemory(
        RequestId("r"),
        ReservationId("t"),
        EndpointId("e"),
        address,
        tokens,
        timedelta(seconds=3),
    )


def failure_of(message: Message) -> GangStepFailure:
    assert isinstance(message, ReservationFailed), message
    return message.failure


def test_an_order_is_executed_or_refused() -> None:
    with one_engine(EngineFigures(memory=MEMORY)) as engine, orders() as running:
        thread, adapter, received = running
        for tokens in (1000, 1000):
            thread.call(lambda t=tokens: adapter.perform(reserve(engine.address, t)))  # type: ignore[misc]
            thread.run(adapter.wait_until_idle())
        case.assertEqual(
            [MemoryReserved(RequestId("r"), ReservationId("t"))] * 2, received
        )
        engine.thread.call(lambda: engine.reservations.release("t"))
        thread.call(lambda: adapter.perform(reserve(engine.address, MEMORY + 1)))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.REFUSED, failure_of(received[-1]))


def test_an_unreachable_engine_is_distinguished_from_a_silent_one() -> None:
    """One refuses connections; the other accepts them and never answers."""
    with orders() as (thread, adapter, received), socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        host, port = silent.getsockname()
        thread.call(lambda: adapter.perform(reserve(f"{host}:{port}")))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.UNREACHED, failure_of(received[-1]))
        silent.listen()
        began = SystemClock().monotonic()
        thread.call(lambda: adapter.perform(reserve(f"{host}:{port}")))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.LOST, failure_of(received[-1]))
        took = SystemClock().monotonic() - began
        case.assertGreaterEqual(took, ORDER_TIMEOUT * 0.9)


load_tests = function_tests(__name__)
