"""Tests of a prompt beyond one engine, from its caller to engines that reserve."""

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


def tickets(engines: list[Engine]) -> list[str]:
    return [
        name
        for engine in engines
        for name in engine.thread.call(lambda e=engine: list(e.reservations.tickets))  # type: ignore[misc]
    ]


def until_free(engines: list[Engine]) -> None:
    """Wait until nothing is reserved, for less time than a reservation lasts."""
    eventually(lambda: not tickets(engines), within=timedelta(seconds=2))
    case.assertEqual([], [name for e in engines for name in e.shared_tickets()])


def named_tickets(log: RunLog, request_id: str) -> list[str]:
    run = log.of(request_id)[0]
    helpers = run.headers[HELPERS].split(",")
    return [each.partition("/")[2] for each in helpers if "/" in each]


def test_a_prompt_beyond_one_engine_is_served_and_its_memory_freed() -> None:
    with gateway_world() as world:
        engines = engines_of(world)
        result = world.running.ask("/resume/1", "huge", b"x", X_Token_Usage=HUGE)
        case.assertEqual((200, True), (result.status, result.complete))
        case.assertEqual(4, len(result.events))
        case.assertGreaterEqual(len(named_tickets(world.platform.log, "huge")), 2)
        until_free(engines)


def test_a_caller_that_hangs_up_frees_the_memory() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        engines = engines_of(world)
        for engine in engines:
            engine.hold()
        headers = {REQUEST_ID: "huge", TOKEN_USAGE: HUGE, **BEARER}
        channel.send("POST", "/resume/1", headers, b"x")
        world.platform.log.wait_until(lambda log: bool(log.of("huge")))
        case.assertTrue(tickets(engines))
        channel.hang_up()
        until_free(engines)


def test_an_engine_whose_memory_others_took_is_left_out() -> None:
    """The memory of two engines is taken by somebody whom this instance can't know.

    What was reserved before the refusal must be freed, and the others serve.
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
        case.assertEqual(["foreign", "foreign"], tickets(engines[:2]))


@contextmanager
def orders() -> Iterator[tuple[LoopThread, OrderClient, list[Message]]]:
    """Run an adapter for orders in a loop of its own."""
    thread, told = LoopThread(), list[Message]()
    thread.start()
    pool = ConnectionPool(SystemClock())
    try:
        adapter = OrderClient(SystemClock(), pool, PreparedDialect(), told.append)
        yield thread, adapter, told
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


def test_an_order_is_carried_out_or_refused() -> None:
    with one_engine(EngineFigures(memory=MEMORY)) as engine, orders() as running:
        thread, adapter, told = running
        for tokens in (1000, 1000):
            thread.call(lambda t=tokens: adapter.perform(reserve(engine.address, t)))  # type: ignore[misc]
            thread.run(adapter.wait_until_idle())
        case.assertEqual([MemoryReserved(RequestId("r"), ReservationId("t"))] * 2, told)
        engine.thread.call(lambda: engine.reservations.release("t"))
        thread.call(lambda: adapter.perform(reserve(engine.address, MEMORY + 1)))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.REFUSED, failure_of(told[-1]))


def test_a_dead_engine_is_told_from_a_silent_one() -> None:
    """One refuses connections; the other takes them and never answers."""
    with orders() as (thread, adapter, told), socket.socket() as silent:
        silent.bind(("127.0.0.1", 0))
        host, port = silent.getsockname()
        thread.call(lambda: adapter.perform(reserve(f"{host}:{port}")))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.UNREACHED, failure_of(told[-1]))
        silent.listen()
        began = SystemClock().monotonic()
        thread.call(lambda: adapter.perform(reserve(f"{host}:{port}")))
        thread.run(adapter.wait_until_idle())
        case.assertIs(GangStepFailure.LOST, failure_of(told[-1]))
        took = SystemClock().monotonic() - began
        case.assertGreaterEqual(took, ORDER_TIMEOUT * 0.9)


load_tests = function_tests(__name__)
