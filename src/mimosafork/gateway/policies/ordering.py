"""Which of the waiting calls is placed first."""

from datetime import timedelta

from ...kernel.messages.attempts import FailureKind
from ...kernel.plugins import QueueDiscipline
from ...kernel.records import RequestRecord
from ...kernel.registry import register

LONG_PROMPT_TOKENS = 30_000
"""Prompt tokens from which a call waits in a lane of its own."""


@register("urgent-first")
class UrgentFirst(QueueDiscipline):
    """The call whose objective ends first goes first."""

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Return the instant at which an answer is late, in seconds."""
        terms = record.request.terms
        objective = terms.objective if terms is not None else timedelta(0)
        return (record.submitted_at + objective).total_seconds()

    def lane(self, record: RequestRecord) -> str:
        """Return whether the call needs much room or little, and was turned away.

        Guard: a call that a full engine turned away waits for an emptier one. In one
        lane with the others a few of them would keep all new calls behind them.
        """
        long = record.request.prompt_tokens >= LONG_PROMPT_TOKENS
        size = "long" if long else "short"
        return f"{size}, turned away" if was_rejected(record) else size


def was_rejected(record: RequestRecord) -> bool:
    """Return whether a call's latest attempt was refused by its endpoint."""
    failure = record.attempts[-1].failure if record.attempts else None
    return failure is not None and failure.kind is FailureKind.REFUSED
