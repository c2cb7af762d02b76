"""Continuous batching: who runs, whose prompt is computed, who gets a token.

Waiting streams enter the batch by priority (a lower number first), then in the
order of their arrival, as soon as a slot and the memory are free. The first of
them that does not fit holds back the others: smaller streams that overtook it
could starve it. Prompts are computed one after the other; each stream that is
past its prompt gets a token an interval.
"""

from heapq import heappop, heappush
from itertools import count
from typing import Protocol

from .streams import Stream, StreamState


class BatchListener(Protocol):
    """Who acts on what happens in the batch."""

    def admit(self, stream: Stream) -> bool:
        """Take the stream's memory; False if there is not enough."""

    def prefill_started(self, stream: Stream) -> None:
        """Note that the stream's prompt is being computed now."""

    def prefill_ended(self, stream: Stream) -> None:
        """Note that the stream's prompt is computed."""

    def progressed(self, stream: Stream) -> None:
        """Note that the stream has one token more."""

    def completed(self, stream: Stream) -> None:
        """Note that the stream has its last token."""


class Batch:
    """The engine's batch and the queue in front of it.

    Parameters
    ----------
    listener : BatchListener
        Who is told what happens.
    slots : int
        Most streams in the batch.
    prefill_tokens_per_s : float
        Prefill speed.
    token_interval_s : float
        Seconds between two tokens of a stream.
    preempt_prefill : bool
        Whether a lower priority number interrupts a prompt.
    """

    def __init__(
        self,
        listener: BatchListener,
        slots: int,
        prefill_tokens_per_s: float,
        token_interval_s: float,
        preempt_prefill: bool,
    ) -> None:
        self.listener = listener
        self.slots = slots
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.token_interval_s = token_interval_s
        self.preempt_prefill = preempt_prefill
        self.slow_factor = 1.0
        self.waiting: list[tuple[int, int, Stream]] = []
        self.waiting_count = 0
        self.prefills: list[Stream] = []
        self.running = 0
        self.prefilled_until_s = 0.0
        self._due: list[tuple[float, int, Stream]] = []
        self._order = count()

    def submit(self, stream: Stream) -> None:
        """Let a stream wait for its place."""
        heappush(self.waiting, (stream.priority, next(self._order), stream))
        self.waiting_count += 1

    def remove(self, stream: Stream) -> None:
        """Take out a stream that ends, wherever it is.

        Heaps drop their entry when it comes up: the state tells it is void.
        """
        if stream.state is StreamState.WAITING:
            self.waiting_count -= 1
        elif stream.state is not StreamState.ENDED:
            self.running -= 1
        if stream in self.prefills:
            self.prefills.remove(stream)
        stream.state = StreamState.ENDED

    def set_slow_factor(self, factor: float, now_s: float) -> None:
        """Make everything take `factor` times as long from now on."""
        self._compute_prompts(now_s)
        self.slow_factor = factor

    def waiting_prefill_tokens(self) -> int:
        """Tokens of prompt that are still to compute."""
        tokens = sum(stream.prefill_left for stream in self.prefills)
        for _, _, stream in self.waiting:
            if stream.state is StreamState.WAITING:
                tokens += stream.prompt_tokens
        return int(tokens)

    def advance(self, now_s: float) -> None:
        """Compute prompts and give tokens up to now."""
        self._compute_prompts(now_s)
        self._give_tokens(now_s)
        self._admit(now_s)

    def next_due_s(self) -> float | None:
        """Return when something happens next, None if nothing will."""
        due_s = self._due[0][0] if self._due else None
        if self.prefills:
            seconds = self.prefills[0].prefill_left / self._prefill_speed()
            prefill_s = self.prefilled_until_s + seconds
            due_s = prefill_s if due_s is None else min(due_s, prefill_s)
        return due_s

    def _prefill_speed(self) -> float:
        return self.prefill_tokens_per_s / self.slow_factor

    def _compute_prompts(self, now_s: float) -> None:
        # A prompt that crashes the engine at its start is never computed.
        while self.prefills and not self.prefills[0].crashes:
            stream = self.prefills[0]
            speed = self._prefill_speed()
            end_s = self.prefilled_until_s + stream.prefill_left / speed
            if end_s > now_s:
                stream.prefill_left -= (now_s - self.prefilled_until_s) * speed
                break
            self.prefilled_until_s = end_s
            self._end_prefill(stream, end_s)
            # The freed head may let a waiting stream's prompt follow at once.
            self._admit(end_s)
        self.prefilled_until_s = now_s

    def _end_prefill(self, stream: Stream, end_s: float) -> None:
        self.prefills.remove(stream)
        stream.prefill_left = 0.0
        stream.state = StreamState.DECODING
        stream.next_due_s = end_s
        self.listener.prefill_ended(stream)
        if stream.next_token >= stream.end_token:
            self.listener.completed(stream)
        else:
            heappush(self._due, (end_s, next(self._order), stream))
        if self.prefills:
            self.listener.prefill_started(self.prefills[0])

    def _give_tokens(self, now_s: float) -> None:
        interval_s = self.token_interval_s * self.slow_factor
        due = self._due
        while due and due[0][0] <= now_s:
            stream = heappop(due)[2]
            if stream.state is not StreamState.DECODING:
                continue
            stream.next_token += 1
            if stream.next_token >= stream.end_token:
                self.listener.completed(stream)
                continue
            next_s = stream.next_due_s + interval_s
            if next_s <= now_s:
                # After a freeze the pace goes on from now; no burst makes up.
                next_s = now_s + interval_s
            stream.next_due_s = next_s
            heappush(due, (next_s, next(self._order), stream))
            self.listener.progressed(stream)

    def _admit(self, now_s: float) -> None:
        while self.waiting and self.running < self.slots:
            stream = self.waiting[0][2]
            if stream.state is not StreamState.WAITING:
                heappop(self.waiting)
                continue
            if not self.listener.admit(stream):
                return
            heappop(self.waiting)
            self.waiting_count -= 1
            self.running += 1
            stream.state = StreamState.PREFILL
            self._queue_prefill(stream, now_s)

    def _queue_prefill(self, stream: Stream, now_s: float) -> None:
        if not self.prefills:
            self.prefilled_until_s = now_s
        position = len(self.prefills)
        if self.preempt_prefill:
            while position and self.prefills[position - 1].priority > stream.priority:
                position -= 1
        self.prefills.insert(position, stream)
        if position == 0:
            self.listener.prefill_started(stream)
