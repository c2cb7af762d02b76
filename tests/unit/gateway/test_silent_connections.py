"""Tests of connections whose endpoint is silent for a while."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, cast
from unittest import TestCase

from mimosafork.clock import SystemClock
from mimosafork.gateway.upstream import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    RESPONSE_USER_TIMEOUT_MS,
    TCP_USER_TIMEOUT_MS,
    CallSink,
    EndpointConnection,
)

from ...support.functions import function_tests

case = TestCase()

SILENCE_S = 2.0
"""Silence of a healthy endpoint that must not end its connection."""

SINK = CallSink(lambda _: None, lambda _: None, lambda: None, lambda _: None)


class FakeTransport:
    """Passes the socket; a number of bytes stays unacknowledged."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unacknowledged = 0

    def get_extra_info(self, name: str) -> socket.socket:
        """Return the socket."""
        return self.sock

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not on their way yet."""
        return self.unacknowledged

    def write(self, data: bytes) -> None:
        """Accept bytes."""


@contextmanager
def connection() -> Iterator[tuple[EndpointConnection, FakeTransport]]:
    with socket.socket() as sock:
        transport = FakeTransport(sock)
        opened = EndpointConnection(SystemClock(), lambda _: None)
        opened.connection_made(cast(Any, transport))
        yield opened, transport


def user_timeout_ms(transport: FakeTransport) -> int:
    return transport.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_a_silent_second_or_two_does_not_end_a_connection() -> None:
    """A healthy endpoint loses its calls after a short silence of the network.

    The silence begins right before the first probe, so that one is lost in it.
    """
    last_probe_s = KEEPALIVE_IDLE_S
    while (last_probe_s + KEEPALIVE_INTERVAL_S) * 1000 < RESPONSE_USER_TIMEOUT_MS:
        last_probe_s += KEEPALIVE_INTERVAL_S
    case.assertGreaterEqual(last_probe_s - KEEPALIVE_IDLE_S, SILENCE_S)


def test_silence_is_allowed_once_the_request_is_acknowledged() -> None:
    """A request arrives in a window whose budget has been spent a second time."""
    with connection() as (opened, transport):
        opened.send(b"request", SINK, without_body=False)
        transport.unacknowledged = 7
        opened.allow_silence()
        case.assertEqual(TCP_USER_TIMEOUT_MS, user_timeout_ms(transport))
        transport.unacknowledged = 0
        opened.allow_silence()
        case.assertEqual(RESPONSE_USER_TIMEOUT_MS, user_timeout_ms(transport))


def test_the_next_request_has_the_short_timeout_again() -> None:
    with connection() as (opened, transport):
        opened.send(b"request", SINK, without_body=False)
        opened.allow_silence()
        opened.send(b"request", SINK, without_body=False)
        case.assertEqual(TCP_USER_TIMEOUT_MS, user_timeout_ms(transport))


load_tests = function_tests(__name__)
