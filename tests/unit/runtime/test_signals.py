"""Stop signals reach a thread, whatever the main thread is doing meanwhile."""

import asyncio
import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from mimosafork.runtime.signals import STOP_SIGNALS, SignalThread, StopRequest
from tests.support.functions import function_tests

HUNDREDS = 900
TIMEOUT_S = 30


@contextmanager
def handlers_kept() -> Iterator[None]:
    """Put the test process's own handlers back, as a stopped program would not."""
    former = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    try:
        yield
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)


def test_signal_inside_a_lock_of_the_receiver_is_received() -> None:
    """A second signal interrupts the first one's handler, or the wait, in a lock.

    The main thread then holds the lock that is needed to set the event. A handler
    that sets it waits for the thread that it runs in: the process neither stops nor
    answers. Here the main thread holds such a lock by itself.
    """
    request = StopRequest()
    lock = threading.Lock()

    def receive(number: signal.Signals) -> None:
        with lock:
            request.receive(number)

    with handlers_kept(), SignalThread(receive):
        with lock:
            signal.raise_signal(signal.SIGTERM)
            assert not request.stopping.is_set()
        assert request.stopping.wait(TIMEOUT_S)
    assert not request.hurry.is_set()


def test_hundreds_of_signals_come_in_their_order() -> None:
    received: list[signal.Signals] = []
    sent = [STOP_SIGNALS[each % len(STOP_SIGNALS)] for each in range(HUNDREDS)]
    with handlers_kept(), SignalThread(received.append):
        for number in sent:
            signal.raise_signal(number)
    assert received == sent


def test_signals_wait_for_a_receiver_that_is_busy() -> None:
    """The receiver is slower than the burst: no signal may be lost meanwhile."""
    received: list[signal.Signals] = []
    burst_sent = threading.Event()

    def receive(number: signal.Signals) -> None:
        assert burst_sent.wait(TIMEOUT_S)
        received.append(number)

    with handlers_kept(), SignalThread(receive):
        for _ in range(HUNDREDS):
            signal.raise_signal(signal.SIGHUP)
        burst_sent.set()
    assert received == [signal.SIGHUP] * HUNDREDS


def test_second_signal_of_any_kind_hurries() -> None:
    for first in STOP_SIGNALS:
        for second in STOP_SIGNALS:
            request = StopRequest()
            with handlers_kept(), SignalThread(request.receive):
                signal.raise_signal(first)
                assert request.stopping.wait(TIMEOUT_S)
                assert not request.hurry.is_set()
                signal.raise_signal(second)
                assert request.hurry.wait(TIMEOUT_S)


def test_signal_after_the_stop_changes_nothing() -> None:
    """The program has ended its work and leaves when one more signal comes.

    The interpreter takes handlers back before the process is gone: the default would
    end it then, and its exit code would say killed.
    """
    received: list[signal.Signals] = []
    with handlers_kept():
        with SignalThread(received.append):
            pass
        for number in STOP_SIGNALS:
            signal.raise_signal(number)
            assert signal.getsignal(number) is signal.SIG_IGN
    assert received == []


def test_other_signals_are_not_taken_for_a_stop() -> None:
    received: list[signal.Signals] = []
    former = signal.signal(signal.SIGUSR1, lambda number, frame: None)
    try:
        with handlers_kept(), SignalThread(received.append):
            signal.raise_signal(signal.SIGUSR1)
            signal.raise_signal(signal.SIGTERM)
    finally:
        signal.signal(signal.SIGUSR1, former)
    assert received == [signal.SIGTERM]


def test_handler_is_no_python_function() -> None:
    """A handler of bytecode is itself interrupted, and a burst nests it too deep."""
    with handlers_kept(), SignalThread(lambda number: None):
        for number in STOP_SIGNALS:
            assert not hasattr(signal.getsignal(number), "__code__")


def test_asyncio_program_is_stopped() -> None:
    async def program() -> None:
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()

        def receive(number: signal.Signals) -> None:
            loop.call_soon_threadsafe(stopping.set)

        with SignalThread(receive):
            for number in STOP_SIGNALS:
                signal.raise_signal(number)
            await asyncio.wait_for(stopping.wait(), TIMEOUT_S)

    with handlers_kept():
        asyncio.run(program())


load_tests = function_tests(__name__)
