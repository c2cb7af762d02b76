"""How an attempt at a request goes on and ends."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AttemptNumber, Digest, EndpointId, RequestId
from .base import Effect, Message


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
    SUPERSEDED = "superseded"
    """An earlier attempt that was silent has gone on before it."""


class Usage(msgspec.Struct, frozen=True):
    """What an engine says a stream has cost, in tokens."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class FirstToken(Message, frozen=True):
    """The first chunk of an attempt has arrived."""

    request_id: RequestId
    attempt: AttemptNumber


class ConnectionOpening(Message, frozen=True):
    """An attempt waits for a connection: nothing of it has been sent yet.

    An adapter that says so says `AttemptSent` before the first byte goes out. Of an
    attempt of which nothing is said, anything may have been sent.
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


class AttemptHedged(AttemptFailed, frozen=True):
    """An attempt is silent, and another may be tried beside it.

    It stays open until the other one answers, and goes on if that fails.
    """


class HedgedAttemptResumed(Message, frozen=True):
    """A hedged attempt has sent an event."""

    request_id: RequestId
    attempt: AttemptNumber


class AttemptRestored(Message, frozen=True):
    """A hedged attempt goes on as the current one of its request."""

    request_id: RequestId
    attempt: AttemptNumber


class DispatchFaulted(Message, frozen=True):
    """An attempt could not be made for a fault in the code that makes it.

    Attributes
    ----------
    failure : AttemptFailed
        Its exposure says whether anything may have been sent.
    """

    failure: AttemptFailed


class RetryDue(Message, frozen=True):
    """The pause before a further attempt is over."""

    request_id: RequestId


class AttemptSilent(Message, frozen=True):
    """An attempt has been silent for longer than its patience.

    It goes on meanwhile: silence alone proves nothing.
    """

    request_id: RequestId
    attempt: AttemptNumber
    silence: timedelta


class EndSilentAttempt(Effect, frozen=True):
    """Report an attempt as failed, or as hedged, so that another may follow.

    One whose answer the caller has begun to get is left open beside the next one.
    """

    failure: AttemptFailed
