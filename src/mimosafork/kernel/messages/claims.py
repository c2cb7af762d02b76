"""Messages and effects about claims on idempotency keys and kept answers.

A claim is a row of the table service that names the one instance which may run
what a key stands for. The kernel says what a row is to become; the adapter
(`mimosafork.claims`) batches the writes and settles those of unknown result.
"""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import (
    ClaimId,
    ClaimKey,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    StreamId,
)
from .base import Effect, Message
from .outcomes import Outcome


class ClaimState(Enum):
    """What a claim row says."""

    CLAIMED = "claimed"
    """The owner may have dispatched it."""
    DONE = "done"
    """It has ended; `outcome` says how."""
    RELEASED = "released"
    """It surely never ran; the key is free."""


class StreamLocation(msgspec.Struct, frozen=True):
    """Where a stream runs."""

    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str


class Claim(msgspec.Struct, frozen=True):
    """A claim as its row has it.

    Attributes
    ----------
    body_digest : Digest
        What the key was first used with.
    generation : int
        How often the key has been claimed anew; part of its streams' ids.
    time_left : timedelta
        Until the request's deadline; negative when that has passed.
    place : StreamPlace or None
        Last one noted; notes are not waited for.
    answer_kept : bool
        The whole answer can be read from the store.
    """

    claim_id: ClaimId
    body_digest: Digest
    owner: InstanceId
    incarnation: Incarnation
    generation: int
    time_left: timedelta
    state: ClaimState = ClaimState.CLAIMED
    place: StreamLocation | None = None
    outcome: Outcome | None = None
    answer_kept: bool = False


class WriteClaim(Effect, frozen=True):
    """Claim a key unless another call has it.

    Attributes
    ----------
    required : bool
        The request waits for it; else it is only worth an attempt.
    replaces : ClaimId or None
        A claim that may be taken over; None for a key that is free.
    """

    request_id: RequestId
    key: ClaimKey
    claim: Claim
    required: bool
    replaces: ClaimId | None = None


class RecordStreamLocation(Effect, frozen=True):
    """Note in the claim's row where its stream runs."""

    key: ClaimKey
    claim_id: ClaimId
    place: StreamLocation


class ReleaseClaim(Effect, frozen=True):
    """Free the key: what it stands for surely did not run under this claim."""

    key: ClaimKey
    claim_id: ClaimId


class EndClaim(Effect, frozen=True):
    """Write down that the run has ended without an answer to keep."""

    key: ClaimKey
    claim_id: ClaimId
    outcome: Outcome


class KeepAnswer(Effect, frozen=True):
    """Store the captured whole answer and end the claim with it."""

    request_id: RequestId
    key: ClaimKey
    claim_id: ClaimId


class ReplayAnswer(Effect, frozen=True):
    """Deliver the kept answer of a key to a caller.

    Attributes
    ----------
    offset : int
        First token that the caller lacks.
    """

    request_id: RequestId
    key: ClaimKey
    offset: int


class PaceClaims(Effect, frozen=True):
    """Share what the store takes among the entry instances.

    Attributes
    ----------
    instances : int
        Live entry instances that are known.
    """

    instances: int


class CandidateEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that may run a stream."""

    endpoint: EndpointId
    incarnation: Incarnation
    address: str


class FindStream(Effect, frozen=True):
    """Ask endpoints for a stream under any of some ids; nothing is run.

    Attributes
    ----------
    noted : StreamPlace or None
        Asked first.
    """

    request_id: RequestId
    noted: StreamLocation | None
    stream_ids: tuple[StreamId, ...]
    endpoints: tuple[CandidateEndpoint, ...]


class ClaimWon(Message, frozen=True):
    """The store holds this instance's claim.

    Attributes
    ----------
    generation : int
        That of the row, which may follow a released one.
    """

    request_id: RequestId
    claim_id: ClaimId
    generation: int


class ClaimLost(Message, frozen=True):
    """Another call has the key."""

    request_id: RequestId
    claim_id: ClaimId
    existing: Claim


class ClaimUnavailable(Message, frozen=True):
    """The store can't be asked now, or did not say what became of the claim."""

    request_id: RequestId
    claim_id: ClaimId


class ClaimTimedOut(Message, frozen=True):
    """A claim has not been settled in the time that its request waits for it."""

    request_id: RequestId
    claim_id: ClaimId


class StreamSearched(Message, frozen=True):
    """Endpoints have been asked for a stream.

    Attributes
    ----------
    place : StreamPlace or None
        None if none of those that answered knows it.
    """

    request_id: RequestId
    place: StreamLocation | None


class SearchTimedOut(Message, frozen=True):
    """A search for a stream has taken too long."""

    request_id: RequestId


class AnswerKept(Message, frozen=True):
    """What became of `KeepAnswer`."""

    request_id: RequestId
    kept: bool


class KeepAnswerTimedOut(Message, frozen=True):
    """An answer's end has been held as long as it may be."""

    request_id: RequestId


class AnswerReplayed(Message, frozen=True):
    """What became of `ReplayAnswer`.

    Attributes
    ----------
    delivered : bool
        False: the kept answer could not be read.
    """

    request_id: RequestId
    delivered: bool
