"""Writing a stream's tokens to one caller as server-sent events."""

import msgspec

from ..http import Exchange
from .answers import answer_text
from .messages import FinishEvent
from .streams import Stream

MAX_TOKENS_PER_EVENT = 64
MAX_BACKLOG_BYTES = 64 * 1024
DONE = b"data: [DONE]\n\n"


class EventWriter:
    """Shows one caller a stream from an offset on.

    The answer can be computed again from the prompt's digest, so a caller that
    reads slowly costs no memory: nothing is written while its socket is full, and
    what was left out goes into fewer, larger events later.

    Parameters
    ----------
    stream : Stream
        The stream to show.
    exchange : Exchange
        The way to the caller, whose headers are sent already.
    attempt : int
        The attempt that the events name.
    offset : int
        The first token to show.
    """

    def __init__(
        self, stream: Stream, exchange: Exchange, attempt: int, offset: int
    ) -> None:
        self.stream = stream
        self.exchange = exchange
        self.attempt = attempt
        self.offset = offset
        name = msgspec.json.encode(stream.id).decode()
        self._head = f'data: {{"stream_id":{name},"attempt":{attempt},"offset":'

    def attach(self) -> None:
        """Begin to write, with all that the stream has already."""
        self.stream.readers.append(self)
        self.exchange.listener = self
        self.progressed()

    def progressed(self) -> None:
        """Write what the caller has not got yet."""
        stream = self.stream
        while self.offset < stream.next_token:
            if self.exchange.backlog > MAX_BACKLOG_BYTES:
                return
            tokens = min(stream.next_token - self.offset, MAX_TOKENS_PER_EVENT)
            text = answer_text(stream.digest, self.offset, tokens)
            event = f'{self._head}{self.offset},"tokens":{tokens},"text":"{text}"}}\n\n'
            self.offset += tokens
            self.exchange.send_events(event.encode())
        if stream.finish is not None and self in stream.readers:
            self._finish()

    def drained(self) -> None:
        """Go on after the caller's socket was full."""
        self.progressed()

    def closed(self) -> None:
        """Let the stream run on without this caller."""
        if self in self.stream.readers:
            self.stream.readers.remove(self)

    def _finish(self) -> None:
        stream = self.stream
        assert stream.finish is not None
        stream.readers.remove(self)
        event = FinishEvent(
            stream_id=stream.id,
            attempt=self.attempt,
            offset=stream.next_token,
            finish=stream.finish,
            usage=stream.usage,
            kv_handle=stream.kv_handle,
        )
        data = b"data: " + msgspec.json.encode(event) + b"\n\n" + DONE
        self.exchange.send_events(data)
        self.exchange.end_events()
