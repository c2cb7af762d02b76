"""Bounds on the data path that hold on any machine."""

import select
import selectors
import socket
import time
from collections.abc import Callable

from mimosafork.relay.answers import StreamedAnswer
from mimosafork.relay.exchange import Exchange
from mimosafork.relay.limits import RelayLimits
from mimosafork.relay.messages import CallerAttached, Opened
from mimosafork.relay.ports import RelayPorts
from mimosafork.relay.shapes import CompletionShape
from tests.support.calls import Client
from tests.support.processes import running_platform
from tests.support.relays import (
    CALL,
    MODEL,
    REQUEST,
    Engine,
    FakeConnector,
    KernelInbox,
    first_dispatch,
    request,
)

from .bounds import bound
from .process_usage import usage_of

EVENTS = 3000
ROUNDS = 5
HELD_STREAMS = 40
RECEIVE_BYTES = 65536


def spent_s(step: Callable[[], object]) -> float:
    """Return the processor time that a step takes in this thread."""
    before = time.thread_time()
    step()
    return time.thread_time() - before


def relay_cost_s() -> float:
    """Return the processor time of one event, from readiness to the caller.

    The exchange is driven here without its task, as switches between threads of
    one process would be counted too.
    """
    shape = CompletionShape(REQUEST, MODEL, 0)
    selector = selectors.DefaultSelector()
    connector = FakeConnector()
    ports = RelayPorts(selector, connector, KernelInbox().send, RelayLimits())
    caller_in, caller = socket.socketpair()
    relay_in, engine_socket = socket.socketpair()
    for each in (caller_in, relay_in):
        each.setblocking(False)
    answer = StreamedAnswer(REQUEST, shape)
    exchange = Exchange(CallerAttached(request(), caller_in, CALL, answer), ports)
    exchange.dispatched(first_dispatch())
    job = connector.opened.get()
    exchange.opened(Opened(job, relay_in))
    engine = Engine(engine_socket, job.dispatch)
    engine.head()

    def move() -> None:
        for key, mask in selector.select():
            key.data(mask)

    move()
    spent = 0.0
    for offset in range(EVENTS):
        engine.event(offset, f"word-{offset} ")
        spent += spent_s(move)
        caller.recv(RECEIVE_BYTES)
    for each in (caller_in, caller, relay_in, engine_socket):
        each.close()
    selector.close()
    assert exchange.delivered == EVENTS
    return spent / EVENTS


def bare_cost_s() -> float:
    """Return the processor time of waiting for, reading and writing one event."""
    answer = StreamedAnswer(REQUEST, CompletionShape(REQUEST, MODEL, 0))
    payload = answer.frame.around("word-1000 ")
    source, relay_in = socket.socketpair()
    relay_out, target = socket.socketpair()
    poll = select.epoll()
    poll.register(relay_in.fileno(), select.EPOLLIN)

    def move() -> None:
        poll.poll()
        relay_out.send(relay_in.recv(RECEIVE_BYTES))

    spent = 0.0
    for _ in range(EVENTS):
        source.send(payload)
        spent += spent_s(move)
        target.recv(RECEIVE_BYTES)
    for each in (source, relay_in, relay_out, target):
        each.close()
    poll.close()
    return spent / EVENTS


@bound("relayed-event-against-bare-copy", at_most=8.0)
def relayed_event_against_bare_copy() -> float:
    """Return how many times a bare copy's processor time a relayed event takes."""
    return min(relay_cost_s() / bare_cost_s() for _ in range(ROUNDS))


@bound("threads-for-40-streams", at_most=0.0)
def threads_for_streams() -> float:
    """Return how many threads of an entry instance 40 streams take."""
    with running_platform() as cluster:
        cluster.add_engine("engine-1", "--token-interval-ms", "50")
        client = cluster.add_entry("entry-1")
        cluster.wait_until_served("entry-1", endpoints=1)
        pid = cluster.entries["entry-1"].pid
        held = [open_stream(client.address, 0)]
        before = usage_of(pid).threads
        held += [open_stream(client.address, n) for n in range(1, HELD_STREAMS + 1)]
        after = usage_of(pid).threads
        assert len(held) == HELD_STREAMS + 1
        return float(after - before)


def open_stream(address: str, number: int) -> object:
    """Return a stream whose first token has come."""
    body = {
        "model": "demo",
        "prompt": f"letter {number}",
        "max_tokens": 400,
        "stream": True,
    }
    answer = Client(address).open("POST", "/v1/completions", body)
    assert answer.status == 200
    return answer
