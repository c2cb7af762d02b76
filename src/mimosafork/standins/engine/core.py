"""The engine without its sockets: streams, memory, batch and orders.

Nothing here reads a clock or a socket: every call is given the time, so tests
run it in virtual time.
"""

from collections.abc import Callable

from ..refusals import RefusalReason, RefusedError
from .batch import Batch
from .cache_events import CacheEventLog
from .holdings import Holdings
from .load import LoadReports
from .memory import HoldingKey, KvMemory
from .messages import (
    CacheEventsAnswer,
    CacheSnapshot,
    ExportContent,
    FinishReason,
    HoldingKind,
    HoldingsAnswer,
    ImportStart,
    LoadReport,
    Order,
    ReservationStart,
    StateAnswer,
    StreamStart,
)
from .orders import EngineState
from .prefix_cache import PrefixCache
from .settings import EngineSettings
from .starting import StreamMaker
from .streams import Stream, StreamState
from .timers import Timers

ROLE_PREFILL = "prefill"
ROLE_DECODE = "decode"

Recorder = Callable[[Stream, str, str], None]
"""Writes into the journal: the stream, the event, details."""


class EngineCore:
    """One life of an engine, from its start to its crash.

    Parameters
    ----------
    settings : EngineSettings
        How the engine behaves.
    incarnation : int
        Which life this is.
    now_s : float
        Monotonic time in seconds.
    record : callable
        Told what becomes of each stream.
    """

    def __init__(
        self,
        settings: EngineSettings,
        incarnation: int,
        now_s: float,
        record: Recorder,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.record = record
        self.maker = StreamMaker(settings, incarnation)
        self.crash_is_due = False
        self.streams: dict[str, Stream] = {}
        self.state = EngineState(settings)
        self.cache_log = CacheEventLog(
            settings.cache_event_lag.total_seconds(), settings.cache_event_gap_every
        )
        self.cache = PrefixCache(self.cache_log.publish)
        self.memory = KvMemory(settings.kv_capacity, self.cache)
        self.batch = Batch(
            self,
            slots=settings.batch_slots,
            prefill_tokens_per_s=settings.prefill_tokens_per_s,
            token_interval_s=settings.token_interval.total_seconds(),
            preempt_prefill=settings.preempt_prefill,
        )
        self.timers = Timers()
        self.holdings = Holdings(self.memory, self.timers, settings.import_share)
        self.reports = LoadReports(settings.report_lag.total_seconds())
        self.report_sequence = 0
        self.now_s = now_s
        self.retention_s = settings.retention.total_seconds()
        self.report_interval_s = settings.report_interval.total_seconds()
        self._sample_load(now_s)

    # Time.

    def advance(self, now_s: float) -> float | None:
        """Do all that is due and return when something is due next."""
        self._set_now(now_s)
        self.timers.advance(now_s)
        self.batch.advance(now_s)
        due = [self.timers.next_due_s(), self.batch.next_due_s()]
        return min((due_s for due_s in due if due_s is not None), default=None)

    # Streams.

    def start(self, start: StreamStart, now_s: float) -> Stream:
        """Take a stream into the queue.

        Raises
        ------
        RefusedError
            If the engine will not run it.
        """
        self._set_now(now_s)
        self._check_start(start)
        imports = [self.holdings.find_import(each) for each in start.imports]
        stream = self.maker.make(start, imports, now_s)
        if stream.memory_tokens > self.memory.capacity:
            raise RefusedError(
                RefusalReason.MEMORY,
                f"needs {stream.memory_tokens} of {self.memory.capacity} tokens",
            )
        self.holdings.take_over(stream, start, imports)
        self.streams[stream.id] = stream
        self.timers.add(stream.deadline_s, lambda at_s: self._deadline(stream))
        self.batch.submit(stream)
        return stream

    def cancel(self, stream_id: str, now_s: float) -> bool:
        """End a stream; say whether it had begun to run."""
        self._set_now(now_s)
        stream = self.streams.get(stream_id)
        if stream is None:
            return False
        self._end(stream, FinishReason.CANCELLED)
        return stream.has_run

    def running(self) -> list[Stream]:
        """List the streams that have not ended."""
        return [s for s in self.streams.values() if s.state is not StreamState.ENDED]

    # Holdings.

    def reserve(self, start: ReservationStart, now_s: float) -> None:
        """Hold memory for a stream to come.

        Raises
        ------
        RefusedError
            If the engine is draining, or as `Holdings.reserve` does.
        """
        self._check_draining()
        self.holdings.reserve(start, now_s)

    def import_kv(
        self, start: ImportStart, content: ExportContent, now_s: float
    ) -> None:
        """Hold KV that was pulled from another engine.

        Raises
        ------
        RefusedError
            If the engine is draining, or as `Holdings.import_kv` does.
        """
        self._check_draining()
        self.holdings.import_kv(start, content, now_s)

    def list_holdings(self, owner: str | None, now_s: float) -> HoldingsAnswer:
        """List the holdings, of one owner if it is named."""
        return HoldingsAnswer(self.incarnation, self.holdings.entries(owner, now_s))

    def free(self, key: HoldingKey, now_s: float) -> bool:
        """Free one holding; False if there is none such."""
        self._set_now(now_s)
        if key not in self.memory.holdings:
            return False
        if key.kind is HoldingKind.STREAM:
            self._end(self.streams[key.id], FinishReason.CANCELLED)
        else:
            self.memory.free(key)
        return True

    # Reports and orders.

    def load(self, now_s: float) -> LoadReport:
        """Return a load report as old as the lag."""
        if self.reports.lag_s == 0:
            self._add_report(now_s)
        return self.reports.read(now_s)

    def cache_events(self, after: int, now_s: float) -> CacheEventsAnswer:
        """Return the cache events after a sequence, late and with gaps."""
        return CacheEventsAnswer(
            self.incarnation,
            self.cache_log.newest(now_s),
            self.cache_log.read(after, now_s),
        )

    def cache_snapshot(self) -> CacheSnapshot:
        """Return the prefix cache as it is."""
        return CacheSnapshot(
            self.incarnation, self.cache_log.sequence, self.cache.marks()
        )

    def take_order(self, order: Order, now_s: float) -> None:
        """Take an order, or raise as `EngineState.take` does."""
        self.state.take(order, now_s)

    def describe(self, now_s: float) -> StateAnswer:
        """Return the state of the engine, without lag."""
        return self.state.describe(self.incarnation, now_s)

    # The listener of the batch.

    def admit(self, stream: Stream) -> bool:
        """Take the stream's memory; False if there is not enough."""
        matched = self.cache.match(stream.marks)
        cached = min(self.cache.tokens_of(matched), stream.prompt_tokens)
        self.cache.pin(matched)
        if not self.memory.resize(stream.holding, stream.memory_tokens - cached):
            self.cache.unpin(matched)
            return False
        stream.holding.pinned = matched
        stream.cached_tokens = cached
        # At least one token is computed: the answer needs the last one's result.
        stream.prefill_left = max(stream.prompt_tokens - cached, 1)
        stream.has_run = True
        self.record(stream, "started", "")
        return True

    def prefill_started(self, stream: Stream) -> None:
        """Note when the prompt is one that crashes the engine."""
        self.crash_is_due = self.crash_is_due or stream.crashes

    def prefill_ended(self, stream: Stream) -> None:
        """Cache the prefixes that were computed."""
        self.memory.cache_prefix(stream.holding, stream.marks)

    def progressed(self, stream: Stream) -> None:
        """Show the readers the new token."""
        for reader in stream.readers:
            reader.progressed()

    def completed(self, stream: Stream) -> None:
        """End the stream as its answer ends."""
        self._end(stream, stream.end_reason)

    # Parts of the above.

    def _set_now(self, now_s: float) -> None:
        self.now_s = now_s
        self.cache_log.now_s = now_s

    def _check_start(self, start: StreamStart) -> None:
        # First of all: any other refusal would say that the request did not run.
        if start.stream_id in self.streams:
            raise RefusedError(RefusalReason.DUPLICATE, "attach to it instead")
        self._check_draining()
        if not self.state.serves(start.model, start.adapter, self.now_s):
            raise RefusedError(
                RefusalReason.UNKNOWN_MODEL, f"{start.model} {start.adapter or ''}"
            )
        if self.state.role == ROLE_PREFILL and not start.export_kv:
            raise RefusedError(RefusalReason.ROLE, "only streams that export their KV")
        if self.state.role == ROLE_DECODE and not start.imports:
            raise RefusedError(RefusalReason.ROLE, "only streams with imported KV")
        if self.batch.waiting_count >= self.settings.max_waiting:
            raise RefusedError(RefusalReason.BUSY, "too many streams wait")

    def _check_draining(self) -> None:
        if self.state.draining:
            raise RefusedError(RefusalReason.DRAINING, "takes no new work")

    def _deadline(self, stream: Stream) -> None:
        self._end(stream, FinishReason.DEADLINE)

    def _end(self, stream: Stream, reason: FinishReason) -> None:
        if stream.state is StreamState.ENDED:
            return
        self.batch.remove(stream)
        self.memory.free(stream.holding.key)
        if stream.exports_kv and reason in (FinishReason.STOP, FinishReason.LENGTH):
            stream.kv_handle = self.holdings.export(stream)
        stream.finish = reason
        is_cancelled = reason is FinishReason.CANCELLED
        event = "cancelled" if is_cancelled else "finished"
        self.record(stream, event, reason.value)
        for reader in list(stream.readers):
            reader.progressed()
        self.timers.add(
            self.now_s + self.retention_s, lambda at_s: self._forget(stream)
        )

    def _forget(self, stream: Stream) -> None:
        if self.streams.get(stream.id) is stream:
            del self.streams[stream.id]

    def _sample_load(self, now_s: float) -> None:
        self._add_report(now_s)
        self.timers.add(now_s + self.report_interval_s, self._sample_load)

    def _add_report(self, now_s: float) -> None:
        self.report_sequence += 1
        self.reports.add(self._report(now_s), now_s)

    def _report(self, now_s: float) -> LoadReport:
        return LoadReport(
            endpoint=self.settings.endpoint,
            incarnation=self.incarnation,
            sequence=self.report_sequence,
            lag_s=0.0,
            role=self.state.role,
            running=self.batch.running,
            waiting=self.batch.waiting_count,
            waiting_prefill_tokens=self.batch.waiting_prefill_tokens(),
            kv_used=self.memory.used,
            kv_capacity=self.memory.capacity,
            prefill_tokens_per_s=self.settings.prefill_tokens_per_s,
            models=self.state.ready_models(now_s),
            adapters=self.state.ready_adapters(now_s),
            draining=self.state.draining,
            fencing=self.settings.fencing.value,
        )
