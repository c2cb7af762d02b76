"""Short HTTP calls with JSON bodies."""

from dataclasses import dataclass
from datetime import timedelta
from time import monotonic
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from ..ids import InstanceId
from .decoding import UNDECODABLE, T, decode_document
from .errors import NetworkError, NeverSentError, NoAnswerError
from .responses import VALID_STATUSES

INSTANCE_HEADER = "X-Instance"
POOLED_CONNECTIONS = 8
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024
BODY_TIMEOUTS = 3
"""A body may take this many read time-outs: a trickle without end exceeds none."""

LONG_REQUEST_BYTES = 64 * 1024
"""A shorter request fits into the buffers of the sockets. A longer one may be cut off
while it is sent, which the library ignores if an answer has begun."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole HTTP answer."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes

    def json(self) -> Any:
        """Return the decoded body.

        Raises
        ------
        NoAnswerError
            If it is not JSON; what the other side did is then unknown.
        """
        return self.decoded(Any)

    def decoded(self, kind: type[T]) -> T:
        """Return the body as a document of a kind.

        Raises
        ------
        NoAnswerError
            If it is none; what the other side did is then unknown.
        """
        try:
            return decode_document(self.body, kind)
        except UNDECODABLE as error:
            raise NoAnswerError(f"the answer can't be read: {error}") from error


class HttpClient:
    """Calls to many addresses over kept connections; safe for threads.

    Parameters
    ----------
    instance : InstanceId
        Sent with each call, so that the other side can tell callers apart.
    connect_timeout, answer_timeout : timedelta
    """

    def __init__(
        self,
        instance: InstanceId,
        connect_timeout: timedelta = timedelta(seconds=1),
        answer_timeout: timedelta = timedelta(seconds=2),
    ) -> None:
        self.instance = instance
        self.answer_timeout = answer_timeout
        self.timeout = urllib3.Timeout(
            connect=connect_timeout.total_seconds(), read=answer_timeout.total_seconds()
        )
        self.pools = urllib3.PoolManager(
            num_pools=256, maxsize=POOLED_CONNECTIONS, block=False
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta | None = None,
    ) -> Answer:
        """Make one call, never repeated.

        Parameters
        ----------
        body : object, optional
            Encoded as JSON; bytes go as they are.
        timeout : timedelta, optional
            In place of the client's answer timeout.

        Raises
        ------
        NeverSentError
            If no connection could be made.
        NoAnswerError
            If the connection ended or timed out after that, or the answer has no end.
        """
        sent = {INSTANCE_HEADER: self.instance} | (headers or {})
        content = body
        if body is not None and not isinstance(body, bytes):
            content = msgspec.json.encode(body)
            sent["Content-Type"] = "application/json"
        timeout_s = (timeout or self.answer_timeout).total_seconds()
        answer = self._open(method, address, path, content, sent, timeout_s)
        try:
            body = _limited_body(answer, timeout_s)
        except HTTPError as error:
            raise _converted(error, address) from error
        return Answer(answer.status, answer.headers, body)

    def _open(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request; return the answer with its body unread.

        Raises
        ------
        NeverSentError
        NoAnswerError
            Also if the status is invalid, or the answer may be a part of one.
        """
        limit = urllib3.Timeout(connect=self.timeout.connect_timeout, read=timeout_s)
        try:
            answer = self.pools.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=limit,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except HTTPError as error:
            raise _converted(error, address) from error
        if answer.status not in VALID_STATUSES:
            answer.close()
            raise NoAnswerError(f"no answer from {address}: status {answer.status}")
        if len(body or b"") >= LONG_REQUEST_BYTES and _ends_with_connection(answer):
            answer.close()
            raise NoAnswerError(f"the answer from {address} may be cut")
        return answer

    def status(self, method: str, address: str, path: str, timeout: timedelta) -> int:
        """Return the status of an answer whose body is not wanted.

        The connection is closed on the body, which may be endless.

        Raises
        ------
        NeverSentError, NoAnswerError
        """
        sent = {INSTANCE_HEADER: str(self.instance)}
        answer = self._open(method, address, path, None, sent, timeout.total_seconds())
        answer.close()
        return answer.status


def _ends_with_connection(answer: urllib3.BaseHTTPResponse) -> bool:
    """Return whether an answer has neither a length nor chunks."""
    names = {name.lower() for name in answer.headers}
    return names.isdisjoint({"content-length", "transfer-encoding"})


def _limited_body(answer: urllib3.BaseHTTPResponse, timeout_s: float) -> bytes:
    """Return the body of an answer, and its connection to the pool.

    Raises
    ------
    NoAnswerError
        If the body is too long, or still arrives after a few time-outs.
    HTTPError
        If the connection ends or times out before.
    """
    end_s = monotonic() + BODY_TIMEOUTS * timeout_s
    body = bytearray()
    try:
        while piece := answer.read1(READ_BYTES):
            body += piece
            if len(body) > MAX_BODY_BYTES or monotonic() > end_s:
                raise NoAnswerError(f"the body does not end: {len(body)} bytes")
    except BaseException:
        # The rest of the body must not be read as the answer to the next call.
        answer.close()
        raise
    answer.release_conn()
    return bytes(body)


def _converted(error: HTTPError, address: str) -> NetworkError:
    """Return this layer's error for one of urllib3's.

    Only a connection that was never made proves that nothing was sent. A kept
    connection that turns out to be closed may have carried the call.
    """
    cause = error.reason if isinstance(error, MaxRetryError) else error
    if isinstance(cause, NewConnectionError | ConnectTimeoutError):
        return NeverSentError(f"{address} can't be reached: {cause}")
    return NoAnswerError(f"no answer from {address}: {cause}")
