"""A stream whose sound endpoint pauses is not cut by the search for another one."""

import asyncio
import re
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.policies import PLUGINS
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
    Revision,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged
from mimosafork.kernel.registry import create
from mimosafork.platform.calls import PreparedDialect
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import (
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
    Service,
    TrafficSplit,
)

from ...support.functions import function_tests
from ...support.prepared import HOST
from ...support.virtual_callers import VirtualCaller, VirtualListener, virtual_listener

case = TestCase()

ENGINES = ServiceId("engines")
ZONE = AvailabilityZoneId("zone-a")
SECOND = timedelta(seconds=1)
PAUSE = 1.5 * SECOND
"""Longer than an endpoint may be silent without a thought, and shorter than callers
stay."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nX-Response-Seal: seal\r\n\r\n"
)
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
LAST = b"0\r\n\r\n"
ROUTE = Route(
    RouteName("r"),
    HOST,
    "/stream/",
    CallKind.STREAM,
    SECOND * 20,
    SECOND * 0.3,
    (TrafficSplit(ENGINES, 1.0),),
    max_attempts=3,
    resumable=True,
    longest_pause=SECOND * 0.1,
)
TABLE = RoutingTable(
    Revision(1),
    (ROUTE,),
    {ENGINES: Service(ENGINES, "/healthz", 200)},
    ClientLimits(),
    (),
    has_accounts=False,
)


def event(number: int) -> bytes:
    data = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%s\r\n" % (len(data), data)


class Endpoints:
    """Serve the first request with a pause, and are full for all others.

    Parameters
    ----------
    before : int
        Events that come before the pause.
    """

    def __init__(self, before: int) -> None:
        self.before = before
        self.arrivals = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.arrivals += 1
                if self.arrivals > 1:
                    writer.write(FULL)
                    continue
                writer.write(HEAD + b"".join(map(event, range(1, self.before + 1))))
                await asyncio.sleep(PAUSE.total_seconds())
                writer.write(b"".join(map(event, range(self.before + 1, 4))) + LAST)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Resuming(Endpoints):
    """Go on with a stream at the second endpoint, after a time.

    Parameters
    ----------
    after : timedelta
        The second endpoint's first event comes so much later.

    Attributes
    ----------
    left : int
        Requests whose callers closed their connection before the answer's end.
    """

    def __init__(self, before: int, after: timedelta) -> None:
        super().__init__(before)
        self.after = after
        self.left = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request; only the first has a pause."""
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.arrivals += 1
            closed = asyncio.ensure_future(reader.read())
            if self.arrivals == 1:
                writer.write(HEAD + b"".join(map(event, range(1, self.before + 1))))
                pause = PAUSE
            else:
                writer.write(HEAD)
                pause = self.after
            await asyncio.wait([closed], timeout=pause.total_seconds())
            if closed.done():
                self.left += 1
                return
            closed.cancel()
            writer.write(b"".join(map(event, range(self.before + 1, 4))) + LAST)


@contextmanager
def engines(served: Endpoints) -> Iterator[VirtualListener]:
    """Open the door of a gateway before two endpoints with free slots."""

    def gateway_of(clock: ManualClock) -> Gateway:
        identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
        kernel = Kernel(identity, clock, Random(1), create(PLUGINS))
        return Gateway(kernel, PreparedDialect(), clock, Random(1), lambda: TABLE)

    with virtual_listener(gateway_of) as door:
        gateway = door.front
        assert isinstance(gateway, Gateway)
        door.accepting = gateway.new_connection
        listening = asyncio.start_server(served.serve, "127.0.0.1", 0)
        listener = door.loop.run_until_complete(listening)
        port = listener.sockets[0].getsockname()[1]
        door.run_in_loop(gateway.start)
        gateway.post(RoutingTableChanged(TABLE))
        for name in ("a", "b"):
            listed = ListedEndpoint(
                EndpointId(name),
                ENGINES,
                f"127.0.0.1:{port}",
                ZONE,
                8,
                ListedState.READY,
            )
            gateway.post(EndpointUsable(listed))
        yield door
        if gateway.tick_timer is not None:
            gateway.tick_timer.cancel()
        listener.close()
        door.run_in_loop(gateway.pool.close)
        door.run()


def served_whole(door: VirtualListener) -> VirtualCaller:
    """Return a caller of a stream after the time that it takes."""
    caller = door.connect()
    headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "15000"}
    caller.send("/stream/1", b"", **headers)
    door.run(PAUSE + SECOND)
    case.assertEqual([200], caller.statuses)
    case.assertTrue(caller.read().endswith(LAST), caller.read()[-40:])
    return caller


def test_a_begun_answer_is_not_cut_as_others_refuse_its_rest() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    It paused for a second, and by the book another endpoint had a slot. The attempt
    was ended; the other one was full and refused six times within 80 ms.
    """
    served = Endpoints(before=1)
    with engines(served) as door:
        served_whole(door)


def test_an_answer_whose_head_went_out_is_not_cut_as_others_refuse() -> None:
    """A caller gets the head of a stream and then a closed connection.

    The endpoint had sent its head and no event yet, so that the answer was not taken
    for begun, and the placer was not asked whether it would go on elsewhere.
    """
    served = Endpoints(before=0)
    with engines(served) as door:
        served_whole(door)


def test_the_endpoint_that_answers_first_has_the_stream_and_no_event_is_doubled() -> (
    None
):
    """A caller gets a sentence twice, or an endpoint works on for nobody.

    A silent endpoint and the one that is tried beside it may both go on.
    """
    for after in (SECOND * 0.1, SECOND * 0.4, SECOND * 5):
        served = Resuming(before=1, after=after)
        with engines(served) as door:
            caller = served_whole(door)
            numbers = re.findall(rb"id: (\d+)", caller.read())
            case.assertEqual([b"1", b"2", b"3"], numbers, after)
            case.assertEqual((2, 1), (served.arrivals, served.left), after)


def test_both_attempts_end_when_their_caller_leaves() -> None:
    served = Resuming(before=1, after=5 * SECOND)
    with engines(served) as door:
        caller = door.connect()
        headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "15000"}
        caller.send("/stream/1", b"", **headers)
        door.run(SECOND * 1.2)
        case.assertEqual((2, 0), (served.arrivals, served.left))
        caller.socket.close()
        door.run(SECOND * 0.1)
        case.assertEqual(2, served.left)


load_tests = function_tests(__name__)
