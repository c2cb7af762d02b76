"""Whom the gossip tells what it has found out."""

import logging
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ..directory.feed_update import FeedUpdate
from ..directory.zone_state import ZoneState
from ..ids import AvailabilityZoneId, Digest, EndpointId, InstanceId
from ..telemetry.catalogue.gossip import (
    GOSSIP_DATAGRAM_REFUSED,
    GOSSIP_PEER_DOWN,
    GOSSIP_PEER_RESTARTED,
    GOSSIP_PEER_UP,
)
from ..telemetry.events import Event
from ..telemetry.logs import log_event
from ..telemetry.throttled_event import ThrottledEvent
from .effects import (
    ConnectivityChanged,
    ContentJudged,
    ContentSucceeded,
    CrashRefuted,
    DatagramRefused,
    DoubtChanged,
    EndpointSaid,
    EvacuationTold,
    FeedTold,
    LimitStated,
    LoadChanged,
    PeerDown,
    PeerRestarted,
    PeerUp,
    RunInterrupted,
    VersionsOffered,
)
from .kinds.crashes import QuarantineNote, RunNote, SuccessNote
from .kinds.doubt import Doubt
from .kinds.endpoints import EndpointWord
from .kinds.limits import LimitNote
from .members import Identity

logger = logging.getLogger(__name__)

REFUSED_EVERY = timedelta(seconds=10)


def ignore(*_: object) -> None:
    """Do nothing."""


class Callbacks(msgspec.Struct):
    """What is called, in the loop's own thread; none may block.

    Parameters
    ----------
    on_configuration_offered : callable
        Raw row of a newer configuration.
    on_listing_offered : callable
        Raw rows of a newer list of endpoints.
    on_peers_changed : callable
        A peer came, fell silent or began a new life.
    on_peer_restarted : callable
        A peer has begun a new life, of which nothing is known yet.
    on_load_changed : callable
        A peer's works have changed; these, by their numbers.
    on_feed_told : callable
        A peer's word that the endpoints have not changed, and its age.
    on_endpoint_word, on_doubt : callable
        A peer's word; a doubt that was taken back is None.
    on_evacuation : callable
        A zone, a peer's state of its evacuation, and the age of that update.
    on_interrupted_run : callable
        A peer's note of a run that ended with its endpoint, and its age.
    on_crash_refuted : callable
        An endpoint that has answered a peer after runs on it had ended, milliseconds
        from that request to the peer's note, and the note's age.
    on_success, on_quarantine : callable
        A content, a peer's note of its success or of a decision on it, and its age.
    on_limit : callable
        A peer's note of an endpoint's rate limit, and its age.
    on_connectivity : callable
        A peer has published whether it reaches endpoints.
    """

    on_configuration_offered: Callable[[bytes], None] = ignore
    on_listing_offered: Callable[[bytes], None] = ignore
    on_peers_changed: Callable[[], None] = ignore
    on_peer_restarted: Callable[[InstanceId], None] = ignore
    on_load_changed: Callable[[InstanceId, tuple[int, ...]], None] = ignore
    on_feed_told: Callable[[InstanceId, FeedUpdate, timedelta], None] = ignore
    on_endpoint_word: Callable[[EndpointId, EndpointWord], None] = ignore
    on_evacuation: Callable[[AvailabilityZoneId, ZoneState, timedelta], None] = ignore
    on_interrupted_run: Callable[[RunNote, timedelta], None] = ignore
    on_crash_refuted: Callable[[EndpointId, int, timedelta], None] = ignore
    on_success: Callable[[Digest, SuccessNote, timedelta], None] = ignore
    on_quarantine: Callable[[Digest, QuarantineNote, timedelta], None] = ignore
    on_doubt: Callable[[InstanceId, EndpointId, Doubt | None], None] = ignore
    on_limit: Callable[[EndpointId, LimitNote, timedelta], None] = ignore
    on_connectivity: Callable[[], None] = ignore


class Teller:
    """Logs effects and calls back.

    Parameters
    ----------
    offered : callable
        Takes versions that a peer can hand over.
    """

    def __init__(
        self, callbacks: Callbacks, offered: Callable[[VersionsOffered], None]
    ) -> None:
        self.callbacks = callbacks
        self.offered = offered
        self.refused = ThrottledEvent(logger, GOSSIP_DATAGRAM_REFUSED, REFUSED_EVERY)

    @singledispatchmethod
    def tell(self, effect: object, now: timedelta) -> None:
        """Handle an effect by its type."""
        raise TypeError(f"nobody handles {effect!r}")

    @tell.register
    def _(self, effect: PeerUp, now: timedelta) -> None:
        self.peer_changed(GOSSIP_PEER_UP, effect.identity)

    @tell.register
    def _(self, effect: PeerDown, now: timedelta) -> None:
        self.peer_changed(GOSSIP_PEER_DOWN, effect.identity)

    @tell.register
    def _(self, effect: PeerRestarted, now: timedelta) -> None:
        self.callbacks.on_peer_restarted(effect.identity.instance)
        self.peer_changed(GOSSIP_PEER_RESTARTED, effect.identity)

    @tell.register
    def _(self, effect: DatagramRefused, now: timedelta) -> None:
        self.refused.occurred(now, address=effect.address.host, reason=effect.reason)

    @tell.register
    def _(self, effect: VersionsOffered, now: timedelta) -> None:
        self.offered(effect)

    @tell.register
    def _(self, effect: EndpointSaid, now: timedelta) -> None:
        self.callbacks.on_endpoint_word(effect.endpoint, effect.said)

    @tell.register
    def _(self, effect: EvacuationTold, now: timedelta) -> None:
        self.callbacks.on_evacuation(effect.zone, effect.state, now - effect.born)

    @tell.register
    def _(self, effect: FeedTold, now: timedelta) -> None:
        self.callbacks.on_feed_told(effect.instance, effect.word, now - effect.born)

    @tell.register
    def _(self, effect: RunInterrupted, now: timedelta) -> None:
        self.callbacks.on_interrupted_run(effect.note, now - effect.born)

    @tell.register
    def _(self, effect: CrashRefuted, now: timedelta) -> None:
        age = now - effect.born
        self.callbacks.on_crash_refuted(effect.endpoint, effect.sent_ms, age)

    @tell.register
    def _(self, effect: ContentSucceeded, now: timedelta) -> None:
        self.callbacks.on_success(effect.content, effect.note, now - effect.born)

    @tell.register
    def _(self, effect: ContentJudged, now: timedelta) -> None:
        self.callbacks.on_quarantine(effect.content, effect.note, now - effect.born)

    @tell.register
    def _(self, effect: DoubtChanged, now: timedelta) -> None:
        self.callbacks.on_doubt(effect.instance, effect.endpoint, effect.doubt)

    @tell.register
    def _(self, effect: LimitStated, now: timedelta) -> None:
        self.callbacks.on_limit(effect.endpoint, effect.note, now - effect.born)

    @tell.register
    def _(self, effect: ConnectivityChanged, now: timedelta) -> None:
        self.callbacks.on_connectivity()

    @tell.register
    def _(self, effect: LoadChanged, now: timedelta) -> None:
        self.callbacks.on_load_changed(effect.instance, effect.numbers)

    def peer_changed(self, event: Event, identity: Identity) -> None:
        """Log a peer's change and call back."""
        log_event(logger, event, peer=identity.instance, zone=identity.zone)
        self.callbacks.on_peers_changed()
