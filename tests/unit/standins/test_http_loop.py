"""The stand-ins' HTTP loop and the writing of events."""

import socket
import threading
from collections.abc import Callable
from contextlib import closing, suppress
from dataclasses import dataclass, field

from mimosafork.clock import SystemClock
from mimosafork.standins import ObjectStandin, expected_answer
from mimosafork.standins.engine.readers import MAX_BACKLOG_BYTES, EventWriter
from mimosafork.standins.errors import StandinError
from mimosafork.standins.faults import Crash
from mimosafork.standins.http import HttpAnswer
from mimosafork.standins.http.messages import ExchangeListener
from tests.support.engines import VirtualEngine, settings
from tests.support.functions import function_tests
from tests.support.standins import Caller, assert_breaks, once_back, running

BIG = bytes(range(256)) * 40_000


@dataclass
class RecordedExchange:
    """An exchange that keeps what is written to it."""

    listener: ExchangeListener | None = None
    backlog: int = 0
    events: list[bytes] = field(default_factory=list)
    is_ended: bool = False

    def answer(self, answer: HttpAnswer) -> None:
        raise AssertionError("a stream gives no whole answer")

    def start_events(self) -> None:
        self.events = []

    def send_events(self, data: bytes) -> None:
        self.events.append(data)

    def end_events(self) -> None:
        self.is_ended = True

    def reset(self) -> None:
        raise AssertionError("a stream does not reset itself")


def test_a_reader_that_stands_still_gets_fewer_larger_events_later() -> None:
    """A caller stops reading in the middle of its answer.

    Its socket fills up. Nothing more is buffered for it, the stream runs on, and
    once the socket is empty the caller is given all that it missed.
    """
    engine = VirtualEngine(settings())
    stream = engine.start("s", prompt="p", max_tokens=100)
    exchange = RecordedExchange()
    EventWriter(stream, exchange, attempt=1, offset=0).attach()
    engine.run_until(0.95)
    before = len(exchange.events)
    exchange.backlog = MAX_BACKLOG_BYTES + 1
    engine.run_until(9.05)
    assert len(exchange.events) == before == 10
    exchange.backlog = 0
    assert exchange.listener is not None
    exchange.listener.drained()
    caught_up = exchange.events[before:]
    engine.run_until(20.0)
    assert len(caught_up) == 2
    text = b"".join(exchange.events).decode()
    words = [part.partition('"')[0] for part in text.split('"text":"')[1:]]
    assert "".join(words) == expected_answer("p", 100)
    assert exchange.is_ended
    assert stream.readers == []


def test_a_body_larger_than_the_socket_takes_arrives_whole() -> None:
    with running(ObjectStandin(SystemClock())) as caller:
        caller.call("PUT", "/v1/objects/big", body=BIG)
        assert caller.call("GET", "/v1/objects/big").data == BIG


def test_requests_sent_at_once_are_answered_in_order() -> None:
    with running(ObjectStandin(SystemClock())) as caller:
        caller.call("PUT", "/v1/objects/k", body=b"value")
        read = b"GET /v1/objects/%b HTTP/1.1\r\nHost: x\r\n\r\n"
        received = exchange_bytes(caller, read % b"k" + read % b"none")
    assert received.index(b" 200 ") < received.index(b"value")
    assert received.index(b"value") < received.index(b" 404 ")


def exchange_bytes(caller: Caller, sent: bytes) -> bytes:
    """Send bytes and read until the second answer has come whole."""
    received = b""
    host, _, port = caller.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(sent)
        while not received.endswith(b"}"):
            received += sock.recv(65536)
    return received


def test_what_is_no_http_is_400() -> None:
    with running(ObjectStandin(SystemClock())) as caller:
        received = exchange_bytes(caller, b"this is no HTTP\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 400 ")


def test_an_outage_with_reset_closes_instead_of_answering() -> None:
    with running(ObjectStandin(SystemClock())) as caller:
        caller.fault(kind="outage", reset=True)
        assert_breaks(lambda: caller.call("GET", "/v1/objects/k"))
        caller.call("DELETE", "/faults")
        assert caller.call("GET", "/v1/objects/k").status == 404


def test_a_taken_port_is_an_error_of_the_standins() -> None:
    clock = SystemClock()
    with running(ObjectStandin(clock)) as caller:
        assert_raises(lambda: ObjectStandin(clock).start(caller.address))


def assert_raises(call: Callable[[], object]) -> None:
    """Check that a call raises a `StandinError`."""
    try:
        call()
    except StandinError:
        return
    raise AssertionError("no error was raised")


class Neighbour:
    """Wants a port, and takes it in the instant in which its socket is closed."""

    def __init__(self, wanted: socket.socket) -> None:
        self.wanted = wanted
        self.address = wanted.getsockname()
        self.own = socket.socket()
        self.took = False

    def __getattr__(self, name: str) -> object:
        return getattr(self.wanted, name)

    def close(self) -> None:
        self.wanted.close()
        with suppress(OSError):
            self.own.bind(self.address)
            self.own.listen()
            self.took = True


def test_no_other_takes_the_port_of_one_that_crashes() -> None:
    """A stand-in crashes and cannot come back at its address.

    It closes its listening socket and binds the port anew. Between the two another
    test is given the port by the system, and the stand-in's loop fails.
    """
    standin = ObjectStandin(SystemClock())
    with running(standin) as caller:
        assert standin.loop.listener is not None
        neighbour = Neighbour(standin.loop.listener)
        standin.loop.listener = neighbour  # type: ignore[assignment]
        with closing(neighbour.own):
            standin.inject(Crash(down_s=0.0))
            assert not neighbour.took
            assert once_back(standin, caller.journal) == []


def test_stopping_twice_is_harmless() -> None:
    standin = ObjectStandin(SystemClock())
    standin.start()
    standin.stop()
    standin.stop()


def test_loop_that_ends_before_it_is_woken_stops_all_the_same() -> None:
    """A test passes, and then its stand-in cannot be stopped.

    The stopping thread sets the flag and loses the processor. The loop, on its way
    for another reason, sees the flag, ends and closes its sockets. Then the stopping
    thread wakes the loop through a socket that is gone: "Bad file descriptor".
    """
    standin = ObjectStandin(SystemClock())
    standin.start()
    loop = standin.loop
    thread = next(each for each in threading.enumerate() if each.name == loop.name)
    wake = loop._wake

    def wake_late() -> None:
        wake()
        thread.join()
        wake()

    loop._wake = wake_late  # type: ignore[method-assign]
    standin.stop()
    loop.send(object())


load_tests = function_tests(__name__)
