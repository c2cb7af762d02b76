"""Messages and effects about claims on idempotency keys and kept answers.

A claim is a row of the table service that names the one instance which may run
what a key stands for. The kernel says what a row is to become; the adapter
(`mimosafork.claims`) batches the writes and settles those of unknown result.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

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


@dataclass(frozen=True, slots=True)
class StreamPlace:
    """Where a stream runs."""

    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str


@dataclass(frozen=True, slots=True)
class Claim:
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
    place: StreamPlace | None = None
    outcome: Outcome | None = None
    answer_kept: bool = False


@dataclass(frozen=True, slots=True)
class WriteClaim(Effect):
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


@dataclass(frozen=True, slots=True)
class NotePlace(Effect):
    """Note in the claim's row where its stream runs."""

    key: ClaimKey
    claim_id: ClaimId
    place: StreamPlace


@dataclass(frozen=True, slots=True)
class ReleaseClaim(Effect):
    """Free the key: what it stands for surely did not run under this claim."""

    key: ClaimKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class EndClaim(Effect):
    """Write down that the run has ended without an answer to keep."""

    key: ClaimKey
    claim_id: ClaimId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class KeepAnswer(Effect):
    """Store the captured whole answer and end the claim with it."""

    request_id: RequestId
    key: ClaimKey
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ReplayAnswer(Effect):
    """Deliver the kept answer of a key to a caller.

    Attributes
    ----------
    offset : int
        First token that the caller lacks.
    """

    request_id: RequestId
    key: ClaimKey
    offset: int


@dataclass(frozen=True, slots=True)
class PaceClaims(Effect):
    """Share what the store takes among the entry instances.

    Attributes
    ----------
    instances : int
        Live entry instances that are known.
    """

    instances: int


@dataclass(frozen=True, slots=True)
class EndpointToAsk:
    """An endpoint that may run a stream."""

    endpoint: EndpointId
    incarnation: Incarnation
    address: str


@dataclass(frozen=True, slots=True)
class FindStream(Effect):
    """Ask endpoints for a stream under any of some ids; nothing is run.

    Attributes
    ----------
    noted : StreamPlace or None
        Asked first.
    """

    request_id: RequestId
    noted: StreamPlace | None
    stream_ids: tuple[StreamId, ...]
    endpoints: tuple[EndpointToAsk, ...]


@dataclass(frozen=True, slots=True)
class ClaimWon(Message):
    """The store holds this instance's claim.

    Attributes
    ----------
    generation : int
        That of the row, which may follow a released one.
    """

    request_id: RequestId
    claim_id: ClaimId
    generation: int


@dataclass(frozen=True, slots=True)
class ClaimLost(Message):
    """Another call has the key."""

    request_id: RequestId
    claim_id: ClaimId
    existing: Claim


@dataclass(frozen=True, slots=True)
class ClaimUnavailable(Message):
    """The store can't be asked now, or did not say what became of the claim."""

    request_id: RequestId
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimOverdue(Message):
    """A claim has not been settled in the time that its request waits for it."""

    request_id: RequestId
    claim_id: ClaimId


@dataclass(frozen=True, slots=True)
class StreamSearched(Message):
    """Endpoints have been asked for a stream.

    Attributes
    ----------
    place : StreamPlace or None
        None if none of those that answered knows it.
    """

    request_id: RequestId
    place: StreamPlace | None


@dataclass(frozen=True, slots=True)
class SearchOverdue(Message):
    """A search for a stream has taken too long."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerKept(Message):
    """What became of `KeepAnswer`."""

    request_id: RequestId
    kept: bool


@dataclass(frozen=True, slots=True)
class KeepingOverdue(Message):
    """An answer's end has been held as long as it may be."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerReplayed(Message):
    """What became of `ReplayAnswer`.

    Attributes
    ----------
    delivered : bool
        False: the kept answer could not be read.
    """

    request_id: RequestId
    delivered: bool
