"""One call to an entry instance, its answer read as it comes."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from .errors import BrokenAnswerError
from .events import AnswerEvent, ErrorEvent, read_events, read_problem

COMPLETIONS = "/v1/completions"
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked, the same at every try.

    Attributes
    ----------
    idempotency_key : str
        Under which the caller comes back.
    """

    model: str
    prompt: str
    max_tokens: int
    api_key: str
    idempotency_key: str
    non_idempotent: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """The request's body."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool = True


class Transport(Protocol):
    """Sends a question once; `HttpTransport` and the tests' fakes fill it."""

    def send(
        self, address: str, question: Question, time_left: timedelta, offset: int
    ) -> Iterator[AnswerEvent]:
        """Yield the answer's events from `offset` on.

        Raises
        ------
        BrokenAnswerError
            If the connection ends before the answer does.
        UnreadableAnswerError
        """
        ...


class HttpTransport:
    """Sends questions by HTTP."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(retries=False)

    def send(
        self, address: str, question: Question, time_left: timedelta, offset: int
    ) -> Iterator[AnswerEvent]:
        """Yield the answer's events from `offset` on.

        Raises
        ------
        BrokenAnswerError
            If the connection ends before the answer does.
        UnreadableAnswerError
        """
        answer = self._open(address, question, time_left, offset)
        try:
            if answer.status != HTTPStatus.OK:
                yield ErrorEvent(read_problem(answer.data, answer.status))
                return
            yield from read_events(answer.stream(READ_BYTES))
        except HTTPError as error:
            raise BrokenAnswerError(str(error), sent=True) from error
        finally:
            answer.close()

    def _open(
        self, address: str, question: Question, time_left: timedelta, offset: int
    ) -> urllib3.BaseHTTPResponse:
        body = CompletionBody(question.model, question.prompt, question.max_tokens)
        seconds = time_left.total_seconds()
        try:
            return self.pool.request(
                "POST",
                f"http://{address}{COMPLETIONS}",
                body=msgspec.json.encode(body),
                headers=_headers(question, time_left, offset),
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, seconds), read=seconds
                ),
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise BrokenAnswerError(str(error), sent=False) from error
        except HTTPError as error:
            raise BrokenAnswerError(str(error), sent=True) from error


def _headers(question: Question, time_left: timedelta, offset: int) -> dict[str, str]:
    milliseconds = max(1, time_left // timedelta(milliseconds=1))
    headers = {
        "Authorization": f"Bearer {question.api_key}",
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(milliseconds),
        "Idempotency-Key": question.idempotency_key,
    }
    if question.non_idempotent:
        headers["X-Non-Idempotent"] = "true"
    if offset:
        headers["X-Resume-Offset"] = str(offset)
    return headers
