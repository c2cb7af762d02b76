"""Metrics of the calls that go through a circuit breaker."""

from datetime import timedelta
from functools import singledispatch

from ..telemetry.catalogue.platform import STORE_CALLS, STORE_DURATION
from ..telemetry.metrics import Metrics
from .errors import (
    CallRejectedError,
    StoreUnavailableError,
    UnknownResultError,
)


class StoreMeter:
    """Counts calls by result and records their durations.

    Parameters
    ----------
    metrics : Metrics
        Metrics of this instance.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def record_call(
        self, service: str, duration: timedelta, error: BaseException | None
    ) -> None:
        """Record a call."""
        result = "done" if error is None else result_of(error)
        self.metrics.add(STORE_CALLS, store=service, result=result)
        self.metrics.record(STORE_DURATION, duration.total_seconds(), store=service)


@singledispatch
def result_of(error: BaseException) -> str:
    """Return the result label of a failed call."""
    return "failed"


@result_of.register
def _(error: CallRejectedError) -> str:
    return "rejected"


@result_of.register
def _(error: StoreUnavailableError) -> str:
    return "unavailable"


@result_of.register
def _(error: UnknownResultError) -> str:
    return "unknown"
