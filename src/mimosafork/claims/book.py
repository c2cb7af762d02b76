"""The claims of this instance: what their rows are, and what they are to become.

No I/O: `ClaimBook.batch` says what to write, and one of the `settle` methods is
told how it went. A claim's row is a desired state; several changes before the next
write become one.
"""

from dataclasses import dataclass, replace
from datetime import datetime

from ..ids import ClaimId, ClaimKey, RequestId
from ..kernel.messages.base import Message
from ..kernel.messages.claims import (
    AnswerKept,
    ClaimLost,
    ClaimState,
    ClaimUnavailable,
    ClaimWon,
    StreamLocation,
    WriteClaim,
)
from ..kernel.messages.outcomes import Outcome
from ..storage.table import ABSENT, Condition, Conflict, Write
from .errors import BadClaimRowError
from .rows import TABLE, ClaimRow, decoded, encoded, expired, row_of

MOST_CLAIMS = 10_000
"""Claims in memory at most: some minutes of them while the store is down."""

MOST_ANSWER_BYTES = 8 << 20
"""Answers in memory at most that wait for the store."""


@dataclass(slots=True)
class OwnClaim:
    """A claim that this instance has, wants, or has to free.

    Attributes
    ----------
    row : ClaimRow
        What the row is to become.
    stored : ClaimRow or None
        What it is, as far as the store has said.
    version : int
        Version of the row that the next write expects.
    sent : bool
        A write has left whose fate is not known; it may yet take effect.
    told : bool
        The kernel has been told whether the claim holds.
    keeping : bool
        The kernel waits for the answer to be kept.
    """

    request_id: RequestId
    key: ClaimKey
    row: ClaimRow
    required: bool
    replaces: ClaimId | None
    stored: ClaimRow | None = None
    version: int = ABSENT
    sent: bool = False
    told: bool = False
    keeping: bool = False

    @property
    def rank(self) -> int:
        """Place in a batch: requests that wait, then ends, then notes."""
        if not self.told:
            return 0
        return 1 if self.row.state is not ClaimState.CLAIMED else 2


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """One claim's part of a transaction."""

    own: OwnClaim
    row: ClaimRow

    @property
    def condition(self) -> Condition:
        """What the row must be."""
        return Condition(TABLE, self.own.key, self.own.version)

    @property
    def write(self) -> Write:
        """What it becomes."""
        return Write(TABLE, self.own.key, encoded(self.row))


class ClaimBook:
    """Claims by id, and those whose row is not yet what it is to become."""

    def __init__(self) -> None:
        self.claims: dict[ClaimId, OwnClaim] = {}
        self.dirty: dict[ClaimId, OwnClaim] = {}
        self.answer_bytes = 0

    def claim(self, effect: WriteClaim, now: datetime) -> list[Message]:
        """Want a new claim; return an answer if it is clear at once."""
        claim_id = effect.claim.claim_id
        if len(self.claims) >= MOST_CLAIMS:
            return [ClaimUnavailable(effect.request_id, claim_id)]
        own = OwnClaim(
            request_id=effect.request_id,
            key=effect.key,
            row=row_of(effect.claim, now),
            required=effect.required,
            replaces=effect.replaces,
        )
        self.claims[claim_id] = own
        self.dirty[claim_id] = own
        return []

    def note_place(self, claim_id: ClaimId, place: StreamLocation) -> None:
        """Want the stream's place in the row."""
        own = self.claims.get(claim_id)
        if own is not None:
            self._want(own, replace(own.row, place=place))

    def release(self, claim_id: ClaimId) -> None:
        """Want the key to be free.

        A claim that never left is dropped. One whose write got no answer is not:
        it may have taken effect, or may yet do so, and a key that stays taken
        would have the resend of a request that never ran refused for good. The
        released row is written, not deleted, for its version shuts the late write
        out.
        """
        own = self.claims.get(claim_id)
        if own is None:
            return
        own.told = True
        if own.stored is None and not own.sent:
            self._forget(own)
            return
        self._want(own, replace(own.row, state=ClaimState.RELEASED))

    def end(self, claim_id: ClaimId, outcome: Outcome) -> None:
        """Want the end without an answer in the row."""
        own = self.claims.get(claim_id)
        if own is not None:
            own.told = True
            ended = replace(own.row, state=ClaimState.DONE, outcome=outcome)
            self._want(own, ended)

    def keep(
        self, claim_id: ClaimId, answer: bytes | None, answer_object: str | None
    ) -> bool:
        """Want the end with its answer in the row; return whether it is wanted.

        While the store is down answers gather here up to a bound. Beyond it the
        row gets the end without its answer.
        """
        own = self.claims.get(claim_id)
        if own is None:
            return False
        size = len(answer) if answer else 0
        if self.answer_bytes + size > MOST_ANSWER_BYTES:
            self.end(claim_id, Outcome.COMPLETED)
            return False
        self.answer_bytes += size
        own.keeping = True
        done = replace(
            own.row,
            state=ClaimState.DONE,
            outcome=Outcome.COMPLETED,
            answer=answer,
            answer_object=answer_object,
        )
        self._want(own, done)
        return True

    def batch(self, limit: int) -> list[PlannedWrite]:
        """Return the most urgent writes, one a key."""
        planned: dict[ClaimKey, PlannedWrite] = {}
        for own in sorted(self.dirty.values(), key=lambda each: each.rank):
            # Two calls of this instance with one key can't both be in one
            # transaction: the second waits, and then meets the first one's row.
            if own.key not in planned:
                planned[own.key] = PlannedWrite(own, own.row)
            if len(planned) == limit:
                break
        return list(planned.values())

    def settle_committed(
        self, batch: list[PlannedWrite], versions: tuple[int, ...]
    ) -> list[Message]:
        """Take over that a transaction took effect."""
        told: list[Message] = []
        for planned, version in zip(batch, versions, strict=True):
            told += self._stored(planned.own, planned.row, version)
        return told

    def settle_conflicts(
        self,
        batch: list[PlannedWrite],
        conflicts: tuple[Conflict, ...],
        now: datetime,
    ) -> list[Message]:
        """Take over that nothing was written because of some of the rows.

        The others stay as they are and go into the next transaction.
        """
        by_key = {each.key: each for each in conflicts if each.table == TABLE}
        told: list[Message] = []
        for planned in batch:
            conflict = by_key.get(planned.own.key)
            if conflict is not None:
                told += self._meet(planned.own, conflict, now)
        return told

    def settle_unavailable(self, batch: list[PlannedWrite]) -> list[Message]:
        """Take over that the store surely did nothing."""
        told: list[Message] = []
        for own in (planned.own for planned in batch):
            if own.told:
                continue
            own.told = True
            told.append(ClaimUnavailable(own.request_id, own.row.claim_id))
            if not own.sent:
                self._forget(own)
        return told

    def settle_unknown(self, batch: list[PlannedWrite]) -> None:
        """Take over that nobody knows what the store did.

        The same conditional writes go out again: they either take effect, or
        conflict with the row as it now is, which a stale read could not tell.
        """
        for planned in batch:
            planned.own.sent = True

    def _want(self, own: OwnClaim, row: ClaimRow) -> None:
        own.row = row
        self.dirty[row.claim_id] = own

    def _forget(self, own: OwnClaim) -> None:
        self.claims.pop(own.row.claim_id, None)
        self.answer_bytes -= len(own.row.answer) if own.row.answer else 0
        self.dirty.pop(own.row.claim_id, None)

    def _stored(self, own: OwnClaim, row: ClaimRow, version: int) -> list[Message]:
        """Take over what the store has for a claim."""
        own.stored, own.version, own.sent = row, version, False
        told: list[Message] = []
        if not own.told:
            own.told = True
            won = ClaimWon(own.request_id, row.claim_id, row.generation)
            told.append(won)
        if own.row != row:
            return told
        self.dirty.pop(row.claim_id, None)
        if row.state is not ClaimState.CLAIMED:
            told += self._kept(own, True)
            self._forget(own)
        return told

    def _meet(self, own: OwnClaim, conflict: Conflict, now: datetime) -> list[Message]:
        """Take over that the row is not what the write expected."""
        if conflict.value is None:
            return self._vanished(own)
        try:
            existing = decoded(conflict.value)
        except BadClaimRowError:
            # A newer version's row: nothing is known of the call that has the key.
            return self._lose(own, None, now)
        if existing.claim_id == own.row.claim_id:
            return self._stored(own, existing, conflict.version)
        if own.stored is None and self._may_take(own, existing, now):
            generation = max(own.row.generation, existing.generation + 1)
            own.row = replace(own.row, generation=generation)
            own.version = conflict.version
            return []
        return self._lose(own, existing, now)

    def _may_take(self, own: OwnClaim, existing: ClaimRow, now: datetime) -> bool:
        if existing.state is ClaimState.RELEASED or expired(existing, now):
            return True
        # An owner that was taken for gone may have ended well since: its answer is
        # what the caller wants.
        return existing.claim_id == own.replaces and not existing.has_answer

    def _vanished(self, own: OwnClaim) -> list[Message]:
        """Take over that there is no row any more; it was swept."""
        if own.stored is not None:
            told = self._kept(own, False)
            self._forget(own)
            return told
        own.version = ABSENT
        return []

    def _lose(
        self, own: OwnClaim, existing: ClaimRow | None, now: datetime
    ) -> list[Message]:
        told = self._kept(own, False)
        if not own.told:
            claim_id = own.row.claim_id
            if existing is None:
                told.append(ClaimUnavailable(own.request_id, claim_id))
            else:
                claim = existing.claim(now)
                told.append(ClaimLost(own.request_id, claim_id, claim))
        self._forget(own)
        return told

    def _kept(self, own: OwnClaim, kept: bool) -> list[Message]:
        if not own.keeping:
            return []
        own.keeping = False
        return [AnswerKept(own.request_id, kept)]
