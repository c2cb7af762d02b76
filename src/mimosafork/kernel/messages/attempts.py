"""Messages about the progress and end of attempts."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AttemptNumber, Digest, EndpointId, RequestId
from .base import Effect, Message
from .crashes import InterruptedRun


class Exposure(Enum):
    """Whether an attempt may have run on its endpoint."""

    NEVER_SENT = "never-sent"
    """No byte was sent."""
    REFUSED = "refused"
    """The endpoint reported that it did not run it."""
    POSSIBLE = "possible"
    """It may have run, completely or in part."""


class FailureKind(Enum):
    """How an attempt failed."""

    UNREACHED = "unreached"
    REFUSED = "refused"
    BROKEN = "broken"
    """The connection closed before the answer was complete."""
    STALLED = "stalled"
    """No byte was received within the stall timeout."""
    INVALID = "invalid"
    """The endpoint's answer violates its protocol."""
    ENGINE_FAILED = "engine-failed"
    """The engine reported the stream as failed."""
    DEADLINE = "deadline"
    BACKING_OFF = "backing-off"
    """The endpoint has requested a backoff since the attempt was placed."""
    DRAINING = "draining"
    """The endpoint has begun to drain since the attempt was placed."""
    EVACUATED = "evacuated"
    """The zone of the endpoint, or of a helper, has been evacuated since the attempt
    was placed."""
    RATE_LIMITED = "rate-limited"
    """The endpoint's rate limit allows no further request of this instance now."""
    COLD = "cold"
    """The endpoint may be cold, and this instance has no permit for it now."""
    OUTSIDE_REGIONS = "outside-regions"
    """The call may no longer be sent to the endpoint's region."""
    PEER_FAILED = "peer-failed"
    """The entry instance that ran the call for this one sent no complete answer."""
    SUPERSEDED = "superseded"
    """A hedged attempt resumed before this one answered."""


class Usage(msgspec.Struct, frozen=True):
    """Token usage of a stream as reported by the engine."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class FirstToken(Message, frozen=True):
    """The first chunk of an attempt has arrived."""

    request_id: RequestId
    attempt: AttemptNumber


class ConnectionOpening(Message, frozen=True):
    """An attempt waits for a connection: nothing of it has been sent yet.

    The adapter that reports this reports `AttemptSent` before it sends the first byte.
    Without either message, any part of the attempt may have been sent.
    """

    request_id: RequestId
    attempt: AttemptNumber


class AttemptSent(Message, frozen=True):
    """An attempt that waited for a connection is about to be sent."""

    request_id: RequestId
    attempt: AttemptNumber


class AttemptFinished(Message, frozen=True):
    """An attempt has delivered its whole answer to the caller."""

    request_id: RequestId
    attempt: AttemptNumber
    usage: Usage | None = None


class AttemptFailed(Message, frozen=True):
    """An attempt ended without a complete answer.

    Attributes
    ----------
    delivered_tokens : int
        Tokens of the answer sent to the caller, over all attempts.
    refusal : str or None
        Reason given by the endpoint, if it refused.
    status : int or None
        Status of the endpoint's answer, if it indicates a failure.
    fault_at : str or None
        Address of the failed endpoint, if the answering one names another.
    endpoint : EndpointId or None
        Endpoint of the attempt. Like `digest` of the request it is included because
        the record may be gone when plug-ins receive the failure.
    interrupted : InterruptedRun or None
        The run, if its connection broke.
    resumable : bool
        Whether another attempt may continue the answer. False if part of it was
        delivered and the position behind that part is uncertain.
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
    interrupted: InterruptedRun | None = None
    resumable: bool = True


class AttemptHedged(AttemptFailed, frozen=True):
    """An attempt is silent, and another may be started in parallel.

    It stays open until the other one answers, and continues if that one fails.
    """


class HedgedAttemptResumed(Message, frozen=True):
    """A hedged attempt has sent an event."""

    request_id: RequestId
    attempt: AttemptNumber


class AttemptRestored(Message, frozen=True):
    """A hedged attempt is the current one of its request again."""

    request_id: RequestId
    attempt: AttemptNumber


class DispatchFaulted(Message, frozen=True):
    """An attempt could not be started because of an internal fault.

    Attributes
    ----------
    failure : AttemptFailed
        Its exposure shows whether anything may have been sent.
    """

    failure: AttemptFailed


class RetryDue(Message, frozen=True):
    """The delay before a retry is over."""

    request_id: RequestId


class AttemptSilent(Message, frozen=True):
    """An attempt has been silent for longer than its silence timeout.

    It continues: silence alone does not prove a failure.
    """

    request_id: RequestId
    attempt: AttemptNumber
    silence: timedelta


class EndSilentAttempt(Effect, frozen=True):
    """Report a silent attempt as failed or hedged, so that another may be started.

    If part of the answer has been sent to the caller, the attempt stays open as the
    hedged one.
    """

    failure: AttemptFailed
