"""Tests of the prepared platform's engines: streams, slots, memory and helpers."""

from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.runs import RunEnd, RunLog, digest_of
from mimosafork.standins.prepared.stream_events import expected_texts
from mimosafork.standins.prepared.words import (
    AT_SERVER,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    HELPERS,
    INSTANCE_ID,
    LAST_EVENT_ID,
    NOT_RUN,
    ORDER_PATH,
    PRIORITY,
    REPORT_PATH,
    REQUEST_ID,
    SEAL,
    TENANT,
    TOKEN_USAGE,
    WEIGHT_VERSIONS,
)

from ...support.functions import function_tests
from ...support.prepared import (
    ENGINE_PATH,
    ENGINES,
    CallResult,
    Channel,
    call,
    call_json,
    deployment,
    one_engine,
)
from ...support.waiting import eventually

case = TestCase()

BODY = b"a prompt"
ONE_SLOT = EndpointSettings(ENGINES, slots=1, queue=1)


def ask(engine: Engine, request_id: str = "a", **headers: str) -> CallResult:
    named = {REQUEST_ID: request_id, **headers}
    return call(engine.address, "POST", ENGINE_PATH, named, BODY)


def send(channel: Channel, request_id: str, **headers: str) -> None:
    channel.send("POST", ENGINE_PATH, {REQUEST_ID: request_id, **headers}, BODY)


def order(engine: Engine, op: str, **document: Any) -> CallResult:
    return call_json(engine.address, ORDER_PATH, {"op": op, **document})


def reserve(
    engine: Engine, name: str, tokens: int, wait: bool = False, hold_ms: int = 20_000
) -> CallResult:
    members = {"id": name, "tokens": tokens, "hold-ms": hold_ms, "wait": wait}
    return order(engine, "reserve", **members)


def report(engine: Engine) -> dict[str, Any]:
    answer = call(engine.address, "GET", REPORT_PATH)
    found: dict[str, Any] = answer.json()
    return found


def running(request_id: str) -> Any:
    def holds(log: RunLog) -> bool:
        return bool(log.of(request_id))

    return holds


def ended(log: RunLog) -> bool:
    return bool(log.runs) and not log.at_work()


def test_a_stream_has_rising_ids_the_proof_and_the_callers_id() -> None:
    with one_engine() as engine:
        result = ask(engine, "q-1", **{TENANT: "account-a"})
        run = engine.log.of("q-1")[0]
    case.assertEqual([1, 2, 3, 4], [event.number for event in result.events])
    case.assertEqual(expected_texts(BODY, 4), [event.text for event in result.events])
    case.assertTrue(result.complete)
    case.assertEqual("q-1", result.headers[REQUEST_ID.lower()])
    case.assertTrue(result.headers[SEAL.lower()].startswith(f"{run.instance}.1."))
    case.assertEqual("1", result.headers[WEIGHT_VERSIONS.lower()])
    case.assertEqual(digest_of(BODY), run.body_digest)
    case.assertEqual({REQUEST_ID: "q-1", TENANT: "account-a"}, run.headers)
    case.assertEqual(RunEnd.DONE, run.end)


def test_a_stream_goes_on_after_the_last_event_at_another_engine() -> None:
    with deployment() as whole:
        whole.add_engine(EndpointSettings(ENGINES))
        other = whole.add_engine(EndpointSettings(ENGINES))
        result = ask(other, **{LAST_EVENT_ID: "2"})
        nothing = ask(other, **{LAST_EVENT_ID: "4"})
    case.assertEqual([3, 4], [event.number for event in result.events])
    case.assertEqual(
        expected_texts(BODY, 4, after=2), [event.text for event in result.events]
    )
    case.assertEqual([], nothing.events)
    case.assertTrue(nothing.complete)


def test_the_length_follows_from_the_tokens_that_are_asked_for() -> None:
    with one_engine(EngineFigures(tokens_per_event=20)) as engine:
        result = ask(engine, **{TOKEN_USAGE: "100,50"})
    case.assertEqual(3, len(result.events))


def test_a_full_engine_says_that_it_has_not_run() -> None:
    with one_engine(settings=ONE_SLOT) as engine:
        engine.hold()
        with Channel(engine.address) as first, Channel(engine.address) as second:
            send(first, "a")
            engine.log.wait_until(running("a"))
            send(second, "b")
            eventually(lambda: report(engine)["waiting"] >= 1)
            refused = ask(engine, "c")
            engine.let_go()
            case.assertEqual(200, first.read_answer().status)
            case.assertEqual(200, second.read_answer().status)
        visits = engine.log.visits_of("c")
    case.assertEqual(503, refused.status)
    case.assertEqual("1", refused.headers[NOT_RUN.lower()])
    case.assertEqual([], engine.log.of("c"))
    case.assertEqual([503], [visit.status for visit in visits])


def test_more_urgent_requests_are_admitted_first() -> None:
    with one_engine(settings=EndpointSettings(ENGINES, slots=1)) as engine:
        engine.hold()
        channels = [Channel(engine.address) for _ in range(3)]
        send(channels[0], "first")
        engine.log.wait_until(running("first"))
        send(channels[1], "later", **{PRIORITY: "7"})
        eventually(lambda: report(engine)["waiting"] >= 1)
        send(channels[2], "sooner", **{PRIORITY: "0"})
        eventually(lambda: report(engine)["waiting"] >= 2)
        engine.let_go()
        for channel in channels:
            channel.read_answer()
            channel.hang_up()
        order_of_runs = [run.request_id for run in engine.log.runs]
    case.assertEqual(["first", "sooner", "later"], order_of_runs)


def test_another_instance_is_misdirected_and_does_not_run() -> None:
    with one_engine() as engine:
        wrong = ask(engine, "a", **{EXPECT_INSTANCE: "i-other"})
        right = ask(engine, "b", **{EXPECT_INSTANCE: engine.id})
        instance = engine.id
    case.assertEqual(421, wrong.status)
    case.assertEqual(instance, wrong.headers[INSTANCE_ID.lower()])
    case.assertEqual(instance, wrong.headers[AT_SERVER.lower()])
    case.assertEqual([], engine.log.of("a"))
    case.assertEqual(200, right.status)


def test_other_weights_are_misdirected() -> None:
    with one_engine() as engine:
        engine.set_weights(7)
        case.assertEqual(421, ask(engine, "a", **{EXPECT_VERSION: "6"}).status)
        case.assertEqual(200, ask(engine, "b", **{EXPECT_VERSION: "7"}).status)
        case.assertEqual([], engine.log.of("a"))


def test_an_event_says_that_the_weights_have_changed() -> None:
    with one_engine() as engine, Channel(engine.address) as channel:
        engine.hold()
        send(channel, "a")
        engine.release()
        channel.read_head()
        first = channel.read_event()
        engine.set_weights(2)
        engine.let_go()
        second, third = channel.read_event(), channel.read_event()
    assert first is not None and second is not None and third is not None
    case.assertEqual(2, len(first.lines))
    case.assertEqual(f"{WEIGHT_VERSIONS.lower()}: 2", second.lines[0])
    case.assertEqual(2, len(third.lines))


def test_a_request_without_an_id_is_refused() -> None:
    with one_engine() as engine:
        result = call(engine.address, "POST", ENGINE_PATH, {}, BODY)
    case.assertEqual(400, result.status)
    case.assertEqual("1", result.headers[NOT_RUN.lower()])


def test_events_are_released_one_by_one() -> None:
    with one_engine() as engine, Channel(engine.address) as channel:
        engine.hold()
        send(channel, "a")
        numbers: list[int] = []
        for _ in range(4):
            engine.release()
            if not numbers:
                channel.read_head()
            event = channel.read_event()
            assert event is not None
            numbers.append(event.number)
        case.assertIsNone(channel.read_event())
        case.assertTrue(channel.complete)
    case.assertEqual([1, 2, 3, 4], numbers)


def test_work_is_dropped_when_its_caller_hangs_up() -> None:
    with one_engine() as engine:
        engine.hold()
        with Channel(engine.address) as channel:
            send(channel, "a")
            engine.log.wait_until(running("a"))
        engine.log.wait_until(ended)
        case.assertTrue(engine.log.of("a")[0].cancelled)
        case.assertEqual(0, report(engine)["running"])


def test_a_queued_request_whose_caller_hangs_up_never_runs() -> None:
    with one_engine(settings=ONE_SLOT) as engine, Channel(engine.address) as first:
        engine.hold()
        send(first, "a")
        engine.log.wait_until(running("a"))
        with Channel(engine.address) as second:
            send(second, "b")
            eventually(lambda: report(engine)["waiting"] >= 1)
        eventually(lambda: report(engine)["waiting"] == 0)
        engine.let_go()
        first.read_answer()
        case.assertEqual([], engine.log.of("b"))


def test_the_deadline_ends_a_run_with_504_and_a_wait_with_a_promise() -> None:
    with one_engine(settings=ONE_SLOT) as engine, Channel(engine.address) as first:
        engine.hold()
        late = ask(engine, "late", **{DEADLINE_MS: "30"})
        send(first, "a")
        engine.log.wait_until(running("a"))
        queued = ask(engine, "queued", **{DEADLINE_MS: "30"})
        engine.let_go()
    case.assertEqual(504, late.status)
    case.assertIn(SEAL.lower(), late.headers)
    case.assertEqual(RunEnd.EXPIRED, engine.log.of("late")[0].end)
    case.assertEqual(503, queued.status)
    case.assertEqual("1", queued.headers[NOT_RUN.lower()])
    case.assertEqual([], engine.log.of("queued"))


def test_health_waits_for_a_slot_and_tells_the_instance() -> None:
    with one_engine(settings=ONE_SLOT) as engine:
        good = call(engine.address, "GET", "/healthz")
        case.assertEqual(engine.id, good.headers[INSTANCE_ID.lower()])
        engine.set_healthy(False)
        failing = call(engine.address, "GET", "/healthz")
        engine.set_healthy(True)
        engine.drain()
        leaving = call(engine.address, "GET", "/healthz")
        with Channel(engine.address) as first, Channel(engine.address) as second:
            engine.hold()
            send(first, "a")
            engine.log.wait_until(running("a"))
            second.send("GET", "/healthz")
            eventually(lambda: report(engine)["waiting"] >= 1)
            full = call(engine.address, "GET", "/healthz")
            engine.let_go()
    case.assertEqual([200, 503, 503], [good.status, failing.status, leaving.status])
    case.assertEqual("1", full.headers[NOT_RUN.lower()])


def test_the_report_counts_memory_and_requests() -> None:
    figures = EngineFigures(memory=1000)
    with one_engine(figures) as engine, Channel(engine.address) as channel:
        engine.hold()
        send(channel, "a", **{TOKEN_USAGE: "300,100"})
        engine.log.wait_until(running("a"))
        found = report(engine)
        engine.let_go()
    case.assertEqual(1, found["running"])
    case.assertEqual(400, found["kv-used"])
    case.assertEqual(1000, found["kv-total"])
    case.assertEqual([{"name": "m", "version": 1, "adapters": []}], found["models"])


def test_a_request_larger_than_the_memory_is_refused_as_by_a_full_engine() -> None:
    with one_engine(EngineFigures(memory=1000)) as engine:
        result = ask(engine, **{TOKEN_USAGE: "1000,100"})
    case.assertEqual(503, result.status)
    case.assertEqual("1", result.headers[NOT_RUN.lower()])


def test_memory_is_set_aside_renewed_and_freed() -> None:
    with one_engine(EngineFigures(memory=1000)) as engine:
        first = reserve(engine, "t1", 700)
        again = reserve(engine, "t1", 700)
        refused = reserve(engine, "t2", 400)
        too_large = reserve(engine, "t3", 1001)
        tickets = report(engine)["tickets"]
        freed = order(engine, "release", id="t1")
        unknown = order(engine, "dance")
    case.assertEqual([200, 200], [first.status, again.status])
    case.assertEqual(300, first.json()["free"])
    case.assertEqual([409, 400], [refused.status, too_large.status])
    case.assertEqual([("t1", "held")], [(t["id"], t["state"]) for t in tickets])
    case.assertEqual(1000, freed.json()["free"])
    case.assertEqual(400, unknown.status)


def test_memory_that_is_waited_for_holds_back_new_requests() -> None:
    figures = EngineFigures(memory=1000)
    with one_engine(figures) as engine, Channel(engine.address) as channel:
        reserve(engine, "t1", 700)
        waiting = reserve(engine, "t2", 700, wait=True)
        send(channel, "a", **{TOKEN_USAGE: "10,20"})
        eventually(lambda: report(engine)["waiting"] >= 1)
        case.assertEqual([], engine.log.of("a"))
        order(engine, "release", id="t1")
        case.assertEqual(200, channel.read_answer().status)
        tickets = report(engine)["tickets"]
    case.assertEqual(202, waiting.status)
    case.assertEqual(0, waiting.json()["free"])
    case.assertEqual([("t2", "held")], [(t["id"], t["state"]) for t in tickets])


def test_the_end_of_a_run_gives_memory_to_what_waits() -> None:
    figures = EngineFigures(memory=1000)
    with one_engine(figures) as engine, Channel(engine.address) as channel:
        engine.hold()
        send(channel, "a", **{TOKEN_USAGE: "600,40"})
        engine.log.wait_until(running("a"))
        case.assertEqual(202, reserve(engine, "t1", 700, wait=True).status)
        engine.let_go()
        channel.read_answer()
        case.assertEqual(200, reserve(engine, "t1", 700, wait=True).status)


def test_memory_whose_time_is_over_cuts_its_request_off() -> None:
    with one_engine() as engine, Channel(engine.address) as channel:
        engine.hold()
        reserve(engine, "t1", 700)
        send(channel, "a", **{HELPERS: f"{engine.address}/t1"})
        engine.release()
        channel.read_head()
        case.assertIsNotNone(channel.read_event())
        reserve(engine, "t1", 700, hold_ms=10)
        case.assertIsNone(channel.read_event())
        case.assertFalse(channel.complete)
        engine.log.wait_until(ended)
        case.assertEqual(RunEnd.CUT, engine.log.of("a")[0].end)
        case.assertEqual([], report(engine)["tickets"])


def test_helpers_are_used_and_a_missing_one_is_refused() -> None:
    with deployment() as whole:
        first = whole.add_engine(EndpointSettings(ENGINES))
        helper = whole.add_engine(EndpointSettings(ENGINES))
        reserve(helper, "t1", 700)
        named = {HELPERS: f"{helper.address}/t1, {first.address}"}
        helped = ask(first, "helped", **named)
        no_ticket = ask(first, "b", **{HELPERS: f"{helper.address}/t2"})
        helper.crash()
        gone = ask(first, "c", **named)
        ran = [run.request_id for run in whole.log.runs]
        case.assertEqual(helper.id, gone.headers[AT_SERVER.lower()])
    case.assertEqual([200, 503, 503], [helped.status, no_ticket.status, gone.status])
    case.assertEqual("1", gone.headers[NOT_RUN.lower()])
    case.assertEqual(["helped"], ran)


def test_a_helper_that_dies_amid_a_stream_cuts_it_off() -> None:
    with deployment() as whole:
        first = whole.add_engine(EndpointSettings(ENGINES))
        helper = whole.add_engine(EndpointSettings(ENGINES))
        first.hold()
        with Channel(first.address) as channel:
            send(channel, "a", **{HELPERS: helper.address})
            first.release()
            channel.read_head()
            case.assertIsNotNone(channel.read_event())
            helper.crash()
            case.assertIsNone(channel.read_event())
            case.assertFalse(channel.complete)
        whole.log.wait_until(ended)
        case.assertEqual(RunEnd.CUT, whole.log.of("a")[0].end)


def test_a_helper_that_dies_before_the_first_event_leaves_a_promise() -> None:
    with deployment() as whole:
        first = whole.add_engine(EndpointSettings(ENGINES))
        helper = whole.add_engine(EndpointSettings(ENGINES))
        first.hold()
        with Channel(first.address) as channel:
            send(channel, "a", **{HELPERS: helper.address})
            whole.log.wait_until(running("a"))
            gone = helper.id
            helper.crash()
            result = channel.read_answer()
        whole.log.wait_until(lambda log: not log.of("a"))
    case.assertEqual(503, result.status)
    case.assertEqual("1", result.headers[NOT_RUN.lower()])
    case.assertEqual(gone, result.headers[AT_SERVER.lower()])


def test_a_draining_helper_is_refused() -> None:
    with deployment() as whole:
        first = whole.add_engine(EndpointSettings(ENGINES))
        helper = whole.add_engine(EndpointSettings(ENGINES))
        whole.drain(helper)
        result = ask(first, **{HELPERS: helper.address})
    case.assertEqual(503, result.status)


def test_two_requests_on_one_ticket_are_noted() -> None:
    with deployment() as whole:
        first = whole.add_engine(EndpointSettings(ENGINES))
        helper = whole.add_engine(EndpointSettings(ENGINES))
        reserve(helper, "t1", 700)
        first.hold()
        named = {HELPERS: f"{helper.address}/t1"}
        with Channel(first.address) as one, Channel(first.address) as two:
            send(one, "a", **named)
            send(two, "b", **named)
            whole.log.wait_until(lambda log: len(log.runs) == 2)
            first.let_go()
            one.read_answer()
            two.read_answer()
        case.assertEqual(["t1"], helper.shared_tickets())


def test_the_speed_divides_the_pauses() -> None:
    hour = timedelta(hours=1)
    fast = EndpointSettings(ENGINES, work=hour, speed=1e6)
    with one_engine(EngineFigures(gap=hour), fast) as engine:
        result = ask(engine)
    case.assertEqual(4, len(result.events))


load_tests = function_tests(__name__)
