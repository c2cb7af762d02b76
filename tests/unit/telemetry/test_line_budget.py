"""A flood of calls is no flood of lines, and a reader that stands still harms none."""

import fcntl
import logging
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path

import msgspec

from mimosafork.clock import ManualClock
from mimosafork.telemetry.budget import LineBudget
from mimosafork.telemetry.catalogue.directory import STORE_LOST
from mimosafork.telemetry.catalogue.gateway import (
    CALL_ENDED,
    CALL_NOT_SERVED,
)
from mimosafork.telemetry.events import Importance
from mimosafork.telemetry.formats import JsonFormatter
from mimosafork.telemetry.logs import (
    LogFormat,
    Logging,
    LogLimits,
    LogOptions,
    log_event,
)
from mimosafork.telemetry.pipeline import DroppingHandler, LogListener
from mimosafork.telemetry.writing import DescriptorStream
from tests.support.functions import function_tests

logger = logging.getLogger("mimosafork.sample")

SOURCE = Path(__file__).resolve().parents[3] / "src"
SECOND = timedelta(seconds=1)
JSON = LogOptions(format=LogFormat.JSON)
WRITES_INTO_A_FULL_PIPE = """
import logging, sys
from datetime import timedelta
from mimosafork.telemetry.catalogue.directory import STORE_LOST
from mimosafork.telemetry.logs import LogLimits, LogOptions, Logging, log_event
from mimosafork.telemetry.writing import DescriptorStream

logger = logging.getLogger("mimosafork.sample")
limits = LogLimits(queue=100, stop_timeout=timedelta(milliseconds=50))
with Logging(LogOptions(), DescriptorStream(sys.stdout.fileno()), limits):
    for _ in range(20000):
        log_event(logger, STORE_LOST, table="endpoints", why="no answer")
"""


@contextmanager
def full_pipe() -> Iterator[tuple[int, int]]:
    """Return both ends of a pipe into which nothing more fits."""
    reading, writing = os.pipe()
    flags = fcntl.fcntl(writing, fcntl.F_GETFL)
    fcntl.fcntl(writing, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    try:
        while True:
            os.write(writing, b"x" * 4096)
    except BlockingIOError:
        pass
    fcntl.fcntl(writing, fcntl.F_SETFL, flags)
    try:
        yield reading, writing
    finally:
        os.close(reading)


def stop_and_close(logs: Logging, writing: int) -> None:
    logs.stop()
    os.close(writing)


def test_served_calls_are_left_out_before_failures_and_those_before_beliefs() -> None:
    """A flood comes: ten thousand calls a second, most served, some refused.

    The lines of served calls stop first. Failures are still told, and a store that
    is lost meanwhile is told whatever happens to calls.
    """
    budget = LineBudget(ManualClock(), rate=50, burst=100)
    served = sum(budget.admits(Importance.SERVED) for _ in range(1000))
    failed = sum(budget.admits(Importance.CALL) for _ in range(1000))
    beliefs = sum(budget.admits(Importance.BELIEF) for _ in range(1000))
    assert (served, failed, beliefs) == (50, 35, 15)


def test_budget_holds_over_a_long_flood() -> None:
    clock = ManualClock()
    budget = LineBudget(clock, rate=50, burst=100)
    written = 0
    for _ in range(10_000):
        clock.advance(timedelta(milliseconds=1))
        written += budget.admits(Importance.CALL)
    assert written <= 50 * 10 + 100
    assert written >= 50 * 10


def test_what_was_left_out_is_said_after_a_second() -> None:
    clock = ManualClock()
    budget = LineBudget(clock, rate=50, burst=10)
    assert budget.due_in() is None
    for _ in range(8):
        budget.admits(Importance.SERVED)
    assert budget.due_in() == SECOND
    clock.advance(SECOND)
    assert budget.due_in() == timedelta(0)
    left_out = budget.take()
    assert left_out is not None
    assert left_out.counts[Importance.SERVED] == 3
    assert budget.due_in() is None
    assert budget.total == 3


def test_line_says_what_was_left_out_and_by_kind() -> None:
    """The flood ends, and nothing more is logged.

    The line that says what was left out must come all the same, at the latest with
    the stop, or the gap would pass for silence.
    """
    caught: list[str] = []

    class Lines(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            caught.append(JsonFormatter().format(record))

    handler = DroppingHandler(budget=LineBudget(ManualClock(), rate=1, burst=10))
    listener = LogListener(handler, Lines())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        for number in range(20):
            log_event(logger, CALL_ENDED, call=f"c{number}", status=200)
        log_event(logger, STORE_LOST, table="endpoints", why="no answer")
    finally:
        logger.removeHandler(handler)
        logger.setLevel(logging.NOTSET)
    listener.start()
    listener.stop()
    lines = [msgspec.json.decode(line) for line in caught]
    assert [line["event"] for line in lines][-2:] == ["MF2107", "MF1008"]
    assert lines[-1]["fields"]["served"] == 15


def test_full_pipe_blocks_no_one_and_its_gap_is_told() -> None:
    """Whoever reads standard output stands still while calls go on.

    The pipe is full before the first line. Ten thousand lines are logged without
    waiting, most are dropped, and once the reader goes on it is told how many.
    """
    with full_pipe() as (reading, writing):
        limits = LogLimits(queue=50, stop_timeout=timedelta(seconds=60))
        logs = Logging(JSON, DescriptorStream(writing), limits).start()
        for number in range(10_000):
            log_event(logger, CALL_NOT_SERVED, call=f"c{number}", why="overloaded")
        assert logs.handler.dropped >= 10_000 - 50 - 1
        ended = threading.Thread(target=stop_and_close, args=(logs, writing))
        ended.start()
        text = b""
        while piece := os.read(reading, 65536):
            text += piece
        ended.join()
    lines = text.lstrip(b"x").splitlines()
    assert any(b"MF1006" in line for line in lines)
    assert len(lines) <= 60


def test_stop_is_not_held_up_by_a_reader_that_stands_still() -> None:
    with full_pipe() as (_, writing):
        limits = LogLimits(queue=5, stop_timeout=timedelta(milliseconds=10))
        logs = Logging(JSON, DescriptorStream(writing), limits).start()
        for number in range(100):
            log_event(logger, CALL_NOT_SERVED, call=f"c{number}", why="overloaded")
        logs.stop()


def test_process_ends_though_nobody_reads_its_output() -> None:
    """A planned stop must end the process while its pipe is full.

    Python flushes its own standard output at the end of a process; with the
    writing thread stuck in it, that would hang or abort.
    """
    process = subprocess.Popen(
        [sys.executable, "-c", WRITES_INTO_A_FULL_PIPE],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={"PYTHONPATH": str(SOURCE)},
    )
    assert process.stdout is not None
    assert process.stderr is not None
    with process.stdout, process.stderr:
        assert process.wait(timeout=60) == 0
        assert process.stderr.read() == b""


def test_closed_output_is_no_error() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    stream = DescriptorStream(writing)
    with Logging(JSON, stream):
        log_event(logger, STORE_LOST, table="endpoints", why="no answer")
    os.close(writing)
    assert stream.failed > 0


load_tests = function_tests(__name__)
