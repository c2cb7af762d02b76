"""Records of open requests."""

from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import (
    AttemptNumber,
    ClaimId,
    ClaimKey,
    EndpointId,
    Incarnation,
    RequestId,
    StreamId,
)
from .messages.attempts import AttemptFailed, Exposure
from .messages.outcomes import Outcome
from .messages.requests import Repeatability, Request
from .plugins import PlaceOn


class RequestState(Enum):
    """Lifecycle state of a request."""

    REVIEWING = "reviewing"
    HELD = "held"
    WAITING = "waiting"
    PLACING = "placing"
    RUNNING = "running"
    PAUSED = "paused"
    """Between two attempts."""
    FINISHING = "finishing"
    """The whole answer was sent; a finisher delays its completion."""


class Attempt(msgspec.Struct):
    """One attempt of a request on an endpoint.

    Attributes
    ----------
    unsent : bool
        Nothing of it has been sent yet, for certain.
    """

    number: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str
    started_at: timedelta
    first_token_at: timedelta | None = None
    failure: AttemptFailed | None = None
    unsent: bool = False

    @property
    def exposure(self) -> Exposure:
        """How far the attempt may have got; POSSIBLE once anything may be sent."""
        if self.failure is None:
            return Exposure.NEVER_SENT if self.unsent else Exposure.POSSIBLE
        return self.failure.exposure


class HeldClaim(msgspec.Struct):
    """Claim on a request's idempotency key that this instance holds.

    Attributes
    ----------
    confirmed : bool
        The store has confirmed the claim.
    """

    key: ClaimKey
    claim_id: ClaimId
    confirmed: bool = False


class RequestRecord(msgspec.Struct):
    """A request and its progress so far.

    Attributes
    ----------
    submitted_at : timedelta
        Monotonic time of arrival.
    predicted_first_token : timedelta or None
        Time to first token expected by admission, relative to `submitted_at`.
    avoid : set of EndpointId
        Endpoints on which an attempt failed.
    claim : HeldClaim or None
        Set while this instance owns the run for the request's key.
    attached_run : PlaceOn or None
        Location of a run that another call with the same key started and this
        request is attached to. This request must not cancel it.
    may_have_run_elsewhere : bool
        Another call with the same key may have run it.
    stream_id_prefix : str or None
        Prefix of its stream ids, which every instance derives from the key; None
        for a request without a key, which uses its request id.
    caller_gone : bool
        The caller disconnected; the run continues so that its answer is kept.
    prefill_may_have_run : bool
        A part of the prompt may have been prefilled before any attempt.
    hedged : Attempt or None
        An earlier, silent attempt that stays open until a later one answers.
    """

    request: Request
    submitted_at: timedelta
    state: RequestState = RequestState.REVIEWING
    stage_index: int = 0
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    delivered_tokens: int = 0
    predicted_first_token: timedelta | None = None
    avoid: set[EndpointId] = msgspec.field(default_factory=set)
    claim: HeldClaim | None = None
    attached_run: PlaceOn | None = None
    may_have_run_elsewhere: bool = False
    stream_id_prefix: str | None = None
    caller_gone: bool = False
    prefill_may_have_run: bool = False
    hedged: Attempt | None = None

    @property
    def request_id(self) -> RequestId:
        """Id of the request."""
        return self.request.request_id

    @property
    def current(self) -> Attempt | None:
        """The newest attempt, or the hedged one that was restored; None before any."""
        return self.attempts[-1] if self.attempts else None

    @property
    def is_shareable(self) -> bool:
        """Whether the run may answer other calls with the same key.

        True for an attached run, and for a claimed non-idempotent request: its caller
        may reconnect for the answer, and the request is never run again.
        """
        once = self.request.repeatability is Repeatability.NON_IDEMPOTENT
        return self.attached_run is not None or (once and self.claim is not None)

    @property
    def has_received_token(self) -> bool:
        """Whether a token of the answer is known to have arrived.

        The token count of an open attempt is reported only at its end; its first token
        is reported immediately.
        """
        begun = any(attempt.first_token_at is not None for attempt in self.attempts)
        return begun or self.delivered_tokens > 0

    def outcome_if_ended(self) -> Outcome:
        """Return the outcome to report if the request ends now without its answer.

        NOT_RUN requires that no attempt can have run, and that no other call with the
        same key may have run it. A possible run of a non-idempotent request is
        UNKNOWN, because FAILED would invite the caller to resend it. A request with
        an open attempt that has not sent a token is UNKNOWN too.
        """
        if self.may_have_run_elsewhere or self.attached_run is not None:
            return Outcome.UNKNOWN
        exposures = {attempt.exposure for attempt in self.attempts}
        if Exposure.POSSIBLE not in exposures and not self.prefill_may_have_run:
            return Outcome.NOT_RUN
        if self.request.repeatability is Repeatability.NON_IDEMPOTENT:
            return Outcome.UNKNOWN
        open_attempt = any(attempt.failure is None for attempt in self.attempts)
        if open_attempt and not self.has_received_token:
            return Outcome.UNKNOWN
        return Outcome.FAILED
