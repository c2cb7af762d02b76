"""Counts and times calls for the metrics page."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from ..kernel.messages.outcomes import Conclude
from ..telemetry.catalogue.gateway import (
    CALL_ATTEMPTS,
    CALL_FIRST_PART_TIME,
    CALL_PAUSE,
    CALL_WAIT_TIME,
    CALLS,
    CALLS_REFUSED,
)
from ..telemetry.instruments import Instrument
from ..telemetry.lengths import length_band
from .call import Call

MALFORMED = "malformed"


class Recorder(Protocol):
    """What records counters and histograms of the catalogue."""

    def add(self, counter: Instrument, amount: float = 1, **attributes: str) -> None:
        """Add to a counter."""

    def record(self, histogram: Instrument, value: float, **attributes: str) -> None:
        """Record a value in a histogram."""


class CallMetrics:
    """Counts what becomes of calls.

    Parameters
    ----------
    recorder : Recorder
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder

    def count_attempt(self, call: Call) -> None:
        """Count an attempt that is sent; time the wait of a first one."""
        service = str(call.request.target)
        self.recorder.add(CALL_ATTEMPTS, service=service, result="sent")
        if len(call.endpoints) == 1 and call.placed_at is not None:
            self._time(CALL_WAIT_TIME, call.placed_at - call.arrived_at, call)

    def count_rejected_call(self, reason: str) -> None:
        """Count a call that no route or key fits."""
        self.recorder.add(CALLS_REFUSED, reason=reason)

    def count_failed_attempt(self, call: Call, word: str) -> None:
        """Count an attempt without a whole answer, by how it failed."""
        service = str(call.request.target)
        self.recorder.add(CALL_ATTEMPTS, service=service, result=word)

    def count_ended_call(self, call: Call, conclusion: Conclude) -> None:
        """Count a call's end, and time its parts."""
        problem = conclusion.problem
        self.recorder.add(
            CALLS,
            service=str(call.request.target),
            status=str(call.status),
            outcome=conclusion.outcome.value,
            why="" if problem is None else problem.code.value,
        )
        if call.first_sent_at is not None:
            first = call.first_sent_at - call.arrived_at
            length = length_band(call.request.prompt_tokens)
            self._time(CALL_FIRST_PART_TIME, first, call, {"length": length})
        if call.longest_pause is not None:
            self._time(CALL_PAUSE, call.longest_pause, call)

    def _time(
        self,
        histogram: Instrument,
        time: timedelta,
        call: Call,
        further: Mapping[str, str] | None = None,
    ) -> None:
        self.recorder.record(
            histogram,
            time.total_seconds(),
            service=str(call.request.target),
            **(further or {}),
        )
