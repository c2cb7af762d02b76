"""A claim as it stands in the table service."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

from ..ids import ClaimId, Digest, Incarnation, InstanceId
from ..kernel.messages.claims import Claim, ClaimState, StreamLocation
from ..kernel.messages.outcomes import Outcome
from .errors import BadClaimRowError

TABLE = "claims"
RETENTION = timedelta(hours=24)
"""How long after its deadline a claim, and its answer, is kept."""


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Value of a claim's row.

    Attributes
    ----------
    deadline, expires : datetime
        Wall time in UTC. Only what a resend is told hangs on them, never whether
        something runs: wall clocks of two instances may differ.
    answer : bytes or None
        The kept answer, when it is small.
    answer_object : str or None
        Key of the kept answer in the object store, when it is not.
    """

    claim_id: ClaimId
    body_digest: Digest
    owner: InstanceId
    incarnation: Incarnation
    generation: int
    state: ClaimState
    deadline: datetime
    expires: datetime
    place: StreamLocation | None = None
    outcome: Outcome | None = None
    answer: bytes | None = None
    answer_object: str | None = None

    @property
    def has_answer(self) -> bool:
        """Whether the whole answer is kept."""
        return self.answer is not None or self.answer_object is not None

    def claim(self, now: datetime) -> Claim:
        """Return what the kernel is told of it."""
        return Claim(
            claim_id=self.claim_id,
            body_digest=self.body_digest,
            owner=self.owner,
            incarnation=self.incarnation,
            generation=self.generation,
            time_left=self.deadline - now,
            state=self.state,
            place=self.place,
            outcome=self.outcome,
            answer_kept=self.has_answer,
        )


def row_of(claim: Claim, now: datetime) -> ClaimRow:
    """Return the row of a claim that the kernel wants written."""
    deadline = now + claim.time_left
    return ClaimRow(
        claim_id=claim.claim_id,
        body_digest=claim.body_digest,
        owner=claim.owner,
        incarnation=claim.incarnation,
        generation=claim.generation,
        state=claim.state,
        deadline=deadline,
        expires=deadline + RETENTION,
    )


def encoded(row: ClaimRow) -> Mapping[str, Any]:
    """Return a row as JSON object."""
    value = msgspec.to_builtins(row)
    assert isinstance(value, dict)
    return value


def decoded(value: Mapping[str, Any]) -> ClaimRow:
    """Return the row of a JSON object.

    Raises
    ------
    BadClaimRowError
        If it is none, for instance that of a newer version.
    """
    try:
        return msgspec.convert(value, ClaimRow)
    except msgspec.ValidationError as error:
        raise BadClaimRowError(f"a claim's row can't be read: {error}") from error


def expired(row: ClaimRow, now: datetime) -> bool:
    """Return whether a row may be removed."""
    return row.expires <= now.astimezone(UTC)
