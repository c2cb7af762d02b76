"""Tests of kept connections to endpoints: which are used, kept and closed."""

import asyncio
from datetime import timedelta
from typing import cast
from unittest import TestCase
from unittest.mock import Mock

from mimosafork.clock import ManualClock
from mimosafork.gateway.heads import Header
from mimosafork.gateway.pool import (
    DEFAULT_KEEP,
    MARGIN,
    MOST_IDLE,
    ConnectionPool,
    ConnectionRequest,
)
from mimosafork.gateway.response_reader import ResponseHead
from mimosafork.gateway.upstream import (
    LONG_REQUEST_BYTES,
    EndpointConnection,
    parse_keep_alive_timeout,
)
from mimosafork.ids import EndpointId

from ...support.functions import function_tests

case = TestCase()

DESK = EndpointId("desk-1")
FRESH = timedelta(milliseconds=1500)
ANY = ConnectionRequest(DESK, "127.0.0.1:1")
ONCE = ConnectionRequest(DESK, "127.0.0.1:1", FRESH)


def pool_of(connections: int) -> tuple[ConnectionPool, list[EndpointConnection]]:
    """Return a pool with idle connections, put back a second apart."""
    clock = ManualClock()
    pool = ConnectionPool(clock)
    made = []
    for _ in range(connections):
        clock.advance(timedelta(seconds=1))
        connection = EndpointConnection(clock, pool._forget(ANY))
        connection.transport = cast(asyncio.Transport, Mock())
        pool.release(DESK, connection)
        made.append(connection)
    return pool, made


def advance(pool: ConnectionPool, time: timedelta) -> None:
    cast(ManualClock, pool.clock).advance(time)


def closed(connections: list[EndpointConnection]) -> list[bool]:
    return [cast(Mock, each.transport).close.called for each in connections]


def test_the_newest_connection_goes_first() -> None:
    pool, made = pool_of(3)
    case.assertIs(made[2], pool.acquire(ANY))
    case.assertIs(made[1], pool.acquire(ANY))


def test_one_that_its_endpoint_may_be_closing_is_not_used() -> None:
    """A call is lost on a connection that its endpoint closes under it."""
    pool, made = pool_of(1)
    advance(pool, DEFAULT_KEEP - MARGIN)
    case.assertIsNone(pool.acquire(ANY))
    case.assertEqual([True], closed(made))


def test_the_time_that_an_endpoint_states_counts() -> None:
    pool, made = pool_of(1)
    made[0].keep_alive_timeout = timedelta(seconds=60)
    advance(pool, timedelta(seconds=59))
    case.assertIs(made[0], pool.acquire(ANY))


def test_a_call_that_needs_a_fresh_one_leaves_the_others() -> None:
    """Connections are opened again and again.

    A call that may run only once takes a connection only if it was used just now;
    those that were too old for it, and good for others, were closed.
    """
    pool, made = pool_of(2)
    advance(pool, FRESH)
    case.assertIsNone(pool.acquire(ONCE))
    case.assertEqual([False, False], closed(made))
    case.assertIs(made[1], pool.acquire(ANY))
    pool.release(DESK, made[1])
    made[1].idle_since = pool.clock.monotonic()
    case.assertIs(made[1], pool.acquire(ONCE))


def test_what_can_not_be_used_again_is_closed() -> None:
    for spoil in ("reusable", "stray", "unread"):
        pool, made = pool_of(1)
        taken = pool.acquire(ANY)
        assert taken is not None
        if spoil == "stray":
            taken.reader.unexpected_bytes = True
        elif spoil == "unread":
            taken.request_size = LONG_REQUEST_BYTES
            cast(Mock, taken.transport).get_write_buffer_size.return_value = 1
        else:
            taken.reusable = False
        pool.release(DESK, taken)
        case.assertEqual([True], closed(made))
        case.assertIsNone(pool.acquire(ANY))


def test_idle_connections_are_bounded_and_go_with_their_endpoint() -> None:
    pool, made = pool_of(MOST_IDLE + 2)
    case.assertEqual([True, True, False], closed(made)[:3])
    pool.drop(DESK)
    case.assertTrue(all(closed(made)))
    case.assertEqual({}, pool.idle)
    pool, made = pool_of(2)
    for each in made:
        each.connection_lost(None)
    case.assertEqual({}, pool.idle)


def test_how_long_an_endpoint_keeps_a_connection() -> None:
    for value, expected in (
        (b"timeout=5", 5),
        (b"max=3, Timeout=12", 12),
        (b"timeout=x", None),
        (b"", None),
        (b"timeout=" + b"9" * 30, None),
    ):
        head = ResponseHead(200, b"", (Header(b"Keep-Alive", value),), True)
        told = None if expected is None else timedelta(seconds=expected)
        case.assertEqual(told, parse_keep_alive_timeout(head), value)


load_tests = function_tests(__name__)
