"""Tests of which kept connections calls are sent on after one has broken."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.attempt import AttemptContext, EndpointAttempt
from mimosafork.gateway.call import Call
from mimosafork.gateway.dialect import (
    AttemptMetadata,
    CallMetadata,
    Dialect,
    ResponseMetadata,
)
from mimosafork.gateway.heads import Header, RequestHead
from mimosafork.gateway.pool import ConnectionPool, ConnectionRequest
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.gateway.response_reader import ResponseHead
from mimosafork.gateway.upstream import EndpointConnection
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    Digest,
    EndpointId,
    Incarnation,
    RequestId,
    ServiceId,
    StreamId,
)
from mimosafork.kernel.messages.attempts import AttemptFailed, FailureKind
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import Repeatability, Request, RequestKind
from mimosafork.routing.table import CallKind, Route, RouteName, TrafficSplit

from ...support.functions import function_tests

case = TestCase()

MS = timedelta(milliseconds=1)
FIRST, SECOND = EndpointId("desk-0"), EndpointId("desk-1")
HEAD = RequestHead(b"POST", b"/write", 1, (Header(b"Host", b"a.example"),), 0)


class Wire:
    """The transport of a connection to an endpoint."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        """Keep what is sent."""
        self.written += data

    def close(self) -> None:
        """Close."""

    def abort(self) -> None:
        """Close."""

    def get_extra_info(self, name: str) -> Any:
        """Return that there is no socket."""
        return None


class PlainDialect:
    """Says and reads nothing of its own."""

    def endpoint_headers(
        self, head: RequestHead, metadata: AttemptMetadata
    ) -> list[Header]:
        """Return no headers."""
        return []

    def parse_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return that an endpoint ran it."""
        return ResponseMetadata(None, signed=True, not_run=False, endpoint_moved=False)


class CountingPool(ConnectionPool):
    """Counts connections that are wanted anew, and opens none."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.wanted: list[EndpointId] = []

    def open(
        self,
        wanted: ConnectionRequest,
        ready: Callable[[EndpointConnection], None],
        failed: Callable[[OSError], None],
    ) -> asyncio.Task[None]:
        """Note what is wanted."""
        self.wanted.append(wanted.endpoint)
        return cast(asyncio.Task[None], None)


class World:
    """A pool with connections that are kept, and attempts at endpoints."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.pool = CountingPool(self.clock)
        self.told: list[Message] = []
        dialect = cast(Dialect, PlainDialect())
        self.tools = AttemptContext(self.clock, self.pool, dialect, self.told.append)

    def keep(self, endpoint: EndpointId) -> EndpointConnection:
        """Keep a connection whose answer has just ended."""
        connection = EndpointConnection(self.clock, lambda lost: None)
        connection.connection_made(cast(asyncio.Transport, Wire()))
        connection.use_count = 1
        self.pool.release(endpoint, connection)
        return connection

    def attempt(
        self, endpoint: EndpointId, number: int = 1, once: bool = False
    ) -> EndpointAttempt:
        """Start an attempt of a call."""
        attempt = EndpointAttempt(
            call_at(self.clock, once), dispatch_to(endpoint, number), self.tools
        )
        attempt.start()
        return attempt


def call_at(clock: ManualClock, once: bool) -> Call:
    splits = (TrafficSplit(ServiceId("desks"), 1),)
    route = Route(
        RouteName("r"), "a", "/", CallKind.IDEMPOTENT, 2000 * MS, 500 * MS, splits
    )
    request = Request(
        RequestId("1"),
        AccountId("acme"),
        RequestKind.SERVICE,
        ServiceId("desks"),
        0,
        0,
        clock.monotonic() + 2000 * MS,
        Digest("00"),
    )
    if once:
        request = replace(request, repeatability=Repeatability.NON_IDEMPOTENT)
    message = RequestMessage(HEAD, b"")
    return Call(
        request.request_id,
        message,
        CallMetadata("c1"),
        route,
        None,
        request,
        cast(Any, None),
        clock.monotonic(),
    )


def dispatch_to(endpoint: EndpointId, number: int) -> Dispatch:
    return Dispatch(
        RequestId("1"),
        AttemptNumber(number),
        StreamId("s"),
        endpoint,
        Incarnation(1),
        "127.0.0.1:1",
        deadline=timedelta(seconds=102),
    )


def broken_at_first(world: World) -> EndpointAttempt:
    """Let a call break on a kept connection to the first endpoint."""
    connection = world.keep(FIRST)
    world.keep(SECOND)
    world.clock.advance(100 * MS)
    attempt = world.attempt(FIRST)
    connection.connection_lost(ConnectionResetError())
    return attempt


def test_a_call_that_is_sent_again_gets_a_new_connection() -> None:
    """A call fails twice within milliseconds, and no endpoint has seen it.

    All connections were reset on the way. The call was sent on a kept one, broke,
    and was sent again on another kept one, which was as dead; its two attempts were
    used and its caller was told 502.
    """
    world = World()
    broken_at_first(world)
    world.attempt(SECOND, number=2)
    case.assertEqual([SECOND], world.pool.wanted)


def test_a_call_that_may_run_once_mistrusts_what_was_idle_at_a_break() -> None:
    world = World()
    broken_at_first(world)
    world.attempt(SECOND, once=True)
    case.assertEqual([SECOND], world.pool.wanted)


def test_one_that_has_answered_since_the_break_is_taken() -> None:
    world = World()
    broken_at_first(world)
    world.clock.advance(MS)
    world.keep(SECOND)
    world.attempt(SECOND, number=2)
    world.keep(SECOND)
    world.attempt(SECOND, once=True)
    case.assertEqual([], world.pool.wanted)


def test_other_calls_go_on_with_kept_connections() -> None:
    """A new connection costs its endpoint time; one break must not cost them all."""
    world = World()
    broken_at_first(world)
    world.attempt(SECOND)
    case.assertEqual([], world.pool.wanted)


def test_without_a_break_a_call_is_sent_again_on_a_kept_connection() -> None:
    world = World()
    world.keep(SECOND)
    world.attempt(SECOND, number=2)
    case.assertEqual([], world.pool.wanted)


def test_an_attempt_that_broke_remembers_whether_its_connection_was_kept() -> None:
    """Each break was logged as on a new connection: it was asked for after its loss."""
    world = World()
    attempt = broken_at_first(world)
    case.assertTrue(attempt.reused)
    failed = [told for told in world.told if isinstance(told, AttemptFailed)]
    case.assertEqual([FailureKind.BROKEN], [each.kind for each in failed])


load_tests = function_tests(__name__)
