"""The engine stand-in over HTTP: streams, faults and its journal."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from threading import Event

import urllib3

from mimosafork.clock import SystemClock
from mimosafork.standins import EngineSettings, EngineStandin, expected_answer
from mimosafork.standins.faults import Crash
from tests.support.functions import function_tests
from tests.support.standins import (
    OWNER,
    TIMEOUT_S,
    Caller,
    assert_breaks,
    events,
    once_back,
    running_engine,
    whole,
)

QUICK = EngineSettings(token_interval=timedelta(milliseconds=2))
REFUSALS = 3000
SLOW = EngineSettings(token_interval=timedelta(milliseconds=30))


def test_stream_gives_the_answer_that_the_prompt_decides() -> None:
    with running_engine(QUICK) as (_, caller):
        text, finish = whole(caller.start("s", "a prompt", max_tokens=20))
        journal = [(e["stream_id"], e["event"]) for e in caller.journal()]
    assert text == expected_answer("a prompt", 20)
    assert finish["finish"] == "length"
    assert finish["offset"] == 20
    assert finish["usage"]["completion_tokens"] == 20
    assert journal == [("s", "started"), ("s", "finished")]


def test_attaching_after_a_reset_yields_the_rest_exactly_once() -> None:
    """A caller's connection breaks in the middle of an answer.

    The network resets the connection while the stream runs on. The caller
    attaches at the offset it has got to, and must be given the rest, once.
    """
    with running_engine(SLOW) as (_, caller):
        answer = caller.start("s", "p", max_tokens=40)
        text = ""
        offset = 0
        try:
            for event in events(answer):
                text += event["text"]
                offset += event["tokens"]
                if offset == 3:
                    caller.fault(kind="reset-streams")
        except urllib3.exceptions.HTTPError:
            assert 3 <= offset < 40
        else:
            raise AssertionError("the connection was not reset")
        rest, finish = whole(caller.attach("s", offset, attempt=2))
        started = [e for e in caller.journal() if e["event"] == "started"]
    assert text + rest == expected_answer("p", 40)
    assert finish["attempt"] == 2
    assert len(started) == 1


def test_an_ended_stream_can_be_attached_while_it_is_retained() -> None:
    with running_engine(QUICK) as (_, caller):
        whole(caller.start("s", "p", max_tokens=6))
        text, finish = whole(caller.attach("s", 2))
        unknown = caller.attach("other")
    assert text == expected_answer("p", 4, first=2)
    assert finish["finish"] == "length"
    assert unknown.status == 404


def test_two_callers_can_watch_one_stream() -> None:
    with running_engine(SLOW) as (_, caller):
        first = caller.start("s", "p", max_tokens=8)
        second = caller.attach("s", 0, attempt=2)
        texts = [whole(first)[0], whole(second)[0]]
    assert texts == [expected_answer("p", 8)] * 2


def test_a_cancelled_stream_ends_and_frees_its_memory() -> None:
    with running_engine(SLOW) as (_, caller):
        answer = caller.start("s", max_tokens=1000)
        reader = events(answer)
        next(reader)
        ran = caller.call("DELETE", "/v1/streams/s").json()
        finish = list(reader)[-1]
        holdings = caller.get("/v1/holdings")["holdings"]
        again = caller.call("DELETE", "/v1/streams/unknown").json()
    assert ran == {"ran": True}
    assert finish["finish"] == "cancelled"
    assert holdings == []
    assert again == {"ran": False}


def test_a_known_stream_id_is_not_run_again() -> None:
    with running_engine(SLOW) as (_, caller):
        caller.start("s", max_tokens=100)
        second = caller.start("s", max_tokens=100)
        starts = [e["event"] for e in caller.journal()]
    assert (second.status, second.json()["refused"]) == (409, "duplicate")
    assert starts == ["started", "refused"]


def test_a_crash_takes_streams_and_memory_and_changes_the_incarnation() -> None:
    """An engine dies under a running answer and comes back at its address.

    The caller sees its connection break. The new incarnation knows neither the
    stream nor its memory.
    """
    with running_engine(SLOW) as (engine, caller):
        reader = events(caller.start("s", max_tokens=1000))
        next(reader)
        engine.inject(Crash(down_s=0.0))
        assert_breaks(lambda: list(reader))
        state = once_back(engine, lambda: caller.get("/v1/state"))
        holdings = caller.get("/v1/holdings")
        attached = caller.attach("s")
        journal = [entry["event"] for entry in caller.journal()]
    assert state["incarnation"] == 2
    assert holdings == {"incarnation": 2, "holdings": []}
    assert attached.status == 404
    assert journal == ["started", "crashed"]


def test_connections_are_refused_while_the_engine_is_down() -> None:
    with running_engine(QUICK) as (engine, caller):
        engine.inject(Crash(down_s=3600.0))
        try:
            caller.get("/v1/state")
        except urllib3.exceptions.NewConnectionError as error:
            assert isinstance(error.__cause__, ConnectionRefusedError)
        else:
            raise AssertionError("the connection was not refused")


def test_a_crash_while_the_engine_is_down_does_not_end_it() -> None:
    """Two crashes come one right after the other.

    The second one finds no listening socket. The engine must come back all the
    same once its time is up.
    """
    with running_engine(QUICK) as (engine, caller):
        engine.inject(Crash(down_s=0.05))
        engine.inject(Crash(down_s=0.05))
        state = once_back(engine, lambda: caller.get("/v1/state"))
    assert state["incarnation"] == 3


def test_an_engine_that_comes_back_late_is_waited_for() -> None:
    """An engine crashes beside busy neighbours, and a test says that it is lost.

    Its time is up, but its loop does not get the processor. Its caller is refused
    within a tenth of a millisecond and spends all its tries, a fixed number, before
    the loop has had its turn.
    """
    with running_engine(QUICK) as (engine, caller), ThreadPoolExecutor(1) as pool:
        turn = starve_timers(engine)
        engine.inject(Crash(down_s=0.0))
        waiting = pool.submit(
            lambda: once_back(engine, lambda: caller.get("/v1/state"))
        )
        refused = 0
        while not waiting.done() and refused < REFUSALS:
            assert_breaks(lambda: caller.get("/v1/state"))
            refused += 1
        turn.set()
        assert waiting.result()["incarnation"] == 2


def starve_timers(engine: EngineStandin) -> Event:
    """Let what the engine's loop sets a time for wait for an event as well."""
    turn = Event()
    call_at = engine.loop.call_at

    def call_late(when_s: float, callback: Callable[[], None]) -> None:
        def late() -> None:
            assert turn.wait(TIMEOUT_S)
            callback()

        call_at(when_s, late)

    engine.loop.call_at = call_late  # type: ignore[method-assign]
    return turn


def test_a_marked_prompt_crashes_each_engine_that_runs_it() -> None:
    with running_engine(QUICK) as (engine, caller):
        caller.fault(kind="crash-on-prompt", marker="POISON", down_s=0.0)
        for incarnation in (2, 3):
            assert_breaks(lambda: whole(caller.start("s", "some POISON here")))
            state = once_back(engine, lambda: caller.get("/v1/state"))
            assert state["incarnation"] == incarnation
        text, _ = whole(caller.start("t", "harmless"))
        events_of_s = [e["event"] for e in caller.journal() if e["stream_id"] == "s"]
    assert text == expected_answer("harmless", 5)
    assert events_of_s == ["started", "crashed"] * 2


def test_a_frozen_engine_answers_only_after_its_freeze() -> None:
    clock = SystemClock()
    with running_engine(QUICK) as (_, caller):
        caller.fault(kind="freeze", seconds=0.3)
        before = clock.monotonic()
        whole(caller.start("s"))
        taken = clock.monotonic() - before
    assert taken.total_seconds() > 0.2


def test_refusals_on_demand_are_counted_and_not_run() -> None:
    with running_engine(QUICK) as (_, caller):
        caller.fault(kind="refuse", reason="busy", count=2)
        statuses = [caller.start(name).status for name in "abc"]
        entries = [(e["stream_id"], e["event"]) for e in caller.journal()]
    assert statuses == [429, 429, 200]
    assert entries[:2] == [("a", "refused"), ("b", "refused")]
    assert ("a", "started") not in entries


def test_orders_drain_the_engine_and_old_ones_are_refused() -> None:
    with running_engine(SLOW) as (_, caller):
        running = caller.start("s", "p", max_tokens=10)
        drain = {"order_id": "o1", "fencing": 5, "kind": "drain"}
        undrain = {"order_id": "o0", "fencing": 4, "kind": "undrain"}
        taken = caller.call("POST", "/v1/orders", json=drain)
        stale = caller.call("POST", "/v1/orders", json=undrain)
        refused = caller.start("t")
        text, _ = whole(running)
        state = caller.get("/v1/state")
    assert taken.json() == {"accepted": True}
    assert (stale.status, stale.json()["refused"]) == (409, "stale-fencing")
    assert (refused.status, refused.json()["refused"]) == (503, "draining")
    assert text == expected_answer("p", 10)
    assert (state["draining"], state["fencing"]) == (True, 5)


def test_a_cut_breaks_the_streams_of_the_peers_that_it_names() -> None:
    """A network partition comes between an engine and one of its callers.

    That caller's stream breaks and it gets no answer any more, while the stream
    runs on and another caller can attach to it.
    """
    with running_engine(SLOW) as (_, caller):
        other = Caller(caller.address, instance="entry-2")
        reader = events(other.start("s", "p", max_tokens=40))
        next(reader)
        caller.fault(kind="cut", peers=["entry-2"])
        assert_breaks(lambda: list(reader))
        assert_breaks(lambda: other.attach("s"))
        text, _ = whole(caller.attach("s"))
    assert text == expected_answer("p", 40)


def test_a_body_that_is_no_start_is_400() -> None:
    with running_engine(QUICK) as (_, caller):
        broken = caller.call("POST", "/v1/streams", body=b"{")
        lacking = caller.call("POST", "/v1/streams", json={"stream_id": "s"})
        unknown = caller.call("POST", "/faults", json={"kind": "flood"})
        unplayed = caller.call("POST", "/faults", json={"kind": "lose-answers"})
        journal = caller.journal()
    statuses = [a.status for a in (broken, lacking, unknown, unplayed)]
    assert statuses == [400, 400, 400, 400]
    assert journal == []


def test_kv_moves_from_one_engine_to_another() -> None:
    first_part, rest = "x" * 8000, "and the rest"
    with running_engine(QUICK) as (_, one), running_engine(QUICK) as (_, two):
        _, finish = whole(one.start("s1", first_part, max_tokens=0, export_kv=True))
        handle = finish["kv_handle"]
        export = one.get(f"/v1/kv/exports/{handle}")
        body = {
            "id": "i",
            "owner": OWNER,
            "source": one.address,
            "handle": handle,
            "ttl_s": 30,
        }
        imported = two.call("POST", "/v1/kv/imports", json=body)
        held = two.get("/v1/holdings")["holdings"]
        gone = two.call("POST", "/v1/kv/imports", json={**body, "handle": "none"})
        text, end = whole(two.start("s2", rest, imports=["i"], imported_tokens=2000))
    assert export["tokens"] == 2000
    assert (imported.status, gone.status) == (201, 502)
    assert [(each["kind"], each["tokens"]) for each in held] == [("reservation", 125)]
    assert text == expected_answer(first_part + rest, 5)
    assert end["usage"]["prompt_tokens"] == 2003


def test_many_streams_run_side_by_side() -> None:
    with running_engine(EngineSettings(batch_slots=200)) as (_, caller):
        answers = [caller.start(f"s{n}", f"prompt {n}") for n in range(100)]
        texts = [whole(answer)[0] for answer in answers]
    assert texts == [expected_answer(f"prompt {n}", 5) for n in range(100)]


def test_a_stopped_engine_closes_its_streams_and_its_port() -> None:
    with running_engine(SLOW) as (engine, caller):
        reader = events(caller.start("s", max_tokens=1000))
        next(reader)
        engine.stop()
        assert_breaks(lambda: list(reader))
        assert_breaks(lambda: caller.get("/v1/state"))


load_tests = function_tests(__name__)
