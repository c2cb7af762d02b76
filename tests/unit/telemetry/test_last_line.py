"""The last line of a process, where its reader or its memory fails."""

import logging
import os
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta

from mimosafork.telemetry.formats import JsonFormatter, PlainFormatter
from mimosafork.telemetry.last_line import LastLine
from tests.support.functions import function_tests


class NoMemory(PlainFormatter):
    """Puts lines together until there is no memory left."""

    left = 1

    def format(self, record: logging.LogRecord) -> str:
        if self.left == 0:
            raise MemoryError
        self.left -= 1
        return super().format(record)


class UnspeakableError(Exception):
    """Fails once more when it is asked what it is."""

    def __repr__(self) -> str:
        raise ValueError


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def written(error: BaseException | None, formatter: logging.Formatter) -> list[str]:
    """Return the lines that a block leaves that an error ends."""
    with pipe() as (reader, writer):
        with suppress(BaseException), LastLine(formatter, writer):
            if error is not None:
                raise error
        return os.read(reader, 65536).decode().splitlines()


def test_each_end_has_one_line() -> None:
    for error, number in (
        (None, "MF1011"),
        (MemoryError(), "MF1012"),
        (KeyboardInterrupt(), "MF1012"),
        (SystemExit(3), "MF1012"),
        (UnspeakableError(), "MF1012"),
    ):
        (line,) = written(error, PlainFormatter())
        assert f" {number} " in line, line


def test_a_line_is_short_whatever_the_error_says() -> None:
    """A pipe takes 4,096 bytes at once; of a longer line a half could be written."""
    (line,) = written(RuntimeError("\x00\u2028" * 9000), JsonFormatter())
    assert len(line.encode()) < 4000


def test_an_end_without_memory_has_the_line_that_was_made_before() -> None:
    (line,) = written(MemoryError(), NoMemory())
    assert " MF1012 " in line


def test_a_reader_that_stands_still_does_not_keep_the_process() -> None:
    """The log's reader has stopped reading, and its pipe is full."""
    with pipe() as (reader, writer):
        os.set_blocking(writer, False)
        with suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * 4096)
        os.set_blocking(writer, True)
        last = LastLine(PlainFormatter(), writer)
        last.patience = timedelta(milliseconds=1)
        with last:
            pass
        assert b"MF1011" not in os.read(reader, 1 << 20)


def test_a_thread_that_fails_is_told_and_the_former_hook_too() -> None:
    heard: list[threading.ExceptHookArgs] = []
    before, threading.excepthook = threading.excepthook, heard.append
    try:
        with pipe() as (reader, writer):
            with LastLine(PlainFormatter(), writer):
                poor = threading.Thread(target=int, args=("odd",), name="poor")
                poor.start()
                poor.join()
            failed, ended = os.read(reader, 65536).decode().splitlines()
        assert threading.excepthook == heard.append
    finally:
        threading.excepthook = before
    assert " MF1013 " in failed and "thread poor ended by ValueError" in failed
    assert " MF1011 " in ended
    assert len(heard) == 1


load_tests = function_tests(__name__)
