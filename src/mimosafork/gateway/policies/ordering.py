"""Queue discipline for waiting calls."""

from datetime import timedelta

from ...kernel.messages.attempts import FailureKind
from ...kernel.plugins import QueueDiscipline
from ...kernel.records import RequestRecord
from ...kernel.registry import register

LONG_PROMPT_TOKENS = 30_000
"""Calls with at least this many prompt tokens wait in a separate lane."""


@register("urgent-first")
class UrgentFirst(QueueDiscipline):
    """Places the call with the earliest latency objective first."""

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Return the time after which the answer misses its objective, in seconds."""
        terms = record.request.terms
        objective = terms.objective if terms is not None else timedelta(0)
        return (record.submitted_at + objective).total_seconds()

    def lane(self, record: RequestRecord) -> str:
        """Return the lane by prompt size and by whether an engine rejected the call.

        A call rejected by a full engine waits for a less loaded one. In a shared lane a
        few such calls would block all new calls behind them.
        """
        long = record.request.prompt_tokens >= LONG_PROMPT_TOKENS
        size = "long" if long else "short"
        return f"{size}, rejected" if was_rejected(record) else size


def was_rejected(record: RequestRecord) -> bool:
    """Return whether the endpoint rejected the latest attempt of a call."""
    failure = record.attempts[-1].failure if record.attempts else None
    return failure is not None and failure.kind is FailureKind.REFUSED
