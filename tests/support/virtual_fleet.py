"""Gateways, endpoints and callers on connections in memory.

All of a gateway is the product's own but its sockets: kernel, policies, connection
pool, parsers of requests and responses, forwarding to peers.
"""

import re
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from random import Random

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.forwarded_intake import ForwardedIntake
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.connectivity import EndpointConnectivity
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gateway.policies.service_reach import ServiceReach
from mimosafork.ids import (
    EndpointId,
    Incarnation,
    InstanceId,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.connectivity import (
    ForwardingPeer,
    ForwardingPeersChanged,
)
from mimosafork.kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
)
from mimosafork.kernel.registry import create
from mimosafork.platform.calls import PreparedDialect
from mimosafork.routing.table import RoutingTable

from .gateway_kernels import PLAIN_SERVICE, ZONE, listed
from .gateway_tables import HOST, KEYS, FakeConfigurationHistory
from .reserving_engines import POOL
from .virtual_network import MemoryTransport, ProtocolFactory, VirtualNetworkLoop

SERVICES = (PLAIN_SERVICE, POOL)
ROUTES = ("once", "sealed", "safe", "stream")
ONCE = frozenset({"once", "sealed"})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MESSAGE_END = b"\r\n\r\n"
MAX_ATTEMPTS = 3
FORWARDING_PORT = 99
SLACK = 10_000.0
REQUEST_ID = re.compile(rb"\r\nX-Request-Id: ([^\r]+)", re.IGNORECASE)
LENGTH = re.compile(rb"\r\nContent-Length: (\d+)", re.IGNORECASE)
EXPECTED = re.compile(rb"\r\nX-Expect-Instance: ([^\r]+)", re.IGNORECASE)
STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")


class Answer(Enum):
    """What an endpoint answers."""

    SUCCESS = "200"
    OWN_FAILURE = "500"
    OWN_REFUSAL_STATUS = "503"
    """A failure of a run, with a status that elsewhere means that it has not run."""
    UNSIGNED = "unsigned"
    GARBAGE = "garbage"


@dataclass
class Arrival:
    """A request at an endpoint.

    Attributes
    ----------
    running, answered : bool
        A request that was answered without running has been refused.
    """

    request_id: str
    stream: bool
    connection: "EndpointSide"
    running: bool = False
    answered: bool = False


class EndpointSide:
    """An endpoint's side of one connection; requests are answered one at a time."""

    def __init__(self, endpoint: "VirtualEndpoint") -> None:
        self.endpoint = endpoint
        self.buffer = b""
        self.open = True
        self.last_answer = b""
        self.repeat_before_next = b""
        self.transport: MemoryTransport

    def connection_made(self, transport: MemoryTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.endpoint.connections.append(self)

    def data_received(self, data: bytes) -> None:
        """Take each whole request."""
        self.buffer += data
        while MESSAGE_END in self.buffer:
            head, _, rest = self.buffer.partition(MESSAGE_END)
            length = LENGTH.search(head)
            size = 0 if length is None else int(length[1])
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self._arrived(head)

    def _arrived(self, head: bytes) -> None:
        repeated, self.repeat_before_next = self.repeat_before_next, b""
        self.write(repeated)
        found = REQUEST_ID.search(head)
        name = "" if found is None else found[1].decode()
        arrival = Arrival(name, b"/sealed" in head or b"/stream" in head, self)
        self.endpoint.arrivals.append(arrival)
        expected = EXPECTED.search(head)
        if expected is not None and expected[1].decode() != self.endpoint.id:
            self.endpoint.refuse(arrival, 421)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection has ended."""
        if data and self.open:
            self.transport.write(data)

    def eof_received(self) -> bool:
        """Close when the gateway does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what has not begun, unless the endpoint runs it all the same."""
        self.open = False
        if not self.endpoint.runs_abandoned:
            self.endpoint.drop(self)


class VirtualEndpoint:
    """One address at which starts of an endpoint follow each other.

    Attributes
    ----------
    id : str
        Differs with each start.
    runs_abandoned : bool
        Whether a request still runs after its connection has ended.
    """

    def __init__(self, fleet: "VirtualFleet", number: int, service: ServiceId) -> None:
        self.fleet = fleet
        self.service = service
        self.address = f"10.0.0.{number}:80"
        self.starts = 0
        self.runs_abandoned = False
        self.arrivals: list[Arrival] = []
        self.connections: list[EndpointSide] = []
        self.id = ""
        self.start()

    def start(self) -> None:
        """Begin to accept connections under a new id."""
        self.starts += 1
        self.id = f"{self.address}#{self.starts}"
        self.fleet.loop.listeners[self.address] = lambda: EndpointSide(self)  # type: ignore[assignment,return-value]

    def crash(self) -> None:
        """Lose all requests, and start again."""
        self.arrivals.clear()
        for connection in self.connections:
            if connection.open:
                connection.transport.abort()
        self.connections.clear()
        self.start()

    def drop(self, connection: EndpointSide) -> None:
        """Forget the requests of a connection that have not begun."""
        self.arrivals = [
            each
            for each in self.arrivals
            if each.connection is not connection or each.running
        ]

    def pending(self) -> list[Arrival]:
        """Return the requests without an answer, of each connection the first."""
        found: dict[int, Arrival] = {}
        for each in self.arrivals:
            if not each.answered:
                found.setdefault(id(each.connection), each)
        return list(found.values())

    def run(self, arrival: Arrival) -> None:
        """Begin to work on a request."""
        if not arrival.running:
            arrival.running = True
            self.fleet.runs[arrival.request_id] += 1

    def refuse(self, arrival: Arrival, status: int = 503) -> None:
        """State that a request has not run and will not."""
        self._answer(arrival, status, b"X-Not-Run: 1\r\n")

    def answer(self, arrival: Arrival, answer: Answer) -> None:
        """Run a request and answer it."""
        self.run(arrival)
        seal = b"X-Response-Seal: s\r\n"
        if answer is Answer.GARBAGE:
            arrival.answered = True
            arrival.connection.write(b"\x00 no answer\r\n\r\n")
        elif answer is Answer.UNSIGNED:
            self._answer(arrival, 200, b"")
        else:
            self._answer(arrival, int(answer.value), seal)

    def _answer(self, arrival: Arrival, status: int, headers: bytes) -> None:
        body = b"answer"
        if status == 200 and arrival.stream:
            headers += b"Content-Type: text/event-stream\r\n"
            body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        data = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n" % (
            status,
            arrival.request_id.encode(),
            headers,
            len(body),
        )
        arrival.answered = True
        arrival.connection.last_answer = data + body
        arrival.connection.write(data + body)


@dataclass
class VirtualCall:
    """A caller's attempt, which has an id of its own.

    Attributes
    ----------
    received : bytes
    closed : bool
        Whether the connection has ended.
    """

    request_id: str
    route: str
    received: bytes = b""
    closed: bool = False
    transport: MemoryTransport = field(init=False)

    @property
    def status(self) -> int | None:
        """Status of the response; None before it."""
        found = STATUS.match(self.received)
        return None if found is None else int(found[1])

    def connection_made(self, transport: MemoryTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep what is received."""
        self.received += data

    def eof_received(self) -> bool:
        """Close when the gateway does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.closed = True


class VirtualInstance:
    """One address at which incarnations of an instance follow each other."""

    def __init__(self, fleet: "VirtualFleet", number: int) -> None:
        self.fleet = fleet
        self.name = InstanceId(f"entry-{number}")
        self.front = f"10.1.0.{number}:80"
        self.forwarding = f"10.1.0.{number}:{FORWARDING_PORT}"
        self.starts = 0
        self.gateway: Gateway
        self.start()

    def start(self) -> None:
        """Start an incarnation."""
        self.starts += 1
        clock, random = self.fleet.clock, Random(self.starts)
        identity = InstanceIdentity(self.name, Incarnation(self.starts), ZONE)
        kernel = Kernel(identity, clock, random, create(PLUGINS))
        retry = kernel.plugin(BudgetedRetry)
        retry.slack, retry.slack_share = SLACK, SlackShare
        table = self.fleet.table
        self.gateway = Gateway(kernel, PreparedDialect(), clock, random, lambda: table)
        intake = ForwardedIntake(self.gateway, max_calls=4)
        listeners = self.fleet.loop.listeners
        listeners[self.front] = self.gateway.new_connection
        listeners[self.forwarding] = intake.new_connection
        self.gateway.post(RoutingTableChanged(table))
        for endpoint in self.fleet.endpoints:
            self.list_endpoint(endpoint)
        self.gateway.start()

    def list_endpoint(self, endpoint: VirtualEndpoint) -> None:
        """List an endpoint under its present id."""
        row = replace(
            listed(endpoint.id, slots=8),
            address=endpoint.address,
            service=endpoint.service,
        )
        self.gateway.post(EndpointUsable(row))

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Take an endpoint off the list."""
        self.gateway.post(EndpointLeaving(EndpointId(endpoint_id), final=True))

    def restart(self) -> None:
        """Kill the process, and start another one."""
        self.gateway.ticker.stop()
        self.gateway.effect_handler = lambda effect: None
        for address in (self.front, self.forwarding):
            if address in self.fleet.loop.links:
                self.fleet.loop.links[address].reset()
        for connections in list(self.gateway.pool.idle.values()):
            for connection in list(connections):
                connection.abort()
        for attempts in (self.gateway.attempts.current, self.gateway.attempts.hedged):
            for attempt in list(attempts.values()):
                attempt.cancel()
        self.gateway.pool.close()
        self.start()

    def lose_endpoints(self) -> None:
        """Find out that no endpoint can be reached, as after failed probes."""
        reach = {
            service: ServiceReach(unreachable_since=self.fleet.clock.monotonic())
            for service in SERVICES
        }
        self.gateway.kernel.plugin(EndpointConnectivity).services.update(reach)

    def find_endpoints(self) -> None:
        """Find out that all endpoints can be reached."""
        self.gateway.kernel.plugin(EndpointConnectivity).services.clear()


class VirtualFleet:
    """Instances in front of endpoints, and what ran there.

    Attributes
    ----------
    runs : Counter of str
        Runs by request id.
    """

    def __init__(self, instances: int, endpoints: int) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.loop = VirtualNetworkLoop(self.clock)
        self.runs: Counter[str] = Counter()
        self.calls: list[VirtualCall] = []
        history = FakeConfigurationHistory()
        row = history.add(1, set(ROUTES), set(KEYS), MAX_ATTEMPTS)
        self.table: RoutingTable = history.decode(row)
        self.endpoints: list[VirtualEndpoint] = []
        for number in range(1, endpoints + 1):
            service = SERVICES[number % len(SERVICES)]
            self.endpoints.append(VirtualEndpoint(self, number, service))
        self.instances: list[VirtualInstance] = []
        self.loop.run_until_complete(self._start(instances))

    async def _start(self, instances: int) -> None:
        self.instances = [VirtualInstance(self, n + 1) for n in range(instances)]
        self.introduce_peers()

    def introduce_peers(self) -> None:
        """Tell each instance about the others."""
        for each in self.instances:
            peers = tuple(
                ForwardingPeer(peer.name, ZONE, peer.forwarding)
                for peer in self.instances
                if peer is not each
            )
            each.gateway.post(ForwardingPeersChanged(peers))

    def close(self) -> None:
        """End everything."""
        for instance in self.instances:
            instance.gateway.ticker.stop()
        self.loop.close()

    def within(self, action: object, *arguments: object) -> None:
        """Run a function inside the event loop."""

        async def once() -> None:
            action(*arguments)  # type: ignore[operator]

        self.loop.run_until_complete(once())

    def call(self, instance: VirtualInstance, route: str, wait_ms: int) -> VirtualCall:
        """Send a caller's request on a connection of its own."""
        call = VirtualCall(f"c{len(self.calls)}", route)
        self.calls.append(call)

        async def send() -> None:
            host, _, port = instance.front.partition(":")
            factory: ProtocolFactory = lambda: call  # type: ignore[assignment,return-value] # noqa: E731
            transport, _ = await self.loop.create_connection(factory, host, int(port))
            transport.write(request_of(call, wait_ms))

        self.loop.run_until_complete(send())
        return call

    def broken_promises(self) -> list[str]:
        """Return the calls that ran twice, or ran although they were refused."""
        found = []
        for call in self.calls:
            if call.route not in ONCE:
                continue
            runs = self.runs[call.request_id]
            if runs > 1:
                found.append(f"TWICE {call}: {runs} runs")
            if call.status in NOT_RUN_STATUSES and runs:
                found.append(f"REFUSED {call}: {runs} runs")
        return found


def request_of(call: VirtualCall, wait_ms: int) -> bytes:
    """Return the bytes of a caller's request."""
    return (
        f"POST /{call.route}/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {call.request_id}\r\nX-Deadline-Ms: {wait_ms}\r\n"
        f"Authorization: Bearer {KEYS[0]}\r\nX-Token-Usage: 100,40\r\n"
        "Content-Length: 4\r\n\r\nbody"
    ).encode()
