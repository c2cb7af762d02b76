"""A small model engine in virtual time.

Batches continuously: each step prefills up to a chunk of prompt tokens, best
priority first, and decodes one token of every stream that is past its prefill.
Memory is taken whole at admission, in priority order. Only what the policies see
of an engine is modelled.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from mimosafork.kernel.messages.requests import PrefixMark

from .fake_cache import PrefixCache
from .virtual_time import EventLoop

IMPORT_SHARE = 16
"""An import takes one token of memory for this many imported."""

EXPORT_S = 120.0
"""How long an export is kept if nobody frees it."""


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speed and size of an engine.

    Attributes
    ----------
    kv_capacity : int
        KV memory in tokens.
    prefill_rate : float
        Prompt tokens a second at an empty context.
    context_scale : int
        Context length that doubles the cost of a prompt token.
    chunk : int
        Prompt tokens of one step.
    step_s, decode_s : float
        Cost of a step, and of each stream that decodes in it.
    """

    kv_capacity: int = 400_000
    prefill_rate: float = 30_000.0
    context_scale: int = 500_000
    chunk: int = 1024
    step_s: float = 0.004
    decode_s: float = 0.00015

    def chunk_s(self, done: int, tokens: int) -> float:
        """Return the time of prefilling tokens after `done` ones."""
        context = done + tokens / 2
        return tokens / self.prefill_rate * (1 + context / self.context_scale)

    def prefill_s(self, tokens: int, done: int = 0) -> float:
        """Return the time of a prefill on an engine that does nothing else."""
        steps = -(-(tokens - done) // self.chunk)
        return steps * self.step_s + self.chunk_s(done, tokens - done)


@dataclass(slots=True, eq=False)
class Stream:
    """A request on an engine.

    Attributes
    ----------
    prior_tokens : int
        Context imported from the engines before, for a gang's segment.
    done : int
        Prompt tokens that are prefilled or came from the cache.
    """

    stream_id: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    on_first_token: Callable[["Stream"], None]
    on_end: Callable[["Stream"], None]
    marks: tuple[PrefixMark, ...] = ()
    prior_tokens: int = 0
    reservation: str | None = None
    imports: tuple[str, ...] = ()
    export: bool = False
    done: int = 0
    cached: int = 0
    admitted: bool = False
    prefilled: bool = False
    ended: bool = False
    held: int = 0

    @property
    def remaining(self) -> int:
        """Prompt tokens still to prefill."""
        return self.prompt_tokens - self.done


@dataclass(slots=True)
class Totals:
    """What an engine has done."""

    prefilled: int = 0
    wasted: int = 0
    from_cache: int = 0
    busy_s: float = 0.0
    memory_refusals: int = 0


@dataclass(slots=True)
class Holding:
    """Reserved or exported memory."""

    tokens: int
    until_s: float


class FakeEngine:
    """One engine.

    Parameters
    ----------
    loop : EventLoop
    model : EngineModel
    """

    def __init__(self, loop: EventLoop, model: EngineModel) -> None:
        self.loop = loop
        self.model = model
        self.slowness = 1.0
        self.cache = PrefixCache()
        self.streams: dict[str, Stream] = {}
        self.holdings: dict[str, Holding] = {}
        self.exports: dict[str, int] = {}
        """Tokens of the whole joined prompt of each export."""
        self.waiting: list[tuple[int, int, Stream]] = []
        self.prefilling: list[tuple[int, int, Stream]] = []
        self.decoding: list[tuple[int, int, Stream]] = []
        self.decoding_count = 0
        self.decoded_steps = 0
        self.waiting_count = 0
        self.pending_prefill = 0
        self.kv_used = 0
        self.totals = Totals()
        self.order = count()
        self.step: Step | None = None

    def start(self, stream: Stream) -> bool:
        """Take a stream; return False if its memory can never be there."""
        need = stream.prompt_tokens + stream.max_tokens
        held = [*stream.imports, *filter(None, [stream.reservation])]
        if need > self.model.kv_capacity or not self.holdings.keys() >= set(held):
            self.totals.memory_refusals += 1
            return False
        self.streams[stream.stream_id] = stream
        self.waiting_count += 1
        self.pending_prefill += stream.remaining
        heapq.heappush(self.waiting, (stream.priority, next(self.order), stream))
        self._wake()
        return True

    def cancel(self, stream_id: str) -> bool:
        """Stop a stream and free its memory; return whether it was there."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return False
        self.totals.wasted += stream.done - stream.cached
        self._end(stream)
        self._wake()
        return True

    def reserve(self, name: str, tokens: int, ttl_s: float) -> bool:
        """Set memory aside until an instant; return False if there is none."""
        if self.kv_used + tokens > self.model.kv_capacity:
            return False
        self._hold(name, tokens, ttl_s)
        return True

    def import_kv(self, name: str, tokens: int, ttl_s: float) -> bool:
        """Take over an export; it needs a small part of its memory here."""
        return self.reserve(name, -(-tokens // IMPORT_SHARE), ttl_s)

    def _hold(self, name: str, tokens: int, ttl_s: float) -> None:
        self.holdings[name] = Holding(tokens, self.loop.now_s + ttl_s)
        self.kv_used += tokens
        self.cache.shrink(self.model.kv_capacity - self.kv_used)
        self.loop.after(ttl_s, self._expire, name)

    def release(self, name: str) -> None:
        """Free a reservation or an export; it need not be there."""
        self._drop(name)
        self._wake()

    def _drop(self, name: str) -> None:
        holding = self.holdings.pop(name, None)
        self.exports.pop(name, None)
        if holding is not None:
            self.kv_used -= holding.tokens

    def _expire(self, name: str) -> None:
        holding = self.holdings.get(name)
        if holding is not None and holding.until_s <= self.loop.now_s + 1e-9:
            self.release(name)

    def _end(self, stream: Stream) -> None:
        """Forget a stream; the heaps drop it when they come across it."""
        del self.streams[stream.stream_id]
        stream.ended = True
        if not stream.admitted:
            self.waiting_count -= 1
        if stream.prefilled:
            self.decoding_count -= 1
        else:
            self.pending_prefill -= stream.remaining
        self.kv_used -= stream.held
        for name in stream.imports:
            self._drop(name)
        if stream.prefilled:
            self.cache.store(stream.marks, self.model.kv_capacity - self.kv_used)

    def _wake(self) -> None:
        if self.step is None:
            self._begin_step()
        elif self.step.steps > 1:
            self.step.cut(self.loop.now_s)
            self.loop.at(self.step.end_s, self._end_step, self.step)

    def _admit(self) -> None:
        while self.waiting:
            stream = self.waiting[0][2]
            if stream.ended:
                heapq.heappop(self.waiting)
                continue
            if not self._take_memory(stream):
                return
            entry = heapq.heappop(self.waiting)
            stream.admitted = True
            self.waiting_count -= 1
            stream.cached = self.cache.lookup(stream.marks)
            stream.done = min(stream.cached, stream.prompt_tokens - 1)
            stream.cached = stream.done
            self.pending_prefill -= stream.done
            self.totals.from_cache += stream.done
            heapq.heappush(self.prefilling, entry)

    def _take_memory(self, stream: Stream) -> bool:
        need = stream.prompt_tokens + stream.max_tokens
        if stream.reservation is not None:
            reserved = self.holdings.pop(stream.reservation, None)
            if reserved is not None:
                self.kv_used -= reserved.tokens
        if self.kv_used + need > self.model.kv_capacity:
            return False
        stream.held = need
        self.kv_used += need
        self.cache.shrink(self.model.kv_capacity - self.kv_used)
        return True

    def _begin_step(self) -> None:
        self._admit()
        work: list[tuple[Stream, int]] = []
        cost = 0.0
        budget = self.model.chunk
        kept = []
        while budget > 0 and self.prefilling:
            entry = heapq.heappop(self.prefilling)
            stream = entry[2]
            if stream.ended or stream.prefilled:
                continue
            kept.append(entry)
            tokens = min(budget, stream.remaining)
            budget -= tokens
            cost += self.model.chunk_s(stream.prior_tokens + stream.done, tokens)
            work.append((stream, tokens))
        for entry in kept:
            heapq.heappush(self.prefilling, entry)
        while self.decoding and self.decoding[0][2].ended:
            heapq.heappop(self.decoding)
        if not work and not self.decoding:
            self.step = None
            return
        cost += self.model.step_s + self.decoding_count * self.model.decode_s
        steps = 1 if work else max(1, self.decoding[0][0] - self.decoded_steps)
        duration = cost * self.slowness
        self.step = Step(self.loop.now_s, duration, steps, work)
        self.loop.at(self.step.end_s, self._end_step, self.step)

    def _end_step(self, step: "Step") -> None:
        if step is not self.step or step.end_s > self.loop.now_s + 1e-9:
            return
        self.step = None
        self.totals.busy_s += step.steps * step.duration_s
        self.decoded_steps += step.steps
        self._finish_decodes()
        for stream, tokens in step.work:
            if stream.ended:
                self.totals.wasted += tokens
                continue
            self._advance(stream, tokens)
        if self.step is None:
            self._begin_step()

    def _advance(self, stream: Stream, tokens: int) -> None:
        stream.done += tokens
        self.pending_prefill -= tokens
        self.totals.prefilled += tokens
        if stream.remaining > 0:
            return
        stream.prefilled = True
        self.decoding_count += 1
        stream.on_first_token(stream)
        last = self.decoded_steps + max(0, stream.max_tokens - 1)
        heapq.heappush(self.decoding, (last, next(self.order), stream))

    def _finish_decodes(self) -> None:
        while self.decoding and self.decoding[0][0] <= self.decoded_steps:
            stream = heapq.heappop(self.decoding)[2]
            if stream.ended:
                continue
            self._end(stream)
            if stream.export:
                name = export_name(stream)
                self._hold(name, stream.prompt_tokens, EXPORT_S)
                self.exports[name] = stream.prior_tokens + stream.prompt_tokens
            stream.on_end(stream)


@dataclass(slots=True, eq=False)
class Step:
    """A step that runs, or several alike that only decode."""

    start_s: float
    duration_s: float
    steps: int
    work: list[tuple[Stream, int]] = field(default_factory=list)

    @property
    def end_s(self) -> float:
        """Instant at which the last one ends."""
        return self.start_s + self.steps * self.duration_s

    def cut(self, now_s: float) -> None:
        """Let the row of steps end with the one that runs at an instant."""
        done = int((now_s - self.start_s) / self.duration_s)
        self.steps = max(1, min(self.steps, done + 1))


def export_name(stream: Stream) -> str:
    """Return the name of the holding that keeps a stream's KV."""
    return f"export:{stream.stream_id}"
