"""Task that probes the endpoints assigned to this instance."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import partial, singledispatchmethod
from logging import getLogger
from random import Random
from typing import TypeVar

from ..clock import Clock
from ..ids import EndpointId
from ..kernel.messages.base import Message
from ..kernel.messages.fleet import (
    CacheEventsReported,
    CacheSnapshotReported,
    EndpointKind,
    LoadReport,
    LoadReported,
    ProbeFailed,
)
from ..kernel.messages.watch import FetchCacheSnapshot, WatchEndpoints
from ..runtime.task import Task
from ..telemetry.catalogue.lifecycle import TASK_FAILED
from ..telemetry.logs import log_event
from .errors import EndpointUnreachableError, NoValidAnswerError, WatchError
from .messages import CacheRead, ProbeEnded, ProbeState, Reader, WatchInput

logger = getLogger(__name__)

R = TypeVar("R")

Post = Callable[[Message], None]

HEALTHY_POOL_THREADS = 4
FAILING_POOL_THREADS = 2
"""Endpoints whose last probe failed are probed from a pool of their own. Each probe of
a frozen endpoint blocks a thread for the whole timeout; in a shared pool a few of them
would delay the probes of all others, which would then look frozen too."""

TOLERATED_TIMEOUTS = 1
"""Unanswered probes in a row before an endpoint is reported as failed: a long prefill
may delay one answer. A refused connection is reported immediately."""

MIN_PROBE_SPACING = timedelta(milliseconds=250)
"""Minimum mean time between two probes by one instance. The more endpoints it watches,
the less often it probes each, so that probing stays within its traffic budget."""

EVENTS_PERIOD = timedelta(seconds=1)
LONGEST_IDLE = timedelta(seconds=1)
JITTER = 0.1


class WatchTask(Task[WatchInput]):
    """Probes endpoints on schedule, even if some of them do not answer.

    Parameters
    ----------
    reader : Reader
    clock : Clock
    random : random.Random
    post : callable
        Delivers messages to the kernel; must not block.
    period : timedelta
        Time between two probes of an endpoint, if `min_probe_spacing` allows it.
    min_probe_spacing : timedelta
        Minimum mean time between two probes by this instance.
    """

    def __init__(
        self,
        reader: Reader,
        clock: Clock,
        random: Random,
        post: Post,
        period: timedelta,
        min_probe_spacing: timedelta = MIN_PROBE_SPACING,
    ) -> None:
        super().__init__("watch")
        self.reader = reader
        self.clock = clock
        self.random = random
        self.post = post
        self.period = period
        self.min_probe_spacing = min_probe_spacing
        self.watches: dict[EndpointId, ProbeState] = {}
        self.healthy_pool = ThreadPoolExecutor(HEALTHY_POOL_THREADS, "watch-steady")
        self.failing_pool = ThreadPoolExecutor(FAILING_POOL_THREADS, "watch-doubtful")

    def stop(self, timeout: timedelta = timedelta(seconds=5)) -> None:
        """Stop the thread; calls in flight end by their own timeout."""
        super().stop(timeout)
        self.healthy_pool.shutdown(wait=False, cancel_futures=True)
        self.failing_pool.shutdown(wait=False, cancel_futures=True)

    def wait_time(self) -> timedelta:
        """Return the time until the next call is due."""
        now = self.clock.monotonic()
        due = [
            watch.due for watch in self.watches.values() if not watch.probe_in_flight
        ]
        due += [
            watch.events_due
            for watch in self.watches.values()
            if _reads_cache(watch) and not watch.cache_read_in_flight
        ]
        return min(min(due, default=now + LONGEST_IDLE) - now, LONGEST_IDLE)

    def idle(self) -> None:
        """Start the probes and cache reads that are due."""
        now = self.clock.monotonic()
        for watch in self.watches.values():
            if not watch.probe_in_flight and watch.due <= now:
                self._probe(watch, now)
            if (
                _reads_cache(watch)
                and not watch.cache_read_in_flight
                and watch.events_due <= now
            ):
                self._read_cache(watch, now)

    def receive(self, message: WatchInput) -> None:
        """Handle a message, then start the calls that have become due."""
        self.handle(message)
        if self.wait_time() <= timedelta(0):
            self.idle()

    @singledispatchmethod
    def handle(self, message: WatchInput) -> None:
        """Handle one message by its type."""
        raise WatchError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: WatchEndpoints) -> None:
        now = self.clock.monotonic()
        wanted = {each.endpoint: each for each in message.endpoints}
        for removed in [name for name in self.watches if name not in wanted]:
            del self.watches[removed]
        for name, target in wanted.items():
            known = self.watches.get(name)
            if known is None or known.target.address != target.address:
                self.watches[name] = ProbeState(target, now, now)
            else:
                known.target = target

    @handle.register
    def _(self, message: FetchCacheSnapshot) -> None:
        watch = self.watches.get(message.endpoint)
        if watch is not None:
            watch.wants_snapshot = True
            watch.events_due = self.clock.monotonic()

    @handle.register
    def _(self, message: ProbeEnded) -> None:
        watch = message.watch
        watch.probe_in_flight = False
        if self.watches.get(watch.target.endpoint) is not watch:
            return
        if isinstance(message.result, LoadReport):
            watch.consecutive_failures = 0
            self.post(LoadReported(message.result))
            return
        watch.consecutive_failures += 1
        refused = isinstance(message.result, EndpointUnreachableError)
        if refused or watch.consecutive_failures > TOLERATED_TIMEOUTS:
            logger.debug("%s: %s", watch.target.endpoint, message.result)
            self.post(ProbeFailed(watch.target.endpoint))

    @handle.register
    def _(self, message: CacheRead) -> None:
        watch = message.watch
        watch.cache_read_in_flight = False
        if self.watches.get(watch.target.endpoint) is not watch:
            return
        result = message.result
        if isinstance(result, CacheSnapshotReported):
            watch.incarnation = result.incarnation
            watch.events_after = result.sequence
            self.post(result)
        elif isinstance(result, CacheEventsReported):
            self._apply_events(watch, result)

    def _apply_events(self, watch: ProbeState, result: CacheEventsReported) -> None:
        """Post events, or request a snapshot if the engine has restarted.

        A restarted engine has an empty cache and numbers its events from one, so a
        request for events after the previous incarnation's number returns nothing.
        """
        if result.incarnation != watch.incarnation:
            watch.incarnation = result.incarnation
            watch.wants_snapshot = True
            watch.events_due = self.clock.monotonic()
            return
        watch.events_after = max(watch.events_after, result.newest)
        self.post(result)

    def _probe(self, watch: ProbeState, now: timedelta) -> None:
        period = max(self.period, self.min_probe_spacing * len(self.watches))
        watch.due = now + period * self.random.uniform(1 - JITTER, 1 + JITTER)
        watch.probe_in_flight = True
        target = watch.target
        call = partial(self.reader.load, target.endpoint, target.address)
        pool = self.failing_pool if watch.consecutive_failures else self.healthy_pool
        pool.submit(self._run_probe, watch, call)

    def _run_probe(self, watch: ProbeState, call: Callable[[], LoadReport]) -> None:
        self.send(ProbeEnded(watch, _result_of(call)))

    def _read_cache(self, watch: ProbeState, now: timedelta) -> None:
        watch.events_due = now + EVENTS_PERIOD
        watch.cache_read_in_flight = True
        target = watch.target
        call: Callable[[], CacheEventsReported | CacheSnapshotReported]
        if watch.wants_snapshot:
            watch.wants_snapshot = False
            call = partial(self.reader.snapshot, target.endpoint, target.address)
        else:
            after = watch.events_after
            call = partial(self.reader.events, target.endpoint, target.address, after)
        pool = self.failing_pool if watch.consecutive_failures else self.healthy_pool
        pool.submit(self._run_cache_read, watch, call)

    def _run_cache_read(
        self,
        watch: ProbeState,
        call: Callable[[], CacheEventsReported | CacheSnapshotReported],
    ) -> None:
        self.send(CacheRead(watch, _result_of(call)))


def _result_of(call: Callable[[], R]) -> R | WatchError:
    """Return the result of a call, or its error.

    An exception that escaped into the thread pool would be lost, and the call would
    count as in flight forever.
    """
    try:
        return call()
    except WatchError as error:
        return error
    except Exception as error:
        log_event(logger, TASK_FAILED, exc_info=error, task="watch")
        return NoValidAnswerError(str(error))


def _reads_cache(watch: ProbeState) -> bool:
    """Return whether this instance reads an endpoint's cache events."""
    target = watch.target
    return target.is_primary and target.kind is EndpointKind.MODEL_ENGINE
