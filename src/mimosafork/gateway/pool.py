"""Pool of idle connections to endpoints."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from logging import getLogger

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..network.timeouts import running_timeout
from ..settings.types import split_address
from ..telemetry.catalogue.gateway import RESPONSE_SKIPPED
from ..telemetry.logs import log_event
from .heads import Header
from .upstream import EndpointConnection, no_stated_id

logger = getLogger(__name__)

CONNECT_TIMEOUT = timedelta(milliseconds=300)
DEFAULT_KEEP_ALIVE_TIMEOUT = timedelta(seconds=4)
"""Keep-alive timeout if the endpoint states none."""

KEEP_ALIVE_MARGIN = timedelta(milliseconds=700)
"""Safety margin before the endpoint's keep-alive timeout. If the endpoint closes a
connection under a request, it is unknown whether the request ran."""

MAX_IDLE_PER_ENDPOINT = 16


class ConnectionRequest(msgspec.Struct, frozen=True):
    """Requirements for a connection.

    Attributes
    ----------
    max_idle : timedelta or None
        Maximum idle time of a pooled connection; None for any.
    proven_since_break : bool
        Whether a pooled connection must have carried a response since the last time
        that any connection broke.
    call_id : str
        Id that the request states; empty if it states none. On a pooled connection
        that has carried the same, a repeated response could be taken for its own.
    """

    endpoint: EndpointId
    address: str
    max_idle: timedelta | None = None
    proven_since_break: bool = False
    call_id: str = ""


class ConnectionPool:
    """Holds idle connections by endpoint; the most recently used is reused first.

    Parameters
    ----------
    clock : Clock
    response_id : callable
        Returns the id of the call that a response's headers state, or None.

    Attributes
    ----------
    last_broken_at : timedelta or None
        Monotonic time at which a connection last broke under a call.
    opened_count : int
        Number of connections opened so far.
    skipped_count : int
        Number of responses to other requests than the awaited one so far.
    """

    def __init__(
        self,
        clock: Clock,
        response_id: Callable[[tuple[Header, ...]], str | None] = no_stated_id,
    ) -> None:
        self.clock = clock
        self.response_id = response_id
        self.skipped_count = 0
        self.last_broken_at: timedelta | None = None
        self.idle: dict[EndpointId, list[EndpointConnection]] = {}
        self.opened_count = 0
        self.connecting: set[asyncio.Task[None]] = set()

    def acquire(self, wanted: ConnectionRequest) -> EndpointConnection | None:
        """Return a reusable idle connection, or None."""
        idle_connections = self.idle.get(wanted.endpoint, [])
        now = self.clock.monotonic()
        for connection in reversed(tuple(idle_connections)):
            idle = now - connection.idle_since
            usable = self._usable(connection, idle)
            # The remaining ones are older: too old for this call, usable for others.
            if usable and wanted.max_idle and idle >= wanted.max_idle:
                return None
            # A repeated response to an earlier attempt of the same call can't be told
            # from the response to the new attempt.
            if usable and connection.matcher.has_carried(wanted.call_id):
                continue
            idle_connections.remove(connection)
            if usable and not (
                wanted.proven_since_break and self.idle_at_last_break(connection)
            ):
                return connection
            connection.close()
        return None

    def _usable(self, connection: EndpointConnection, idle: timedelta) -> bool:
        """Return whether an idle connection may carry another call."""
        keep_alive = connection.keep_alive_timeout
        limit = DEFAULT_KEEP_ALIVE_TIMEOUT if keep_alive is None else keep_alive
        if not connection.reusable or connection.transport is None:
            return False
        return idle < limit - KEEP_ALIVE_MARGIN

    def note_connection_broken(self) -> None:
        """Record that a connection broke under a call."""
        self.last_broken_at = self.clock.monotonic()

    def idle_at_last_break(self, connection: EndpointConnection) -> bool:
        """Whether a connection was idle when another one last broke.

        A common cause, such as a middlebox that lost its connection table, may have
        broken all of them. An idle connection notices only with its next call, and a
        retried call would lose its last attempt to it.
        """
        return (
            self.last_broken_at is not None
            and connection.idle_since <= self.last_broken_at
        )

    def open(
        self,
        wanted: ConnectionRequest,
        ready: Callable[[EndpointConnection], None],
        failed: Callable[[OSError], None],
    ) -> asyncio.Task[None]:
        """Open a connection.

        Exactly one of the callbacks is called, unless the returned task is cancelled.
        """
        task = asyncio.get_running_loop().create_task(self._open(wanted, ready, failed))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)
        return task

    async def _open(
        self,
        wanted: ConnectionRequest,
        ready: Callable[[EndpointConnection], None],
        failed: Callable[[OSError], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            address = split_address(wanted.address)
            async with running_timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: self._new_connection(wanted),
                    address.host,
                    address.port,
                )
        except TimeoutError:
            failed(TimeoutError("connecting timed out"))
            return
        except OSError as error:
            failed(error)
            return
        except ValueError as error:
            # The list of endpoints may contain invalid addresses. Raised in a task that
            # nobody awaits, the error would leave the call hanging until its deadline.
            failed(OSError(str(error)))
            return
        self.opened_count += 1
        connection.number = self.opened_count
        ready(connection)

    def _new_connection(self, wanted: ConnectionRequest) -> EndpointConnection:
        def on_skipped(connection: EndpointConnection) -> None:
            self.skipped_count += 1
            log_event(
                logger,
                RESPONSE_SKIPPED,
                endpoint=wanted.endpoint,
                connection=connection.number,
                call=connection.matcher.awaited or None,
                earlier_calls=connection.use_count - 1,
            )

        return EndpointConnection(
            self.clock, self._forget(wanted), self.response_id, on_skipped
        )

    def _forget(
        self, wanted: ConnectionRequest
    ) -> Callable[[EndpointConnection], None]:
        def forget(connection: EndpointConnection) -> None:
            kept = self.idle.get(wanted.endpoint, [])
            if connection in kept:
                kept.remove(connection)
            # Endpoint ids change with each start, so empty lists would accumulate.
            if not kept:
                self.idle.pop(wanted.endpoint, None)

        return forget

    def release(self, endpoint: EndpointId, connection: EndpointConnection) -> None:
        """Return a connection to the pool after its response, if it is reusable."""
        # An endpoint may respond before it has read a long request body. Another call
        # on the connection would wait for the rest of that body, so it isn't reused;
        # the rest is still sent before the connection closes.
        if (
            not connection.reusable
            or connection.reader.unexpected_bytes
            or connection.send_pending
        ):
            connection.close()
            return
        kept = self.idle.setdefault(endpoint, [])
        kept.append(connection)
        if len(kept) > MAX_IDLE_PER_ENDPOINT:
            kept.pop(0).close()

    def drop(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint that was removed."""
        for connection in self.idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections and cancel pending connects."""
        for endpoint in list(self.idle):
            self.drop(endpoint)
        for task in self.connecting:
            task.cancel()
