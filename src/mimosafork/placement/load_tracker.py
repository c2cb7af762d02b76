"""In-flight requests of this instance and its peers, and the load on each engine."""

from collections.abc import Iterable
from datetime import timedelta
from math import inf
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

from ..ids import EndpointId, InstanceId, RequestId
from .overload import OVERLOAD_FACTOR, OverloadReport, OverloadReports
from .rate import DecayingRate, ReportDelay


class PrefillPart(msgspec.Struct, frozen=True):
    """The part of a prompt that one engine prefills.

    Attributes
    ----------
    tokens : int
        Prompt tokens of the part.
    prefill_ms : float
        Predicted prefill time, including the part's share of the attention cost.
    """

    endpoint: EndpointId
    tokens: int
    prefill_ms: float


class HeldTokens(msgspec.Struct, frozen=True):
    """Tokens of a request's KV cache that one engine holds."""

    endpoint: EndpointId
    tokens: int


class InFlightRequest(msgspec.Struct, frozen=True):
    """One request that is running on the engines.

    Attributes
    ----------
    host : EndpointId
        Engine that decodes the answer in one of its slots.
    parts : tuple of PrefillPart
        What the host and its helpers prefill.
    held : tuple of HeldTokens
        Where the KV cache of the prompt and its answer is kept.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and the expected length of the answer.
    longest_pause : timedelta or None
        Between two events of an answer that is on time.
    started_at : timedelta
        When the request was sent.
    first_token_at : timedelta or None
        None during the prefill.
    ended : bool
        Whether the engines are done with it.
    """

    request: RequestId
    host: EndpointId
    parts: tuple[PrefillPart, ...] = ()
    held: tuple[HeldTokens, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    longest_pause: timedelta | None = None
    started_at: timedelta = timedelta(0)
    first_token_at: timedelta | None = None
    ended: bool = False


class PauseLimit(NamedTuple):
    """The longest allowed pause of one request on an engine.

    Attributes
    ----------
    pause_ms : float
        Milliseconds between two of its events.
    prompt_tokens : int
        Length of its prompt, which determines its value.
    """

    pause_ms: float
    prompt_tokens: int


class EngineLoad(msgspec.Struct, frozen=True):
    """The known load of one engine at one moment.

    Attributes
    ----------
    running : int
        Requests that it hosts.
    decoding : int
        Those of them that have their first token.
    helping : int
        Requests of other hosts of which it still prefills a part.
    prefill_backlog_ms : float
        Milliseconds of assigned prefill that are not yet done.
    committed_tokens : int
        Tokens of prompts and expected answers that it holds or will hold.
    context_tokens : int
        Prompt tokens of its decoding requests, which each step attends to.
    pause_limits : tuple of PauseLimit
        Of the requests that it hosts and that have a longest pause.
    """

    running: int = 0
    decoding: int = 0
    helping: int = 0
    prefill_backlog_ms: float = 0.0
    committed_tokens: int = 0
    context_tokens: int = 0
    pause_limits: tuple[PauseLimit, ...] = ()

    @property
    def shortest_pause(self) -> timedelta | None:
        """Shortest of the longest pauses of its requests."""
        if not self.pause_limits:
            return None
        return timedelta(
            milliseconds=min(limit.pause_ms for limit in self.pause_limits)
        )


IDLE_LOAD = EngineLoad()


class PauseLimitGroup(NamedTuple):
    """Requests on an engine with the same longest pause.

    Attributes
    ----------
    prompt_tokens : int
        Sum over the requests.
    """

    pause_ms: float
    requests: int
    prompt_tokens: int


class LoadSummary(msgspec.Struct, frozen=True):
    """Load of one engine, valid until its requests change.

    Attributes
    ----------
    base_load : EngineLoad
        The load without the prefill backlog.
    prefill_until_ms : float
        Time at which all assigned prefill is done; -inf without any.
    shortest_pause_ms : float
        Shortest of the longest pauses of its requests; inf without any.
    pause_groups : tuple of PauseLimitGroup
        Its requests by their longest pause, the shortest first.
    """

    base_load: EngineLoad
    prefill_until_ms: float = -inf
    shortest_pause_ms: float = inf
    pause_groups: tuple[PauseLimitGroup, ...] = ()

    def prefill_backlog_ms(self, now_ms: float) -> float:
        """Return the milliseconds of assigned prefill that are not yet done."""
        return max(0.0, self.prefill_until_ms - now_ms)


EMPTY_SUMMARY = LoadSummary(IDLE_LOAD)


class LoadTracker(msgspec.Struct):
    """In-flight requests of this instance and of its peers, by engine.

    Adding or ending a request takes time proportional to the number of its engines. The
    load of an engine is summarized on the first read after a change. All times are of
    this instance's clock.
    """

    own: dict[RequestId, InFlightRequest] = msgspec.field(default_factory=dict)
    peers: dict[InstanceId, dict[RequestId, InFlightRequest]] = msgspec.field(
        default_factory=dict
    )
    by_engine: dict[EndpointId, dict[int, InFlightRequest]] = msgspec.field(
        default_factory=dict
    )
    """Keyed by object identity, as two instances may run requests with the same id."""
    summaries: dict[EndpointId, LoadSummary] = msgspec.field(default_factory=dict)
    """Cached summaries of engines whose requests haven't changed since."""
    start_rate: DecayingRate = msgspec.field(default_factory=DecayingRate)
    """Request starts on engines, over all instances."""
    report_delay: ReportDelay = msgspec.field(default_factory=ReportDelay)
    """Age of peers' requests on engines when they are first reported."""
    overloads: OverloadReports = msgspec.field(default_factory=OverloadReports)
    """Overload rejections by engine."""
    rejection_rate: DecayingRate = msgspec.field(default_factory=DecayingRate)
    """Overload rejections of calls of this instance."""

    def record(self, entry: InFlightRequest) -> None:
        """Add or replace a request of this instance; an ended one is removed."""
        if entry.parts and entry.request not in self.own:
            self.start_rate.record(entry.started_at)
        self.remove(entry.request)
        if not entry.ended:
            self.own[entry.request] = entry
            self.add_to_index(entry)

    def remove(self, request: RequestId) -> None:
        """Remove a request of this instance."""
        previous = self.own.pop(request, None)
        if previous is not None:
            self.remove_from_index(previous)

    def rename(self, request: RequestId, name: RequestId) -> InFlightRequest | None:
        """Give a request of this instance another id, and return it."""
        previous = self.own.pop(request, None)
        if previous is None:
            return None
        self.remove_from_index(previous)
        entry = self.own[name] = replace(previous, request=name)
        self.add_to_index(entry)
        return entry

    def record_first_token(self, request: RequestId, now: timedelta) -> None:
        """Record that a request of this instance has its first token."""
        entry = self.own.get(request)
        if entry is not None and entry.first_token_at is None:
            self.record(replace(entry, first_token_at=now))

    def replace_peer(
        self,
        instance: InstanceId,
        entries: Iterable[InFlightRequest],
        received_at: timedelta,
    ) -> None:
        """Replace all requests of a peer with a snapshot.

        Parameters
        ----------
        entries : iterable of InFlightRequest
            Their times already converted to this instance's clock.
        received_at : timedelta
            Upper bound of the start times.
        """
        # The first report of a new peer includes requests that started long ago.
        is_new = instance not in self.peers
        previous = self.peers.get(instance, {})
        current: dict[RequestId, InFlightRequest] = {}
        for received in entries:
            if received.ended:
                continue
            entry = received
            if received.started_at > received_at:
                entry = replace(received, started_at=received_at)
            known = previous.get(entry.request)
            if known is None:
                self._record_first_report(entry, None if is_new else received_at)
            current[entry.request] = known if known == entry else entry
        for request, entry in previous.items():
            if current.get(request) is not entry:
                self.remove_from_index(entry)
        for request, entry in current.items():
            if previous.get(request) is not entry:
                self.add_to_index(entry)
        self.peers[instance] = current

    def _record_first_report(
        self, entry: InFlightRequest, received_at: timedelta | None
    ) -> None:
        """Update the rates for a peer's new request.

        Parameters
        ----------
        received_at : timedelta or None
            None for a request of a new peer, whose report delay is unknown.
        """
        self.overloads.count_reported(entry.host, entry.started_at)
        if not entry.parts:
            return
        self.start_rate.record(entry.started_at)
        if received_at is not None:
            self.report_delay.record(received_at - entry.started_at)

    def update_peer(
        self,
        instance: InstanceId,
        entries: Iterable[InFlightRequest],
        ended: Iterable[RequestId],
        received_at: timedelta,
    ) -> None:
        """Apply changes of a peer's requests.

        Parameters
        ----------
        entries : iterable of InFlightRequest
            Started or changed; their times already converted to this instance's clock.
        received_at : timedelta
            Upper bound of the start times.
        """
        known = self.peers.setdefault(instance, {})
        for request in ended:
            previous = known.pop(request, None)
            if previous is not None:
                self.remove_from_index(previous)
        for received in entries:
            previous = known.get(received.request)
            entry = received
            if received.started_at > received_at:
                entry = replace(received, started_at=received_at)
            if previous is not None:
                self.remove_from_index(previous)
            else:
                self._record_first_report(entry, received_at)
            known[entry.request] = entry
            self.add_to_index(entry)

    def remove_peer(self, instance: InstanceId) -> None:
        """Remove all requests of a peer that has left."""
        for entry in self.peers.pop(instance, {}).values():
            self.remove_from_index(entry)

    def record_rejection(
        self, endpoint: EndpointId, slots: int, answer_time: timedelta, now: timedelta
    ) -> int:
        """Record an overloaded engine; return the requests it was estimated to run.

        The caller has already removed the rejected request.

        Parameters
        ----------
        answer_time : timedelta
            Duration of a typical answer there.
        """
        self.rejection_rate.record(now)
        estimated = self.estimated_running(endpoint, now)
        known = self.summary_of(endpoint).base_load.running
        unreported = round(slots * OVERLOAD_FACTOR) - known
        self.overloads.record(
            endpoint, OverloadReport(now, max(0, unreported), answer_time)
        )
        return estimated

    def estimated_running(self, endpoint: EndpointId, now: timedelta) -> int:
        """Return how many requests an engine hosts, including unreported ones."""
        known = self.summary_of(endpoint).base_load.running
        return known + self.overloads.unreported(endpoint, now)

    def add_to_index(self, entry: InFlightRequest) -> None:
        """Index a request under each of its engines."""
        for endpoint in engines_of(entry):
            self.by_engine.setdefault(endpoint, {})[id(entry)] = entry
            self.summaries.pop(endpoint, None)

    def remove_from_index(self, entry: InFlightRequest) -> None:
        """Remove a request from the index of each of its engines."""
        for endpoint in engines_of(entry):
            self.summaries.pop(endpoint, None)
            entries = self.by_engine.get(endpoint)
            if entries is None:
                continue
            entries.pop(id(entry), None)
            if not entries:
                del self.by_engine[endpoint]

    def requests_on(self, endpoint: EndpointId) -> Iterable[InFlightRequest]:
        """Return all requests on an engine, of all instances."""
        return self.by_engine.get(endpoint, {}).values()

    def load(self, endpoint: EndpointId, now: timedelta) -> EngineLoad:
        """Return the load of one engine; an unknown one is idle."""
        summary = self.summary_of(endpoint)
        prefill_backlog_ms = summary.prefill_backlog_ms(now.total_seconds() * 1e3)
        if prefill_backlog_ms == 0.0:
            return summary.base_load
        return replace(summary.base_load, prefill_backlog_ms=prefill_backlog_ms)

    def summary_of(self, endpoint: EndpointId) -> LoadSummary:
        """Return the load summary of one engine."""
        summary = self.summaries.get(endpoint)
        if summary is not None:
            return summary
        entries = self.by_engine.get(endpoint)
        if entries is None:
            return EMPTY_SUMMARY
        summary = summarize(endpoint, entries.values())
        self.summaries[endpoint] = summary
        return summary


def engines_of(entry: InFlightRequest) -> set[EndpointId]:
    """Return all engines that a request uses."""
    engines = {part.endpoint for part in entry.parts}
    if entry.held:
        engines.update(held.endpoint for held in entry.held)
    engines.add(entry.host)
    return engines


def summarize(endpoint: EndpointId, entries: Iterable[InFlightRequest]) -> LoadSummary:
    """Summarize the requests on one engine."""
    running = decoding = helping = committed_tokens = context_tokens = 0
    pause_limits: list[PauseLimit] = []
    intervals: list[PrefillInterval] = []
    for entry in entries:
        is_prefilling = entry.first_token_at is None
        is_host = entry.host == endpoint
        if entry.held:
            committed_tokens += held_tokens_on(entry, endpoint)
        if is_host:
            running += 1
            if not entry.held:
                committed_tokens += entry.prompt_tokens + entry.answer_tokens
            if not is_prefilling:
                decoding += 1
                context_tokens += entry.prompt_tokens
            if entry.longest_pause is not None:
                pause_ms = entry.longest_pause.total_seconds() * 1e3
                pause_limits.append(PauseLimit(pause_ms, entry.prompt_tokens))
        if is_prefilling:
            helping += not is_host
            intervals.append(prefill_of(entry, endpoint))
    base_load = EngineLoad(
        running,
        decoding,
        helping,
        0.0,
        committed_tokens,
        context_tokens,
        tuple(pause_limits),
    )
    prefill_until_ms = prefill_end_ms(intervals) if intervals else -inf
    groups = group_pause_limits(pause_limits)
    shortest_pause_ms = groups[0].pause_ms if groups else inf
    return LoadSummary(base_load, prefill_until_ms, shortest_pause_ms, groups)


def group_pause_limits(
    pause_limits: Iterable[PauseLimit],
) -> tuple[PauseLimitGroup, ...]:
    """Group requests by their longest pause; there are few distinct values."""
    tokens: dict[float, list[int]] = {}
    for limit in pause_limits:
        tokens.setdefault(limit.pause_ms, []).append(limit.prompt_tokens)
    groups = [
        PauseLimitGroup(pause_ms, len(prompts), sum(prompts))
        for pause_ms, prompts in tokens.items()
    ]
    groups.sort()
    return tuple(groups)


class PrefillInterval(NamedTuple):
    """One engine's prefill for one request, in milliseconds; sorts by its start."""

    start_ms: float
    length_ms: float


def prefill_of(entry: InFlightRequest, endpoint: EndpointId) -> PrefillInterval:
    """Return what an engine prefills for a request."""
    length_ms = sum(
        part.prefill_ms for part in entry.parts if part.endpoint == endpoint
    )
    return PrefillInterval(entry.started_at.total_seconds() * 1e3, length_ms)


def prefill_end_ms(intervals: list[PrefillInterval]) -> float:
    """Return the time in ms at which consecutive prefills are done."""
    free_at = -inf
    for interval in sorted(intervals):
        free_at = max(free_at, interval.start_ms) + interval.length_ms
    return free_at


def held_tokens_on(entry: InFlightRequest, endpoint: EndpointId) -> int:
    """Return the tokens of a request with reservations that an engine holds."""
    return sum(held.tokens for held in entry.held if held.endpoint == endpoint)
