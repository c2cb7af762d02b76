"""The task that probes the endpoints which fall to this instance."""

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
from .errors import UnansweredError, UnreachedError, WatchError
from .messages import CacheRead, ProbeEnded, Reader, Watch, WatchInput

logger = getLogger(__name__)

R = TypeVar("R")

Post = Callable[[Message], None]

STEADY_THREADS = 4
DOUBTFUL_THREADS = 2
"""Probes of endpoints whose last probe failed have threads of their own. A frozen
endpoint holds a thread for the whole timeout each time; on shared threads a few of
them would delay the probes of all others, and those would look frozen too."""

MISSES_ALLOWED = 1
"""An endpoint may let this many probes pass unanswered before it is told as failed;
a long prefill may hold up one answer. A refused connection is told at once."""

SHARE_OF_PERIOD = timedelta(milliseconds=250)
"""Least time between two probes of one instance, on average: with many endpoints to
watch each is asked less often, so that probing stays within its budget."""

EVENTS_PERIOD = timedelta(seconds=1)
LONGEST_IDLE = timedelta(seconds=1)
JITTER = 0.1


class WatchTask(Task[WatchInput]):
    """Probes endpoints in time, whatever one of them does.

    Parameters
    ----------
    reader : Reader
    clock : Clock
    random : random.Random
    post : callable
        Given messages for the kernel; must not block.
    period : timedelta
        Time between two probes of an endpoint, while they are few.
    share_of_period : timedelta
        Least mean time between two probes of this instance.
    """

    def __init__(
        self,
        reader: Reader,
        clock: Clock,
        random: Random,
        post: Post,
        period: timedelta,
        share_of_period: timedelta = SHARE_OF_PERIOD,
    ) -> None:
        super().__init__("watch")
        self.reader = reader
        self.clock = clock
        self.random = random
        self.post = post
        self.period = period
        self.share_of_period = share_of_period
        self.watches: dict[EndpointId, Watch] = {}
        self.steady = ThreadPoolExecutor(STEADY_THREADS, "watch-steady")
        self.doubtful = ThreadPoolExecutor(DOUBTFUL_THREADS, "watch-doubtful")

    def stop(self, timeout: timedelta = timedelta(seconds=5)) -> None:
        """Stop the thread; calls under way end by their own timeout."""
        super().stop(timeout)
        self.steady.shutdown(wait=False, cancel_futures=True)
        self.doubtful.shutdown(wait=False, cancel_futures=True)

    def wait_time(self) -> timedelta:
        """Return the time until the next call is due."""
        now = self.clock.monotonic()
        due = [watch.due for watch in self.watches.values() if not watch.busy]
        due += [
            watch.events_due
            for watch in self.watches.values()
            if _reads_cache(watch) and not watch.reading_cache
        ]
        return min(min(due, default=now + LONGEST_IDLE) - now, LONGEST_IDLE)

    def idle(self) -> None:
        """Start the calls that are due."""
        now = self.clock.monotonic()
        for watch in self.watches.values():
            if not watch.busy and watch.due <= now:
                self._probe(watch, now)
            if (
                _reads_cache(watch)
                and not watch.reading_cache
                and watch.events_due <= now
            ):
                self._read_cache(watch, now)

    def receive(self, message: WatchInput) -> None:
        """Handle a message, and start what has come due meanwhile."""
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
        for gone in [name for name in self.watches if name not in wanted]:
            del self.watches[gone]
        for name, target in wanted.items():
            known = self.watches.get(name)
            if known is None or known.target.address != target.address:
                self.watches[name] = Watch(target, now, now)
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
        watch.busy = False
        if self.watches.get(watch.target.endpoint) is not watch:
            return
        if isinstance(message.result, LoadReport):
            watch.misses = 0
            self.post(LoadReported(message.result))
            return
        watch.misses += 1
        refused = isinstance(message.result, UnreachedError)
        if refused or watch.misses > MISSES_ALLOWED:
            logger.debug("%s: %s", watch.target.endpoint, message.result)
            self.post(ProbeFailed(watch.target.endpoint))

    @handle.register
    def _(self, message: CacheRead) -> None:
        watch = message.watch
        watch.reading_cache = False
        if self.watches.get(watch.target.endpoint) is not watch:
            return
        result = message.result
        if isinstance(result, CacheSnapshotReported):
            watch.incarnation = result.incarnation
            watch.events_after = result.sequence
            self.post(result)
        elif isinstance(result, CacheEventsReported):
            self._take_events(watch, result)

    def _take_events(self, watch: Watch, result: CacheEventsReported) -> None:
        """Pass on events, or read the cache anew if the engine has been restarted.

        A restarted engine numbers its events from one and its cache is empty, so
        events asked for after the former life's number tell nothing.
        """
        if result.incarnation != watch.incarnation:
            watch.incarnation = result.incarnation
            watch.wants_snapshot = True
            watch.events_due = self.clock.monotonic()
            return
        watch.events_after = max(watch.events_after, result.newest)
        self.post(result)

    def _probe(self, watch: Watch, now: timedelta) -> None:
        period = max(self.period, self.share_of_period * len(self.watches))
        watch.due = now + period * self.random.uniform(1 - JITTER, 1 + JITTER)
        watch.busy = True
        target = watch.target
        call = partial(self.reader.load, target.endpoint, target.address)
        pool = self.doubtful if watch.misses else self.steady
        pool.submit(self._run_probe, watch, call)

    def _run_probe(self, watch: Watch, call: Callable[[], LoadReport]) -> None:
        self.send(ProbeEnded(watch, _result_of(call)))

    def _read_cache(self, watch: Watch, now: timedelta) -> None:
        watch.events_due = now + EVENTS_PERIOD
        watch.reading_cache = True
        target = watch.target
        call: Callable[[], CacheEventsReported | CacheSnapshotReported]
        if watch.wants_snapshot:
            watch.wants_snapshot = False
            call = partial(self.reader.snapshot, target.endpoint, target.address)
        else:
            after = watch.events_after
            call = partial(self.reader.events, target.endpoint, target.address, after)
        pool = self.doubtful if watch.misses else self.steady
        pool.submit(self._run_cache_read, watch, call)

    def _run_cache_read(
        self,
        watch: Watch,
        call: Callable[[], CacheEventsReported | CacheSnapshotReported],
    ) -> None:
        self.send(CacheRead(watch, _result_of(call)))


def _result_of(call: Callable[[], R]) -> R | WatchError:
    """Return what a call returned, or its error.

    An exception that left a pool's thread would go unseen, and the endpoint would
    count as being asked for ever.
    """
    try:
        return call()
    except WatchError as error:
        return error
    except Exception as error:
        log_event(logger, TASK_FAILED, exc_info=error, task="watch")
        return UnansweredError(str(error))


def _reads_cache(watch: Watch) -> bool:
    """Return whether this instance reads an endpoint's cache events."""
    target = watch.target
    return target.is_primary and target.kind is EndpointKind.MODEL_ENGINE
