"""Whether this instance has received the evidence that its peers have published."""

from datetime import timedelta

from ...kernel.context import Context

MAX_TICK_GAP = timedelta(seconds=1)
"""Longest time between two ticks of a process that has not been frozen."""

PROPAGATION_TIME = timedelta(seconds=1)
"""Time until peers have received what this instance publishes, and it has theirs."""


class EvidenceRecency:
    """Tracks when this instance is up to date with its peers.

    It is not after its start and after a freeze. Requests that have arrived during a
    freeze are handled before the evidence that has arrived later.

    Attributes
    ----------
    observed_at : timedelta or None
        When the process was last seen to run.
    current_from : timedelta
        When this instance has received what it may have missed.
    was_frozen : bool
        Whether the process has been frozen since its start.
    """

    def __init__(self) -> None:
        self.observed_at: timedelta | None = None
        self.current_from = timedelta(0)
        self.was_frozen = False

    def is_current(self, context: Context) -> bool:
        """Return whether this instance is up to date, or has started without peers.

        After a freeze the known peers don't count: others may have joined meanwhile.
        """
        self.observe(context.now)
        if context.now >= self.current_from:
            return True
        if self.was_frozen:
            return False
        own = context.state.identity.instance
        return all(name == own for name in context.state.fleet.instances)

    def observe(self, now: timedelta) -> None:
        """Record that the process runs, and detect a freeze that has just ended."""
        last = self.observed_at
        self.observed_at = now
        if last is None:
            self.current_from = now + PROPAGATION_TIME
        elif now - last > MAX_TICK_GAP:
            self.current_from = now + PROPAGATION_TIME
            self.was_frozen = True
