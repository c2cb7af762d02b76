"""The signals that ask a program to stop, brought to a thread of their own.

What a Python signal handler may do is next to nothing: it interrupts the main thread
anywhere, also inside a lock that the handler itself would need. So the handler here
does nothing, and the interpreter writes each signal's number into a pipe as it comes
(`signal.set_wakeup_fd`). A thread reads the pipe and calls a function, which may do
whatever any thread may: set an event, or for an asyncio program::

    def receive(number: signal.Signals) -> None:
        loop.call_soon_threadsafe(stopping.set)

    with SignalThread(receive):
        ...
"""

import operator
import os
import signal
import threading
from collections.abc import Callable
from types import TracebackType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""An operator's, a terminal's and a closed terminal's way to say stop."""

READ_SIZE = 4096

# A handler that called threading.Event.set hung one stop in five to eight: a second
# signal interrupted it inside the event's lock, whose holder then waited for itself
# for ever. This one takes two arguments, has no effect and takes no lock, and being no
# Python function it runs no bytecode in which a further signal could interrupt it, so
# that a burst can't nest handlers until the stack is full.
HANDLER = operator.is_

Receiver = Callable[[signal.Signals], None]


class SignalThread:
    """Calls a function for each stop signal, in an ordinary thread.

    To be entered and left in the main thread, once in the life of a process. From
    the end of the block on stop signals are ignored: the program has stopped, and
    one more must not turn its exit code into that of a killed process.

    The kernel merges signals of one kind that wait to be delivered, so a second one
    within microseconds may or may not count as a second. Different kinds are never
    merged.

    Parameters
    ----------
    receive : callable
        Called with each signal, in the order of their coming.
    """

    def __init__(self, receive: Receiver) -> None:
        self.receive = receive
        # The writing end must not block: a handler would wait for a reader. If
        # 64 Ki signals are unread, more are dropped, and all of them mean the same.
        self._read_end, self._write_end = os.pipe2(os.O_CLOEXEC)
        os.set_blocking(self._write_end, False)
        self._thread = threading.Thread(target=self._run, name="signals", daemon=True)

    def __enter__(self) -> "SignalThread":
        """Begin to receive."""
        self._thread.start()
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, HANDLER)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ignore stop signals from now on; those that came are received first."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        os.close(self._write_end)
        self._thread.join()
        os.close(self._read_end)

    def _run(self) -> None:
        while numbers := os.read(self._read_end, READ_SIZE):
            for number in numbers:
                # Other signals that the program handles come by this pipe too.
                if number in STOP_SIGNALS:
                    self.receive(signal.Signals(number))


class StopRequest:
    """What stop signals ask for: the first to stop, any further one to hurry.

    Attributes
    ----------
    stopping : threading.Event
        Set by the first signal.
    hurry : threading.Event
        Set by the second.
    """

    def __init__(self) -> None:
        self.stopping = threading.Event()
        self.hurry = threading.Event()

    def receive(self, number: signal.Signals) -> None:
        """Take a signal; called by one thread only."""
        if self.stopping.is_set():
            self.hurry.set()
        self.stopping.set()
