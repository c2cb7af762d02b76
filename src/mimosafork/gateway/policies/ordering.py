"""Which of the waiting calls is placed first."""

from datetime import timedelta

from ...kernel.plugins import QueueDiscipline
from ...kernel.records import RequestRecord
from ...kernel.registry import register

LONG_PROMPT = 30_000
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
        """Return whether the call needs much room or little."""
        return "long" if record.request.prompt_tokens >= LONG_PROMPT else "short"
