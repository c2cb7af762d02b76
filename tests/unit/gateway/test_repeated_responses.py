"""Tests of responses that an endpoint sends again in place of a later response."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import partial
from unittest import TestCase

from mimosafork.gateway.order_client import OrderRequest, PendingOrder
from mimosafork.ids import EndpointId, RequestId, ReservationId
from mimosafork.kernel.messages.placement import GangStepFailure, ReserveMemory
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.faults import CutAnswer, ExtraAnswer, Flood, Shed

from ...support.functions import function_tests
from ...support.gateway import World, gateway_world
from ...support.waiting import eventually

case = TestCase()

MEMORY = 100_000

REFUSED_TWICE = Shed(late_copy=True)


def send_order(
    world: World, engine: Engine, tokens: int, name: str = "t"
) -> GangStepFailure | None:
    """Reserve memory through the gateway; return why it failed, if it did."""
    gateway = world.running.gateway
    results: list[GangStepFailure | None] = []
    effect = ReserveMemory(
        RequestId("r"),
        ReservationId(name),
        EndpointId(engine.id),
        engine.address,
        tokens,
        timedelta(seconds=3),
    )
    message = gateway.dialect.order(effect)
    order = PendingOrder(effect.endpoint, effect.address, message, results.append)
    context = gateway.order_client.context
    world.running.call_in_loop(OrderRequest(order, context).start)
    eventually(lambda: bool(results))
    return results[0]


def runs_of(world: World, request_id: str) -> int:
    """Return how often a request has run."""
    return len(world.platform.log.of(request_id))


def test_late_copy_of_a_refusal_is_not_the_response_to_the_retry() -> None:
    """A refusal that arrives twice makes a call run twice, or fail although it ran."""
    with gateway_world() as world:
        world.add_desk().play(REFUSED_TWICE)
        for number in range(4):
            world.platform.endpoints[0].play(REFUSED_TWICE)
            name = f"c{number}"
            case.assertEqual(200, world.running.ask("/unsafe/1", name).status)
            case.assertEqual(1, runs_of(world, name))


def test_late_copy_of_a_refused_stream_is_not_the_response_to_the_retry() -> None:
    """A stream runs twice, or is refused although it runs."""
    for path in ("/stream/1", "/resume/1"):
        with case.subTest(path), gateway_world() as world:
            engine = world.add_engine()
            for number in range(4):
                engine.play(REFUSED_TWICE)
                name = f"c{number}"
                result = world.running.ask(path, name)
                case.assertEqual((200, True), (result.status, result.complete))
                case.assertEqual(1, runs_of(world, name))


def test_late_copy_of_a_refusal_is_not_the_response_to_a_call_sent_here_again() -> None:
    """A call that a peer forwards a second time runs twice."""
    with gateway_world() as world:
        desk = world.add_desk()
        desk.play(REFUSED_TWICE, None)
        case.assertEqual(503, world.running.ask("/unsafe/1", "c1").status)
        desk.end_faults()
        case.assertEqual(200, world.running.ask("/unsafe/1", "c1").status)
        case.assertEqual(1, runs_of(world, "c1"))


def test_late_copy_of_a_refusal_is_not_the_response_to_a_resumed_stream() -> None:
    """A stream that broke off is refused again, or runs twice, where it is resumed."""
    with gateway_world() as world:
        refusing, breaking = (world.add_engine() for _ in range(2))
        for number in range(4):
            name = f"c{number}"
            refusing.play(REFUSED_TWICE)
            breaking.play(CutAnswer(after_events=1))
            result = world.running.ask("/resume/1", name)
            case.assertEqual((200, True), (result.status, result.complete))
            case.assertEqual([1, 2, 3, 4], [each.number for each in result.events])
            case.assertLessEqual(runs_of(world, name), 2)
            for engine in (refusing, breaking):
                engine.end_faults()


def test_late_copy_of_a_response_is_not_the_response_to_another_call() -> None:
    """A caller gets the response to an earlier call on the same connection."""
    with gateway_world() as world:
        desk = world.add_desk()
        for number in range(4):
            desk.play(ExtraAnswer(late=True))
            first = world.running.ask("/safe/1", f"a{number}", b"first")
            second = world.running.ask("/safe/2", f"b{number}", b"second")
            case.assertEqual((200, 200), (first.status, second.status))
            case.assertNotEqual(first.body, second.body)


def test_late_copy_of_an_order_response_is_not_the_response_to_a_call() -> None:
    """A caller gets the refusal of another request's memory, while its call runs."""
    with gateway_world() as world:
        engine = world.add_engine(EngineFigures(memory=MEMORY))
        engine.repeat_order_answers()
        for tokens in (100, MEMORY):
            send_order(world, engine, tokens)
            name = f"c{tokens}"
            case.assertEqual(200, world.running.ask("/stream/1", name).status)
            case.assertEqual(1, runs_of(world, name))


def test_late_copy_of_an_order_response_is_not_the_response_to_the_next_order() -> None:
    """A prompt is sent to engines on which no memory was reserved for it."""
    with gateway_world() as world:
        engine = world.add_engine(EngineFigures(memory=MEMORY))
        engine.repeat_order_answers()
        case.assertIsNone(send_order(world, engine, MEMORY - 1, "first"))
        failure = send_order(world, engine, MEMORY - 1, "second")
        case.assertIs(GangStepFailure.NO_MEMORY, failure)


def test_late_copy_of_a_response_is_not_the_response_to_an_order() -> None:
    """A prompt is sent to engines on which no memory was reserved for it."""
    with gateway_world() as world:
        engine = world.add_engine(EngineFigures(memory=MEMORY))
        case.assertIsNone(send_order(world, engine, MEMORY - 1, "first"))
        engine.play(ExtraAnswer(late=True))
        case.assertEqual(200, world.running.ask("/stream/1", "c1").status)
        failure = send_order(world, engine, MEMORY - 1, "second")
        case.assertIs(GangStepFailure.NO_MEMORY, failure)


def test_refusal_without_an_id_after_other_responses_promises_nothing() -> None:
    """A stray refusal makes a call run twice, or fail as not run although it runs."""
    stray = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    with gateway_world() as world, ThreadPoolExecutor() as callers:
        desk = world.add_desk()
        world.running.ask("/unsafe/1", "c1")
        desk.hold()
        second = callers.submit(world.running.ask, "/unsafe/1", "c2")
        world.platform.log.wait_until(lambda log: bool(log.of("c2")))
        for connection in list(desk.listener.connections):
            world.platform.thread.call(partial(connection.write, stray))
        case.assertEqual(502, second.result().status)
        case.assertEqual(1, runs_of(world, "c2"))
        desk.let_go()


def test_refusal_without_an_id_on_a_new_connection_is_the_calls_own() -> None:
    """Callers are told that a call may have run although its endpoint refused it."""
    refusal = b"HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    with gateway_world() as world:
        world.add_desk().play(Flood(b"", refusal), None)
        case.assertEqual(503, world.running.ask("/unsafe/1", "c1").status)


load_tests = function_tests(__name__)
