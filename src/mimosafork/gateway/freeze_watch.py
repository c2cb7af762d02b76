"""Detection of periods in which the process did not run."""

from datetime import timedelta
from logging import getLogger

import msgspec

from ..clock import Clock
from ..telemetry.catalogue.gateway import FREEZE_NOTICED
from ..telemetry.logs import log_event

logger = getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
MIN_FREEZE = timedelta(seconds=1)


class ProcessFreeze(msgspec.Struct, frozen=True):
    """A period in which the event loop did not run.

    Attributes
    ----------
    late : timedelta
        Delay of the tick that ended the freeze.
    suspended : timedelta
        Part of the freeze that the steady clock did not count, as in a suspension.
    """

    late: timedelta
    suspended: timedelta


class FreezeWatch:
    """Compares the time between two ticks with the expected interval.

    Parameters
    ----------
    steady : Clock
        Stops while the machine is suspended.
    boot : Clock
        Continues while the machine is suspended.
    interval : timedelta
        Time between two ticks while calls are open.
    """

    def __init__(self, steady: Clock, boot: Clock, interval: timedelta) -> None:
        self.steady = steady
        self.boot = boot
        self.interval = interval
        self.previous: tuple[timedelta, timedelta] | None = None

    def is_overdue(self) -> bool:
        """Return whether the next tick is as late as after a freeze.

        Other events of the loop may be handled before that tick. A suspension that the
        steady clock does not count is seen by the tick alone.
        """
        if self.previous is None:
            return False
        elapsed = self.steady.monotonic() - self.previous[0]
        return elapsed - self.interval >= MIN_FREEZE

    def record_tick(
        self, expected_interval: timedelta | None = None
    ) -> ProcessFreeze | None:
        """Record a tick and return the freeze that it ends, if any.

        Parameters
        ----------
        expected_interval : timedelta or None
            Interval after which the tick was scheduled, if it wasn't the usual one.
            The threshold still counts from the usual interval, so that a freeze within
            a longer interval is detected after the same time without a tick.
        """
        steady, boot = self.steady.monotonic(), self.boot.monotonic()
        previous, self.previous = self.previous, (steady, boot)
        if previous is None:
            return None
        elapsed = boot - previous[1]
        if elapsed - self.interval < MIN_FREEZE:
            return None
        late = elapsed - (
            self.interval if expected_interval is None else expected_interval
        )
        return ProcessFreeze(late, max(timedelta(0), elapsed - (steady - previous[0])))


def log_freeze(freeze: ProcessFreeze, open_calls: int, waiting_calls: int) -> None:
    """Log that the process did not run."""
    log_event(
        logger,
        FREEZE_NOTICED,
        late_ms=int(freeze.late / MILLISECOND),
        suspended_ms=int(freeze.suspended / MILLISECOND),
        open=open_calls,
        waiting=waiting_calls,
    )
