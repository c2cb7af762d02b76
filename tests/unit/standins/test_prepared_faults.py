"""Tests of the faults that the prepared platform's endpoints play on demand."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.standins.prepared.desk import expected_body
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import (
    CloseAfter,
    CrashOnRun,
    CutAnswer,
    EarlyAnswer,
    ExtraAnswer,
    Garbage,
    Hang,
    LostAnswer,
    Mute,
    OwnError,
    Scripted,
    Shed,
    Slow,
    UnboundedAnswer,
)
from mimosafork.standins.prepared.runs import RunEnd, RunLog, digest_of
from mimosafork.standins.prepared.words import (
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
)

from ...support.functions import function_tests
from ...support.prepared import (
    DESK_PATH,
    DESKS,
    ENGINE_PATH,
    SILENCE_S,
    CallResult,
    Channel,
    NoAnswerError,
    call,
    one_desk,
    one_engine,
)

case = TestCase()

BODY = b"a call"


def ask(
    endpoint: Endpoint, path: str = DESK_PATH, timeout_s: float = 10.0, name: str = "a"
) -> CallResult:
    headers = {REQUEST_ID: name}
    return call(endpoint.address, "POST", path, headers, BODY, timeout_s)


def send(channel: Channel, name: str = "a") -> None:
    channel.send("POST", DESK_PATH, {REQUEST_ID: name}, BODY)


def ended(log: RunLog) -> bool:
    return bool(log.runs) and not log.at_work()


def test_a_desk_answers_with_the_call_it_got() -> None:
    with one_desk() as desk:
        result = ask(desk)
        chunked = Channel(desk.address)
        chunked.send("POST", DESK_PATH, {REQUEST_ID: "b"}, BODY, chunked=True)
        same = chunked.read_answer()
        chunked.hang_up()
    case.assertEqual(expected_body("POST", DESK_PATH, BODY), result.body)
    case.assertEqual(result.body, same.body)
    case.assertIn(SEAL.lower(), result.headers)


def test_a_crash_resets_all_channels_and_comes_back_with_a_new_id() -> None:
    with one_desk() as desk:
        before = desk.id
        desk.hold()
        with Channel(desk.address) as channel:
            send(channel)
            desk.log.wait_until(lambda log: bool(log.runs))
            desk.crash()
            with case.assertRaises(NoAnswerError):
                channel.read_answer()
        with case.assertRaises(ConnectionRefusedError):
            ask(desk)
        desk.let_go()
        desk.start()
        case.assertNotEqual(before, desk.id)
        case.assertEqual(200, ask(desk, name="b").status)
        case.assertEqual(RunEnd.CRASHED, desk.log.of("a")[0].end)


def test_a_poisoned_request_crashes_what_runs_it() -> None:
    with one_desk() as desk:
        desk.play_scripted(Scripted(CrashOnRun(), request_id="poison"))
        case.assertEqual(200, ask(desk, name="a").status)
        with case.assertRaises(NoAnswerError):
            ask(desk, name="poison")
        desk.start()
        case.assertEqual(200, ask(desk, name="b").status)


def test_a_stream_is_cut_in_the_middle_of_an_event() -> None:
    for reset in (True, False):
        with one_engine() as engine, Channel(engine.address) as channel:
            engine.play(CutAnswer(after_events=2, reset=reset))
            channel.send("POST", ENGINE_PATH, {REQUEST_ID: "a"}, BODY)
            channel.read_head()
            case.assertIsNotNone(channel.read_event())
            case.assertIsNotNone(channel.read_event())
            case.assertIsNone(channel.read_event())
            case.assertFalse(channel.complete)


def test_a_body_is_cut_halfway() -> None:
    with one_desk() as desk:
        desk.play(CutAnswer(reset=False))
        result = ask(desk)
        case.assertEqual(200, result.status)
        case.assertFalse(result.complete)


def test_garbage_comes_in_place_of_an_answer() -> None:
    with one_desk() as desk:
        desk.play(Garbage())
        with case.assertRaises(NoAnswerError):
            ask(desk)
        case.assertEqual(1, len(desk.log.of("a")))


def test_an_extra_answer_follows_at_once() -> None:
    with one_desk() as desk, Channel(desk.address) as channel:
        desk.play(ExtraAnswer())
        send(channel)
        first, extra = channel.read_answer(), channel.read_answer()
    case.assertEqual(first, extra)


def test_an_extra_answer_comes_late_in_place_of_the_next_one() -> None:
    with one_desk() as desk, Channel(desk.address) as channel:
        desk.play(ExtraAnswer(late=True))
        send(channel, "a")
        first = channel.read_answer()
        send(channel, "b")
        extra, proper = channel.read_answer(), channel.read_answer()
    names = [each.headers[REQUEST_ID.lower()] for each in (first, extra, proper)]
    case.assertEqual(["a", "a", "b"], names)


def test_an_extra_stream_follows_a_stream() -> None:
    with one_engine() as engine, Channel(engine.address) as channel:
        engine.play(ExtraAnswer())
        channel.send("POST", ENGINE_PATH, {REQUEST_ID: "a"}, BODY)
        case.assertEqual(channel.read_answer(), channel.read_answer())


def test_an_answer_without_a_length_ends_with_its_channel() -> None:
    with one_desk() as desk, one_engine() as engine:
        desk.play(UnboundedAnswer())
        engine.play(UnboundedAnswer())
        body, stream = ask(desk), ask(engine, ENGINE_PATH)
    case.assertNotIn("content-length", body.headers)
    case.assertTrue(body.complete)
    case.assertEqual(expected_body("POST", DESK_PATH, BODY), body.body)
    case.assertEqual(4, len(stream.events))


def test_an_answer_without_a_length_may_be_reset() -> None:
    with one_desk() as desk, one_engine() as engine:
        desk.play(UnboundedAnswer(reset=True))
        engine.play(UnboundedAnswer(reset=True))
        case.assertFalse(ask(desk).complete)
        case.assertFalse(ask(engine, ENGINE_PATH).complete)


def test_an_answer_is_lost_after_its_run() -> None:
    with one_desk() as desk:
        desk.play(LostAnswer())
        with case.assertRaises(NoAnswerError):
            ask(desk)
        desk.play(LostAnswer(silent=True))
        with case.assertRaises(TimeoutError):
            ask(desk, timeout_s=SILENCE_S, name="b")
        ends = [run.end for run in desk.log.runs]
    case.assertEqual([RunEnd.DONE, RunEnd.DONE], ends)


def test_a_failure_of_its_own_counts_as_run() -> None:
    with one_desk() as desk:
        desk.play_scripted(Scripted(OwnError(), None, every=3))
        results = [ask(desk, name=str(at)) for at in range(6)]
        case.assertEqual(6, len(desk.log.runs))
    statuses = [result.status for result in results]
    case.assertEqual([200, 200, 500, 200, 200, 500], statuses)
    case.assertIn(SEAL.lower(), results[2].headers)
    case.assertNotIn(NOT_RUN.lower(), results[2].headers)


def test_a_shed_request_has_not_run() -> None:
    with one_desk() as desk:
        desk.play(Shed(429, timedelta(seconds=0.5)))
        result = ask(desk)
        case.assertEqual([], desk.log.runs)
    case.assertEqual(429, result.status)
    case.assertEqual("1", result.headers[NOT_RUN.lower()])
    case.assertEqual("0.5", result.headers[RETRY_AFTER.lower()])


def test_a_hanging_request_runs_and_a_mute_one_does_not() -> None:
    with one_desk() as desk:
        for fault, name in ((Hang(), "hang"), (Mute(), "mute")):
            desk.play(fault)
            with case.assertRaises(TimeoutError):
                ask(desk, timeout_s=SILENCE_S, name=name)
        desk.log.wait_until(ended)
        case.assertTrue(desk.log.of("hang")[0].cancelled)
        case.assertEqual([], desk.log.of("mute"))


def test_a_slow_answer_is_an_answer() -> None:
    with one_desk() as desk:
        desk.play(Slow(timedelta(milliseconds=20)))
        case.assertEqual(200, ask(desk).status)
        run = desk.log.runs[0]
    assert run.ended_s is not None
    case.assertGreaterEqual(run.ended_s - run.began_s, 0.02)


def test_an_early_answer_comes_before_the_body_and_the_rest_is_read_on() -> None:
    head = f"POST {DESK_PATH} HTTP/1.1\r\nHost: a\r\n{REQUEST_ID}: a\r\n"
    with one_desk() as desk, Channel(desk.address) as channel:
        desk.play(EarlyAnswer())
        channel.send_bytes(f"{head}Content-Length: 8\r\n\r\nhalf".encode())
        early = channel.read_answer()
        channel.send_bytes(b"rest")
        desk.log.wait_until(ended)
        send(channel, "b")
        after = channel.read_answer()
        run = desk.log.of("a")[0]
    case.assertEqual(200, early.status)
    case.assertEqual(digest_of(b"halfrest"), run.body_digest)
    case.assertEqual(expected_body("POST", DESK_PATH, BODY), after.body)


def test_an_answer_may_announce_that_its_channel_closes() -> None:
    settings = EndpointSettings(DESKS, close_every=2, keep_alive_s=5)
    with one_desk(settings) as desk, Channel(desk.address) as channel:
        send(channel, "a")
        kept = channel.read_answer()
        send(channel, "b")
        closing = channel.read_answer()
        case.assertTrue(channel.ended())
        desk.play(CloseAfter())
        case.assertEqual("close", ask(desk, name="c").headers["connection"])
    case.assertNotIn("connection", kept.headers)
    case.assertEqual("timeout=5", kept.headers["keep-alive"])
    case.assertEqual("close", closing.headers["connection"])


def test_idle_channels_are_closed() -> None:
    settings = EndpointSettings(DESKS, idle=timedelta(milliseconds=30))
    with one_desk(settings) as desk, Channel(desk.address) as channel:
        send(channel)
        case.assertEqual(200, channel.read_answer().status)
        case.assertTrue(channel.ended())


def test_channels_beyond_the_limit_are_reset() -> None:
    settings = EndpointSettings(DESKS, max_connections=1)
    with one_desk(settings) as desk, Channel(desk.address) as channel:
        send(channel)
        case.assertEqual(200, channel.read_answer().status)
        with case.assertRaises((NoAnswerError, ConnectionError)):
            ask(desk, name="b")
        case.assertEqual(1, desk.open_connections)


def test_open_channels_fall_silent_while_new_ones_work() -> None:
    with one_desk() as desk, Channel(desk.address, SILENCE_S) as channel:
        send(channel)
        channel.read_answer()
        desk.silence_connections()
        send(channel, "b")
        with case.assertRaises(TimeoutError):
            channel.read_answer()
        case.assertEqual(200, ask(desk, name="c").status)
        case.assertEqual([], desk.log.of("b"))


def test_an_endpoint_that_is_cut_off_is_silent_on_new_channels_too() -> None:
    with one_desk() as desk:
        desk.cut_off()
        with case.assertRaises(TimeoutError):
            ask(desk, timeout_s=SILENCE_S)
        desk.cut_off(False)
        case.assertEqual(200, ask(desk, name="b").status)
        case.assertEqual([], desk.log.of("a"))


def test_malformed_bytes_are_refused() -> None:
    with one_desk() as desk, Channel(desk.address) as channel:
        channel.send_bytes(b"\x00\x01 no request\r\n\r\n")
        case.assertEqual(400, channel.read_answer().status)
        case.assertTrue(channel.ended())


def test_a_request_that_runs_twice_is_seen() -> None:
    with one_desk() as desk:
        for name in ("a", "b", "a"):
            ask(desk, name=name)
        case.assertEqual(["a"], desk.log.ran_twice())


load_tests = function_tests(__name__)
