"""Notices that this process stood still."""

from datetime import timedelta

import msgspec

from ..clock import Clock

LEAST_FREEZE = timedelta(seconds=1)


class ProcessFreeze(msgspec.Struct, frozen=True):
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
        Between two ticks, while there is something to do.
    """

    def __init__(self, steady: Clock, boot: Clock, gap: timedelta) -> None:
        self.steady = steady
        self.boot = boot
        self.gap = gap
        self.before: tuple[timedelta, timedelta] | None = None

    def ticked(self, planned: timedelta | None = None) -> ProcessFreeze | None:
        """Note a tick; return the freeze that it ends, if there was one.

        Parameters
        ----------
        planned : timedelta or None
            When the tick was to come after the one before, if it wasn't the usual gap.
            A freeze within a longer gap is noticed by the same time without a tick,
            and so from a length on that is shorter by the difference.
        """
        steady, boot = self.steady.monotonic(), self.boot.monotonic()
        before, self.before = self.before, (steady, boot)
        if before is None:
            return None
        lasted = boot - before[1]
        if lasted - self.gap < LEAST_FREEZE:
            return None
        late = lasted - (self.gap if planned is None else planned)
        return ProcessFreeze(late, max(timedelta(0), lasted - (steady - before[0])))
