"""Records of requests that the kernel has not concluded."""

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
    """Where a request is in its life."""

    REVIEWING = "reviewing"
    HELD = "held"
    WAITING = "waiting"
    PLACING = "placing"
    RUNNING = "running"
    PAUSED = "paused"
    """Between two attempts."""
    FINISHING = "finishing"
    """The whole answer went out; a finisher holds its end."""


class Attempt(msgspec.Struct):
    """One try of a request on an endpoint.

    Attributes
    ----------
    unsent : bool
        It is known that nothing of it has been sent yet.
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
        """How far the attempt can have reached; POSSIBLE while it runs."""
        if self.failure is None:
            return Exposure.NEVER_SENT if self.unsent else Exposure.POSSIBLE
        return self.failure.exposure


class HeldClaim(msgspec.Struct):
    """The claim on a request's key that this instance holds.

    Attributes
    ----------
    settled : bool
        The store has confirmed it.
    """

    key: ClaimKey
    claim_id: ClaimId
    confirmed: bool = False


class RequestRecord(msgspec.Struct):
    """A request and what has happened to it so far.

    Attributes
    ----------
    submitted_at : timedelta
        Monotonic instant.
    predicted_first_token : timedelta or None
        What admission expected, counted from `submitted_at`.
    avoid : set of EndpointId
        Endpoints on which an attempt failed.
    claim : HeldClaim or None
        Set while this instance owns the run under the request's key.
    shared_run : PlaceOn or None
        Where a run that another call started under the same key is attached to.
        It is not this request's to cancel.
    run_elsewhere : bool
        Another call under the same key may have run it.
    stream_base : str or None
        Beginning of the ids of its streams, which every instance derives from its
        key; None for a request without one, whose own id stands in.
    caller_gone : bool
        The run goes on for its kept answer.
    part_run : bool
        A part of the prompt may have been prefilled before any attempt.
    hedged : Attempt or None
        An earlier attempt that is silent and stays open until a later one answers.
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
        """The newest attempt."""
        return self.attempts[-1] if self.attempts else None

    @property
    def is_shareable(self) -> bool:
        """Whether the run may answer other calls under the same key.

        That of another call does. So does the one run of a non-idempotent request:
        its caller may come back for it, and there will be no other.
        """
        once = self.request.repeatability is Repeatability.NON_IDEMPOTENT
        return self.attached_run is not None or (once and self.claim is not None)

    @property
    def has_received_token(self) -> bool:
        """Whether a token of the answer is known to have come.

        How many an open attempt has delivered is told only when it ends; that its
        first one came is told at once.
        """
        begun = any(attempt.first_token_at is not None for attempt in self.attempts)
        return begun or self.delivered_tokens > 0

    def outcome_if_ended(self) -> Outcome:
        """Return the honest outcome if the request ended now without its answer.

        NOT_RUN needs every attempt to be surely unexposed, and no run of another
        call behind this one. A possible run of a non-idempotent request is
        UNKNOWN: "failed" would invite its caller to send it again. So is one whose
        attempt is still open and silent.
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
