"""Tests of how a gateway's process ends: whatever ends it, its last line says so."""

import signal
from typing import Any
from unittest import TestCase

import msgspec

from mimosafork.standins.prepared.endpoint_settings import EndpointSettings

from ..support.functions import function_tests
from ..support.gateway_processes import GatewayProcess, gateway_process
from ..support.prepared import API_KEY, DESKS, deployment
from ..support.waiting import eventually

case = TestCase()

KEY = f"Bearer {API_KEY}"
ENDED = "MF1011"
FAILED = "MF1012"
THREAD_FAILED = "MF1013"
RAISES_ONCE_STARTED = """
from mimosafork.gateway.server import GatewayServer

async def run(self):
    await self.start()
    raise {error}

GatewayServer.run = run
"""
ENDS_THE_LOOP = """
import asyncio, sys
from mimosafork.gateway.server import GatewayServer

async def run(self):
    await self.start()
    asyncio.get_running_loop().call_soon(sys.exit, 5)
    await asyncio.sleep(60)

GatewayServer.run = run
"""
FLOODS_AND_RAISES = """
import logging
from mimosafork.gateway.server import GatewayServer

async def run(self):
    await self.start()
    for number in range(20000):
        logging.getLogger("mimosafork.flood").error("line %s", number)
    raise RuntimeError("odd")

GatewayServer.run = run
"""
THREAD_RAISES = """
import threading
from mimosafork.gateway.server import GatewayServer

start = GatewayServer.start

def fail():
    raise RuntimeError("odd " * 5000)

async def begin(self):
    await start(self)
    threading.Thread(target=fail, name="poor").start()

GatewayServer.start = begin
"""


def line_of(text: str) -> tuple[str, dict[str, Any]]:
    """Return a line's number and fields, of either form."""
    try:
        line = msgspec.json.decode(text)
    except msgspec.DecodeError:
        _, _, code, *_ = text.split(" ")
        return code, {"text": text}
    return line["event"], line["fields"]


def ended(started: GatewayProcess, code: int) -> tuple[str, str]:
    """Wait for the end; return the last line's number and the line itself."""
    case.assertEqual(code, started.process.wait(30))
    for reader in started.process.readers:
        reader.join()
    last = started.process.lines[-1]
    return line_of(last)[0], last


def test_an_exception_that_ends_the_instance_is_its_last_line() -> None:
    """An instance is gone, and its log ends in the midst of served calls.

    The trace stood on standard error, which nobody had collected.
    """
    for error in ("RuntimeError('odd')", "MemoryError()"):
        sitecustomize = RAISES_ONCE_STARTED.format(error=error)
        with (
            deployment() as platform,
            gateway_process(platform, sitecustomize=sitecustomize) as started,
        ):
            number, line = ended(started, 1)
            errors = "\n".join(started.process.errors)
        case.assertEqual(FAILED, number)
        case.assertIn(error, line)
        case.assertIn("Traceback", errors)


def test_an_exit_from_within_the_loop_is_its_last_line() -> None:
    """A library ends the interpreter from a callback: no trace at all is left."""
    with (
        deployment() as platform,
        gateway_process(platform, sitecustomize=ENDS_THE_LOOP) as started,
    ):
        number, line = ended(started, 5)
    case.assertEqual(FAILED, number)
    case.assertIn("SystemExit(5)", line)


def test_a_planned_stop_is_its_last_line() -> None:
    with deployment() as platform, gateway_process(platform) as started:
        started.wait_until_ready()
        started.process.signal(signal.SIGTERM)
        number, _ = ended(started, 0)
        planned = [line_of(each)[0] for each in started.process.lines]
    case.assertEqual(ENDED, number)
    case.assertEqual(1, planned.count(ENDED))
    case.assertIn("MF2004", planned)


def test_a_flood_does_not_wash_the_last_line_away() -> None:
    """What ends the instance comes with more lines than their queue or budget takes."""
    with (
        deployment() as platform,
        gateway_process(platform, sitecustomize=FLOODS_AND_RAISES) as started,
    ):
        number, _ = ended(started, 1)
    case.assertEqual(FAILED, number)


def test_a_thread_that_fails_has_a_line_and_the_instance_serves_on() -> None:
    """A thread ends by a fault, and what it did is not done any more.

    Only standard error had its trace; the instance seemed sound.
    """
    with (
        deployment() as platform,
        gateway_process(platform, sitecustomize=THREAD_RAISES) as started,
    ):
        platform.add_desk(EndpointSettings(DESKS))
        started.wait_until_ready()
        started.wait_until_logged(THREAD_FAILED)
        eventually(lambda: started.ask("/safe/1", "w", Authorization=KEY).status == 200)
        started.process.signal(signal.SIGTERM)
        number, _ = ended(started, 0)
        (line,) = [each for each in started.process.lines if THREAD_FAILED in each]
        errors = "\n".join(started.process.errors)
    case.assertEqual(ENDED, number)
    case.assertIn("poor", line)
    case.assertLess(len(line), 2000)
    case.assertIn("Traceback", errors)


def test_a_fault_of_the_interpreter_leaves_its_trace_on_standard_error() -> None:
    """A library in C touches memory that is not its own: the process is just gone."""
    with deployment() as platform, gateway_process(platform) as started:
        started.wait_until_ready()
        started.process.signal(signal.SIGSEGV)
        case.assertEqual(-signal.SIGSEGV, started.process.wait(30))
        for reader in started.process.readers:
            reader.join()
        errors = "\n".join(started.process.errors)
    case.assertIn("Fatal Python error: Segmentation fault", errors)
    case.assertIn("most recent call first", errors)
    case.assertIn("commands/gateway.py", errors)


load_tests = function_tests(__name__)
