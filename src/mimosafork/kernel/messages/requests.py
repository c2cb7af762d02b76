"""Messages and effects in the life of one request."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ...ids import (
    AccountId,
    AdapterId,
    AttemptNumber,
    Digest,
    EndpointId,
    Incarnation,
    ModelId,
    RequestId,
    ReservationId,
    ServiceId,
    StreamId,
)
from .base import Effect, Message


class RequestKind(Enum):
    """What sort of endpoint serves a request."""

    MODEL = "model"
    SERVICE = "service"


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(Enum):
    """What the caller is told about the fate of a request.

    ``NOT_RUN`` is a promise: no endpoint can have run any part of it.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ProblemCode(Enum):
    """Why a request was refused or failed; the last part of the problem's type."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    PROMPT_TOO_LONG = "prompt-too-long"
    BAD_DEADLINE = "bad-deadline"
    RATE_LIMITED = "rate-limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINT_FAILED = "endpoint-failed"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    """An earlier call with the key may have run; it is never run again."""
    STORE_UNAVAILABLE = "store-unavailable"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting-down"
    NOT_CONFIGURED = "not-configured"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"


class Retention(Enum):
    """Whether a resend under the same key gets the answer from the store."""

    NOT_ASKED = "not-asked"
    KEPT = "kept"
    NOT_KEPT = "not-kept"
    """It should have been kept, but the store could not take it in time."""


class Exposure(Enum):
    """How far an attempt can have reached its endpoint."""

    NEVER_SENT = "never-sent"
    """No byte left this process."""
    REFUSED = "refused"
    """The endpoint itself said that it did not run it."""
    POSSIBLE = "possible"
    """It may have run, wholly or in part."""


class FailureKind(Enum):
    """How an attempt failed."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    BROKEN = "broken"
    """The connection ended before the answer did."""
    STALLED = "stalled"
    """No byte for longer than the stall timeout."""
    INVALID = "invalid"
    """The endpoint's answer does not follow its protocol."""
    ENGINE_FAILED = "engine-failed"
    """The engine ended the stream as failed."""
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class PrefixMark:
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


@dataclass(frozen=True, slots=True)
class CallTerms:
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


@dataclass(frozen=True, slots=True)
class Helper:
    """An endpoint that reads a part of a prompt for the one that answers.

    Attributes
    ----------
    reservation : ReservationId or None
        Memory set aside there for the part.
    """

    endpoint: EndpointId
    address: str
    reservation: ReservationId | None = None


@dataclass(frozen=True, slots=True)
class Patience:
    """How long an attempt may be silent before that is worth a thought.

    Attributes
    ----------
    first : timedelta
        Until the answer begins.
    further : timedelta
        Between two events after that.
    """

    first: timedelta
    further: timedelta


@dataclass(frozen=True, slots=True)
class Request:
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


@dataclass(frozen=True, slots=True)
class Submit(Message):
    """A caller's request has been read and its caller authenticated."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone(Message):
    """The caller closed its connection.

    The relay goes on reading the endpoint until it is told otherwise by
    `CancelAttempt` or `Conclude`: the answer to a request with a claim is kept for
    the caller's return.
    """

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class FirstToken(Message):
    """The first chunk of an attempt has arrived."""

    request_id: RequestId
    attempt: AttemptNumber


@dataclass(frozen=True, slots=True)
class Usage:
    """What an engine says a stream has cost, in tokens."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFinished(Message):
    """An attempt has delivered its whole answer to the caller."""

    request_id: RequestId
    attempt: AttemptNumber
    usage: Usage | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed(Message):
    """An attempt ended without its whole answer.

    Attributes
    ----------
    delivered_tokens : int
        Tokens of the answer, over all attempts, that the caller has been sent.
    refusal : str or None
        The endpoint's own reason, when it refused.
    status : int or None
        Of the endpoint's whole answer, when that tells of a failure.
    fault_at : str or None
        Address of the endpoint at fault, if the one that answered names another.
    endpoint : EndpointId or None
        Where the attempt was made, and `digest` of the request: the record may be
        gone when plug-ins hear of the failure.
    """

    request_id: RequestId
    attempt: AttemptNumber
    kind: FailureKind
    exposure: Exposure
    delivered_tokens: int = 0
    refusal: str | None = None
    status: int | None = None
    fault_at: str | None = None
    endpoint: EndpointId | None = None
    digest: Digest | None = None


@dataclass(frozen=True, slots=True)
class RetryDue(Message):
    """The pause before a further attempt is over."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Dispatch(Effect):
    """Send an attempt to an endpoint.

    Attributes
    ----------
    attach : bool
        Attach to the stream that already runs there instead of starting one.
    offset : int
        First token wanted.
    priority : int
        Lower runs first.
    imports : tuple of ReservationId
        KV parts imported before, joined in front of the prompt.
    imported_tokens : int
        Length of those parts.
    keep : bool
        The answer is to be kept: the relay captures it, over all attempts, and
        hands it to the answer keeper before it reports the attempt as finished.
    shared : bool
        Another call under the same key may be answered by the stream: only
        `CancelAttempt` ends it, not that this attempt failed.
    helpers : tuple of Helper
        Endpoints that read the prompt in even parts with this one.
    patience : Patience or None
        A longer silence is told by `AttemptSilent`; None asks for no word.
    """

    request_id: RequestId
    attempt: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str
    deadline: timedelta
    priority: int = 0
    attach: bool = False
    offset: int = 0
    imports: tuple[ReservationId, ...] = ()
    imported_tokens: int = 0
    reservation: ReservationId | None = None
    keep: bool = False
    shared: bool = False
    helpers: tuple[Helper, ...] = ()
    patience: Patience | None = None


@dataclass(frozen=True, slots=True)
class AttemptSilent(Message):
    """An attempt has been silent for longer than its patience.

    It goes on meanwhile: silence alone proves nothing.
    """

    request_id: RequestId
    attempt: AttemptNumber
    silence: timedelta


@dataclass(frozen=True, slots=True)
class EndSilentAttempt(Effect):
    """Cancel an attempt and report it as failed, so that another may follow."""

    failure: AttemptFailed


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Stop an attempt; its endpoint frees what it holds."""

    request_id: RequestId
    attempt: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    address: str


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a request ends without its answer.

    Attributes
    ----------
    retry_after : timedelta or None
        When it makes sense to come back; None when it does not.
    """

    code: ProblemCode
    detail: str
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Conclude(Effect):
    """Give the caller its final answer now.

    Attributes
    ----------
    problem : Problem or None
        None when the whole answer has been delivered.
    retention : Retention
        Told to the caller with the final marker.
    """

    request_id: RequestId
    outcome: Outcome
    attempts: int
    problem: Problem | None = None
    retention: Retention = Retention.NOT_ASKED


@dataclass(frozen=True, slots=True)
class WakeAt(Effect):
    """Send `message` back to the kernel at the monotonic instant `at`."""

    at: timedelta
    message: Message = field(default_factory=Message)
