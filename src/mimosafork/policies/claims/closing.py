"""Stores answers, and ends or releases claims when their requests end."""

from datetime import timedelta
from functools import singledispatchmethod

from ...kernel.context import Context
from ...kernel.messages.attempts import FirstToken
from ...kernel.messages.base import Message
from ...kernel.messages.claims import (
    AnswerKept,
    EndClaim,
    KeepAnswer,
    KeepAnswerTimedOut,
    RecordStreamLocation,
    ReleaseClaim,
    StreamLocation,
)
from ...kernel.messages.outcomes import Outcome, Retention
from ...kernel.messages.requests import Repeatability, RequestKind
from ...kernel.plugins import (
    CompletionCleared,
    Finisher,
    Hold,
    Proceed,
    RequestConcluded,
)
from ...kernel.records import HeldClaim, RequestRecord
from ...kernel.registry import register

KEEP_TIMEOUT = timedelta(seconds=1)
"""Longest time that the end of a whole answer waits for the store."""


@register("answer-keeper")
class AnswerKeeper(Finisher):
    """Stores whole answers, and ends or releases claims."""

    def finish(self, record: RequestRecord, context: Context) -> Proceed | Hold:
        """Hold the end of a claimed answer until it is stored, for a bounded time.

        A caller may resend if the end of the answer is lost on the way, and the resend
        must find the stored answer.
        """
        if record.claim is None or not has_whole_answer(record):
            return Proceed()
        claim = record.claim
        context.emit(KeepAnswer(record.request_id, claim.key, claim.claim_id))
        if claim.confirmed:
            context.wake_after(KEEP_TIMEOUT, KeepAnswerTimedOut(record.request_id))
        else:
            # The store has not confirmed the claim. Waiting for it to store the
            # answer would delay an idempotent request while the store is down.
            context.post(KeepAnswerTimedOut(record.request_id))
        return Hold()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to store results, first tokens and conclusions."""

    @handle.register
    def _(self, message: AnswerKept, context: Context) -> None:
        retention = Retention.KEPT if message.kept else Retention.NOT_KEPT
        context.post(CompletionCleared(message.request_id, retention))

    @handle.register
    def _(self, message: KeepAnswerTimedOut, context: Context) -> None:
        context.post(CompletionCleared(message.request_id, Retention.NOT_KEPT))

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is None or record.claim is None or record.current is None:
            return
        if record.request.kind is not RequestKind.MODEL:
            return
        current = record.current
        place = StreamLocation(
            current.stream_id, current.endpoint, current.incarnation, current.address
        )
        context.emit(
            RecordStreamLocation(record.claim.key, record.claim.claim_id, place)
        )

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        record, claim = message.record, message.record.claim
        if claim is None:
            return
        outcome = message.conclusion.outcome
        if outcome is Outcome.COMPLETED and has_whole_answer(record):
            return
        if _releases_key(record, outcome):
            context.emit(ReleaseClaim(claim.key, claim.claim_id))
        else:
            _end_claim(claim, outcome, context)


def has_whole_answer(record: RequestRecord) -> bool:
    """Return whether this instance sees the whole answer of its own run."""
    return record.attached_run is None and record.request.resume_offset == 0


def _releases_key(record: RequestRecord, outcome: Outcome) -> bool:
    """Return whether a resend may run the request.

    An idempotent request may always run again. A non-idempotent one may only if it
    certainly never ran; otherwise the key stays taken.
    """
    if record.request.repeatability is Repeatability.IDEMPOTENT:
        return True
    return outcome is Outcome.NOT_RUN


def _end_claim(claim: HeldClaim, outcome: Outcome, context: Context) -> None:
    context.emit(EndClaim(claim.key, claim.claim_id, outcome))
