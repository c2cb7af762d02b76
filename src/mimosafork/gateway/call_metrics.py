"""Counters and histograms of calls for the metrics page."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from ..kernel.messages.outcomes import Conclude
from ..telemetry.catalogue.gateway_metrics import (
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


class MetricRecorder(Protocol):
    """Records counters and histograms of the catalogue."""

    def add(self, counter: Instrument, amount: float = 1, **attributes: str) -> None:
        """Add to a counter."""

    def record(self, histogram: Instrument, value: float, **attributes: str) -> None:
        """Record a value in a histogram."""


class CallMetrics:
    """Counts attempts and outcomes of calls.

    Parameters
    ----------
    recorder : MetricRecorder
    """

    def __init__(self, recorder: MetricRecorder) -> None:
        self.recorder = recorder

    def count_attempt(self, call: Call) -> None:
        """Count an attempt that is sent; record the queue wait of a first one."""
        service = str(call.request.target)
        self.recorder.add(CALL_ATTEMPTS, service=service, result="sent")
        if len(call.endpoints) == 1 and call.placed_at is not None:
            self._record_duration(
                CALL_WAIT_TIME, call.placed_at - call.arrived_at, call
            )

    def count_rejected_call(self, reason: str) -> None:
        """Count a call rejected at admission."""
        self.recorder.add(CALLS_REFUSED, reason=reason)

    def count_failed_attempt(self, call: Call, label: str) -> None:
        """Count a failed attempt by its failure label."""
        service = str(call.request.target)
        self.recorder.add(CALL_ATTEMPTS, service=service, result=label)

    def count_ended_call(self, call: Call, conclusion: Conclude) -> None:
        """Count an ended call and record its latencies."""
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
            self._record_duration(CALL_FIRST_PART_TIME, first, call, {"length": length})
        if call.longest_pause is not None:
            self._record_duration(CALL_PAUSE, call.longest_pause, call)

    def _record_duration(
        self,
        histogram: Instrument,
        duration: timedelta,
        call: Call,
        extra_labels: Mapping[str, str] | None = None,
    ) -> None:
        self.recorder.record(
            histogram,
            duration.total_seconds(),
            service=str(call.request.target),
            **(extra_labels or {}),
        )
