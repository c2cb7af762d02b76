"""Running work, own and peers', and the load that it puts on each engine."""

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
    """What one engine reads of a prompt.

    Attributes
    ----------
    tokens : int
        Prompt tokens of the part.
    read_ms : float
        Predicted milliseconds of reading, with the part's share of the pairs.
    """

    endpoint: EndpointId
    tokens: int
    prefill_ms: float


class HeldTokens(msgspec.Struct, frozen=True):
    """Tokens of a prompt's memory that one engine holds."""

    endpoint: EndpointId
    tokens: int


class InFlightRequest(msgspec.Struct, frozen=True):
    """One running request on the engines.

    Attributes
    ----------
    host : EndpointId
        Engine that writes the answer and takes one of its slots for it.
    parts : tuple of Part
        What the host and its helpers read.
    held : tuple of Held
        Where the prompt and its answer are kept.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and the expected length of the answer.
    longest_pause : timedelta or None
        Between two events of an answer that is on time.
    started_at : timedelta
        When the request was sent.
    first_token_at : timedelta or None
        None while the prompt is being read.
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
    """The longest pause that one request on an engine bears.

    Attributes
    ----------
    pause_ms : float
        Milliseconds between two of its events.
    prompt_tokens : int
        Length of its prompt, by which its worth is told.
    """

    pause_ms: float
    prompt_tokens: int


class EngineLoad(msgspec.Struct, frozen=True):
    """What is known of the work on one engine at one moment.

    Attributes
    ----------
    running : int
        Requests whose host it is.
    writers : int
        Those of them that have their first token.
    helping : int
        Requests of other hosts, of which it still reads a part.
    reading_ms : float
        Milliseconds of reading that are promised and not yet done.
    promised_tokens : int
        Tokens of prompts and expected answers that it holds or will hold.
    context_tokens : int
        Tokens that its writers attend to in each step.
    paces : tuple of Pace
        Of the requests whose host it is and that have a longest pause.
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
        return timedelta(milliseconds=min(pace.pause_ms for pace in self.pause_limits))


IDLE_LOAD = EngineLoad()


class PauseLimitGroup(NamedTuple):
    """Requests on an engine that bear the same longest pause.

    Attributes
    ----------
    prompt_tokens : int
        Of all of them.
    """

    pause_ms: float
    requests: int
    prompt_tokens: int


class LoadSummary(msgspec.Struct, frozen=True):
    """The load of one engine until its work changes.

    Attributes
    ----------
    standing : EngineLoad
        The load without reading.
    read_until_ms : float
        Instant at which all promised reading is done; -inf without any.
    tightest_ms : float
        Shortest of the longest pauses of its requests; inf without any.
    alike : tuple of AlikePaces
        Its requests by their longest pause, the shortest first.
    """

    base_load: EngineLoad
    prefill_until_ms: float = -inf
    shortest_pause_ms: float = inf
    pause_groups: tuple[PauseLimitGroup, ...] = ()

    def prefill_backlog_ms(self, now_ms: float) -> float:
        """Return the milliseconds of reading that are promised and not yet done."""
        return max(0.0, self.prefill_until_ms - now_ms)


EMPTY_SUMMARY = LoadSummary(IDLE_LOAD)


class LoadTracker(msgspec.Struct):
    """The running work of this instance and of its peers, by engine.

    Adding or ending a request costs the number of its engines. The load of an engine
    is summed up when it is asked for first after a change of the work on it. All times
    are of this instance's clock.
    """

    own: dict[RequestId, InFlightRequest] = msgspec.field(default_factory=dict)
    peers: dict[InstanceId, dict[RequestId, InFlightRequest]] = msgspec.field(
        default_factory=dict
    )
    by_engine: dict[EndpointId, dict[int, InFlightRequest]] = msgspec.field(
        default_factory=dict
    )
    """Work under its identity, as two instances may name the same request."""
    summaries: dict[EndpointId, LoadSummary] = msgspec.field(default_factory=dict)
    """Of engines with work that has not changed since it was summed up."""
    start_rate: DecayingRate = msgspec.field(default_factory=DecayingRate)
    """Works on engines, of all instances."""
    report_delay: ReportDelay = msgspec.field(default_factory=ReportDelay)
    """Of peers' works on engines when they were heard of first."""
    overloads: OverloadReports = msgspec.field(default_factory=OverloadReports)
    """Of engines that turned calls away."""
    rejection_rate: DecayingRate = msgspec.field(default_factory=DecayingRate)
    """Calls of this instance that full engines turned away."""

    def record(self, work: InFlightRequest) -> None:
        """Add own work, or replace what was known of it; ended work is dropped."""
        if work.parts and work.request not in self.own:
            self.start_rate.record(work.started_at)
        self.remove(work.request)
        if not work.ended:
            self.own[work.request] = work
            self.add_to_index(work)

    def remove(self, request: RequestId) -> None:
        """Forget own work."""
        former = self.own.pop(request, None)
        if former is not None:
            self.remove_from_index(former)

    def rename(self, request: RequestId, name: RequestId) -> InFlightRequest | None:
        """Give own work another name, and return it; nothing else of it changes."""
        former = self.own.pop(request, None)
        if former is None:
            return None
        self.remove_from_index(former)
        work = self.own[name] = replace(former, request=name)
        self.add_to_index(work)
        return work

    def record_first_token(self, request: RequestId, now: timedelta) -> None:
        """Learn that own work has been read and writes from now on."""
        work = self.own.get(request)
        if work is not None and work.first_token_at is None:
            self.record(replace(work, first_token_at=now))

    def replace_peer(
        self,
        instance: InstanceId,
        works: Iterable[InFlightRequest],
        received_at: timedelta,
    ) -> None:
        """Put a peer's whole snapshot in the place of its former one.

        Parameters
        ----------
        works : iterable of Work
            Their times shifted to this instance's clock by the caller.
        received_at : timedelta
            No work of the snapshot can have started after it.
        """
        # All works of a peer that is heard for the first time have run for long.
        is_new = instance not in self.peers
        former = self.peers.get(instance, {})
        fresh: dict[RequestId, InFlightRequest] = {}
        for told in works:
            if told.ended:
                continue
            work = told
            if told.started_at > received_at:
                work = replace(told, started_at=received_at)
            known = former.get(work.request)
            if known is None:
                self._record_first_report(work, None if is_new else received_at)
            fresh[work.request] = known if known == work else work
        for request, work in former.items():
            if fresh.get(request) is not work:
                self.remove_from_index(work)
        for request, work in fresh.items():
            if former.get(request) is not work:
                self.add_to_index(work)
        self.peers[instance] = fresh

    def _record_first_report(
        self, work: InFlightRequest, received_at: timedelta | None
    ) -> None:
        """Learn from a peer's work that was not known; when, unless it is old news."""
        self.overloads.count_reported(work.host, work.started_at)
        if not work.parts:
            return
        self.start_rate.record(work.started_at)
        if received_at is not None:
            self.report_delay.record(received_at - work.started_at)

    def update_peer(
        self,
        instance: InstanceId,
        works: Iterable[InFlightRequest],
        ended: Iterable[RequestId],
        received_at: timedelta,
    ) -> None:
        """Take in what has changed of a peer's work.

        Parameters
        ----------
        works : iterable of Work
            Begun or changed; their times shifted to this instance's clock.
        received_at : timedelta
            No work can have started after it.
        """
        known = self.peers.setdefault(instance, {})
        for request in ended:
            former = known.pop(request, None)
            if former is not None:
                self.remove_from_index(former)
        for told in works:
            former = known.get(told.request)
            work = told
            if told.started_at > received_at:
                work = replace(told, started_at=received_at)
            if former is not None:
                self.remove_from_index(former)
            else:
                self._record_first_report(work, received_at)
            known[work.request] = work
            self.add_to_index(work)

    def remove_peer(self, instance: InstanceId) -> None:
        """Drop all work of a peer that is gone."""
        for work in self.peers.pop(instance, {}).values():
            self.remove_from_index(work)

    def record_rejection(
        self, endpoint: EndpointId, slots: int, stay: timedelta, now: timedelta
    ) -> int:
        """Learn that an engine is full; return how many it was believed to run.

        The call that it turned away has been dropped before.

        Parameters
        ----------
        stay : timedelta
            How long a usual answer lasts there.
        """
        self.rejection_rate.record(now)
        believed = self.estimated_running(endpoint, now)
        known = self.summary_of(endpoint).base_load.running
        unheard = round(slots * OVERLOAD_FACTOR) - known
        self.overloads.record(endpoint, OverloadReport(now, max(0, unheard), stay))
        return believed

    def estimated_running(self, endpoint: EndpointId, now: timedelta) -> int:
        """Return how many requests an engine hosts, unheard ones counted."""
        known = self.summary_of(endpoint).base_load.running
        return known + self.overloads.unreported(endpoint, now)

    def add_to_index(self, work: InFlightRequest) -> None:
        """Enter work under each of its engines."""
        for endpoint in engines_of(work):
            self.by_engine.setdefault(endpoint, {})[id(work)] = work
            self.summaries.pop(endpoint, None)

    def remove_from_index(self, work: InFlightRequest) -> None:
        """Take work out from under each of its engines."""
        for endpoint in engines_of(work):
            self.summaries.pop(endpoint, None)
            works = self.by_engine.get(endpoint)
            if works is None:
                continue
            works.pop(id(work), None)
            if not works:
                del self.by_engine[endpoint]

    def requests_on(self, endpoint: EndpointId) -> Iterable[InFlightRequest]:
        """Return all works that lie on an engine, whoever runs them."""
        return self.by_engine.get(endpoint, {}).values()

    def load(self, endpoint: EndpointId, now: timedelta) -> EngineLoad:
        """Return the load of one engine; an unknown one is idle."""
        found = self.summary_of(endpoint)
        reading_ms = found.prefill_backlog_ms(now.total_seconds() * 1e3)
        if reading_ms == 0.0:
            return found.base_load
        return replace(found.base_load, prefill_backlog_ms=reading_ms)

    def summary_of(self, endpoint: EndpointId) -> LoadSummary:
        """Return the load of one engine as it is until its work changes."""
        found = self.summaries.get(endpoint)
        if found is not None:
            return found
        works = self.by_engine.get(endpoint)
        if works is None:
            return EMPTY_SUMMARY
        found = summarize(endpoint, works.values())
        self.summaries[endpoint] = found
        return found


def engines_of(work: InFlightRequest) -> set[EndpointId]:
    """Return all engines on which work lies."""
    engines = {part.endpoint for part in work.parts}
    engines.update(held.endpoint for held in work.held)
    engines.add(work.host)
    return engines


def summarize(endpoint: EndpointId, works: Iterable[InFlightRequest]) -> LoadSummary:
    """Sum up the works on one engine."""
    running = writers = helping = promised = context = 0
    paces: list[PauseLimit] = []
    reads: list[PrefillInterval] = []
    for work in works:
        reading = work.first_token_at is None
        hosted = work.host == endpoint
        if work.held:
            promised += held_tokens_on(work, endpoint)
        if hosted:
            running += 1
            if not work.held:
                promised += work.prompt_tokens + work.answer_tokens
            if not reading:
                writers += 1
                context += work.prompt_tokens
            if work.longest_pause is not None:
                pause_ms = work.longest_pause.total_seconds() * 1e3
                paces.append(PauseLimit(pause_ms, work.prompt_tokens))
        if reading:
            helping += not hosted
            reads.append(prefill_of(work, endpoint))
    standing = EngineLoad(
        running, writers, helping, 0.0, promised, context, tuple(paces)
    )
    read_until_ms = prefill_end_ms(reads) if reads else -inf
    alike = group_pause_limits(paces)
    tightest_ms = alike[0].pause_ms if alike else inf
    return LoadSummary(standing, read_until_ms, tightest_ms, alike)


def group_pause_limits(paces: Iterable[PauseLimit]) -> tuple[PauseLimitGroup, ...]:
    """Sum up requests that bear the same pause; there are few different ones."""
    tokens: dict[float, list[int]] = {}
    for pace in paces:
        tokens.setdefault(pace.pause_ms, []).append(pace.prompt_tokens)
    alike = [
        PauseLimitGroup(each, len(found), sum(found)) for each, found in tokens.items()
    ]
    alike.sort()
    return tuple(alike)


class PrefillInterval(NamedTuple):
    """One engine's reading for one request, in milliseconds; sorts by its start."""

    start_ms: float
    length_ms: float


def prefill_of(work: InFlightRequest, endpoint: EndpointId) -> PrefillInterval:
    """Return what an engine reads for a work."""
    length_ms = sum(part.prefill_ms for part in work.parts if part.endpoint == endpoint)
    return PrefillInterval(work.started_at.total_seconds() * 1e3, length_ms)


def prefill_end_ms(reads: list[PrefillInterval]) -> float:
    """Return the instant, in ms, at which reads one after the other are done."""
    free_at = -inf
    for read in sorted(reads):
        free_at = max(free_at, read.start_ms) + read.length_ms
    return free_at


def held_tokens_on(work: InFlightRequest, endpoint: EndpointId) -> int:
    """Return the tokens that an engine holds of a work that says who holds it."""
    return sum(held.tokens for held in work.held if held.endpoint == endpoint)
