"""Circuit breaker around one outside service."""

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
"""Short against the time in which an accepted configuration must be in force."""


class BreakerState(Enum):
    """Whether calls go through."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"
    """One call is on its way to find out; all others still fail at once."""


class CallMeter(Protocol):
    """Is told of each call that was made."""

    def record_call(
        self, service: str, duration: timedelta, error: BaseException | None
    ) -> None:
        """Note a call.

        Parameters
        ----------
        service : str
            Name of the service.
        duration : timedelta
            What it took.
        error : BaseException or None
            How it failed.
        """
        ...


class CircuitBreaker:
    """Lets calls fail at once while a service is known to be down.

    A dead store would otherwise hold each calling thread for a whole timeout:
    the threads run out, and traffic that does not need the store waits too. After
    a few failures in a row all calls but one probe a pause fail without a byte
    sent. Safe for threads.

    Parameters
    ----------
    service : str
        Name of the service for messages.
    clock : Clock
    random : random.Random
        Spreads the probes of many instances.
    failures_to_open : int, default=3
        Failures in a row that open it.
    meter : CallMeter, optional
        Is told of each call that was made, not of those that failed at once.
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
            At once, if the breaker is open; nothing was sent.
        PlatformError
            Whatever the call raises.
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
            # Also after a fault of ours, which says nothing about the service: a
            # probe that never reported back would keep the breaker shut for ever.
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
