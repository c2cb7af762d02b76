"""Queue discipline for waiting calls."""

from datetime import timedelta

from ...kernel.messages.attempts import FailureKind
from ...kernel.plugins import PluginFinder, QueueDiscipline
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from .home_regions import HomeRegions
from .quarantining import CrashQuarantine

LONG_PROMPT_TOKENS = 30_000
"""Calls with at least this many prompt tokens wait in a separate lane."""

SUSPECTED = "suspected"


@register("urgent-first")
class UrgentFirst(QueueDiscipline):
    """Places the call with the earliest latency objective first."""

    def __init__(self) -> None:
        self.quarantine = CrashQuarantine()
        self.homes = HomeRegions()

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.quarantine = find(CrashQuarantine) or self.quarantine
        self.homes = find(HomeRegions) or self.homes

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Return the time after which the answer misses its objective, in seconds."""
        terms = record.request.terms
        objective = terms.objective if terms is not None else timedelta(0)
        return (record.submitted_at + objective).total_seconds()

    def lane(self, record: RequestRecord) -> str:
        """Return the lane by prompt size, rejection, suspicion and home regions.

        A call rejected by a full engine waits for a less loaded one, and one with a
        suspected part for the verdict on it; a call with home regions for an endpoint
        in one of them. In a shared lane a few such calls would
        block all new calls behind them.
        """
        if self.quarantine.is_suspected(record.request):
            return SUSPECTED
        long = record.request.prompt_tokens >= LONG_PROMPT_TOKENS
        size = "long" if long else "short"
        lane = f"{size}, rejected" if was_rejected(record) else size
        regions = self.homes.regions_of(record.request)
        return lane if regions is None else f"{lane}, in {sorted(regions)}"


def was_rejected(record: RequestRecord) -> bool:
    """Return whether the endpoint rejected the latest attempt of a call."""
    failure = record.attempts[-1].failure if record.attempts else None
    return failure is not None and failure.kind is FailureKind.REFUSED
