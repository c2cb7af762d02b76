"""One accepted connection: parsing, answering and buffered writing."""

import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import httptools

from .messages import ExchangeListener, HttpAnswer, HttpRequest, error_answer

if TYPE_CHECKING:
    from .loop import HttpLoop

READ_SIZE = 256 * 1024
MAX_BODY = 64 * 1024 * 1024
REASONS = {status.value: status.phrase for status in HTTPStatus}
EVENTS_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Cache-Control: no-store\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
# SO_LINGER with a timeout of 0 makes close() send a reset, as a crash would.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Connection:
    """A connection with at most one exchange open at a time.

    It is its own `Exchange`: requests that the caller pipelines wait in
    `requests` until the one before them is answered.

    Parameters
    ----------
    loop : HttpLoop
        The loop whose task owns the connection.
    sock : socket.socket
        The accepted socket, not blocking.
    """

    def __init__(self, loop: "HttpLoop", sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock
        self.fd = sock.fileno()
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[HttpRequest] = deque()
        self.unsent = bytearray()
        self.listener: ExchangeListener | None = None
        self.instance = ""
        self.busy = False
        self.is_closed = False
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._url = b""
        self._headers = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Let a caller go on that waits before it sends a body."""
        if self._headers.get("expect", "").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > MAX_BODY:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        path, _, query = self._url.decode("latin-1").partition("?")
        self.requests.append(
            HttpRequest(
                method=self.parser.get_method().decode("ascii"),
                path=path,
                query=dict(parse_qsl(query, keep_blank_values=True)),
                headers=self._headers,
                body=bytes(self._body),
            )
        )

    # Events of the loop.

    def readable(self) -> None:
        """Read what came and hand on the requests that are complete."""
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.answer(error_answer(HTTPStatus.BAD_REQUEST, str(error)))
            self.close()
            return
        self.take_next()

    def writable(self) -> None:
        """Send on what the socket would not take before."""
        self._flush()
        if self.unsent or self.is_closed:
            return
        self.loop.watch_writes(self, False)
        if self.listener is not None:
            self.listener.drained()

    def take_next(self) -> None:
        """Hand on the next request if no exchange is open."""
        if self.busy or self.is_closed or not self.requests:
            return
        request = self.requests.popleft()
        self.busy = True
        self.instance = request.instance
        self.loop.application.handle(request, self)

    # The exchange.

    @property
    def backlog(self) -> int:
        """Bytes written that the socket has not taken yet."""
        return len(self.unsent)

    def answer(self, answer: HttpAnswer) -> None:
        """Give the whole answer, which ends the exchange."""
        lines = [
            f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, '')}",
            f"Content-Type: {answer.content_type}",
            f"Content-Length: {len(answer.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.write(head.encode("latin-1") + answer.body)
        self._finish()

    def start_events(self) -> None:
        """Send the headers of a stream of events."""
        self.write(EVENTS_HEAD)

    def send_events(self, data: bytes) -> None:
        """Send events as one chunk."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_events(self) -> None:
        """Send the last chunk, which ends the exchange."""
        self.write(LAST_CHUNK)
        self._finish()

    def reset(self) -> None:
        """Cut the connection without an answer."""
        if self.is_closed:
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def write(self, data: bytes) -> None:
        """Send data now, or keep it until the socket takes more."""
        if self.is_closed:
            return
        if self.unsent:
            self.unsent += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        if sent < len(data):
            self.unsent += data[sent:]
            self.loop.watch_writes(self, True)

    def close(self) -> None:
        """Close the socket and tell who is still writing."""
        if self.is_closed:
            return
        self.is_closed = True
        self.requests.clear()
        self.loop.forget(self)
        self.sock.close()
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.closed()

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        del self.unsent[:sent]

    def _finish(self) -> None:
        self.listener = None
        self.busy = False
        if self.requests:
            # Not from here: the caller of answer() is still at work.
            self.loop.wake_later(self)
