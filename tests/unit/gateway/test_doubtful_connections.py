"""Tests of the reuse of pooled connections after another connection broke."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.attempt import EndpointAttempt
from mimosafork.gateway.attempt_context import AttemptContext
from mimosafork.gateway.call import Call
from mimosafork.gateway.dialect import (
    AttemptMetadata,
    CallMetadata,
    Dialect,
    ResponseMetadata,
)
from mimosafork.gateway.heads import Header, RequestHead
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
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
    InstanceId,
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
        """Record the written bytes."""
        self.written += data

    def close(self) -> None:
        """Close."""

    def abort(self) -> None:
        """Close."""

    def get_extra_info(self, name: str) -> Any:
        """Return that there is no socket."""
        return None


class PlainDialect:
    """Adds no headers and reads none."""

    def endpoint_headers(
        self, head: RequestHead, metadata: AttemptMetadata
    ) -> list[Header]:
        """Return no headers."""
        return []

    def parse_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return that the endpoint ran the call."""
        return ResponseMetadata(None, signed=True, not_run=False, endpoint_moved=False)


class CountingPool(ConnectionPool):
    """Records requests for new connections, and opens none."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.wanted: list[EndpointId] = []

    def open(
        self,
        wanted: ConnectionRequest,
        ready: Callable[[EndpointConnection], None],
        failed: Callable[[OSError], None],
    ) -> asyncio.Task[None]:
        """Record the endpoint."""
        self.wanted.append(wanted.endpoint)
        return cast(asyncio.Task[None], None)


class World:
    """A pool with idle connections, and attempts at endpoints."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.pool = CountingPool(self.clock)
        self.reported: list[Message] = []
        dialect = cast(Dialect, PlainDialect())
        self.tools = AttemptContext(
            self.clock,
            self.pool,
            dialect,
            self.reported.append,
            EndpointSendGate(FleetView(), SendPermits(), HomeRegions()),
            InstanceId("entry-1"),
        )

    def release_idle(self, endpoint: EndpointId) -> EndpointConnection:
        """Release a connection whose response has just ended."""
        connection = EndpointConnection(self.clock, lambda lost: None)
        connection.connection_made(cast(asyncio.Transport, Wire()))
        connection.use_count = 1
        self.pool.release(endpoint, connection)
        return connection

    def attempt(
        self, endpoint: EndpointId, number: int = 1, non_idempotent: bool = False
    ) -> EndpointAttempt:
        """Start an attempt of a call."""
        attempt = EndpointAttempt(
            call_at(self.clock, non_idempotent),
            dispatch_to(endpoint, number),
            self.tools,
        )
        attempt.start()
        return attempt


def call_at(clock: ManualClock, non_idempotent: bool) -> Call:
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
    if non_idempotent:
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


def break_first(world: World) -> EndpointAttempt:
    """Break a call on a pooled connection to the first endpoint."""
    connection = world.release_idle(FIRST)
    world.release_idle(SECOND)
    world.clock.advance(100 * MS)
    attempt = world.attempt(FIRST)
    connection.connection_lost(ConnectionResetError())
    return attempt


def test_a_retried_call_gets_a_new_connection() -> None:
    """A call fails twice within milliseconds although no endpoint has received it.

    A middlebox has reset all connections. The call was sent on a pooled one, which
    broke, and retried on another dead one. With both attempts used, the caller got a
    502.
    """
    world = World()
    break_first(world)
    world.attempt(SECOND, number=2)
    case.assertEqual([SECOND], world.pool.wanted)


def test_a_non_idempotent_call_avoids_connections_idle_at_the_last_break() -> None:
    world = World()
    break_first(world)
    world.attempt(SECOND, non_idempotent=True)
    case.assertEqual([SECOND], world.pool.wanted)


def test_a_connection_that_responded_after_the_break_is_reused() -> None:
    world = World()
    break_first(world)
    world.clock.advance(MS)
    world.release_idle(SECOND)
    world.attempt(SECOND, number=2)
    world.release_idle(SECOND)
    world.attempt(SECOND, non_idempotent=True)
    case.assertEqual([], world.pool.wanted)


def test_first_attempts_still_use_pooled_connections() -> None:
    """New connections are costly; a single break must not replace all of them."""
    world = World()
    break_first(world)
    world.attempt(SECOND)
    case.assertEqual([], world.pool.wanted)


def test_without_a_break_a_retry_uses_a_pooled_connection() -> None:
    world = World()
    world.release_idle(SECOND)
    world.attempt(SECOND, number=2)
    case.assertEqual([], world.pool.wanted)


def test_a_broken_attempt_remembers_that_its_connection_was_reused() -> None:
    """Each break was logged as on a new connection, as it was read after the loss."""
    world = World()
    attempt = break_first(world)
    case.assertTrue(attempt.reused)
    failed = [each for each in world.reported if isinstance(each, AttemptFailed)]
    case.assertEqual([FailureKind.BROKEN], [each.kind for each in failed])


load_tests = function_tests(__name__)
