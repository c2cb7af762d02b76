"""The graceful shutdown of an entry instance."""

import threading
from dataclasses import dataclass
from datetime import timedelta
from logging import getLogger

from ..kernel.messages.lifecycle import DrainBegun, StopNow
from ..telemetry.catalogue.lifecycle import INSTANCE_DRAINING, INSTANCE_STOPPED
from ..telemetry.logs import log_event
from .instance import EntryInstance

logger = getLogger(__name__)

POLL = timedelta(milliseconds=50)
FLUSH_TIMEOUT = timedelta(seconds=3)
"""How long callers get to take their final answers at a hurried stop."""


@dataclass(frozen=True, slots=True)
class ShutdownResult:
    """How a shutdown went.

    Attributes
    ----------
    cut : int
        Requests that were ended before their answer was whole.
    """

    cut: int


class GracefulShutdown:
    """Stops an instance without cutting a request.

    The balancer learns from the readiness check that no more requests are wanted,
    but only after a while: until then requests still come and are served like all
    others. Then the listener closes and the streams run to their end.

    Parameters
    ----------
    instance : EntryInstance
        Running.
    hurry : threading.Event
        Set when there is no more time, by a second signal as a rule.
    """

    def __init__(self, instance: EntryInstance, hurry: threading.Event) -> None:
        self.instance = instance
        self.hurry = hurry
        self.clock = instance.clock

    def run(self) -> ShutdownResult:
        """Stop the instance; return when nothing of it runs any more."""
        started = self.clock.monotonic()
        front = self.instance.settings.front
        self._announce()
        self.hurry.wait(front.balancer_lag.total_seconds())
        self.instance.front.stop()
        idle = self._wait_until_idle(started + front.shutdown_timeout, self.hurry)
        cut = 0 if idle else self._end_what_is_left()
        self.instance.stop()
        duration = self.clock.monotonic() - started
        log_event(
            logger,
            INSTANCE_STOPPED,
            duration_s=round(duration.total_seconds(), 3),
            cut=cut,
        )
        return ShutdownResult(cut)

    def _announce(self) -> None:
        """Tell the balancer, by the readiness check, and the other instances."""
        self.instance.readiness.draining = True
        self.instance.front.close_idle_connections()
        self.instance.kernel_task.send(DrainBegun())
        streams = self.instance.relay.ports.counters.exchanges
        log_event(logger, INSTANCE_DRAINING, streams=streams)

    def _wait_until_idle(self, limit: timedelta, hurry: threading.Event) -> bool:
        """Return whether no request was left before the limit or the hurry."""
        while not hurry.is_set() and self.clock.monotonic() < limit:
            if self.instance.idle():
                return True
            hurry.wait(POLL.total_seconds())
        return self.instance.idle()

    def _end_what_is_left(self) -> int:
        """Have every open request answered honestly; return how many there were."""
        left = self.instance.open_requests()
        self.instance.kernel_task.send(StopNow())
        limit = self.clock.monotonic() + FLUSH_TIMEOUT
        self._wait_until_idle(limit, threading.Event())
        return left
