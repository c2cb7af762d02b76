"""A kept connection to the store, replaced whenever it may be dead."""

import asyncio
from datetime import timedelta

from ..network.errors import NeverSentError, NoAnswerError
from .channel import Answer, Channel
from .errors import SilentError

IDLE_LIMIT_S = 2.0
"""Longest idle time after which a connection is still used."""
CLOSING_RACE_S = 0.25
"""A connection that ends this soon after a call was closing when the call went out."""
MOST_PATIENCE = 4
"""A slow store is waited for up to so many times as long."""


class Lane:
    """Sends calls one after another over a connection of its own.

    Parameters
    ----------
    host : str
        IP address; names are never looked up.
    port : int
        TCP port.
    connect_timeout : timedelta
        Longest time to wait for a new connection.

    Attributes
    ----------
    patience : int
        By how much time-outs of repeatable calls are to be stretched: doubled by
        silence, halved by an answer.
    """

    def __init__(self, host: str, port: int, connect_timeout: timedelta) -> None:
        self.host = host
        self.port = port
        self.connect_timeout = connect_timeout
        self.lock = asyncio.Lock()
        self.channel: Channel | None = None
        self.patience = 1

    async def call(
        self, request: bytes, timeout: timedelta, *, repeatable: bool
    ) -> Answer:
        """Send a call.

        Parameters
        ----------
        request : bytes
            The whole request.
        timeout : timedelta
            For all of it, waiting for earlier calls included.
        repeatable : bool
            The call changes nothing; it is sent once more if a kept connection
            was closing under it.

        Raises
        ------
        NeverSentError
            If no byte went out.
        NoAnswerError
            If one did and the connection ended.
        SilentError
            If one did and no whole answer came in time; the connection is dropped.
        """
        written: list[Channel] = []
        try:
            # Guard: a connection may fall silent for good without a reset; a call
            # would then wait for ever and its table would stand still. Its own
            # time-out ends the call, and the next one opens a new connection.
            async with asyncio.timeout(timeout.total_seconds()), self.lock:
                answer = await self.attempt(request, written, repeatable)
        except TimeoutError as error:
            # Guard: each call to a store that is slower than the time-out would be
            # given up, and nothing be heard until it is quick again. So the next
            # one waits longer.
            self.patience = min(self.patience * 2, MOST_PATIENCE)
            why = f"no answer within {timeout.total_seconds():.1f} s"
            raise SilentError(why) if written else NeverSentError(why) from error
        self.patience = max(self.patience // 2, 1)
        return answer

    async def attempt(
        self, request: bytes, written: list[Channel], repeatable: bool
    ) -> Answer:
        """Send a call over the kept connection or a new one."""
        loop = asyncio.get_running_loop()
        kept = self.kept()
        if kept is not None:
            written.append(kept)
            sent_s = loop.time()
            try:
                return await kept.exchange(request)
            except NoAnswerError:
                # Later than this a long poll would be sent with too little left of
                # its time-out, and would look silent.
                if not repeatable or loop.time() - sent_s > CLOSING_RACE_S:
                    raise
        channel = await self.open()
        written.append(channel)
        return await channel.exchange(request)

    def kept(self) -> Channel | None:
        """Return the open connection, unless the store may be closing it.

        Guard: a store that closes an idle connection just as a write goes out
        leaves the write's result unknown. The write's caller would have to look.
        So a connection that was idle for long is not used again.
        """
        channel = self.channel
        if channel is None or not channel.usable:
            return None
        idle_s = asyncio.get_running_loop().time() - channel.idle_since
        if idle_s > IDLE_LIMIT_S:
            channel.abort()
            return None
        return channel

    async def open(self) -> Channel:
        """Open a new connection.

        Raises
        ------
        NeverSentError
            If the store takes none in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout.total_seconds()):
                _, channel = await loop.create_connection(Channel, self.host, self.port)
        except OSError as error:  # a passed time-out is one too
            raise NeverSentError(f"no connection: {error!r}") from error
        self.channel = channel
        return channel

    def drop(self) -> None:
        """End the connection; a call under way gets no answer."""
        if self.channel is not None:
            self.channel.abort()
            self.channel = None
