"""Notices that this process stood still."""

from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

LEAST_FREEZE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Freeze:
    """A time in which nothing ran here.

    Attributes
    ----------
    late : timedelta
        By which a tick came too late.
    suspended : timedelta
        Part of it that the steady clock did not count.
    """

    late: timedelta
    suspended: timedelta


class FreezeWatch:
    """Compares the time between two ticks with what it should be.

    Parameters
    ----------
    steady : Clock
        Stands still while the machine is suspended.
    boot : Clock
        Goes on meanwhile.
    gap : timedelta
        Between two ticks.
    """

    def __init__(self, steady: Clock, boot: Clock, gap: timedelta) -> None:
        self.steady = steady
        self.boot = boot
        self.gap = gap
        self.before: tuple[timedelta, timedelta] | None = None

    def ticked(self) -> Freeze | None:
        """Note a tick; return the freeze that it ends, if there was one."""
        steady, boot = self.steady.monotonic(), self.boot.monotonic()
        before, self.before = self.before, (steady, boot)
        if before is None:
            return None
        lasted = boot - before[1]
        if lasted - self.gap < LEAST_FREEZE:
            return None
        return Freeze(
            lasted - self.gap, max(timedelta(0), lasted - (steady - before[0]))
        )
