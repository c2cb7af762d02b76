"""A caller's request: what it asks for, how it arrives, and that its caller left."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AccountId, AdapterId, Digest, ModelId, RequestId, ServiceId
from .base import Message


class RequestKind(Enum):
    """What sort of endpoint serves a request."""

    MODEL = "model"
    SERVICE = "service"


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class PrefixMark(msgspec.Struct, frozen=True):
    """Digest of a prompt's beginning at one length.

    Attributes
    ----------
    digest : Digest
        16 hexadecimal digits.
    tokens : int
        Length of the beginning.
    """

    digest: Digest
    tokens: int


class CallTerms(msgspec.Struct, frozen=True):
    """What a route and its caller say about a call that is passed on as it is.

    Attributes
    ----------
    max_attempts : int
        Endpoints that it may be sent to.
    objective : timedelta
        An answer (a stream's first event) within it is on time.
    longest_pause : timedelta or None
        Between two events of a stream that is on time.
    priority : int
        0 is the highest.
    streams : bool
        The answer is a series of events.
    resumable : bool
        Another endpoint may go on with a broken stream.
    expected_tokens : int
        The caller's estimate of the answer's length; 0 if it gave none.
    """

    max_attempts: int
    objective: timedelta
    longest_pause: timedelta | None = None
    priority: int = 5
    streams: bool = False
    resumable: bool = False
    expected_tokens: int = 0


class Request(msgspec.Struct, frozen=True):
    """What the kernel knows of a caller's request; never its text.

    Attributes
    ----------
    deadline : timedelta
        Monotonic instant by which it finishes or fails.
    body_digest : Digest
        Digest of what decides the answer (target and body), for idempotency and
        quarantine.
    idempotency_key : str or None
        The caller's key.
    resume_offset : int
        Tokens that the caller already has, when it comes back with its key.
    terms : CallTerms or None
        Of a call that is passed on as it is.
    """

    request_id: RequestId
    account: AccountId
    kind: RequestKind
    target: ModelId | ServiceId
    prompt_tokens: int
    max_tokens: int
    deadline: timedelta
    body_digest: Digest
    adapter: AdapterId | None = None
    prefix_marks: tuple[PrefixMark, ...] = ()
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    idempotency_key: str | None = None
    resume_offset: int = 0
    terms: CallTerms | None = None


class Submit(Message, frozen=True):
    """A caller's request has been read and its caller authenticated."""

    request: Request


class CallerGone(Message, frozen=True):
    """The caller closed its connection.

    The relay goes on reading the endpoint until it is told otherwise by
    `CancelAttempt` or `Conclude`: the answer to a request with a claim is kept for
    the caller's return.
    """

    request_id: RequestId
