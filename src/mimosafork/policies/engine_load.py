"""Estimates an engine's load between its delayed reports.

Reports are old when they arrive, and each entry instance sees only its own
dispatches since then. If these were not added, all requests of the next half second
would go to the engine that looked idle, and first-token times would show a sawtooth.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import Incarnation, RequestId
from ..kernel.fleet import Endpoint

DEFAULT_PREFILL_RATE = 30_000.0
"""Prompt tokens per second assumed of an engine that has not reported yet."""

SHORT_BACKLOG_S = 1.0
"""Work of short prompts that may queue at an engine: reports are about that old."""

DEFAULT_TICK_S = 0.25
MAX_TICKS_AHEAD = 20
"""Report intervals without a report after which the engine's clock stops advancing."""

UNFILTERED_TICKS = 3
"""First observations, which are accepted even if they are outliers."""

TICK_EWMA_WEIGHT = 0.1
"""Weight of a new observation in the average time between two reports."""


@dataclass(slots=True)
class SentRequest:
    """A request that this instance has sent to an engine.

    Attributes
    ----------
    work : int
        Prompt tokens that are probably not cached there.
    memory : int
        Tokens of prompt and answer.
    """

    at_s: float
    work: int
    memory: int
    is_long: bool
    prefilled: bool = False


@dataclass(slots=True)
class EngineLoad:
    """Estimated work and memory of one engine.

    Attributes
    ----------
    short_level, long_level : float
        Prompt tokens that wait there at `level_at_s`, of short and long prompts.
    sent : dict of RequestId to SentRequest
        All of this instance's requests there.
    recent : dict of RequestId to SentRequest
        Those that the newest report does not include yet, oldest first.
    peers_long : int
        Tokens of long prompts that other instances have there before their first
        token, as published by them.
    tick_s : float
        Time between two consecutive sequence numbers of the engine's reports.
    """

    incarnation: Incarnation
    rate: float = DEFAULT_PREFILL_RATE
    capacity: int = 0
    reported_memory: int = 0
    reported_at_s: float = 0.0
    sequence: int = 0
    tick_s: float = DEFAULT_TICK_S
    ticks_seen: int = 0
    short_level: float = 0.0
    long_level: float = 0.0
    level_at_s: float = 0.0
    sent: dict[RequestId, SentRequest] = field(default_factory=dict)
    recent: dict[RequestId, SentRequest] = field(default_factory=dict)
    recent_memory: int = 0
    own_long_waiting: int = 0
    own_long_memory: int = 0
    peers_long: int = 0
    peers_long_memory: int = 0

    def report(self, endpoint: Endpoint) -> None:
        """Reset the estimate to a new report and replay dispatches since then."""
        report = endpoint.report
        if report is None:
            return
        reported_at_s = endpoint.reported_at.total_seconds()
        self._learn_tick(report.sequence, reported_at_s)
        self.rate = report.prefill_rate or DEFAULT_PREFILL_RATE
        self.capacity = report.kv_capacity
        self.reported_memory = report.kv_used
        self.reported_at_s = reported_at_s
        self.sequence = report.sequence
        self._drop_reported(reported_at_s)
        known_long = self.own_long_waiting + self.peers_long
        known_long -= sum(
            each.work
            for each in self.recent.values()
            if each.is_long and not each.prefilled
        )
        waiting = report.waiting_prefill_tokens
        # The report does not distinguish long prompts of other instances. The backlog
        # of short prompts is bounded, so what exceeds the bound is long.
        likely_long = waiting - SHORT_BACKLOG_S * self.rate
        self.long_level = min(waiting, max(0.0, known_long, likely_long))
        self.short_level = report.waiting_prefill_tokens - self.long_level
        self.level_at_s = reported_at_s
        for each in self.recent.values():
            if not each.prefilled:
                self._add(each)

    def _learn_tick(self, sequence: int, reported_at_s: float) -> None:
        steps = sequence - self.sequence
        if self.sequence == 0 or steps <= 0:
            return
        seen_s = (reported_at_s - self.reported_at_s) / steps
        # A restarted engine counts from one again: one such step would distort the
        # estimate for minutes.
        plausible = self.tick_s / 4 < seen_s < self.tick_s * 4
        if seen_s > 0 and (plausible or self.ticks_seen < UNFILTERED_TICKS):
            self.ticks_seen += 1
            weight = max(TICK_EWMA_WEIGHT, 1 / self.ticks_seen)
            self.tick_s += weight * (seen_s - self.tick_s)

    def _drop_reported(self, reported_at_s: float) -> None:
        known = []
        for request_id, each in self.recent.items():
            if each.at_s > reported_at_s:
                break
            known.append(request_id)
        for request_id in known:
            self.recent_memory -= self.recent.pop(request_id).memory

    def _drain(self, now_s: float) -> None:
        """Subtract the work done until an instant, short prompts first."""
        done = max(0.0, now_s - self.level_at_s) * self.rate
        self.level_at_s = max(now_s, self.level_at_s)
        from_short = min(done, self.short_level)
        self.short_level -= from_short
        self.long_level = max(0.0, self.long_level - (done - from_short))

    def _add(self, sent: SentRequest) -> None:
        self._drain(sent.at_s)
        if sent.is_long:
            self.long_level += sent.work
        else:
            self.short_level += sent.work

    def send(self, request_id: RequestId, sent: SentRequest) -> None:
        """Record a dispatch."""
        self.finish(request_id)
        self.sent[request_id] = sent
        self.recent[request_id] = sent
        self.recent_memory += sent.memory
        if sent.is_long:
            self.own_long_waiting += sent.work
            self.own_long_memory += sent.memory
        self._add(sent)

    def first_token(self, request_id: RequestId) -> SentRequest | None:
        """Record the end of a prefill; return the request that was sent."""
        sent = self.sent.get(request_id)
        if sent is None or sent.prefilled:
            return None
        sent.prefilled = True
        if sent.is_long:
            self.own_long_waiting -= sent.work
        return sent

    def finish(self, request_id: RequestId) -> None:
        """Record that a request has left the engine; ignore unknown requests."""
        sent = self.sent.pop(request_id, None)
        if sent is None:
            return
        if sent.is_long:
            self.own_long_memory -= sent.memory
            if not sent.prefilled:
                self.own_long_waiting -= sent.work
        if self.recent.pop(request_id, None) is not None:
            self.recent_memory -= sent.memory

    def levels(self, now_s: float) -> tuple[float, float]:
        """Return the queued prompt tokens of short and of long prompts."""
        self._drain(now_s)
        return self.short_level, self.long_level

    @property
    def memory_used(self) -> int:
        """Reported memory plus that of requests sent since the report."""
        return self.reported_memory + self.recent_memory

    @property
    def long_memory(self) -> int:
        """Memory that long prompts of this and other instances are known to hold."""
        return self.own_long_memory + self.peers_long_memory

    def clock_ticks(self, now: timedelta) -> float:
        """Return the engine's time: the sequence number of its report, with a fraction.

        Entry instances share no clock, but all of them see the same sequence numbers,
        so priorities derived from it are comparable at the engine.
        """
        since_s = now.total_seconds() - self.reported_at_s
        return self.sequence + min(since_s / self.tick_s, MAX_TICKS_AHEAD)
