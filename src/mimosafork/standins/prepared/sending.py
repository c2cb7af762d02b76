"""Writing one answer as the script says."""

import asyncio

from .faults import (
    CloseAfter,
    CutAnswer,
    EarlyEnd,
    ExtraAnswer,
    Fault,
    Framing,
    Garbage,
    LostAnswer,
    UnboundedAnswer,
    WrittenIds,
    number_of,
)
from .http import Answer, Connection, Header, head_bytes

LAST_CHUNK = b"0\r\n\r\n"
EVENT_STREAM = Header("Content-Type", "text/event-stream")
CLOSE = Header("Connection", "close")


def chunk_of(data: bytes) -> bytes:
    """Frame bytes as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def send_again(connection: Connection, answer: bytes, extra: ExtraAnswer) -> None:
    """Send an answer that has been sent once more, when the fault says."""
    if extra.late:
        connection.late_answer = answer
    elif extra.delay:
        loop = asyncio.get_running_loop()
        loop.call_later(extra.delay.total_seconds(), connection.write, answer)
    else:
        connection.write(answer)


class Sending:
    """Writes one answer, whole or in events.

    Parameters
    ----------
    headers : tuple of Header
        On every answer of this endpoint to this request.
    """

    def __init__(
        self,
        connection: Connection,
        fault: Fault | None,
        headers: tuple[Header, ...],
        closing: bool = False,
    ) -> None:
        self.connection = connection
        self.fault = fault
        self.closing = closing or isinstance(fault, CloseAfter)
        self.headers = (*headers, CLOSE) if self.closing else headers
        self.events = 0
        self.sent = b""
        self.body_bytes = 0

    def whole(self, answer: Answer) -> None:
        """Write a whole answer, or what the fault makes of it."""
        proper = Answer(answer.status, answer.body, (*answer.headers, *self.headers))
        data = proper.encode()
        half = len(data) - (len(proper.body) + 1) // 2
        match self.fault:
            case Garbage(data=garbage):
                self.connection.write(garbage)
            case LostAnswer(silent=silent):
                self._lose(silent)
            case CutAnswer(reset=reset):
                self._last(data[:half], reset)
            case UnboundedAnswer(reset=reset):
                data = head_bytes(proper.status, proper.headers) + proper.body
                self._last(
                    data[: -((len(proper.body) + 1) // 2)] if reset else data, reset
                )
            case _:
                self.connection.write(data)
                self._extra(data)
                self._end()

    def begin(self, status: int) -> None:
        """Begin a stream of events."""
        match self.fault:
            case Garbage(data=garbage):
                self.connection.write(garbage)
            case LostAnswer():
                pass
            case UnboundedAnswer() | EarlyEnd(framing=Framing.CONNECTION):
                self._stream(head_bytes(status, (EVENT_STREAM, *self.headers)))
            case EarlyEnd(framing=Framing.LENGTH, after_bytes=size):
                length = Header("Content-Length", str(size))
                self._stream(head_bytes(status, (EVENT_STREAM, length, *self.headers)))
            case _:
                framing = Header("Transfer-Encoding", "chunked")
                self._stream(head_bytes(status, (EVENT_STREAM, framing, *self.headers)))

    def event(self, event: bytes) -> bool:
        """Write an event; False if the channel was cut on purpose."""
        self.events += 1
        match self.fault:
            case Garbage() | LostAnswer():
                return True
            case UnboundedAnswer(reset=reset):
                self._stream(event)
                return not (reset and self._cut(reset))
            case EarlyEnd() as early:
                return self._event_before(early, event)
            case CutAnswer(after_events=whole) as cut if self.events > whole:
                if cut.inside_event:
                    self._stream(chunk_of(event)[: len(event) // 2])
                return not self._cut(cut.reset)
            case WrittenIds() as ids:
                return self._event_with_id(ids, event)
        self._stream(chunk_of(event))
        return True

    def end(self) -> None:
        """End a stream as complete."""
        match self.fault:
            case Garbage():
                pass
            case LostAnswer(silent=silent):
                self._lose(silent)
            case UnboundedAnswer():
                self.connection.close()
            case CutAnswer() as cut:
                self._cut(cut.reset)
            case _:
                self._stream(LAST_CHUNK)
                self._extra(self.sent)
                self._end()

    def _event_with_id(self, ids: WrittenIds, event: bytes) -> bool:
        self._stream(chunk_of(ids.written(event)))
        number = number_of(event)
        if number == ids.ends_after:
            self._stream(LAST_CHUNK)
        elif number == ids.reset_after:
            self._cut(reset=True)
        else:
            return True
        return False

    def _event_before(self, end: EarlyEnd, event: bytes) -> bool:
        part = event[: end.after_bytes - self.body_bytes]
        self.body_bytes += len(part)
        if part:
            chunked = end.framing is Framing.CHUNKS
            self._stream(chunk_of(part) if chunked else part)
        if self.body_bytes < end.after_bytes:
            return True
        if end.framing is Framing.CHUNKS:
            self._stream(LAST_CHUNK)
        elif end.framing is Framing.CONNECTION:
            self.connection.close()
        return False

    def _stream(self, data: bytes) -> None:
        if isinstance(self.fault, ExtraAnswer):
            self.sent += data
        self.connection.write(data)

    def _extra(self, data: bytes) -> None:
        if isinstance(self.fault, ExtraAnswer):
            send_again(self.connection, data, self.fault)

    def _end(self) -> None:
        if self.closing:
            self.connection.close()

    def _last(self, data: bytes, reset: bool) -> None:
        self.connection.write(data)
        self._cut(reset)

    def _cut(self, reset: bool) -> bool:
        if reset:
            self.connection.reset()
        else:
            self.connection.close()
        return True

    def _lose(self, silent: bool) -> None:
        if silent:
            self.connection.fall_silent()
        else:
            self.connection.reset()
