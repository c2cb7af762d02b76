"""Both sides of an exchange, without the network.

The caller sends how far it knows each feed. The called instance answers with what
the caller lacks and names the feeds of which the caller has more; these the caller
sends in a second call. So every entry reaches an instance about once.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from logging import getLogger
from random import Random

from ..clock import Clock
from ..ids import Incarnation, InstanceId, Revision
from ..kernel.context import InstanceIdentity
from ..kernel.messages.base import Message
from ..kernel.messages.peers import Origin, PeerValue, Scope
from ..telemetry.catalogue.peers import INCARNATION_SUPERSEDED
from ..telemetry.logs import log_event
from .configuration import ConfigurationShare
from .errors import InvalidPeerMessageError
from .feeds import FeedStore
from .frames import Delta, ExchangeReply, ExchangeRequest, Heads, Sender
from .hearing import HeardEntry, Hearing
from .kinds.base import kind_of

logger = getLogger(__name__)

ZONE_LIMIT_BYTES = 16 * 1024
LINK_LIMIT_BYTES = 8 * 1024
"""Most bytes of deltas in one message, within a zone and between zones."""
NO_REVISION = Revision(0)

Tell = Callable[[Message], None]


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """How this instance shows itself to its peers.

    Attributes
    ----------
    fleet : str
        Name of the deployment.
    address : str
        ``IP:PORT`` at which peers reach it.
    """

    identity: InstanceIdentity
    fleet: str
    address: str


class Exchanger:
    """Builds and answers exchanges from one instance's feeds.

    Parameters
    ----------
    who : PeerIdentity
    clock : Clock
    random : random.Random
    configuration : ConfigurationShare
    tell : callable
        Given a message for the kernel for each value that is news.
    """

    def __init__(
        self,
        who: PeerIdentity,
        clock: Clock,
        random: Random,
        configuration: ConfigurationShare,
        tell: Tell,
    ) -> None:
        self.who = who
        self.clock = clock
        self.configuration = configuration
        self.tell = tell
        identity = who.identity
        self.store = FeedStore(
            identity.instance,
            identity.incarnation,
            identity.availability_zone,
            random,
        )
        self.hearing = Hearing(self.store, self._superseded)
        self.superseded_by: Incarnation | None = None

    def now_s(self) -> float:
        """Return the clock's monotonic instant in seconds."""
        return self.clock.monotonic().total_seconds()

    def publish(self, key: str, value: PeerValue, scope: Scope = Scope.ZONE) -> None:
        """Write a value into an own feed.

        Raises
        ------
        UnknownKindError
            If no kind carries the value.
        InvalidPeerMessageError
            If it is too long for its kind, or may not travel so far.
        """
        kind = kind_of(value)
        if scope not in kind.scopes:
            name = type(value).__name__
            raise InvalidPeerMessageError(f"{name} may not go to {scope.name}")
        data = kind.encode(value)
        if len(data) > kind.max_bytes:
            name = type(value).__name__
            raise InvalidPeerMessageError(f"{name} of {key!r} has {len(data)} bytes")
        ttl_s = kind.time_to_live.total_seconds()
        self.store.write(scope, kind.number, key, data, self.now_s(), ttl_s)

    def sender(self) -> Sender:
        """Return how this instance shows itself now."""
        identity = self.who.identity
        return Sender(
            fleet=self.who.fleet,
            instance=identity.instance,
            incarnation=identity.incarnation,
            availability_zone=identity.availability_zone,
            peer_address=self.who.address,
            revision=self.configuration.revision,
            digest_start=self.configuration.digest_start,
        )

    def request(
        self, to_own_zone: bool, wanted_revision: Revision = NO_REVISION
    ) -> ExchangeRequest:
        """Return the first call of an exchange."""
        heads = self.store.heads(scopes_towards(to_own_zone))
        return ExchangeRequest(self.sender(), heads, (), wanted_revision)

    def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Answer a call.

        Raises
        ------
        InvalidPeerMessageError
            If the caller does not belong to this deployment or breaks the
            protocol.
        """
        self._check(request.sender)
        self._take(request.deltas)
        if request.push_only:
            return ExchangeReply(self.sender())
        scopes = self._scopes_of(request.sender)
        deltas = self.store.deltas(request.heads, scopes, self.now_s(), _limit(scopes))
        return ExchangeReply(
            sender=self.sender(),
            deltas=tuple(deltas),
            behind=self.store.behind(request.heads, scopes),
            configuration=self.configuration.for_peer(request.wanted_revision),
        )

    def take_reply(self, reply: ExchangeReply) -> ExchangeRequest | None:
        """Take in an answer; return the second call if it is needed.

        Raises
        ------
        InvalidPeerMessageError
            As `answer`.
        """
        self._check(reply.sender)
        self._take(reply.deltas)
        if reply.configuration is not None:
            self.configuration.received(reply.configuration)
        return self._push(reply.sender, reply.behind or {})

    def _push(self, peer: Sender, behind: Heads) -> ExchangeRequest | None:
        if not behind:
            return None
        scopes = self._scopes_of(peer)
        deltas = self.store.deltas(
            behind, scopes, self.now_s(), _limit(scopes), only_named=True
        )
        if not deltas:
            return None
        return ExchangeRequest(self.sender(), {}, tuple(deltas), push_only=True)

    def _take(self, deltas: tuple[Delta, ...]) -> None:
        now_s = self.now_s()
        for heard in self.hearing.take(deltas, now_s):
            message = heard.kind.message(
                heard.entry.key, heard.value, _origin(heard, now_s)
            )
            self.tell(message)

    def _scopes_of(self, peer: Sender) -> tuple[Scope, ...]:
        own = self.who.identity.availability_zone
        return scopes_towards(peer.availability_zone == own)

    def _check(self, sender: Sender) -> None:
        if sender.fleet != self.who.fleet:
            raise InvalidPeerMessageError(f"this is not fleet {sender.fleet!r}")

    def _superseded(self, incarnation: int) -> None:
        """Note that a later life of this instance is known.

        Either its id was given to another process, or this one was taken for dead
        and replaced while it was paused.
        """
        if self.superseded_by is None or incarnation > self.superseded_by:
            self.superseded_by = Incarnation(incarnation)
            name: InstanceId = self.who.identity.instance
            log_event(
                logger, INCARNATION_SUPERSEDED, incarnation=incarnation, instance=name
            )


def scopes_towards(own_zone: bool) -> tuple[Scope, ...]:
    """Return the scopes that an exchange carries."""
    return (Scope.ZONE, Scope.FLEET) if own_zone else (Scope.FLEET,)


def _limit(scopes: tuple[Scope, ...]) -> int:
    return ZONE_LIMIT_BYTES if Scope.ZONE in scopes else LINK_LIMIT_BYTES


def _origin(heard: HeardEntry, now_s: float) -> Origin:
    name = heard.feed.name
    return Origin(
        name.owner,
        name.incarnation,
        name.availability_zone,
        timedelta(seconds=max(0.0, now_s - heard.entry.written_s)),
    )
