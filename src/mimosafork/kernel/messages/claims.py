"""Messages and effects about claims on idempotency keys and kept answers.

A claim is a row of the table service that names the only instance allowed to run the
request of a key. The kernel decides the content of the row; the adapter
(`mimosafork.claims`) batches the writes and resolves those of unknown result.
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
    """State of a claim row."""

    CLAIMED = "claimed"
    """The owner may have dispatched the request."""
    DONE = "done"
    """The request has ended with `outcome`."""
    RELEASED = "released"
    """The request definitely never ran; the key is free."""


class StreamLocation(msgspec.Struct, frozen=True):
    """Location of a stream."""

    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str


class Claim(msgspec.Struct, frozen=True):
    """Content of a claim row.

    Attributes
    ----------
    body_digest : Digest
        Body digest of the key's first use.
    generation : int
        Number of times that the key was reclaimed; part of its stream ids.
    time_left : timedelta
        Until the request's deadline; negative when that has passed.
    place : StreamLocation or None
        Last recorded location; may lag, as these writes are asynchronous.
    answer_kept : bool
        The complete answer is available from the store.
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
    """Claim a key unless another call holds it.

    Attributes
    ----------
    required : bool
        The request must not run without the claim; otherwise it is best effort.
    replaces : ClaimId or None
        A claim that may be taken over; None for a key that is free.
    """

    request_id: RequestId
    key: ClaimKey
    claim: Claim
    required: bool
    replaces: ClaimId | None = None


class RecordStreamLocation(Effect, frozen=True):
    """Record the location of a stream in its claim row."""

    key: ClaimKey
    claim_id: ClaimId
    place: StreamLocation


class ReleaseClaim(Effect, frozen=True):
    """Release the key: the request definitely did not run under this claim."""

    key: ClaimKey
    claim_id: ClaimId


class EndClaim(Effect, frozen=True):
    """Record that the run has ended without an answer to keep."""

    key: ClaimKey
    claim_id: ClaimId
    outcome: Outcome


class KeepAnswer(Effect, frozen=True):
    """Store the captured complete answer and end the claim."""

    request_id: RequestId
    key: ClaimKey
    claim_id: ClaimId


class ReplayAnswer(Effect, frozen=True):
    """Deliver the kept answer of a key to a caller.

    Attributes
    ----------
    offset : int
        First token that the caller has not received.
    """

    request_id: RequestId
    key: ClaimKey
    offset: int


class PaceClaims(Effect, frozen=True):
    """Divide the store's write capacity among the entry instances.

    Attributes
    ----------
    instances : int
        Number of known live entry instances.
    """

    instances: int


class CandidateEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that may run a stream."""

    endpoint: EndpointId
    incarnation: Incarnation
    address: str


class FindStream(Effect, frozen=True):
    """Search endpoints for a stream with one of several ids, without running anything.

    Attributes
    ----------
    noted : StreamLocation or None
        Recorded location, which is asked first.
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
        Generation of the row, incremented if it replaced a released claim.
    """

    request_id: RequestId
    claim_id: ClaimId
    generation: int


class ClaimLost(Message, frozen=True):
    """Another call holds the key."""

    request_id: RequestId
    claim_id: ClaimId
    existing: Claim


class ClaimUnavailable(Message, frozen=True):
    """The store is unavailable, or the result of the claim is unknown."""

    request_id: RequestId
    claim_id: ClaimId


class ClaimTimedOut(Message, frozen=True):
    """A claim was not confirmed within the time that its request waits for it."""

    request_id: RequestId
    claim_id: ClaimId


class StreamSearched(Message, frozen=True):
    """The search for a stream has finished.

    Attributes
    ----------
    place : StreamLocation or None
        None if no endpoint that answered has the stream.
    """

    request_id: RequestId
    place: StreamLocation | None


class SearchTimedOut(Message, frozen=True):
    """The search for a stream has timed out."""

    request_id: RequestId


class AnswerKept(Message, frozen=True):
    """Result of `KeepAnswer`."""

    request_id: RequestId
    kept: bool


class KeepAnswerTimedOut(Message, frozen=True):
    """The time limit for holding an answer's completion has passed."""

    request_id: RequestId


class AnswerReplayed(Message, frozen=True):
    """Result of `ReplayAnswer`.

    Attributes
    ----------
    delivered : bool
        False if the kept answer could not be read.
    """

    request_id: RequestId
    delivered: bool
