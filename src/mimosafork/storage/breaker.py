"""Circuit breaker for calls to an external service."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from logging import getLogger
from random import Random
from threading import Lock
from typing import Protocol, TypeVar

from ..clock import Clock
from ..telemetry.catalogue.platform import (
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
    WRITE_UNKNOWN,
)
from ..telemetry.logs import log_event
from .errors import CallRejectedError, StoreUnavailableError, UnknownResultError

logger = getLogger(__name__)

T = TypeVar("T")

FAILURES_TO_OPEN = 3
INITIAL_PROBE_DELAY = timedelta(milliseconds=250)
MAX_PROBE_DELAY = timedelta(seconds=2)
"""Well below the time within which an accepted configuration must be in force."""


class BreakerState(Enum):
    """Whether calls are let through."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"
    """One probe call is in flight; all others still fail immediately."""


class CallMeter(Protocol):
    """Records the calls that were made."""

    def record_call(
        self, service: str, duration: timedelta, error: BaseException | None
    ) -> None:
        """Record a call.

        Parameters
        ----------
        service : str
            Name of the service.
        duration : timedelta
            Duration of the call.
        error : BaseException or None
            Its error; None if it succeeded.
        """
        ...


class CircuitBreaker:
    """Fails calls immediately while a service is known to be down.

    Otherwise a store that is down blocks each calling thread for a whole timeout
    until no threads are left, and traffic that does not need the store waits as
    well. After a few failures in a row all calls fail without being sent, except
    for one probe per delay. Thread-safe.

    Parameters
    ----------
    service : str
        Name of the service, for messages.
    clock : Clock
    random : random.Random
        Jitters the probes, so that instances do not probe at the same time.
    failures_to_open : int, default=3
        Consecutive failures that open the breaker.
    meter : CallMeter, optional
        Records each call that was sent; calls that the breaker rejects are not.
    """

    def __init__(
        self,
        service: str,
        clock: Clock,
        random: Random,
        failures_to_open: int = FAILURES_TO_OPEN,
        meter: CallMeter | None = None,
    ) -> None:
        self.service = service
        self.clock = clock
        self.random = random
        self.failures_to_open = failures_to_open
        self.meter = meter
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.retry_at = timedelta(0)
        self.down_since = timedelta(0)
        self.probe_delay = INITIAL_PROBE_DELAY
        self._lock = Lock()

    def run(self, call: Callable[[], T]) -> T:
        """Make a call through the breaker.

        Parameters
        ----------
        call : Callable
            Raises `PlatformError` when the service fails.

        Raises
        ------
        StoreUnavailableError
            Immediately, if the breaker is open; nothing was sent.
        PlatformError
            Any error of the call itself.
        """
        self._admit()
        begin = self.clock.monotonic()
        try:
            result = call()
        except CallRejectedError as error:
            self._record_call(begin, error)
            self._succeeded()
            raise
        except BaseException as error:
            self._record_call(begin, error)
            # Includes errors of this program, which say nothing about the service:
            # without a result of the probe the breaker would reject calls forever.
            self._failed(error)
            raise
        self._record_call(begin, None)
        self._succeeded()
        return result

    def _record_call(self, begin: timedelta, error: BaseException | None) -> None:
        if self.meter is not None:
            duration = self.clock.monotonic() - begin
            self.meter.record_call(self.service, duration, error)

    def _admit(self) -> None:
        with self._lock:
            if self.state is BreakerState.CLOSED:
                return
            due = self.retry_at <= self.clock.monotonic()
            if self.state is BreakerState.OPEN and due:
                self.state = BreakerState.PROBING
                return
        raise StoreUnavailableError(f"the {self.service} is down; not called")

    def _succeeded(self) -> None:
        with self._lock:
            if self.state is not BreakerState.CLOSED:
                down_s = (self.clock.monotonic() - self.down_since).total_seconds()
                log_event(
                    logger, STORE_AVAILABLE, service=self.service, duration_s=down_s
                )
            self.state = BreakerState.CLOSED
            self.failures = 0
            self.probe_delay = INITIAL_PROBE_DELAY

    def _failed(self, error: BaseException) -> None:
        if isinstance(error, UnknownResultError):
            log_event(logger, WRITE_UNKNOWN, service=self.service, why=str(error))
        with self._lock:
            self.failures += 1
            probed = self.state is BreakerState.PROBING
            if not probed and self.failures < self.failures_to_open:
                return
            if self.state is BreakerState.CLOSED:
                self.down_since = self.clock.monotonic()
                log_event(
                    logger, STORE_UNAVAILABLE, service=self.service, why=str(error)
                )
            if probed:
                self.probe_delay = min(self.probe_delay * 2, MAX_PROBE_DELAY)
            self.state = BreakerState.OPEN
            jittered = self.probe_delay * (0.5 + 0.5 * self.random.random())
            self.retry_at = self.clock.monotonic() + jittered
