"""Kept connections to endpoints."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..settings.types import split_address
from .upstream import EndpointConnection

CONNECT_TIMEOUT = timedelta(milliseconds=300)
DEFAULT_KEEP = timedelta(seconds=4)
"""How long a connection is kept where the endpoint doesn't say."""

MARGIN = timedelta(milliseconds=700)
"""An endpoint closes an idle connection after its own time; one that is used just
then is closed under the request, and whether it ran would be unknown."""

MOST_IDLE = 16


class ConnectionRequest(msgspec.Struct, frozen=True):
    """A connection that is wanted.

    Attributes
    ----------
    fresh_within : timedelta or None
        A kept connection must have been idle for no longer.
    proven : bool
        A kept connection must have answered since any connection broke last.
    """

    endpoint: EndpointId
    address: str
    max_idle: timedelta | None = None
    proven_since_break: bool = False


class ConnectionPool:
    """Keeps idle connections by endpoint, the newest first.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    broke_at : timedelta or None
        Monotonic instant at which a connection last broke under a call.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_broken_at: timedelta | None = None
        self.idle: dict[EndpointId, list[EndpointConnection]] = {}
        self.opened_count = 0
        self.connecting: set[asyncio.Task[None]] = set()

    def acquire(self, wanted: ConnectionRequest) -> EndpointConnection | None:
        """Return a kept connection that can still be used, or None."""
        kept = self.idle.get(wanted.endpoint, [])
        now = self.clock.monotonic()
        while kept:
            connection = kept[-1]
            idle = now - connection.idle_since
            told = connection.keep_alive_timeout
            limit = (DEFAULT_KEEP if told is None else told) - MARGIN
            usable = connection.reusable and connection.transport and idle < limit
            # The others are older still: too old for this call, good for others.
            if usable and wanted.max_idle and idle >= wanted.max_idle:
                return None
            kept.pop()
            if usable and not (
                wanted.proven_since_break and self.idle_at_last_break(connection)
            ):
                return connection
            connection.close()
        return None

    def note_connection_broken(self) -> None:
        """Note that a connection broke under a call."""
        self.last_broken_at = self.clock.monotonic()

    def idle_at_last_break(self, connection: EndpointConnection) -> bool:
        """Whether a connection was idle when another broke.

        Guard: what breaks one may have broken them all, such as a device on the way
        that forgot its connections. An idle one learns of it only by its next call,
        and a call that is sent again would lose its last attempt to it.
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
            place = split_address(wanted.address)
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(self.clock, self._forget(wanted)),
                    place.host,
                    place.port,
                )
        except TimeoutError:
            failed(TimeoutError("no connection in time"))
            return
        except OSError as error:
            failed(error)
            return
        except ValueError as error:
            # The list of endpoints may name anything. Raised in a task that nobody
            # awaits, it would leave the call without a word until its deadline.
            failed(OSError(str(error)))
            return
        self.opened_count += 1
        ready(connection)

    def _forget(
        self, wanted: ConnectionRequest
    ) -> Callable[[EndpointConnection], None]:
        def forget(connection: EndpointConnection) -> None:
            kept = self.idle.get(wanted.endpoint, [])
            if connection in kept:
                kept.remove(connection)
            # Ids are new with each start: an empty list for each would stay for good.
            if not kept:
                self.idle.pop(wanted.endpoint, None)

        return forget

    def release(self, endpoint: EndpointId, connection: EndpointConnection) -> None:
        """Keep a connection whose answer has ended, if it can be used again."""
        # An endpoint may answer before it has read a long body, and read on later. A
        # call that is written behind the rest of it would wait for that; the rest
        # still goes out, whole, before the connection closes.
        if (
            not connection.reusable
            or connection.reader.unexpected_bytes
            or connection.send_pending
        ):
            connection.close()
            return
        kept = self.idle.setdefault(endpoint, [])
        kept.append(connection)
        if len(kept) > MOST_IDLE:
            kept.pop(0).close()

    def drop(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for connection in self.idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self.idle):
            self.drop(endpoint)
        for task in self.connecting:
            task.cancel()
