"""Threads that open calls to endpoints and hand their sockets over.

Connecting and sending block; the relay must not. Each worker pool has threads of its
own, so that a long prompt to an engine that has stopped reading can't delay short ones
or cancellations.
"""

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from logging import getLogger
from queue import SimpleQueue

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..clock import Clock
from ..kernel.context import InstanceIdentity
from ..kernel.messages.attempts import Exposure, FailureKind
from ..network.errors import NetworkError
from ..network.http import HttpClient
from ..relay.messages import Opened, OpenFailed, RelayMessage
from ..telemetry.catalogue.endpoints import STREAM_NOT_CANCELLED
from ..telemetry.catalogue.lifecycle import TASK_FAILED
from ..telemetry.logs import log_event
from .calls import CancelStream, OpenCall
from .errors import OpenError
from .wire import WireRequest, stream_path, wire_request

logger = getLogger(__name__)

LONG_CALL_BYTES = 64 << 10
"""Minimum size of calls that are sent by the pool for long ones: smaller calls fit into
the sockets' buffers, so that sending them doesn't wait for the endpoint."""


@dataclass(frozen=True, slots=True)
class ConnectorLimits:
    """Timeouts and thread counts of the connector."""

    connect_timeout: timedelta = timedelta(seconds=1)
    send_timeout: timedelta = timedelta(seconds=10)
    short_threads: int = 6
    long_threads: int = 4
    cancel_threads: int = 2


class WorkerPool:
    """Threads that run jobs from one queue."""

    def __init__(self, name: str, threads: int) -> None:
        self.jobs: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self.threads = [
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True)
            for number in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def put(self, job: Callable[[], None]) -> None:
        """Queue a job; from any thread, never blocks."""
        self.jobs.put(job)

    def stop(self, timeout: timedelta) -> None:
        """Stop the threads after the queued jobs."""
        for _ in self.threads:
            self.jobs.put(None)
        for thread in self.threads:
            if thread.ident is not None:
                thread.join(timeout.total_seconds())

    def _run(self) -> None:
        while (job := self.jobs.get()) is not None:
            try:
                job()
            except Exception:
                name = threading.current_thread().name
                log_event(logger, TASK_FAILED, exc_info=True, task=name)


@dataclass(slots=True)
class Connector:
    """Opens calls and cancels streams for the relay.

    Parameters
    ----------
    identity : InstanceIdentity
    clock : Clock
    http : HttpClient
        For cancellations.
    """

    identity: InstanceIdentity
    clock: Clock
    http: HttpClient
    limits: ConnectorLimits = field(default_factory=ConnectorLimits)
    deliver: Callable[[RelayMessage], None] = field(init=False)
    short: WorkerPool = field(init=False)
    long: WorkerPool = field(init=False)
    cancels: WorkerPool = field(init=False)

    def __post_init__(self) -> None:
        self.short = WorkerPool("connect-short", self.limits.short_threads)
        self.long = WorkerPool("connect-long", self.limits.long_threads)
        self.cancels = WorkerPool("cancel", self.limits.cancel_threads)

    def start(self, deliver: Callable[[RelayMessage], None]) -> None:
        """Start the worker pools.

        Parameters
        ----------
        deliver : Callable
            Takes messages for the relay; from any thread, never blocks.
        """
        self.deliver = deliver
        for pool in (self.short, self.long, self.cancels):
            pool.start()

    def stop(self, timeout: timedelta = timedelta(seconds=2)) -> None:
        """Stop the worker pools, the one with queued cancellations first."""
        for pool in (self.cancels, self.short, self.long):
            pool.stop(timeout)

    def open(self, job: OpenCall) -> None:
        """Queue a call."""
        pool = self.long if job.call.size >= LONG_CALL_BYTES else self.short
        pool.put(lambda: self._open(job))

    def cancel(self, job: CancelStream) -> None:
        """Queue a cancellation."""
        self.cancels.put(lambda: self._cancel(job))

    def _open(self, job: OpenCall) -> None:
        try:
            sock = self._send(job)
        except OpenError as error:
            failed = OpenFailed(job, error.kind, error.exposure, str(error))
            self.deliver(failed)
            return
        self.deliver(Opened(job, sock))

    def _send(self, job: OpenCall) -> socket.socket:
        """Connect and send; return the socket before any byte is read.

        Raises
        ------
        OpenError
            With NEVER_SENT only if no byte of the request was sent.
        """
        dispatch = job.dispatch
        self._time_left(job)
        connection = self._connect(dispatch.address)
        try:
            time_left = self._time_left(job)
        except OpenError:
            connection.close()
            raise
        request = wire_request(job.call, dispatch, self.identity, time_left)
        try:
            _send_request(connection, request)
        except (HTTPError, OSError) as error:
            connection.close()
            raise OpenError(
                f"sending to {dispatch.address} broke off: {error}",
                FailureKind.BROKEN,
                Exposure.POSSIBLE,
            ) from error
        return _take_socket(connection)

    def _time_left(self, job: OpenCall) -> timedelta:
        """Return the time until the call's deadline.

        The job may have waited in the queue, or the process may have been frozen since
        the kernel last read the clock. A call must not reach the endpoint after its
        deadline, as its caller may already have got the answer that it was not run. So
        the deadline is checked again once the connection is established.

        Raises
        ------
        OpenError
            If the deadline has passed.
        """
        time_left = job.dispatch.deadline - self.clock.monotonic()
        if time_left <= timedelta(0):
            raise OpenError(
                "the deadline passed before sending",
                FailureKind.DEADLINE,
                Exposure.NEVER_SENT,
            )
        return time_left

    def _connect(self, address: str) -> HTTPConnection:
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(
            host,
            int(port),
            timeout=self.limits.connect_timeout.total_seconds(),
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        try:
            connection.connect()
        except (NewConnectionError, ConnectTimeoutError, OSError) as error:
            connection.close()
            raise OpenError(
                f"{address} can't be reached: {error}",
                FailureKind.UNREACHED,
                Exposure.NEVER_SENT,
            ) from error
        if connection.sock is not None:
            connection.sock.settimeout(self.limits.send_timeout.total_seconds())
        return connection

    def _cancel(self, job: CancelStream) -> None:
        """Send one DELETE; if it is lost, the stream ends at its deadline."""
        try:
            self.http.call("DELETE", job.address, stream_path(job.stream_id))
        except NetworkError as error:
            log_event(logger, STREAM_NOT_CANCELLED, stream=job.stream_id, why=error)


def _send_request(connection: HTTPConnection, request: WireRequest) -> None:
    connection.request(
        request.method,
        request.path,
        body=request.body,
        headers=request.headers,
        preload_content=False,
        decode_content=False,
    )


def _take_socket(connection: HTTPConnection) -> socket.socket:
    """Detach the connection's socket, which the caller then owns."""
    sock = connection.sock
    assert sock is not None
    connection.sock = None
    sock.setblocking(False)
    return sock
