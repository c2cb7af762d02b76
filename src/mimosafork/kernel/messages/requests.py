"""Requests of callers, and messages about their arrival and disconnection."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import (
    AccountId,
    AdapterId,
    Digest,
    InstanceId,
    ModelId,
    RegionId,
    RequestId,
    ServiceId,
)
from .base import Message


class RequestKind(Enum):
    """Kind of endpoint that serves a request."""

    MODEL = "model"
    SERVICE = "service"


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class PrefixMark(msgspec.Struct, frozen=True):
    """Digest of a prompt prefix of a given length.

    Attributes
    ----------
    digest : Digest
        16 hexadecimal digits.
    tokens : int
        Length of the prefix.
    """

    digest: Digest
    tokens: int


class CallTerms(msgspec.Struct, frozen=True):
    """Parameters, set by route and caller, of a call that is forwarded unchanged.

    Attributes
    ----------
    max_attempts : int
        Largest number of endpoints that it may be sent to.
    objective : timedelta
        Latency within which an answer, or the first event of a stream, is on time.
    longest_pause : timedelta or None
        Longest time between two events of a stream that is on time.
    priority : int
        0 is the highest.
    streams : bool
        The answer is an event stream.
    resumable : bool
        Another endpoint may resume a broken stream.
    expected_tokens : int
        Answer length estimated by the caller; 0 if not given.
    """

    max_attempts: int
    objective: timedelta
    longest_pause: timedelta | None = None
    priority: int = 5
    streams: bool = False
    resumable: bool = False
    expected_tokens: int = 0


class Request(msgspec.Struct, frozen=True):
    """Metadata of a caller's request, without its text.

    Attributes
    ----------
    deadline : timedelta
        Monotonic time by which it finishes or fails.
    body_digest : Digest
        Digest of target and body, which determine the answer; used for idempotency
        and quarantine.
    idempotency_key : str or None
        The caller's key.
    prompt_parts : tuple of Digest
        Parts of the prompt that other requests may share, in order.
    resume_offset : int
        Tokens that the caller has already received, when it resumes with its key.
    terms : CallTerms or None
        Set for a call that is forwarded unchanged.
    forwarded_by : InstanceId or None
        The entry instance that received the call from its caller, if it is another one.
    home_regions : frozenset of RegionId or None
        Regions that it may be sent to; None for no restriction, and empty if its route
        and its account have no region in common.
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
    forwarded_by: InstanceId | None = None
    prompt_parts: tuple[Digest, ...] = ()
    home_regions: frozenset[RegionId] | None = None


class Submit(Message, frozen=True):
    """A caller's request has been read and its caller authenticated."""

    request: Request


class CallerGone(Message, frozen=True):
    """The caller closed its connection.

    The relay continues to read from the endpoint until `CancelAttempt` or `Conclude`:
    the answer to a request with a claim is kept in case the caller reconnects.
    """

    request_id: RequestId
