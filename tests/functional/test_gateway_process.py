"""Tests of a gateway as a process: its start, its signals and its end."""

import signal
import time
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from unittest import TestCase

from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.store_faults import NO_FAULTS, Refusal, StoreFaults
from mimosafork.standins.prepared.words import REQUEST_ID

from ..support.functions import function_tests
from ..support.gateway import BEARER
from ..support.gateway_processes import gateway_process
from ..support.prepared import (
    API_KEY,
    DESKS,
    ENGINES,
    USUAL_CONFIG,
    Channel,
    deployment,
)
from ..support.processes import Process
from ..support.signals import send_overlapping, send_series
from ..support.waiting import eventually

case = TestCase()

GRACE_S = 8.0
KEY = f"Bearer {API_KEY}"
UNUSABLE = """\
[instance]
id = entry-1

[listen]
front = nowhere
ready = 127.0.0.1:1
"""


def test_a_planned_stop_loses_nothing() -> None:
    """Callers lose their streams when an instance is replaced.

    The process ended as soon as it was told to, or served on as if nothing was,
    until it was killed. It must say that it takes nobody new, serve those that come
    all the same, let streams end, and be gone well before it is killed.
    """
    with deployment() as platform, ExitStack() as stack:
        engine = platform.add_engine(EndpointSettings(ENGINES), EngineFigures(events=3))
        platform.add_desk(EndpointSettings(DESKS))
        started = stack.enter_context(gateway_process(platform))
        started.wait_until_ready()
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)
        engine.hold()
        channel = stack.enter_context(Channel(started.front))
        channel.send("POST", "/stream/1", {REQUEST_ID: "c1", **BEARER}, b"prompt")
        engine.release()
        case.assertEqual(200, channel.read_head().status)
        case.assertIsNotNone(channel.read_event())
        began = time.monotonic()
        started.process.signal(signal.SIGTERM)
        started.wait_until_ready(503)
        answer = started.ask("/safe/1", "c2", Authorization=KEY)
        case.assertEqual((200, "close"), (answer.status, answer.headers["connection"]))
        engine.let_go()
        events = [channel.read_event() for _ in range(3)]
        case.assertIsNone(events[2])
        case.assertTrue(channel.complete)
        case.assertEqual(0, started.process.wait())
        case.assertLess(time.monotonic() - began, GRACE_S * 0.75)
        case.assertEqual([], platform.log.ran_twice())


def test_changed_settings_leave_everything_running() -> None:
    """An instance dies when its settings are changed.

    The signal that announces them ends a process that has no handler, and a file
    that can't be used must leave the old settings in force.
    """
    with deployment() as platform, ExitStack() as stack:
        desk = platform.add_desk(EndpointSettings(DESKS))
        started = stack.enter_context(gateway_process(platform))
        started.wait_until_ready()
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)
        desk.hold()
        channel = stack.enter_context(Channel(started.front))
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        platform.log.wait_until(lambda log: len(log.of("c1")) == 1)
        good = started.path.read_text()
        for text, logged in (
            (good, "entry-1"),
            (UNUSABLE, "nowhere"),
            (good, "entry-1"),
        ):
            seen = len(started.process.lines)
            started.path.write_text(text)
            started.process.signal(signal.SIGHUP)
            eventually(
                lambda: any(logged in line for line in started.process.lines[seen:])  # noqa: B023
            )
        started.wait_until_ready()
        desk.let_go()
        case.assertEqual(200, channel.read_answer().status)
        case.assertEqual(200, started.ask("/safe/1", "c2", Authorization=KEY).status)


def test_a_start_while_the_store_is_down() -> None:
    with deployment() as platform, ExitStack() as stack:
        platform.add_desk(EndpointSettings(DESKS))
        platform.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        started = stack.enter_context(gateway_process(platform))
        started.wait_until_ready(503)
        case.assertEqual(503, started.ask("/safe/1", "c1", Authorization=KEY).status)
        platform.store.set_faults(NO_FAULTS)
        started.wait_until_ready()
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)


def test_unusable_settings_end_the_start_with_every_reason() -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "bad.ini"
        path.write_text(UNUSABLE)
        process = Process(["gateway", "--settings", str(path)])
        try:
            case.assertNotEqual(0, process.wait())
            for reader in process.readers:
                reader.join()
            said = "\n".join(process.errors)
        finally:
            process.kill()
        for word in ("bad.ini", "listen", "front", "nowhere", "store", "gossip"):
            case.assertIn(word, said)
        case.assertNotIn("Traceback", said)


def test_a_stop_ends_under_a_burst_of_signals() -> None:
    """A planned stop ends as a killed process, or doesn't end.

    A group, an operator and a closed terminal signal at the same time, again and again
    until the end. A signal that came after the loop had closed killed the process;
    one that came while the loop was busy could be lost behind hundreds of others.
    """
    with deployment(USUAL_CONFIG) as platform, gateway_process(platform) as started:
        started.wait_until_ready()
        send_overlapping(started.process)
        case.assertEqual(0, started.process.wait())


def test_a_stop_is_not_lost_behind_changed_settings() -> None:
    """An instance that is told of changed settings without end never stops."""
    with deployment(USUAL_CONFIG) as platform, gateway_process(platform) as started:
        started.wait_until_ready()
        pid = started.process.pid
        changing = Thread(target=send_series, args=(pid, signal.SIGHUP, True))
        changing.start()
        send_series(pid, signal.SIGHUP, until_ended=False)
        started.process.signal(signal.SIGTERM)
        changing.join()
        case.assertEqual(0, started.process.wait())


load_tests = function_tests(__name__)
