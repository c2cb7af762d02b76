"""The endpoint's side of an attempt: reading and checking its answer."""

import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import singledispatch
from http import HTTPStatus

from ..endpoints.calls import EndpointCall, ModelCall, ServiceCall
from ..kernel.messages.attempts import Exposure, FailureKind
from ..kernel.messages.dispatch import Dispatch
from ..network.send_queue import has_unacknowledged_bytes
from .answers import ServiceResponse
from .counters import RelayCounters
from .errors import InvalidAnswerError
from .events import EventReader, StreamEvent, decode_refusal
from .response import MAX_WHOLE_BODY, ResponseReader
from .sequence import ChunkSequence, Judgement

RECEIVE_BYTES = 64 << 10
REFUSAL_STATUSES = frozenset({409, 429, 503})
DUPLICATE = "duplicate"
STREAM_GONE = "stream-gone"
MAX_REFUSAL_BODY = 64 << 10
FINISHED = frozenset({"stop", "length"})
FINISH_DEADLINE = "deadline"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-answer-kept",
        b"x-attempts",
        b"x-outcome",
        b"x-request-id",
    }
)
"""Headers of a service that are about its own connection, or that are ours."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Why an attempt's answer will not be whole."""

    kind: FailureKind
    exposure: Exposure
    refusal: str | None = None


class Upstream(ABC):
    """One attempt's connection.

    Attributes
    ----------
    failure : Failure or None
        Set once the answer can't become whole.
    finished : bool
        The answer is whole.
    last_byte_s : float
        Monotonic seconds at which something last came, or the call was sent.
    """

    def __init__(self, sock: socket.socket, dispatch: Dispatch, now_s: float) -> None:
        self.sock = sock
        self.dispatch = dispatch
        self.reader = ResponseReader()
        self.failure: Failure | None = None
        self.finished = False
        self.last_byte_s = now_s

    @property
    def ended(self) -> bool:
        """Whether nothing more is to be read."""
        return self.finished or self.failure is not None

    def receive(self, now_s: float) -> list[StreamEvent]:
        """Read what has arrived; return the events to deliver, in their order.

        Only an orderly end of the connection can end an unframed answer. One that is
        reset has lost its rest.
        """
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError:
            self.fail(FailureKind.BROKEN)
            return []
        if not data:
            self.connection_ended()
            return []
        self.last_byte_s = now_s
        return self.feed(data)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; return the events to deliver, in their order."""
        try:
            body = self.reader.feed(data)
            return self.take(body)
        except InvalidAnswerError:
            self.fail(FailureKind.INVALID)
            return []

    def connection_ended(self) -> None:
        """Judge the answer after an orderly end of the connection.

        An endpoint that ends the connection before it has received the whole request
        resets it next, so that an unframed answer may lack its rest.
        """
        if self.ended:
            return
        cut = has_unacknowledged_bytes(self.sock)
        if not cut and self.reader.connection_ended():
            self.take(b"")
        if not self.ended:
            self.fail(FailureKind.BROKEN)

    def fail(
        self,
        kind: FailureKind,
        exposure: Exposure = Exposure.POSSIBLE,
        refusal: str | None = None,
    ) -> None:
        """Note the failure; the first one counts."""
        if self.failure is None:
            self.failure = Failure(kind, exposure, refusal)

    @abstractmethod
    def take(self, body: bytes) -> list[StreamEvent]:
        """Take a part of the body, possibly empty."""


class EngineUpstream(Upstream):
    """A model engine's stream of events.

    Attributes
    ----------
    ending : StreamEvent or None
        The engine's last event.
    """

    def __init__(
        self,
        sock: socket.socket,
        dispatch: Dispatch,
        now_s: float,
        counters: RelayCounters,
    ) -> None:
        super().__init__(sock, dispatch, now_s)
        self.events = EventReader()
        self.sequence = ChunkSequence(
            dispatch.stream_id, dispatch.attempt, dispatch.offset
        )
        self.counters = counters
        self.ending: StreamEvent | None = None
        self.refusal_body = b""

    def take(self, body: bytes) -> list[StreamEvent]:
        """Return the accepted events of a part of the body."""
        status = self.reader.status
        if status is None:
            return []
        if status != HTTPStatus.OK:
            self._take_refusal(status, body)
            return []
        accepted = []
        for event in self.events.feed(body):
            if self.ended:
                break
            if self._accept(event):
                accepted.append(event)
        if self.reader.complete and not self.ended:
            self.fail(FailureKind.BROKEN)
        return accepted

    def _accept(self, event: StreamEvent) -> bool:
        """Return whether the event's tokens go to the caller."""
        judgement = self.sequence.judge(
            event.stream_id, event.attempt, event.offset, event.tokens
        )
        if judgement is Judgement.NEXT:
            if event.finish is not None:
                self._finish(event)
            return event.tokens > 0
        self.counters.note_drop(judgement)
        if judgement is Judgement.GAP:
            self.fail(FailureKind.BROKEN)
        return False

    def _finish(self, event: StreamEvent) -> None:
        if event.finish in FINISHED:
            self.ending = event
            self.finished = True
        elif event.finish == FINISH_DEADLINE:
            self.fail(FailureKind.DEADLINE)
        else:
            self.fail(FailureKind.ENGINE_FAILED)

    def _take_refusal(self, status: int, body: bytes) -> None:
        self.refusal_body += body
        if len(self.refusal_body) > MAX_REFUSAL_BODY:
            self.fail(FailureKind.INVALID)
        if not self.reader.complete:
            return
        if status == HTTPStatus.NOT_FOUND:
            self.fail(FailureKind.ENGINE_FAILED, refusal=STREAM_GONE)
            return
        refusal = decode_refusal(self.refusal_body)
        if status not in REFUSAL_STATUSES or refusal is None:
            self.fail(FailureKind.ENGINE_FAILED)
            return
        # A duplicate alone says that the stream runs: it is the one refusal that
        # does not mean "not run".
        exposure = Exposure.REFUSED
        if refusal.refused == DUPLICATE:
            exposure = Exposure.POSSIBLE
        self.fail(FailureKind.REFUSED, exposure, refusal.refused)


class ServiceUpstream(Upstream):
    """A plain service's response, collected whole.

    Attributes
    ----------
    response : ServiceResponse or None
        Set when it is whole.
    """

    def __init__(self, sock: socket.socket, dispatch: Dispatch, now_s: float) -> None:
        super().__init__(sock, dispatch, now_s)
        self.parts: list[bytes] = []
        self.size = 0
        self.response: ServiceResponse | None = None

    def take(self, body: bytes) -> list[StreamEvent]:
        """Collect; there are no events."""
        self.parts.append(body)
        self.size += len(body)
        if self.size > MAX_WHOLE_BODY:
            self.fail(FailureKind.INVALID)
        elif self.reader.complete:
            self._complete()
        return []

    def _complete(self) -> None:
        status = self.reader.status or 0
        body = b"".join(self.parts)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            refusal = decode_refusal(body)
            if refusal is not None:
                self.fail(FailureKind.REFUSED, Exposure.REFUSED, refusal.refused)
                return
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self.reader.headers
            if name.lower() not in HOP_BY_HOP
        )
        self.response = ServiceResponse(status, headers, body)
        self.finished = True


@singledispatch
def open_upstream(
    call: EndpointCall,
    sock: socket.socket,
    dispatch: Dispatch,
    now_s: float,
    counters: RelayCounters,
) -> Upstream:
    """Return the reader of a call's answer."""
    raise NotImplementedError(type(call).__name__)


@open_upstream.register
def _(
    call: ModelCall,
    sock: socket.socket,
    dispatch: Dispatch,
    now_s: float,
    counters: RelayCounters,
) -> Upstream:
    return EngineUpstream(sock, dispatch, now_s, counters)


@open_upstream.register
def _(
    call: ServiceCall,
    sock: socket.socket,
    dispatch: Dispatch,
    now_s: float,
    counters: RelayCounters,
) -> Upstream:
    return ServiceUpstream(sock, dispatch, now_s)
