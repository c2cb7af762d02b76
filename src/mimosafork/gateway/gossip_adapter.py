"""Exchange of state between the gossip, the kernel and the directory."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from msgspec.structs import replace

from ..clock import Clock
from ..directory.directory import Directory
from ..directory.feed_update import FeedUpdate
from ..directory.messages import (
    DirectoryChange,
    EndpointState,
    EvacuationChanged,
    TableChanged,
    UpdateOrigin,
)
from ..gossip.callbacks import Callbacks
from ..gossip.kinds.configuration import Versions
from ..gossip.kinds.endpoints import EndpointWord, Word
from ..gossip.kinds.limits import LimitNote
from ..gossip.pulls import Held, Matter
from ..gossip.service import Gossip
from ..gossip.state import HeardWork
from ..ids import EndpointId, InstanceId, RequestId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.connectivity import PublishConnectivity
from ..kernel.messages.crashes import (
    PublishInterruptedRun,
    PublishQuarantine,
    PublishRefutation,
    PublishSuccess,
)
from ..kernel.messages.endpoint_statements import MarkDraining
from ..kernel.messages.rate_limits import PeerRateLimitStated, PublishRateLimit
from ..kernel.messages.routing import PeerWorkChanged, PeerWorkReplaced, PeerWorkUnknown
from ..kernel.messages.sharing import PublishWork, PublishWorkEnd
from ..placement.load_tracker import InFlightRequest
from .crash_adapter import CrashAdapter
from .limit_notes import limit_note, peer_statement
from .peer_connectivity import PeerConnectivity
from .row_payload import decode_rows, decode_zones, encode_rows
from .subset_selector import SubsetSelector
from .work_notes import (
    EngineFiguresLookup,
    peer_in_flight_request,
    peer_request_id,
    work_note,
)

CONFIGURATION_OFFER_DELAY = timedelta(milliseconds=300)
"""Delay before a change is offered to peers. Peers whose store answers have it by then
and need not fetch it."""

LISTING_OFFER_DELAY = timedelta(milliseconds=2200)
"""Delay before a list of endpoints is offered to peers. The list is for instances whose
store does not answer. Those that follow the store by feed updates of peers query it
within two seconds; with a shorter delay all of them would fetch the whole list for each
new endpoint."""

PLAIN_CALL_PUBLISH_DELAY = timedelta(milliseconds=100)
"""Time after which a plain endpoint's call is published to peers. Most have ended
before peers would receive them: published at once, they made up over half of all gossip
entries of 64 instances and delayed those of engines. A call that lasts longer indicates
a slow endpoint."""

CLOCK_TOLERANCE = timedelta(milliseconds=100)
"""Tolerated change between two clocks, as they are read one after the other and a busy
machine may delay the second reading."""


class GossipAdapter:
    """Connects the gossip with the kernel and the directory.

    Parameters
    ----------
    directory : Directory
    post : callable
        Posts a message to the kernel.
    engine_figures : callable
        Returns the engine figures of an endpoint, or None if it is not an engine.
    clock : Clock
        The kernel's.
    subset_selector : SubsetSelector
        Selects the peers that a work note is sent to.
    """

    def __init__(
        self,
        directory: Directory,
        post: Callable[[Message], None],
        engine_figures: EngineFiguresLookup,
        clock: Clock,
        subset_selector: SubsetSelector,
    ) -> None:
        self.directory = directory
        self.subset_selector = subset_selector
        self.post = post
        self.engine_figures = engine_figures
        self.clock = clock
        self.gossip: Gossip | None = None
        self.live_peers: set[InstanceId] = set()
        self.synced_peers: set[InstanceId] = set()
        """Peers whose whole load the kernel has; it needs only their changes."""
        self.clock_offset: timedelta | None = None
        """How far the gossip's clock is ahead of the kernel's."""
        self.configuration_offer_timer: asyncio.TimerHandle | None = None
        self.listing_offer_timer: asyncio.TimerHandle | None = None
        self.published_versions = Versions()
        self.delayed_publishes: dict[RequestId, asyncio.TimerHandle] = {}
        """Timers of plain endpoints' calls that are published if they last."""
        self.connectivity = PeerConnectivity(post)
        self.crashes = CrashAdapter(post, clock)
        self.callbacks = Callbacks(
            on_configuration_offered=self.receive_configuration,
            on_listing_offered=self.receive_listing,
            on_peers_changed=self.update_live_peers,
            on_peer_restarted=self.peer_restarted,
            on_load_changed=self.receive_load_changes,
            on_feed_told=directory.peer_feed.receive,
            on_endpoint_word=self.receive_endpoint_notice,
            on_evacuation=directory.offer_evacuation,
            on_interrupted_run=self.crashes.receive_run,
            on_crash_refuted=self.crashes.receive_refutation,
            on_success=self.crashes.receive_success,
            on_quarantine=self.crashes.receive_quarantine,
            on_limit=self.receive_limit,
            on_connectivity=self.connectivity.update,
        )

    # Publishing to peers

    @singledispatchmethod
    def publish_effect(self, effect: Effect) -> None:
        """Publish an effect that concerns peers."""

    @publish_effect.register
    def _(self, effect: PublishWork) -> None:
        if effect.work.parts:
            self._publish_work(effect.work)
        else:
            self._schedule_work_publish(effect.work)

    @publish_effect.register
    def _(self, effect: PublishWorkEnd) -> None:
        timer = self.delayed_publishes.pop(effect.request_id, None)
        if timer is not None:
            timer.cancel()
        if self.gossip is not None:
            self.gossip.publish_work_end(int(effect.request_id))

    def _publish_work(self, work: InFlightRequest) -> None:
        """Publish an in-flight request to peers."""
        self.delayed_publishes.pop(work.request, None)
        if self.gossip is not None:
            recipients = self.subset_selector.work_recipients(
                part.endpoint for part in work.parts
            )
            note = work_note(work, self.clock.monotonic())
            self.gossip.publish_work(note, recipients)

    def _schedule_work_publish(self, work: InFlightRequest) -> None:
        """Publish a plain endpoint's call unless it ends within the delay."""
        timer = self.delayed_publishes.pop(work.request, None)
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        after = PLAIN_CALL_PUBLISH_DELAY.total_seconds()
        self.delayed_publishes[work.request] = loop.call_later(
            after, self._publish_work, work
        )

    @publish_effect.register
    def _(
        self,
        effect: PublishInterruptedRun
        | PublishRefutation
        | PublishSuccess
        | PublishQuarantine,
    ) -> None:
        if self.gossip is not None:
            self.crashes.publish(effect, self.gossip)

    @publish_effect.register
    def _(self, effect: PublishRateLimit) -> None:
        if self.gossip is not None:
            self.gossip.publish_limit(effect.endpoint, limit_note(effect.statement))

    @publish_effect.register
    def _(self, effect: PublishConnectivity) -> None:
        self.connectivity.set_unreachable(effect.unreachable)

    @publish_effect.register
    def _(self, effect: MarkDraining) -> None:
        # The directory notifies its listeners of the change, this adapter among them.
        self.directory.offer_draining(effect.endpoint, origin=UpdateOrigin.ENDPOINT)

    def directory_changed(self, change: DirectoryChange) -> None:
        """Publish a change of the directory to peers."""
        if self.gossip is None:
            return
        if isinstance(change, EvacuationChanged):
            self.gossip.publish_evacuation(change.zone, change.state)
            return
        # The prefill parts of peers' requests depend on the engines' figures.
        self.synced_peers.clear()
        if isinstance(change, TableChanged):
            self.schedule_configuration_offer()
            return
        self.schedule_listing_offer()
        if change.entry.takes_new_work:
            return
        if change.entry.state is EndpointState.DRAINING:
            notice = EndpointWord(Word.LEAVING, change.entry.row.version)
            self.gossip.publish_endpoint_word(change.endpoint, notice)
            return
        removal = self.directory.endpoint_registry.removed.removals.get(change.endpoint)
        if removal is not None and removal.confirmed:
            notice = EndpointWord(Word.GONE, removal.row.version)
            self.gossip.publish_endpoint_word(change.endpoint, notice)

    def schedule_configuration_offer(self) -> None:
        """Schedule the offer of a newer configuration to peers."""
        if self.configuration_offer_timer is None:
            loop = asyncio.get_running_loop()
            after = CONFIGURATION_OFFER_DELAY.total_seconds()
            self.configuration_offer_timer = loop.call_later(
                after, self.offer_configuration
            )

    def schedule_listing_offer(self) -> None:
        """Schedule the offer of a newer list of endpoints to peers."""
        if self.listing_offer_timer is None:
            loop = asyncio.get_running_loop()
            after = LISTING_OFFER_DELAY.total_seconds()
            self.listing_offer_timer = loop.call_later(after, self.offer_listing)

    def offer_configuration(self) -> None:
        """Publish the version of the configuration that peers can fetch here."""
        self.configuration_offer_timer = None
        held = self.transfer_payload(Matter.CONFIGURATION)
        self.update_versions(
            replace(self.published_versions, configuration=held.order if held else ())
        )

    def offer_listing(self) -> None:
        """Publish the version of the list of endpoints that peers can fetch here."""
        self.listing_offer_timer = None
        held = self.transfer_payload(Matter.LISTING)
        self.update_versions(
            replace(self.published_versions, listing=held.order if held else ())
        )

    def update_versions(self, versions: Versions) -> None:
        """Publish the versions that peers can fetch here."""
        self.published_versions = versions
        if self.gossip is not None:
            self.gossip.publish_versions(versions)

    def publish_feed_state(self, update: FeedUpdate) -> None:
        """Publish that the store reported no change of the endpoints."""
        if self.gossip is not None:
            self.gossip.publish_feed_update(update)

    def transfer_payload(self, matter: Matter) -> Held | None:
        """Return the rows that a peer can fetch here, or None without any."""
        if matter is Matter.CONFIGURATION:
            return self._held_configuration()
        rows = list(self.directory.raw_endpoints)
        if not rows:
            return None
        newest = max(row.version for row in rows)
        return Held(newest.number, encode_rows(rows), tuple(newest))

    def _held_configuration(self) -> Held | None:
        """Return the configuration's row.

        Configurations are ordered by their own versions: an older one stands in a row
        of a later era after the store was restored.
        """
        table, row = self.directory.table, self.directory.raw_configuration
        if table is None or row is None:
            return None
        order = (table.version, *row.version)
        payload = encode_rows([row], self.directory.evacuations.states)
        return Held(row.version.number, payload, order)

    # Receiving from peers

    def receive_configuration(self, payload: bytes) -> None:
        """Receive a configuration from a peer, and first the evacuated zones."""
        for zone, state in decode_zones(payload).items():
            self.directory.offer_evacuation(zone, state)
        for row in decode_rows(payload):
            self.directory.offer_configuration(row)

    def receive_listing(self, payload: bytes) -> None:
        """Receive the rows of endpoints from a peer."""
        for row in decode_rows(payload):
            self.directory.offer_endpoint(row)

    def receive_endpoint_notice(
        self, endpoint: EndpointId, notice: EndpointWord
    ) -> None:
        """Receive a peer's notice that an endpoint accepts no new work."""
        if notice.word is Word.LEAVING:
            self.directory.offer_draining(endpoint, notice.version)
        else:
            self.directory.offer_removal(endpoint, notice.version)

    def receive_limit(
        self, endpoint: EndpointId, note: LimitNote, age: timedelta
    ) -> None:
        """Receive what an endpoint stated to a peer about its rate limit."""
        statement = peer_statement(note, age, self.clock.monotonic())
        self.post(PeerRateLimitStated(endpoint, statement))

    def update_live_peers(self) -> None:
        """Update the live peers, and discard the work of silent ones."""
        if self.gossip is None:
            return
        live = {peer.instance for peer in self.gossip.peers}
        for instance in self.live_peers - live:
            self.synced_peers.discard(instance)
            self.post(PeerWorkUnknown(instance))
        self.live_peers = live
        self.connectivity.update()
        self.directory.peer_feed.select_readers(self.gossip.instance, live)
        self.subset_selector.update_peers(live, self.gossip.is_large)

    def peer_restarted(self, instance: InstanceId) -> None:
        """Discard the work of a peer's previous incarnation, which ended with it."""
        self.synced_peers.discard(instance)
        self.post(PeerWorkUnknown(instance))

    def receive_load_changes(
        self, instance: InstanceId, numbers: tuple[int, ...]
    ) -> None:
        """Receive the changes of a peer's in-flight work.

        The peer's whole work is posted only when it may be out of date. Posting it for
        each change took a sixth of an instance's time in a flood of 64 instances
        (85,108 function calls a second against 70,521, see `python -m
        benchmarks.instance_cost`). Unchanged work could not be skipped either, as clock
        readings always differ.
        """
        if self.gossip is None:
            return
        self._check_clock_offset(self.gossip)
        if instance in self.synced_peers:
            self._post_work_changes(self.gossip, instance, numbers)
            return
        load = self.gossip.load(instance)
        if load is not None:
            self.synced_peers.add(instance)
            works = tuple(
                self.peer_request(instance, peer_work) for peer_work in load.works
            )
            self.post(PeerWorkReplaced(instance, works))

    def _post_work_changes(
        self, gossip: Gossip, instance: InstanceId, numbers: tuple[int, ...]
    ) -> None:
        works: list[InFlightRequest] = []
        ended: list[RequestId] = []
        for number in numbers:
            peer_work = gossip.work(instance, number)
            if peer_work is None:
                ended.append(peer_request_id(instance, number))
            else:
                works.append(self.peer_request(instance, peer_work))
        self.post(PeerWorkChanged(instance, tuple(works), tuple(ended)))

    def _check_clock_offset(self, gossip: Gossip) -> None:
        """Mark all peers as out of date if one of the clocks stood still.

        The kernel's clock stops while the machine is suspended, so that work is older
        than it appears afterwards.
        """
        clock_offset = gossip.clock.monotonic() - self.clock.monotonic()
        if (
            self.clock_offset is not None
            and abs(clock_offset - self.clock_offset) > CLOCK_TOLERANCE
        ):
            self.synced_peers.clear()
        self.clock_offset = clock_offset

    def peer_request(
        self, instance: InstanceId, peer_work: HeardWork
    ) -> InFlightRequest:
        """Return a peer's in-flight request, with times on the kernel's clock."""
        return peer_in_flight_request(
            instance, peer_work, self.engine_figures, self.clock.monotonic()
        )

    def live_peer_count(self) -> int:
        """Return the number of live peers."""
        return 0 if self.gossip is None else len(self.gossip.peers)
