"""A model entry instance: its own book, its peers' gossip, and its callers."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Protocol

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from mimosafork.placement.choice import (
    Assignment,
    EngineView,
    PlacementDecision,
    PlacementRequest,
    RejectRequest,
)
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker
from mimosafork.placement.overload import (
    LoadCeiling,
    lower_ceiling,
    slot_release_time,
    typical_answer_time,
)
from mimosafork.routing.engine import EngineFigures

from ..virtual_time import EventLoop
from .engine import Job, PassEngine, Ticket
from .faults import FaultKind, Suspects, Troubles
from .outcome import Outcome
from .traffic import Call
from .words import Rejection, Words

CALLER_S = 0.003
"""One way between a caller and an entry instance."""
ORDER_S = 0.006
"""Time of a reservation's order, sent to all engines at once."""
ASK_AGAIN_S = 0.02
"""A call without a place is placed anew so often."""
NEWS_S = 0.004
"""Work that begins, writes or ends is told to the peers so soon."""
NEWS_WORK_S = 0.001
"""It is heard so long after its way, which is that to an engine."""
MOST_TRIES = 2
"""Attempts of a caller."""
MOST_SENDS = 2
"""Engines that one attempt is sent to, the second after silence."""
SILENT_SHARE = 0.45
"""Another engine is tried after this share of the caller's patience."""
HOPELESS_SHARE = 0.25
"""A call that has waited for this share of its time is refused."""
COME_BACK_S = 0.6
"""When its caller is told to come back then."""
WAIT_SHARE = 1 / 3
"""A caller comes back after at most this share of the time that it has left."""


class Policy(Protocol):
    """Chooses a place for a call."""

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return where the call goes."""


@dataclass(slots=True, eq=False)
class World:
    """What all entry instances of a run share.

    Attributes
    ----------
    outcomes : list of Outcome
        One for each call, by its number.
    hop_s : float
        One way between an entry instance and an engine.
    words : Words
        How words come to other instances.
    arrivals : int
        Calls that came to engines.
    rejections : list of Rejection
        Those that engines turned away as they were full.
    """

    loop: EventLoop
    figures: EngineFigures
    views: tuple[EngineView, ...]
    engines: dict[EndpointId, PassEngine]
    outcomes: list[Outcome]
    random: Random
    hop_s: float
    troubles: Troubles = field(default_factory=Troubles)
    words: Words = field(default_factory=Words)
    arrivals: int = 0
    rejections: list[Rejection] = field(default_factory=list)
    entries: list["Entry"] = field(default_factory=list)

    def engines_known(self) -> tuple[EngineView, ...]:
        """Return the engines as the list and their reports have them now."""
        if not self.troubles.faults:
            return self.views
        now_s = self.loop.now_s
        return tuple(
            self.troubles.known(number, view, now_s)
            for number, view in enumerate(self.views)
        )

    def fails(self, endpoint: EndpointId) -> bool:
        """Return whether an engine fails a call that comes now."""
        if not self.troubles.faults:
            return False
        number = next(n for n, v in enumerate(self.views) if v.endpoint == endpoint)
        fault = self.troubles.at(number, FaultKind.GREY, self.loop.now_s)
        return fault is not None and self.random.random() < fault.strength


@dataclass(slots=True, eq=False)
class Entry:
    """One entry instance."""

    name: InstanceId
    zone: AvailabilityZoneId
    world: World
    policy: Policy
    random: Random
    book: LoadTracker = field(default_factory=LoadTracker)
    suspects: Suspects = field(default_factory=Suspects)
    news: bool = False

    def views(self) -> tuple[EngineView, ...]:
        """Return the engines as this instance knows them."""
        now_s = self.world.loop.now_s
        known = self.world.engines_known()
        if not self.suspects.until_s:
            return known
        return tuple(self.suspects.marked(view, now_s) for view in known)

    def changed(self) -> None:
        """Tell the peers soon that the own running work is another."""
        if not self.news:
            self.news = True
            self.world.loop.after(NEWS_S, self.tell)

    def tell(self) -> None:
        """Send the own running work to all peers."""
        self.news = False
        works = tuple(self.book.own.values())
        words, now_s = self.world.words, self.world.loop.now_s
        delay_s = self.world.hop_s + NEWS_WORK_S + words.late_s
        for peer in self.world.entries:
            if peer is not self and words.heard(self.zone, peer.zone, now_s):
                self.world.loop.after(delay_s, peer.hear, self.name, works)

    def miss(self) -> None:
        """Take the peers of other zones to be gone, as nothing is heard of them."""
        for peer in self.world.entries:
            if peer.zone != self.zone:
                self.book.remove_peer(peer.name)

    def hear(self, name: InstanceId, works: tuple[InFlightRequest, ...]) -> None:
        """Take in a peer's snapshot."""
        self.book.replace_peer(name, works, self.world.loop.monotonic())

    def take(self, call: Call, tries: int = 1) -> None:
        """Begin an attempt."""
        attempt = Attempt(self, call, tries)
        left_s = call.at_s + call.kind.limit_ms / 1e3 - self.world.loop.now_s
        self.world.loop.after(left_s, attempt.give_up)
        self.world.loop.after(call.kind.abandon_ms / 1e3, attempt.check, 0)
        attempt.place()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at an entry instance; hears of its job's progress."""

    entry: Entry
    call: Call
    tries: int
    job: Job | None = None
    host: PassEngine | None = None
    host_id: EndpointId = EndpointId("")
    tickets: tuple[Ticket, ...] = ()
    events: int = 0
    sends: int = 0
    over: bool = False
    waiting_since_s: float | None = None
    avoid: frozenset[EndpointId] = frozenset()
    crowd: LoadCeiling | None = None

    @property
    def request(self) -> RequestId:
        """Name of this attempt."""
        return RequestId(f"{self.call.number}-{self.tries}")

    @property
    def outcome(self) -> Outcome:
        """What becomes of the call."""
        return self.entry.world.outcomes[self.call.number]

    def ask(self) -> PlacementRequest:
        """Return what placement is asked now."""
        kind = self.call.kind
        gone_ms = (self.entry.world.loop.now_s - self.call.at_s) * 1e3
        return PlacementRequest(
            request=self.request,
            prompt_tokens=self.call.prompt_tokens,
            max_answer_tokens=self.call.answer_tokens,
            answer_tokens=self.call.hint_tokens,
            time_left=timedelta(milliseconds=kind.limit_ms - gone_ms),
            objective=timedelta(milliseconds=kind.objective_ms - gone_ms),
            longest_pause=timedelta(milliseconds=kind.pause_ms),
            avoid=self.avoid,
            zone=self.entry.zone,
            running_ceiling=self.crowded(),
        )

    def crowded(self) -> int | None:
        """Return how many requests on an engine are too many, after a rejection."""
        now = self.entry.world.loop.monotonic()
        if self.crowd is None or now >= self.crowd.until:
            return None
        return self.crowd.running

    def place(self) -> None:
        """Ask the policy for a place and send the call there, or wait, or refuse."""
        if self.over:
            return
        world = self.entry.world
        ask = self.ask()
        now = world.loop.monotonic()
        choice = self.entry.policy.choose(
            ask,
            self.entry.views(),
            self.entry.book,
            world.figures,
            now,
            self.entry.random,
        )
        if isinstance(choice, Assignment):
            self.waiting_since_s = None
            self.entry.book.record(choice.to_in_flight_request(ask, now))
            self.entry.changed()
            self.outcome.placed(choice, world.loop.now_s)
            delay_s = world.hop_s + (ORDER_S if choice.reservations else 0.0)
            world.loop.after(delay_s, self.send, choice)
        elif isinstance(choice, RejectRequest):
            self.refuse(choice.retry_after.total_seconds())
        else:
            self.wait()

    def wait(self) -> None:
        """Ask again after a while, or refuse what has waited for too long."""
        now_s = self.entry.world.loop.now_s
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s
        limit_s = self.call.kind.limit_ms / 1e3
        if now_s - self.waiting_since_s > limit_s * HOPELESS_SHARE:
            self.refuse(COME_BACK_S)
        else:
            self.entry.world.loop.after(ASK_AGAIN_S, self.place)

    def send(self, place: Assignment) -> None:
        """Hand the call to its host."""
        if self.over:
            return
        engines = self.entry.world.engines
        self.host = engines[place.host]
        self.host_id = place.host
        taken: list[Ticket] = []
        for each in place.reservations:
            ticket = engines[each.endpoint].reserve(each.tokens)
            if ticket is not None:
                taken.append(ticket)
        self.tickets = tuple(taken)
        helpers = tuple(engines[helper.endpoint] for helper in place.helpers)
        self.job = Job(
            self.call.prompt_tokens,
            self.call.answer_tokens,
            self,
            helpers,
            self.tickets,
            written=self.events * self.entry.world.figures.stride,
        )
        if self.entry.world.fails(place.host):
            self.sends += 1
            self.lost()
            return
        short = len(taken) < len(place.reservations)
        self.entry.world.arrivals += 1
        if short or not self.host.submit(self.job):
            self.outcome.turned_away += 1
            self.avoid = frozenset({place.host})
            self.leave()
            self.job = None
            if self.host.is_full and not short:
                self.note_rejection(place.host)
            self.entry.world.loop.after(ASK_AGAIN_S, self.place)
            return
        self.sends += 1
        self.watch()

    def note_rejection(self, host: EndpointId) -> None:
        """Take in that an engine is full."""
        world = self.entry.world
        call = (self.call.number, self.tries)
        rejection = Rejection(world.loop.now_s, host, self.entry.name, call)
        world.rejections.append(rejection)
        learn_full(self, host)

    def watch(self) -> None:
        """Look later whether the host has been silent."""
        silent_s = self.call.kind.abandon_ms / 1e3 * SILENT_SHARE
        self.entry.world.loop.after(silent_s, self.move, self.events, self.sends)

    def move(self, events: int, sends: int) -> None:
        """Try another engine if nothing came from this one since then."""
        silent = events == self.events and sends == self.sends
        if self.over or not silent or sends >= MOST_SENDS or self.job is None:
            return
        assert self.host is not None
        self.host.cancel(self.job)
        self.leave()
        self.job = None
        self.outcome.moved += 1
        self.avoid = frozenset({self.host_id})
        self.place()

    def lost(self) -> None:
        """Try another engine once, as the present one failed or is gone."""
        if self.over:
            return
        self.entry.suspects.note(self.host_id, self.entry.world.loop.now_s)
        self.leave()
        self.job = None
        if self.sends >= MOST_SENDS:
            self.over = True
            self.come_again(0.0)
            return
        self.avoid = frozenset({self.host_id})
        self.place()

    def leave(self) -> None:
        """Give back what the attempt holds."""
        self.entry.book.remove(self.request)
        self.entry.changed()
        for ticket in self.tickets:
            ticket.engine.release(ticket)
        self.tickets = ()

    def first_token(self) -> None:
        """Learn that the prompt has been read."""
        loop = self.entry.world.loop
        loop.after(self.entry.world.hop_s, self.learn)

    def learn(self) -> None:
        """Enter the first token into the book."""
        self.entry.book.record_first_token(
            self.request, self.entry.world.loop.monotonic()
        )
        self.entry.changed()

    def event(self) -> None:
        """Pass an event on to the caller."""
        loop = self.entry.world.loop
        self.events += 1
        self.outcome.hear(loop.now_s + self.entry.world.hop_s + CALLER_S, self.tries)
        loop.after(self.call.kind.abandon_ms / 1e3, self.check, self.events)
        if self.sends < MOST_SENDS:
            self.watch()

    def end(self) -> None:
        """Learn that the answer is complete."""
        self.over = True
        self.outcome.complete = True
        self.entry.world.loop.after(self.entry.world.hop_s, self.leave)

    def check(self, events: int) -> None:
        """Give up if nothing came since some event."""
        if events == self.events:
            self.give_up()

    def give_up(self) -> None:
        """End an attempt whose caller has gone; the caller may come again."""
        if self.over:
            return
        self.over = True
        if self.job is not None and self.host is not None:
            self.host.cancel(self.job)
        self.leave()
        self.outcome.abandoned += 1
        self.come_again(0.0)

    def refuse(self, come_back_s: float) -> None:
        """Refuse the call; its caller comes back when told."""
        self.over = True
        self.leave()
        self.outcome.refused += 1
        self.come_again(come_back_s)

    def come_again(self, pause_s: float) -> None:
        """Let the caller try again at another instance, if it has tries left."""
        world = self.entry.world
        left_s = self.call.at_s + self.call.kind.limit_ms / 1e3 - world.loop.now_s
        if self.tries >= MOST_TRIES or left_s <= 0.05:
            return
        others = [entry for entry in world.entries if entry is not self.entry]
        entry = world.random.choice(others or world.entries)
        pause_s = min(max(pause_s, CALLER_S), left_s * WAIT_SHARE)
        self.outcome.start_again()
        world.loop.after(pause_s, entry.take, self.call, self.tries + 1)


def learn_full(attempt: Attempt, host: EndpointId) -> None:
    """Correct what is believed of an engine that turned an attempt away."""
    entry = attempt.entry
    figures, now = entry.world.figures, entry.world.loop.monotonic()
    running = entry.book.record_rejection(
        host, figures.slots, typical_answer_time(figures), now
    )
    attempt.crowd = lower_ceiling(
        attempt.crowd, running, now + slot_release_time(figures)
    )
