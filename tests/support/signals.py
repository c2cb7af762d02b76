"""Sending many stop signals to a process, without waiting for time to pass."""

import os
import signal
import threading

from .processes import EXIT_TIMEOUT_S, Process

KINDS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SERIES = 300
"""Signals of each kind that one sender sends."""


def has_ended(pid: int) -> bool:
    """Return whether a child has ended, and leave its exit status to be read.

    Until the status is read the number cannot pass to another process, so that a
    late signal reaches nobody else.
    """
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    return os.waitid(os.P_PID, pid, options) is not None


def send_series(pid: int, kind: signal.Signals, until_ended: bool) -> None:
    """Send one kind of signal at least `SERIES` times.

    Parameters
    ----------
    pid : int
        A child whose exit status nobody reads meanwhile.
    kind : signal.Signals
        What is sent.
    until_ended : bool
        Whether to go on until the process has ended.
    """
    for _ in range(SERIES):
        os.kill(pid, kind)
    while until_ended and not has_ended(pid):
        os.kill(pid, kind)


def send_overlapping(process: Process, until_ended: bool = True) -> None:
    """Send a series of each kind at the same time.

    Parameters
    ----------
    process : Process
        Running.
    until_ended : bool
        Whether to go on until the process has ended, which it must within
        `EXIT_TIMEOUT_S`.
    """
    senders = [
        threading.Thread(
            target=send_series, args=(process.pid, kind, until_ended), daemon=True
        )
        for kind in KINDS
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join(EXIT_TIMEOUT_S)
        assert not sender.is_alive(), f"{process.arguments} did not end"
