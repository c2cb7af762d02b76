"""Tests of how an instance that was asked to stop runs out."""

import asyncio
from datetime import timedelta
from random import Random
from typing import Any, cast
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gateway.client_connection import ClientConnection
from mimosafork.gateway.dialect import CallMetadata, Dialect
from mimosafork.gateway.draining import drain
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.heads import Header, RequestHead
from mimosafork.gateway.server import BALANCER_LAG

from ...support.functions import function_tests
from ...support.gateway_kernels import gateway_bench

case = TestCase()

GRACE = timedelta(seconds=8)
BETWEEN = timedelta(milliseconds=250)
LATEST_TAKEN = timedelta(seconds=3)
"""What callers send later to an instance that stops must not be taken and cut."""
ON_THE_WAY = timedelta(milliseconds=200)
"""Between a call's being sent and its being taken, and of a clock that is late."""
REQUEST = b"POST /letters/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


class BusyInstance:
    """An instance that a balancer goes on sending callers to."""

    def __init__(self, clock: ManualClock, call_lasts: timedelta) -> None:
        self.clock = clock
        self.call_lasts = call_lasts
        self.next_caller = clock.monotonic()
        self.ends: list[timedelta] = []
        self.intake_ended_at: timedelta | None = None

    @property
    def open_calls(self) -> int:
        """Calls that have not ended."""
        return sum(end > self.clock.monotonic() for end in self.ends)

    @property
    def busy(self) -> bool:
        """Whether a call is open."""
        return self.open_calls > 0

    def end_intake(self) -> None:
        """Take no further calls."""
        self.intake_ended_at = self.clock.monotonic()

    async def pause(self, time: timedelta) -> None:
        """Let time pass and callers come."""
        self.clock.advance(time)
        while self.next_caller <= self.clock.monotonic():
            if self.intake_ended_at is None:
                self.ends.append(self.next_caller + self.call_lasts)
            self.next_caller += BETWEEN


def stopped(call_lasts: timedelta) -> tuple[int, timedelta, BusyInstance]:
    """Return the calls that were cut, how long the stop took, and the instance."""
    clock = ManualClock(start=timedelta(seconds=100))
    instance = BusyInstance(clock, call_lasts)
    began = clock.monotonic()
    cut = asyncio.run(drain(instance, BALANCER_LAG, GRACE, clock, instance.pause))
    return cut, clock.monotonic() - began, instance


def test_no_call_is_taken_that_could_not_end() -> None:
    """A letter's answer breaks off in the middle of a planned restart.

    It was sent eleven milliseconds after the three seconds for which callers are
    told to expect answers of an instance that stops, and was taken as the instance
    looked at its clock only each fifty milliseconds.
    """
    _, _, instance = stopped(timedelta(seconds=20))
    assert instance.intake_ended_at is not None
    begun = timedelta(seconds=100)
    case.assertLessEqual(instance.intake_ended_at - begun, LATEST_TAKEN - ON_THE_WAY)


def test_callers_that_still_come_are_not_cut() -> None:
    """Long answers break off in the middle when all instances restart in turn.

    Several instances of a zone stop at once. The balancer has too few left that are
    ready and goes on sending callers to those that stop; these took every call until
    their last moment, and cut what had just begun.
    """
    cut, took, instance = stopped(call_lasts=timedelta(seconds=3))
    case.assertEqual(0, cut)
    case.assertGreater(len(instance.ends), 0)
    case.assertLess(took, GRACE)


def test_callers_are_served_until_the_balancer_has_noticed() -> None:
    for call_lasts in (timedelta(0), timedelta(seconds=1)):
        cut, took, instance = stopped(call_lasts)
        case.assertEqual(0, cut)
        assert instance.intake_ended_at is not None
        begun = instance.clock.monotonic() - took
        case.assertEqual(BALANCER_LAG, instance.intake_ended_at - begun)
        case.assertLess(took, BALANCER_LAG + call_lasts + BETWEEN)


def test_what_does_not_end_is_cut_before_the_process_is_killed() -> None:
    cut, took, _ = stopped(call_lasts=timedelta(seconds=30))
    case.assertGreater(cut, 0)
    case.assertLess(took, GRACE)


class PlainDialect:
    """Reads and says nothing of its own."""

    def parse_call_metadata(self, head: RequestHead) -> CallMetadata:
        """Return no marks."""
        return CallMetadata("c1")

    def local_response_headers(
        self, call_id: str, retry_after: timedelta | None
    ) -> list[Header]:
        """Return when to come back."""
        return [Header(b"Retry-After", b"1")] if retry_after is not None else []


class Pipe:
    """A caller's transport; keeps what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        """Keep data."""
        self.written += data

    def close(self) -> None:
        """Note that it is closed."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether it is closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Return that all was taken."""
        return 0

    def can_write_eof(self) -> bool:
        """Return that the caller may be left to close."""
        return False

    def get_extra_info(self, name: str) -> Any:
        """Return that there is no socket."""
        return None


def connected(gateway: Gateway) -> tuple[ClientConnection, Pipe]:
    """Return a caller's connection that was just accepted."""
    connection, pipe = gateway.new_connection(), Pipe()
    connection.connection_made(cast(asyncio.Transport, pipe))
    return connection, pipe


def stopping_gateway() -> Gateway:
    """Return a gateway that knows no configuration."""
    bench = gateway_bench()
    dialect = cast(Dialect, PlainDialect())
    gateway = Gateway(bench.kernel, dialect, bench.clock, Random(1), lambda: None)
    gateway.draining = True
    return gateway


async def end_intake_among_callers() -> tuple[Pipe, Pipe]:
    gateway = stopping_gateway()
    _, idle = connected(gateway)
    sending, half_sent = connected(gateway)
    sending.data_received(REQUEST[:20])
    gateway.end_intake()
    sending.data_received(REQUEST[20:])
    return idle, half_sent


def test_a_connection_between_two_calls_is_closed_unanswered() -> None:
    """A closed connection whose request was not read costs its caller nothing."""
    idle, _ = asyncio.run(end_intake_among_callers())
    case.assertTrue(idle.closed)
    case.assertEqual(b"", idle.written)


def test_a_request_that_was_half_sent_is_told_that_it_was_not_run() -> None:
    _, half_sent = asyncio.run(end_intake_among_callers())
    case.assertTrue(half_sent.written.startswith(b"HTTP/1.1 503 "))
    case.assertIn(b"Retry-After", half_sent.written)
    case.assertIn(b"stopping", half_sent.written)


load_tests = function_tests(__name__)
