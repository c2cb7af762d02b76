"""The gossip of one instance, as the rest of it sees it."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..directory.feed_update import FeedUpdate
from ..directory.zone_state import ZoneState
from ..ids import AvailabilityZoneId, Digest, EndpointId, InstanceId
from ..telemetry.catalogue.gossip import GOSSIP_FAULT
from ..telemetry.logs import log_event
from .boot_clock import BootClock
from .callbacks import Callbacks, Teller
from .census import Census
from .effects import Effect, VersionsOffered
from .exchange import Exchange
from .finding import Finder
from .kinds.configuration import CONFIGURATION, Versions
from .kinds.configuration import KEY as VERSIONS_KEY
from .kinds.connectivity import CONNECTIVITY, Connectivity
from .kinds.connectivity import KEY as CONNECTIVITY_KEY
from .kinds.crashes import (
    INTERRUPTED_RUNS,
    QUARANTINES,
    REFUTATIONS,
    SUCCESSES,
    QuarantineNote,
    RunNote,
    SuccessNote,
)
from .kinds.doubt import DOUBT, Doubt
from .kinds.endpoints import ENDPOINTS, EndpointWord
from .kinds.evacuations import EVACUATIONS
from .kinds.feed import FEED
from .kinds.feed import KEY as FEED_KEY
from .kinds.limits import LIMITS, LimitNote
from .kinds.load import LOAD, WorkNote
from .members import Address, Identity, Peer
from .options import GossipOptions, own_identity
from .peer_rows import PeerRows
from .pulling import Puller
from .pulls import Held, Holdings, Matter, PullServer, pull
from .row_keeper import RowKeeper
from .sockets import DatagramPort, Sockets
from .state import FleetState, HeardWork, PeerLoad

logger = logging.getLogger(__name__)

AFTER_FAULT = timedelta(seconds=1)
SHORTEST_GAP = timedelta(milliseconds=5)


class Gossip:
    """Tells peers what this instance knows, and hears what they know.

    All methods are called in the loop's own thread. What is published before `start`
    goes out after it.

    Parameters
    ----------
    sockets : Sockets
        Bound already, by `open_sockets`; closed by `close`.
    holdings : Holdings
        Returns what this instance can hand over to peers.
    rows : PeerRows or None
        Where instances write that they exist.
    """

    def __init__(
        self,
        options: GossipOptions,
        sockets: Sockets,
        holdings: Holdings,
        callbacks: Callbacks,
        rows: PeerRows | None = None,
        clock: Clock | None = None,
        random: Random | None = None,
    ) -> None:
        self.clock = clock or BootClock()
        self.random = random or Random()
        self.sockets = sockets
        self.callbacks = callbacks
        me = own_identity(options, sockets.address, self.clock, self.random)
        self.exchange = Exchange(
            me,
            options.fleet,
            self.random,
            options.seeds,
            options.timing,
        )
        self.teller = Teller(callbacks, self.versions_offered)
        self.tell_one: Callable[[Effect, timedelta], None] = self.teller.tell
        self.port = DatagramPort(self.received)
        self.server = PullServer(self.exchange.fleet, holdings)
        self.puller = Puller(
            self.exchange.roster, holdings, self.pull, self.pulled, self.random
        )
        self.finder = rows and Finder(
            me, rows, self.random, self.learn, self.alone, self.all_read
        )
        self.row_keeper = rows and RowKeeper(me, rows, self.random, self.member_count)
        self.tasks: list[asyncio.Task[None]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.armed = timedelta.min

    # Life

    async def start(self) -> None:
        """Begin to send and to listen."""
        loop = asyncio.get_running_loop()
        self.port.open(self.sockets.datagrams)
        await self.server.start(self.sockets.pulls)
        self.tasks.append(loop.create_task(kept_up(self.puller.run)))
        if self.finder:
            self.tasks.append(loop.create_task(kept_up(self.finder.run)))
        if self.row_keeper:
            self.tasks.append(loop.create_task(kept_up(self.row_keeper.run)))
        self.tick()

    async def close(self) -> None:
        """Stop; peers see silence."""
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        self.server.close()
        self.port.close()

    # What others know

    @property
    def instance(self) -> InstanceId:
        """Name of this instance."""
        return self.exchange.me.instance

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for everyone to tell everyone."""
        return self.exchange.circle.relaying

    @property
    def state(self) -> FleetState:
        """What the fleet knows together."""
        return self.exchange.state

    @property
    def census(self) -> Census:
        """How many instances there are."""
        return self.exchange.roster.census

    @property
    def peers(self) -> tuple[Peer, ...]:
        """The living peers."""
        return self.exchange.roster.peers(self.clock.monotonic())

    def silent_zones(self) -> Mapping[AvailabilityZoneId, timedelta]:
        """Return the zones whose peers have all fallen silent, and since how long."""
        return self.exchange.silent_zones(self.clock.monotonic())

    def loads(self) -> tuple[PeerLoad, ...]:
        """Return the works of the living peers."""
        return self.state.loads(self.clock.monotonic())

    def load(self, instance: InstanceId) -> PeerLoad | None:
        """Return the works of a peer, None if it isn't living."""
        return self.state.load(instance, self.clock.monotonic())

    def work(self, instance: InstanceId, number: int) -> HeardWork | None:
        """Return a work of a peer, None if it isn't known to run."""
        return self.state.work(instance, number, self.clock.monotonic())

    # What this instance knows

    def publish_work(
        self, note: WorkNote, audience: frozenset[InstanceId] | None = None
    ) -> None:
        """Tell of a work that began or has changed.

        Parameters
        ----------
        audience : frozenset of InstanceId or None
            Who needs to know where not everyone tells everyone; None for all.
        """
        now = self.clock.monotonic()
        self.exchange.tell(LOAD, note.number, note, audience, now)
        self.arm()

    def publish_work_end(self, number: int) -> None:
        """Tell that a work has ended."""
        now = self.clock.monotonic()
        self.exchange.tell(LOAD, number, None, frozenset(), now)
        self.arm()

    def publish_versions(self, versions: Versions) -> None:
        """Tell which configuration and list this instance can hand over."""
        now = self.clock.monotonic()
        self.exchange.say(CONFIGURATION, VERSIONS_KEY, versions, now)
        self.puller.look()
        self.arm()

    def publish_endpoint_word(self, endpoint: EndpointId, said: EndpointWord) -> None:
        """Tell that an endpoint is leaving or gone, for some seconds."""
        self.exchange.say(ENDPOINTS, endpoint, said, self.clock.monotonic())
        self.arm()

    def publish_evacuation(self, zone: AvailabilityZoneId, state: ZoneState) -> None:
        """Publish whether a zone is evacuated."""
        self.exchange.say(EVACUATIONS, zone, state, self.clock.monotonic())
        self.arm()

    def publish_feed_update(self, word: FeedUpdate) -> None:
        """Tell that the store told nothing new of the endpoints."""
        self.exchange.confirm(FEED, FEED_KEY, word, self.clock.monotonic())
        self.arm()

    def publish_interrupted_run(self, note: RunNote) -> None:
        """Publish a run that has just ended with its endpoint."""
        key = f"{note.endpoint} {note.content}"
        self.exchange.say(INTERRUPTED_RUNS, key, note, self.clock.monotonic())
        self.arm()

    def publish_refutation(self, endpoint: EndpointId, sent_ms: int) -> None:
        """Publish that an endpoint with interrupted runs had not crashed.

        Parameters
        ----------
        sent_ms : int
            Time since the later request was sent that it has answered.
        """
        self.exchange.confirm(REFUTATIONS, endpoint, sent_ms, self.clock.monotonic())
        self.arm()

    def publish_success(self, content: Digest, note: SuccessNote) -> None:
        """Publish that a suspected content has run without a crash."""
        self.exchange.confirm(SUCCESSES, content, note, self.clock.monotonic())
        self.arm()

    def publish_quarantine(self, content: Digest, note: QuarantineNote) -> None:
        """Publish the decision on a content."""
        self.exchange.confirm(QUARANTINES, content, note, self.clock.monotonic())
        self.arm()

    def publish_limit(self, endpoint: EndpointId, note: LimitNote) -> None:
        """Publish what an endpoint states now about its rate limit."""
        self.exchange.confirm(LIMITS, endpoint, note, self.clock.monotonic())
        self.arm()

    def publish_connectivity(self, own: Connectivity) -> None:
        """Publish whether this instance reaches endpoints."""
        now = self.clock.monotonic()
        self.exchange.say(CONNECTIVITY, CONNECTIVITY_KEY, own, now)
        self.arm()

    def publish_doubt(self, endpoint: EndpointId, doubt: Doubt | None) -> None:
        """Tell that an endpoint was ejected; None takes it back."""
        self.exchange.say(DOUBT, endpoint, doubt, self.clock.monotonic())
        self.arm()

    # Wire

    def received(self, data: bytes, address: Address) -> None:
        """Take in a datagram."""
        now = self.clock.monotonic()
        self.tell(self.exchange.datagram_received(data, address, now), now)
        if not self.is_armed(now):
            self.arm()

    def tick(self) -> None:
        """Send what is due, and come again when something will be."""
        self.timer = None
        now = self.clock.monotonic()
        try:
            ticked = self.exchange.tick(now)
            for each in ticked.datagrams:
                self.port.send(each.data, each.address)
            self.tell(ticked.effects, now)
        finally:
            # A fault in a callback would end the gossip for good, and all peers would
            # take this instance for dead.
            self.arm()

    def is_armed(self, now: timedelta) -> bool:
        """Whether the timer stands right, so that the loop need not be asked.

        It does after most datagrams: 1,542 of 8,860 calls of functions a second at rest
        among 64 instances (`python -m benchmarks.instance_cost`). One that should have
        gone off was held up by a suspension, which the loop's clock does not count.
        """
        return (
            self.timer is not None
            and now < self.armed <= self.exchange.circle.alarm.at
            and not self.exchange.caller.strangers
        )

    def arm(self) -> None:
        """Have the next tick come in time."""
        if not self.port.is_open:
            return
        now = self.clock.monotonic()
        due = max(self.exchange.next_due(now), now + SHORTEST_GAP)
        if self.timer is not None and now < self.armed <= due:
            return
        gap = (due - now).total_seconds()
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            if self.timer.when() <= loop.time() + gap:
                return
            self.timer.cancel()
        self.armed = due
        self.timer = loop.call_later(gap, self.tick)

    def tell(self, effects: Iterable[Effect], now: timedelta) -> None:
        """Log effects and call back."""
        for effect in effects:
            self.tell_one(effect, now)

    # Finding and pulling

    def member_count(self) -> int:
        """Return the number of living instances, this one among them."""
        return len(self.peers) + 1

    def receive_restore(self, era: int) -> None:
        """Have the own row written again to a store that was restored."""
        if self.row_keeper:
            self.row_keeper.receive_restore(era)

    def learn(self, identity: Identity) -> None:
        """Take in a row of the store."""
        now = self.clock.monotonic()
        self.tell(self.exchange.learn(identity, now), now)
        self.arm()

    def all_read(self, others: list[Identity], is_first_life: bool) -> bool:
        """Note that all rows have been read; return whether to look again soon.

        Parameters
        ----------
        others : list of Identity
            The latest life of each other instance.
        is_first_life : bool
            This instance had none before.
        """
        return self.census.all_read(others, is_first_life)

    def alone(self) -> bool:
        """Whether no peer is heard."""
        return not self.peers

    def is_offered_configuration(self) -> bool:
        """Whether a living peer has a newer configuration than this instance."""
        return any(self.puller.offers(Matter.CONFIGURATION))

    def knows_offers(self) -> bool:
        """Whether a living peer has told which configuration it has."""
        return any(
            member.ledger.value(CONFIGURATION.number, VERSIONS_KEY) is not None
            for member in self.exchange.roster.alive()
        )

    def versions_offered(self, offered: VersionsOffered) -> None:
        """Look whether a peer has something newer."""
        self.puller.look()

    async def pull(self, address: Address, matter: Matter) -> Held:
        """Ask a peer for a matter."""
        return await pull(address, self.exchange.fleet, matter)

    def pulled(self, matter: Matter, held: Held) -> None:
        """Hand over what was pulled."""
        if matter is Matter.CONFIGURATION:
            self.callbacks.on_configuration_offered(held.payload)
        else:
            self.callbacks.on_listing_offered(held.payload)


async def kept_up(run: Callable[[], Awaitable[None]]) -> None:
    """Run a task for good, also after a fault in it or in a callback."""
    while True:
        try:
            await run()
        except Exception:
            log_event(logger, GOSSIP_FAULT, exc_info=True)
        await asyncio.sleep(AFTER_FAULT.total_seconds())
