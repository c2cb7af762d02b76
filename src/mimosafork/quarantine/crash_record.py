"""The runs that one endpoint has interrupted, as published by all instances."""

from datetime import timedelta

import msgspec

from ..ids import Digest, EndpointId
from ..kernel.messages.crashes import InterruptedRun, RunPhase

MAX_RUNS = 32
"""Interrupted runs of one endpoint that are kept; a partition may interrupt many."""

SAME_BREAK = timedelta(milliseconds=500)
"""Tolerance of the time of one break as two instances have it."""

PRECEDENCE = {RunPhase.ANSWERING: 0, RunPhase.PENDING: 1, RunPhase.BEGUN: 2}
"""How strongly a run is suspected of the crash that interrupted it."""


class CrashRecord(msgspec.Struct):
    """Interrupted runs of one endpoint.

    Attributes
    ----------
    runs : dict of Digest to InterruptedRun
        By their body.
    refuted_until : timedelta
        The endpoint has answered a request that was sent at this monotonic time: what
        ended before did not end with the endpoint.
    """

    endpoint: EndpointId
    runs: dict[Digest, InterruptedRun] = msgspec.field(default_factory=dict)
    refuted_until: timedelta = timedelta.min

    def add(self, run: InterruptedRun) -> bool:
        """Add a run; return whether that changed anything.

        Of two runs of one body the one nearer to the beginning of its answer counts.
        """
        if run.ended_at < self.refuted_until:
            return False
        known = self.runs.get(run.content)
        if known is None:
            if len(self.runs) >= MAX_RUNS:
                return False
        elif abs(run.ended_at - known.ended_at) <= SAME_BREAK:
            rank = PRECEDENCE[run.phase], len(run.parts)
            if rank <= (PRECEDENCE[known.phase], len(known.parts)):
                return False
        elif run.ended_at < known.ended_at:
            return False
        self.runs[run.content] = run
        return True

    def refute(self, sent_at: timedelta) -> list[InterruptedRun]:
        """Drop and return the runs that ended before an answered request was sent."""
        self.refuted_until = max(self.refuted_until, sent_at)
        dropped = [run for run in self.runs.values() if run.ended_at < sent_at]
        for run in dropped:
            del self.runs[run.content]
        return dropped

    @property
    def ended_at(self) -> timedelta:
        """Time of the latest break, or of the request that has refuted all."""
        ends = (run.ended_at for run in self.runs.values())
        return max(ends, default=self.refuted_until)

    @property
    def has_begun_runs(self) -> bool:
        """Whether a run had received the head of its answer and nothing else.

        Only such runs are suspects then: the others were still waiting for the endpoint
        to begin with them.
        """
        return any(run.phase is RunPhase.BEGUN for run in self.runs.values())

    def suspects_with(self, part: Digest, since: timedelta) -> list[InterruptedRun]:
        """Return the runs with a part that may have caused a crash after a time."""
        phase = RunPhase.BEGUN if self.has_begun_runs else RunPhase.PENDING
        return [
            run
            for run in self.runs.values()
            if run.phase is phase and run.ended_at > since and part in run.parts
        ]
