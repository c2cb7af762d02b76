"""The task that writes claims, many in one transaction."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger

from ..clock import Clock
from ..ids import ClaimId, RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.claims import (
    AnswerKept,
    ClaimLost,
    ClaimUnavailable,
    ClaimWon,
    EndClaim,
    PaceClaims,
    RecordStreamLocation,
    ReleaseClaim,
    WriteClaim,
)
from ..runtime.task import Task
from ..storage.errors import StoreUnavailableError, UnknownResultError
from ..storage.table import Table
from ..telemetry.catalogue.claims import CLAIMS_IN_DOUBT
from ..telemetry.catalogue.lifecycle import MESSAGE_UNKNOWN
from ..telemetry.logs import log_event
from .book import ClaimBook

logger = getLogger(__name__)

LARGEST_BATCH = 100
"""Rows a transaction; a conflict on one of them costs one further transaction."""

FLEET_TRANSACTIONS_PER_S = 250.0
"""What all instances together write at most: the store takes several hundred."""

BURST = 8.0
"""Transactions at once after a quiet time, so that a lone claim never waits."""

CLOSING_TIME = timedelta(seconds=2)
"""How long a stop waits for the store to take what is left."""

FIRST_PAUSE = timedelta(milliseconds=50)
LONGEST_PAUSE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Write a whole answer into its claim's row.

    Attributes
    ----------
    answer : bytes or None
        The answer, when it is small.
    answer_object : str or None
        Key of the object that has it, when it is not.
    """

    request_id: RequestId
    claim_id: ClaimId
    answer: bytes | None = None
    answer_object: str | None = None


WriterMessage = Effect | StoreAnswer

RESULTS: dict[type[Message], str] = {
    ClaimWon: "won",
    ClaimLost: "lost",
    ClaimUnavailable: "unavailable",
}
"""What the kernel is told of a claim, as a metric's attribute."""


@dataclass(slots=True)
class WriterCounts:
    """Totals for metrics; written by the writer alone, read by any thread."""

    claims: dict[str, int]
    transactions: dict[str, int]


def _no_counts() -> WriterCounts:
    results = ("committed", "conflict", "unavailable", "unknown")
    return WriterCounts(dict.fromkeys(RESULTS.values(), 0), dict.fromkeys(results, 0))


class ClaimWriter(Task[WriterMessage]):
    """Owns the claims' rows; one transaction at a time.

    While one is on its way the next batch gathers, so that batches grow by
    themselves as the store slows down.

    Parameters
    ----------
    table : Table
    clock : Clock
    tell : Callable
        Sends a message to the kernel.
    largest_batch : int, optional
        Rows a transaction.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        tell: Callable[[Message], None],
        largest_batch: int = LARGEST_BATCH,
    ) -> None:
        super().__init__("claim-writer")
        self.table = table
        self.clock = clock
        self.tell = tell
        self.largest_batch = largest_batch
        self.book = ClaimBook()
        self.counts = _no_counts()
        self.rate_per_s = FLEET_TRANSACTIONS_PER_S
        self.allowance = BURST
        self.counted_at = clock.monotonic()
        self.not_before = timedelta(0)
        self.pause = FIRST_PAUSE

    def wait_time(self) -> timedelta | None:
        """Return the time until the next transaction may go out."""
        if not self.book.dirty:
            return None
        return max(timedelta(0), self._next_at() - self.clock.monotonic())

    def idle(self) -> None:
        """Send the next transaction."""
        if self.book.dirty and self._next_at() <= self.clock.monotonic():
            self._flush()

    def receive(self, message: WriterMessage) -> None:
        """Take a change over, and write if a batch is full.

        The mailbox may never be empty under load, so that `idle` would not run.
        """
        self.apply(message)
        if len(self.book.dirty) >= self.largest_batch:
            self.idle()

    @singledispatchmethod
    def apply(self, message: WriterMessage) -> None:
        """Take over what a row is to become."""
        log_event(logger, MESSAGE_UNKNOWN, task=self.name, kind=type(message).__name__)

    @apply.register
    def _(self, message: WriteClaim) -> None:
        self._tell_all(self.book.claim(message, self.clock.now()))

    @apply.register
    def _(self, message: RecordStreamLocation) -> None:
        self.book.note_place(message.claim_id, message.place)

    @apply.register
    def _(self, message: ReleaseClaim) -> None:
        self.book.release(message.claim_id)

    @apply.register
    def _(self, message: EndClaim) -> None:
        self.book.end(message.claim_id, message.outcome)

    @apply.register
    def _(self, message: StoreAnswer) -> None:
        kept = self.book.keep(message.claim_id, message.answer, message.answer_object)
        if not kept:
            self.tell(AnswerKept(message.request_id, False))

    @apply.register
    def _(self, message: PaceClaims) -> None:
        self._count()
        self.rate_per_s = FLEET_TRANSACTIONS_PER_S / max(1, message.instances)

    def _run(self) -> None:
        super()._run()
        self._write_rest()

    def _write_rest(self) -> None:
        """Write what is left at the end, for a bounded time.

        A release that was not written leaves its key taken after a planned stop:
        the resend of what never ran would be refused as perhaps run.
        """
        limit = self.clock.monotonic() + CLOSING_TIME
        while self.book.dirty and self.clock.monotonic() < limit:
            pause = self._next_at() - self.clock.monotonic()
            time.sleep(max(0.0, pause.total_seconds()))
            self._guarded(self._flush)

    def _flush(self) -> None:
        """Send one transaction and settle what the store says of it."""
        batch = self.book.batch(self.largest_batch)
        conditions = tuple(each.condition for each in batch)
        writes = tuple(each.write for each in batch)
        self._count()
        self.allowance -= 1.0
        try:
            result = self.table.transact(conditions, writes)
        except StoreUnavailableError:
            self.counts.transactions["unavailable"] += 1
            self._back_off()
            self._tell_all(self.book.settle_unavailable(batch))
            return
        except UnknownResultError:
            self.counts.transactions["unknown"] += 1
            if self.pause == FIRST_PAUSE:
                # Once for each time that the store falls silent, not each try.
                log_event(logger, CLAIMS_IN_DOUBT, claims=len(batch))
            self._back_off()
            self.book.settle_unknown(batch)
            return
        self.pause, self.not_before = FIRST_PAUSE, timedelta(0)
        self.counts.transactions["committed" if result.committed else "conflict"] += 1
        if result.committed:
            told = self.book.settle_committed(batch, result.versions)
        else:
            now = self.clock.now()
            told = self.book.settle_conflicts(batch, result.conflicts, now)
        self._tell_all(told)

    def _tell_all(self, messages: list[Message]) -> None:
        for message in messages:
            if type(message) in RESULTS:
                self.counts.claims[RESULTS[type(message)]] += 1
            self.tell(message)

    def _back_off(self) -> None:
        self.not_before = self.clock.monotonic() + self.pause
        self.pause = min(self.pause * 2, LONGEST_PAUSE)

    def _count(self) -> None:
        now = self.clock.monotonic()
        gained = (now - self.counted_at).total_seconds() * self.rate_per_s
        self.allowance = min(BURST, self.allowance + gained)
        self.counted_at = now

    def _next_at(self) -> timedelta:
        """Return when the next transaction may go out.

        New claims don't wait out the pause after a failure: each is told within
        a moment whether the store can be asked, by the circuit breaker if need be.
        """
        self._count()
        missing = max(0.0, 1.0 - self.allowance)
        paced = self.counted_at + timedelta(seconds=missing / self.rate_per_s)
        if any(not own.told and not own.sent for own in self.book.dirty.values()):
            return paced
        return max(paced, self.not_before)
