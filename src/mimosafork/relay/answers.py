"""Forms in which an answer goes to its caller.

An `Answer` turns what an endpoint delivers into the bytes for the caller. It does
no I/O; the relay writes what it returns.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from ..ids import RequestId
from ..kernel.messages.outcomes import Conclude, Outcome, Retention
from ..kernel.messages.problems import Problem, ProblemCode
from ..server.problems import problem_answer, problem_body
from . import http
from .events import StreamEvent, UsageMember
from .shapes import (
    ChunkFrame,
    Shape,
    UsageBody,
    chunk_frame,
    closing_chunk,
    opening_chunk,
    usage_chunk,
    whole_body,
)

UNEXPLAINED = Problem(ProblemCode.INTERNAL, "the request ended without its answer")
KEEP_ALIVE_EVENT = b": waiting\n\n"
END_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A plain service's whole response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Answer(ABC):
    """One caller's answer.

    Attributes
    ----------
    begun : bool
        Bytes have been returned for the caller, so that the status line is fixed.
    """

    def __init__(self, request_id: RequestId) -> None:
        self.request_id = request_id
        self.begun = False

    def token(self, event: StreamEvent, attempts: int) -> bytes:
        """Take an event of the engine; return what goes out for it now."""
        raise NotImplementedError

    def finish(self, finish: str, usage: UsageMember | None) -> None:
        """Take the end of the engine's stream; nothing goes out before `complete`."""
        raise NotImplementedError

    def respond(self, response: ServiceResponse) -> None:
        """Take a plain service's response."""
        raise NotImplementedError

    def keep_alive(self, attempts: int) -> bytes:
        """Return what may go out while there is nothing to say."""
        return b""

    @abstractmethod
    def complete(self, conclusion: Conclude) -> bytes:
        """Return the rest of a whole answer."""

    def fail(self, conclusion: Conclude) -> bytes:
        """Return the final word on a request that ends without its answer."""
        self.begun = True
        problem = conclusion.problem or UNEXPLAINED
        answer = problem_answer(problem, conclusion.outcome, self.request_id)
        headers = [*answer.headers, *self.report(conclusion)]
        return http.whole_response(answer.status, headers, answer.body)

    def report(self, conclusion: Conclude) -> list[tuple[str, str]]:
        """Return the headers that tell a request's fate."""
        headers = [
            (http.REQUEST_ID_HEADER, self.request_id),
            (http.ATTEMPTS_HEADER, str(conclusion.attempts)),
            (http.OUTCOME_HEADER, conclusion.outcome.value),
        ]
        if conclusion.retention is not Retention.NOT_ASKED:
            kept = conclusion.retention is Retention.KEPT
            headers.append((http.KEPT_HEADER, "true" if kept else "false"))
        return headers


@dataclass(slots=True)
class Ending:
    """How an engine's stream ended.

    Attributes
    ----------
    completion_tokens : int
        Counted here, over all attempts: an engine that went on from an offset
        counts only its own.
    """

    finish: str = "stop"
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def usage(self) -> UsageBody:
        """Return the cost of the answer."""
        total = self.prompt_tokens + self.completion_tokens
        return UsageBody(self.prompt_tokens, self.completion_tokens, total)

    def note(self, finish: str, usage: UsageMember | None) -> None:
        """Take over what the engine said at the end."""
        self.finish = finish
        if usage is not None:
            self.prompt_tokens = usage.prompt_tokens


class WholeAnswer(Answer):
    """A completion that is sent in one piece when it is complete."""

    def __init__(self, request_id: RequestId, shape: Shape) -> None:
        super().__init__(request_id)
        self.shape = shape
        self.parts: list[str] = []
        self.ending = Ending()

    def token(self, event: StreamEvent, attempts: int) -> bytes:
        """Keep the text."""
        self.parts.append(event.text)
        self.ending.completion_tokens += event.tokens
        return b""

    def finish(self, finish: str, usage: UsageMember | None) -> None:
        """Keep the reason and the cost."""
        self.ending.note(finish, usage)

    def complete(self, conclusion: Conclude) -> bytes:
        """Return the whole response."""
        self.begun = True
        text = "".join(self.parts)
        body = whole_body(self.shape, text, self.ending.finish, self.ending.usage())
        headers = [("Content-Type", "application/json"), *self.report(conclusion)]
        return http.whole_response(200, headers, body)


class StreamedAnswer(Answer):
    """A completion that is sent as server-sent events while it is made.

    The response begins with the first token, or after a long silence, so that a
    request whose attempts all fail soon is answered by a status of its own. Each
    event's ``id`` is the offset behind it: what a caller sends as `X-Resume-Offset`
    when it comes back.

    Parameters
    ----------
    chunked : bool
        False for a caller that speaks HTTP/1.0.
    include_usage : bool
        Send the cost in an event of its own before the end.
    offset : int
        Tokens that the caller has from before.
    """

    def __init__(
        self,
        request_id: RequestId,
        shape: Shape,
        chunked: bool = True,
        include_usage: bool = False,
        offset: int = 0,
    ) -> None:
        super().__init__(request_id)
        self.shape = shape
        self.chunked = chunked
        self.include_usage = include_usage
        self.offset = offset
        self.ending = Ending(completion_tokens=offset)
        self.frame: ChunkFrame = chunk_frame(shape)

    def token(self, event: StreamEvent, attempts: int) -> bytes:
        """Return one event, behind the response's head if it is the first."""
        self.offset += event.tokens
        self.ending.completion_tokens += event.tokens
        payload = self.frame.around(event.text)
        data = b"id: %d\ndata: %b\n\n" % (self.offset, payload)
        framed = self._framed(data)
        if self.begun:
            return framed
        return self._opening(attempts) + framed

    def keep_alive(self, attempts: int) -> bytes:
        """Return a comment, behind the response's head if nothing has gone out.

        From then on a failure can only be told by an error event.
        """
        opening = b"" if self.begun else self._opening(attempts)
        return opening + self._framed(KEEP_ALIVE_EVENT)

    def finish(self, finish: str, usage: UsageMember | None) -> None:
        """Keep the reason and the cost."""
        self.ending.note(finish, usage)

    def complete(self, conclusion: Conclude) -> bytes:
        """Return the closing events and the end of the body."""
        opening = b"" if self.begun else self._opening(conclusion.attempts)
        chunks = [closing_chunk(self.shape, self.ending.finish)]
        if self.include_usage:
            chunks.append(usage_chunk(self.shape, self.ending.usage()))
        events = b"".join(_event(each) for each in chunks) + END_EVENT
        end = http.last_chunk(self.report(conclusion)) if self.chunked else b""
        return opening + self._framed(events) + end

    def fail(self, conclusion: Conclude) -> bytes:
        """Return a problem response, or an error event if events have gone out.

        After the event the connection closes without the last chunk: a caller
        that does not know the event still sees that its answer was cut off.
        """
        if not self.begun:
            return super().fail(conclusion)
        problem = conclusion.problem or UNEXPLAINED
        body = problem_body(problem, conclusion.outcome, self.request_id)
        payload = msgspec.json.encode({"error": body})
        return self._framed(b"event: error\n" + _event(payload))

    def _opening(self, attempts: int) -> bytes:
        self.begun = True
        headers = [
            ("Content-Type", "text/event-stream; charset=utf-8"),
            ("Cache-Control", "no-store"),
            (http.REQUEST_ID_HEADER, self.request_id),
            (http.ATTEMPTS_HEADER, str(attempts)),
        ]
        if self.chunked:
            headers.append(("Transfer-Encoding", "chunked"))
            names = (http.ATTEMPTS_HEADER, http.OUTCOME_HEADER, http.KEPT_HEADER)
            headers.append(("Trailer", ", ".join(names)))
        head = http.response_head(200, headers)
        opening = opening_chunk(self.shape)
        if opening is None:
            return head
        return head + self._framed(_event(opening))

    def _framed(self, data: bytes) -> bytes:
        return http.chunk(data) if self.chunked else data


class ServiceAnswer(Answer):
    """A plain service's response, passed on as it is."""

    def __init__(self, request_id: RequestId) -> None:
        super().__init__(request_id)
        self.response: ServiceResponse | None = None

    def respond(self, response: ServiceResponse) -> None:
        """Keep the response until the kernel has concluded."""
        self.response = response

    def complete(self, conclusion: Conclude) -> bytes:
        """Return the response with the headers that tell the request's fate."""
        response = self.response
        if response is None:
            failed = Conclude(
                conclusion.request_id, Outcome.UNKNOWN, conclusion.attempts, UNEXPLAINED
            )
            return self.fail(failed)
        self.begun = True
        headers = [*response.headers, *self.report(conclusion)]
        return http.whole_response(response.status, headers, response.body)


def _event(payload: bytes) -> bytes:
    return b"data: %b\n\n" % payload
