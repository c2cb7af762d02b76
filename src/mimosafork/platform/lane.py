"""A kept connection to the store, replaced whenever it may be dead."""

import asyncio
from datetime import timedelta

import msgspec

from ..network.errors import NetworkError, NeverSentError, NoAnswerError
from ..network.timeouts import running_timeout
from .channel import Answer, Channel
from .errors import SilentError

IDLE_LIMIT_S = 2.0
"""Longest idle time after which a connection is still used."""
CLOSING_RACE_S = 0.25
"""A connection that ends this soon after a call was closing when the call went out."""
MOST_PATIENCE = 4
"""A slow store is waited for up to so many times as long."""


class CallLimits(msgspec.Struct, frozen=True):
    """How long a repeatable call is waited for.

    Attributes
    ----------
    timeout : timedelta
        For all of it, waiting for earlier calls included; longer by `resend_after` for
        each further unit of patience.
    server_wait : timedelta
        How long the other side may wait before it answers.
    resend_after : timedelta
        An answer that is later than that by this is not waited for alone.
    """

    timeout: timedelta
    server_wait: timedelta
    resend_after: timedelta


class Lane:
    """Sends calls one after another over a connection of its own.

    A repeatable call that stays unanswered is sent again over a new connection while
    the earlier one still waits: the older one is answered by a store that is slow, the
    newer one by a store that has returned, whose old connections stay silent.

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
        How many times the time-out of silence a repeatable call is waited for: doubled
        by silence, halved by an answer.
    in_use : set of Channel
        Connections on which a call is under way.
    """

    def __init__(self, host: str, port: int, connect_timeout: timedelta) -> None:
        self.host = host
        self.port = port
        self.connect_timeout = connect_timeout
        self.lock = asyncio.Lock()
        self.channel: Channel | None = None
        self.in_use: set[Channel] = set()
        self.patience = 1

    async def call(self, request: bytes, timeout: timedelta) -> Answer:
        """Send a call once.

        Parameters
        ----------
        request : bytes
            The whole request.
        timeout : timedelta
            For all of it, waiting for earlier calls included.

        Raises
        ------
        NeverSentError
            If no byte went out.
        NoAnswerError
            If one did and the connection ended.
        SilentError
            If one did and no whole answer came in time; the connection is dropped.
        """
        sent: list[Channel] = []
        try:
            async with asyncio.timeout(timeout.total_seconds()), self.lock:
                channel = self.kept() or await self.open()
                return await self.exchange(channel, request, sent)
        except TimeoutError as error:
            raise silence(timeout, sent) from error

    async def repeatable_call(self, request: bytes, limits: CallLimits) -> Answer:
        """Send a call that changes nothing, again and again until it is answered.

        Raises
        ------
        NeverSentError, NoAnswerError, SilentError
            As `call` does.
        """
        sent: list[Channel] = []
        allowed = limits.timeout + limits.resend_after * (self.patience - 1)
        # Rounded up: a store that returns late in the time-out must be asked again.
        sends = max(-((limits.server_wait - allowed) // limits.resend_after), 1)
        try:
            # Guard: a connection may fall silent for good without a reset; a call
            # would then wait for ever and its table would stand still.
            async with asyncio.timeout(allowed.total_seconds()), self.lock:
                answer = await self.answered_first(request, limits, sends, sent)
        except TimeoutError as error:
            # Guard: each call to a store that is slower than the time-out would be
            # given up, and nothing be heard until it is quick again. So the next
            # one waits longer.
            self.patience = min(self.patience * 2, MOST_PATIENCE)
            raise silence(allowed, sent) from error
        self.patience = max(self.patience // 2, 1)
        return answer

    async def answered_first(
        self, request: bytes, limits: CallLimits, sends: int, sent: list[Channel]
    ) -> Answer:
        """Send a call over one connection after the other; return the first answer.

        Raises
        ------
        NetworkError
            If no send is left that may be answered.
        """
        waiting = {asyncio.ensure_future(self.send_first(request, sent))}
        pause: timedelta | None = limits.server_wait + limits.resend_after
        try:
            while True:
                pause_s = None if pause is None else pause.total_seconds()
                done, waiting = await asyncio.wait(
                    waiting, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                answered = [each for each in done if each.exception() is None]
                if answered or (done and not waiting):
                    return (answered or list(done))[0].result()
                if done:
                    continue
                sends -= 1
                pause = limits.resend_after if sends > 0 else None
                if sends > 0:
                    again = self.send_again(request, sent)
                    waiting.add(asyncio.ensure_future(again))
        finally:
            for each in waiting:
                each.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

    async def send_first(self, request: bytes, sent: list[Channel]) -> Answer:
        """Send a call over the kept connection, or a new one if it was closing."""
        kept = self.kept()
        if kept is None:
            return await self.send_again(request, sent)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            return await self.exchange(kept, request, sent)
        except NoAnswerError:
            # Later than this a long poll would be sent with too little left of
            # its time-out, and would look silent.
            if loop.time() - sent_s > CLOSING_RACE_S:
                raise
        return await self.send_again(request, sent)

    async def send_again(self, request: bytes, sent: list[Channel]) -> Answer:
        """Send a call over a new connection."""
        return await self.exchange(await self.open(), request, sent)

    async def exchange(
        self, channel: Channel, request: bytes, sent: list[Channel]
    ) -> Answer:
        """Send a call over a connection; it is kept if an answer comes."""
        sent.append(channel)
        self.in_use.add(channel)
        try:
            answer = await channel.exchange(request)
        finally:
            self.in_use.discard(channel)
        self.channel = channel
        return answer

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
            async with running_timeout(self.connect_timeout):
                _, channel = await loop.create_connection(Channel, self.host, self.port)
        except OSError as error:  # a passed time-out is one too
            raise NeverSentError(f"no connection: {error!r}") from error
        return channel

    def drop(self) -> None:
        """End all connections; a call under way gets no answer."""
        for each in self.in_use:
            each.abort()
        if self.channel is not None:
            self.channel.abort()
            self.channel = None


def silence(waited: timedelta, sent: list[Channel]) -> NetworkError:
    """Return the error of a call that was not answered in time."""
    why = f"no answer within {waited.total_seconds():.1f} s"
    return SilentError(why) if sent else NeverSentError(why)
