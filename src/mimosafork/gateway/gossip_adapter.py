"""Tells peers what this instance knows, and the kernel what peers know."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

import msgspec
from msgspec.structs import replace

from ..clock import Clock
from ..directory.directory import Directory
from ..directory.feed_update import FeedUpdate
from ..directory.messages import DirectoryChange, EndpointState, TableChanged
from ..directory.rows import Row
from ..gossip.callbacks import Callbacks
from ..gossip.kinds.configuration import Versions
from ..gossip.kinds.endpoints import EndpointWord, Word
from ..gossip.kinds.load import Part as NotedPart
from ..gossip.kinds.load import WorkNote
from ..gossip.kinds.suspicion import Suspicion
from ..gossip.pulls import Held, Matter
from ..gossip.service import Gossip
from ..gossip.state import HeardWork
from ..ids import Digest, EndpointId, InstanceId, RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.routing import PeerWorkChanged, PeerWorkReplaced, PeerWorkUnknown
from ..kernel.messages.sharing import (
    CrashSuspicionUpdated,
    PublishCrashClearance,
    PublishCrashSuspicion,
    PublishWork,
    PublishWorkEnd,
)
from ..placement.load_tracker import HeldTokens, InFlightRequest, PrefillPart
from ..routing.engine import EngineFigures
from .policies.retry_budget import MAX_RETRY_TRANSIT, SlackShare
from .policies.retrying import RETRY_WINDOW
from .subset_selector import SubsetSelector

OFFER_AFTER = timedelta(milliseconds=300)
"""A change is offered to peers this much later: those whose own store answers have it
by then, and need not fetch it."""

OFFER_LISTING_AFTER = timedelta(milliseconds=2200)
"""The same for a list of endpoints, which is for instances that the store does not
answer: those that follow it by peers' words ask it within two seconds, and the whole
list would be fetched by all of them for each endpoint that comes."""

PLAIN_CALL_PUBLISH_DELAY = timedelta(milliseconds=100)
"""A plain endpoint's call is told to peers once it has lasted so long. Most have ended
by the time that peers hear of them: told at once, they were over half of all words of
64 instances, and crowded out those of engines. One that lasts shows a slow endpoint."""

CLOCKS_AGREE = timedelta(milliseconds=100)
"""Two clocks are read one after the other; a busy machine may do something between."""

MILLISECOND = timedelta(milliseconds=1)

FiguresOf = Callable[[EndpointId], EngineFigures | None]


class RowList(msgspec.Struct):
    """Rows as they are handed to a peer."""

    rows: list[Row]


class GossipAdapter:
    """Joins the gossip with the kernel and the directory.

    Parameters
    ----------
    directory : Directory
    post : callable
        Hands a message to the kernel.
    figures_of : callable
        Returns the figures of an endpoint's engine, if it is one.
    clock : Clock
        The kernel's.
    neighbours : Neighbours
        Told who is heard; knows who is to hear of a work.

    Attributes
    ----------
    settles_after : timedelta
        No repeat of a former life counts any more when this one has lasted so long.
    """

    def __init__(
        self,
        directory: Directory,
        post: Callable[[Message], None],
        figures_of: FiguresOf,
        clock: Clock,
        neighbours: SubsetSelector,
    ) -> None:
        self.directory = directory
        self.neighbours = neighbours
        self.post = post
        self.figures_of = figures_of
        self.clock = clock
        self.began_at = clock.monotonic()
        self.settles_after = RETRY_WINDOW + MAX_RETRY_TRANSIT
        self.gossip: Gossip | None = None
        self.known_peers: set[InstanceId] = set()
        self.current: set[InstanceId] = set()
        """Peers of whose works the kernel needs to be told only what changes."""
        self.shift: timedelta | None = None
        """By which the gossip's clock is ahead of the kernel's."""
        self.offer_timer: asyncio.TimerHandle | None = None
        self.listing_timer: asyncio.TimerHandle | None = None
        self.offered = Versions()
        self.untold: dict[RequestId, asyncio.TimerHandle] = {}
        """Plain endpoints' calls that peers are told of if they last."""
        self.callbacks = Callbacks(
            on_configuration_offered=self.configuration_offered,
            on_listing_offered=self.listing_offered,
            on_peers_changed=self.peers_changed,
            on_peer_restarted=self.peer_restarted,
            on_load_changed=self.load_changed,
            on_feed_told=directory.peer_feed.receive,
            on_endpoint_word=self.endpoint_word,
            on_suspicion=self.suspicion_told,
        )

    # What this instance tells

    @singledispatchmethod
    def publish_effect(self, effect: Effect) -> None:
        """Tell peers of an effect that is for them."""

    @publish_effect.register
    def _(self, effect: PublishWork) -> None:
        if effect.work.parts:
            self._tell_work(effect.work)
        else:
            self._tell_if_it_lasts(effect.work)

    @publish_effect.register
    def _(self, effect: PublishWorkEnd) -> None:
        waiting = self.untold.pop(effect.request_id, None)
        if waiting is not None:
            waiting.cancel()
        if self.gossip is not None:
            self.gossip.publish_work_end(int(effect.request_id))

    def _tell_work(self, work: InFlightRequest) -> None:
        """Tell peers of a work."""
        self.untold.pop(work.request, None)
        if self.gossip is not None:
            audience = self.neighbours.work_recipients(
                part.endpoint for part in work.parts
            )
            note = work_note(work, self.clock.monotonic())
            self.gossip.publish_work(note, audience)

    def _tell_if_it_lasts(self, work: InFlightRequest) -> None:
        """Tell peers of a plain endpoint's call that doesn't end soon."""
        waiting = self.untold.pop(work.request, None)
        if waiting is not None:
            waiting.cancel()
        loop = asyncio.get_running_loop()
        after = PLAIN_CALL_PUBLISH_DELAY.total_seconds()
        self.untold[work.request] = loop.call_later(after, self._tell_work, work)

    @publish_effect.register
    def _(self, effect: PublishCrashSuspicion) -> None:
        if self.gossip is not None:
            seen = Suspicion(frozenset({effect.endpoint}))
            self.gossip.publish_suspicion(bytes.fromhex(effect.digest), seen)

    @publish_effect.register
    def _(self, effect: PublishCrashClearance) -> None:
        if self.gossip is not None:
            seen = Suspicion(frozenset(), cleared=True)
            self.gossip.publish_suspicion(bytes.fromhex(effect.digest), seen)

    def directory_changed(self, change: DirectoryChange) -> None:
        """Offer what is new to peers."""
        if self.gossip is None:
            return
        # What peers' works read of engines is worked out by the engines' figures.
        self.current.clear()
        if isinstance(change, TableChanged):
            self.offer_configuration_soon()
            return
        self.offer_listing_soon()
        if change.entry.takes_new_work:
            return
        if change.entry.state is EndpointState.DRAINING:
            said = EndpointWord(Word.LEAVING, change.entry.row.version)
            self.gossip.publish_endpoint_word(change.endpoint, said)
            return
        word = self.directory.endpoint_registry.removals.get(change.endpoint)
        if word is not None and word.confirmed:
            said = EndpointWord(Word.GONE, word.row.version)
            self.gossip.publish_endpoint_word(change.endpoint, said)

    def offer_configuration_soon(self) -> None:
        """Have peers told in a while that there is a newer configuration here."""
        if self.offer_timer is None:
            loop = asyncio.get_running_loop()
            after = OFFER_AFTER.total_seconds()
            self.offer_timer = loop.call_later(after, self.offer_configuration)

    def offer_listing_soon(self) -> None:
        """Have peers told in a while that there is a newer list here."""
        if self.listing_timer is None:
            loop = asyncio.get_running_loop()
            after = OFFER_LISTING_AFTER.total_seconds()
            self.listing_timer = loop.call_later(after, self.offer_listing)

    def offer_configuration(self) -> None:
        """Tell peers which configuration this instance can hand over."""
        self.offer_timer = None
        held = self.holding(Matter.CONFIGURATION)
        self.offer(replace(self.offered, configuration=held.version if held else 0))

    def offer_listing(self) -> None:
        """Tell peers which list of endpoints this instance can hand over."""
        self.listing_timer = None
        held = self.holding(Matter.LISTING)
        self.offer(replace(self.offered, listing=held.version if held else 0))

    def offer(self, versions: Versions) -> None:
        """Tell peers which versions this instance can hand over."""
        self.offered = versions
        if self.gossip is not None:
            self.gossip.publish_versions(versions)

    def feed_told(self, word: FeedUpdate) -> None:
        """Tell peers that the store told nothing new of the endpoints."""
        if self.gossip is not None:
            self.gossip.publish_feed_update(word)

    def holding(self, matter: Matter) -> Held | None:
        """Return what this instance can hand over."""
        if matter is Matter.CONFIGURATION:
            row = self.directory.raw_configuration
            rows = [] if row is None else [row]
        else:
            rows = list(self.directory.raw_endpoints)
        if not rows:
            return None
        newest = max(row.version for row in rows)
        return Held(newest, msgspec.msgpack.encode(RowList(rows)))

    # What this instance hears

    def configuration_offered(self, payload: bytes, version: int) -> None:
        """Take a configuration that a peer handed over."""
        for row in rows_of(payload):
            self.directory.offer_configuration(row)

    def listing_offered(self, payload: bytes, version: int) -> None:
        """Take the endpoints' rows that a peer handed over."""
        for row in rows_of(payload):
            self.directory.offer_endpoint(row)

    def endpoint_word(self, endpoint: EndpointId, said: EndpointWord) -> None:
        """Take a peer's word that an endpoint takes no new work."""
        if said.word is Word.LEAVING:
            self.directory.offer_draining(endpoint, said.version)
        else:
            self.directory.offer_removal(endpoint, said.version)

    def suspicion_told(self, digest: bytes, known: Suspicion) -> None:
        """Take what all know of a suspected request."""
        told = CrashSuspicionUpdated(Digest(digest.hex()), known.crashed, known.cleared)
        self.post(told)

    def peers_changed(self) -> None:
        """Forget the work of peers that have fallen silent."""
        if self.gossip is None:
            return
        alive = {peer.instance for peer in self.gossip.peers}
        for instance in self.known_peers - alive:
            self.current.discard(instance)
            self.post(PeerWorkUnknown(instance))
        self.known_peers = alive
        self.directory.peer_feed.select_readers(self.gossip.instance, alive)
        self.neighbours.update_peers(alive, self.gossip.is_large)

    def peer_restarted(self, instance: InstanceId) -> None:
        """Forget the works of a peer's former life, which have ended with it."""
        self.current.discard(instance)
        self.post(PeerWorkUnknown(instance))

    def load_changed(self, instance: InstanceId, numbers: tuple[int, ...]) -> None:
        """Take what has changed of a peer's running work.

        All of it is told anew where it may no longer be what it was taken for. Told at
        each word, it took a sixth of an instance among 64 in a flood (85,108 calls of
        functions a second, 70,521 so: `python -m benchmarks.instance_cost`); and as no
        two readings of a clock agree, no work was ever found to be the same as before.
        """
        if self.gossip is None:
            return
        self._compare_clocks(self.gossip)
        if instance in self.current:
            self._tell_changes(self.gossip, instance, numbers)
            return
        load = self.gossip.load(instance)
        if load is not None:
            self.current.add(instance)
            works = tuple(self.work_of(instance, heard) for heard in load.works)
            self.post(PeerWorkReplaced(instance, works))

    def _tell_changes(
        self, gossip: Gossip, instance: InstanceId, numbers: tuple[int, ...]
    ) -> None:
        works: list[InFlightRequest] = []
        ended: list[RequestId] = []
        for number in numbers:
            heard = gossip.work(instance, number)
            if heard is None:
                ended.append(request_of(instance, number))
            else:
                works.append(self.work_of(instance, heard))
        self.post(PeerWorkChanged(instance, tuple(works), tuple(ended)))

    def _compare_clocks(self, gossip: Gossip) -> None:
        """Have all works told anew, peer by peer, if one of the clocks stood still.

        The kernel's does while the machine is suspended, and works are older then.
        """
        shift = gossip.clock.monotonic() - self.clock.monotonic()
        if self.shift is not None and abs(shift - self.shift) > CLOCKS_AGREE:
            self.current.clear()
        self.shift = shift

    def work_of(self, instance: InstanceId, heard: HeardWork) -> InFlightRequest:
        """Return a peer's work in times of the kernel's clock."""
        note = heard.note
        told_at = self.clock.monotonic() - heard.age
        first = note.writing_ms
        pause = note.longest_pause_ms * MILLISECOND
        return InFlightRequest(
            request=request_of(instance, note.number),
            host=note.host,
            parts=self.parts_of(note),
            held=tuple(HeldTokens(each.helper, each.tokens) for each in note.held),
            prompt_tokens=note.prompt_tokens,
            answer_tokens=note.answer_tokens,
            longest_pause=pause or None,
            started_at=told_at - note.age_ms * MILLISECOND,
            first_token_at=None if first is None else told_at - first * MILLISECOND,
        )

    def parts_of(self, note: WorkNote) -> tuple[PrefillPart, ...]:
        """Return what each engine reads of a peer's prompt."""
        figures = self.figures_of(note.host)
        if figures is None:
            return ()
        helped = sum(part.tokens for part in note.parts)
        shares = [NotedPart(note.host, note.prompt_tokens - helped), *note.parts]
        return tuple(
            PrefillPart(
                each.helper,
                each.tokens,
                figures.prefill_ms(each.tokens, note.prompt_tokens),
            )
            for each in shares
        )

    def peers_heard(self) -> int:
        """Return how many peers are heard."""
        return 0 if self.gossip is None else len(self.gossip.peers)

    def slack_share(self) -> SlackShare:
        """Return this instance's part in what all may repeat beside the ratio.

        Guard: nothing tells a new life what its former one has sent. Where all are
        killed in a flood, and come back to the callers that ask again, both would
        spend the slack in one window; so a life has its part when it has lasted for
        one. In a fleet that is new nobody has spent any.
        """
        if self.gossip is None:
            return SlackShare(known=False, restarted_at=self.began_at)
        census = self.gossip.census
        lasted = self.clock.monotonic() - self.began_at
        is_over = census.fleet_is_new or lasted >= self.settles_after
        since = None if is_over else self.began_at
        rank = census.rank(self.gossip.instance, self.gossip.clock.monotonic())
        return SlackShare(census.instances, rank, census.complete, since)


def request_of(instance: InstanceId, number: int) -> RequestId:
    """Return the name of a peer's work here."""
    return RequestId(f"{instance}/{number}")


def work_note(work: InFlightRequest, now: timedelta) -> WorkNote:
    """Return what peers are told of own work."""
    first = work.first_token_at
    pause = work.longest_pause or timedelta(0)
    return WorkNote(
        number=int(work.request),
        host=work.host,
        prompt_tokens=work.prompt_tokens,
        answer_tokens=work.answer_tokens,
        longest_pause_ms=int(pause / MILLISECOND),
        age_ms=int((now - work.started_at) / MILLISECOND),
        writing_ms=None if first is None else int((now - first) / MILLISECOND),
        parts=tuple(
            NotedPart(part.endpoint, part.tokens)
            for part in work.parts
            if part.endpoint != work.host
        ),
        held=tuple(NotedPart(held.endpoint, held.tokens) for held in work.held),
    )


def rows_of(payload: bytes) -> list[Row]:
    """Return the rows that a peer handed over; none if they can't be read."""
    try:
        return msgspec.msgpack.decode(payload, type=RowList).rows
    except msgspec.MsgspecError:
        return []
