"""The task that owns the feeds and talks to the other entry instances."""

from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger
from random import Random

from ..clock import Clock
from ..ids import Revision
from ..kernel.messages.base import Message
from ..kernel.messages.peers import AddPeerCandidates, AnnounceDrain, Publish
from ..runtime.task import Task
from .client import CALL_TIMEOUT, PeersClient
from .configuration import ConfigurationShare, Offer
from .errors import PeerError
from .exchanger import NO_REVISION, Exchanger, PeerIdentity
from .frames import ConfigurationText, ExchangeReply, ExchangeRequest, Sender
from .kinds.instances import InstanceState
from .members import MembersView
from .partners import Contact, Partners
from .server import PeersServer

logger = getLogger(__name__)

FAN_OUT = 2
ROUND_PERIOD = timedelta(seconds=1)
ROUND_JITTER = 0.2
STATE_RENEWAL_S = 120.0
CLEANING_PERIOD_S = 5.0
"""An expired entry that still lies here is refused by whoever is sent it."""


class PeersMessage:
    """Base of what this task is told."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ExchangeAsked(PeersMessage):
    """A peer's call waits for its reply."""

    request: ExchangeRequest
    reply: "Future[ExchangeReply]"


@dataclass(frozen=True, slots=True)
class ExchangeAnswered(PeersMessage):
    """A call of this instance was answered."""

    contact: Contact
    reply: ExchangeReply


@dataclass(frozen=True, slots=True)
class ExchangeFailed(PeersMessage):
    """A call of this instance was not answered."""

    contact: Contact
    error: PeerError


@dataclass(frozen=True, slots=True)
class HoldConfiguration(PeersMessage):
    """A configuration is in force here now."""

    configuration: ConfigurationText


PeersInput = PeersMessage | Publish | AddPeerCandidates | AnnounceDrain


class PeersTask(Task[PeersInput]):
    """Exchanges with a few peers each round and answers theirs.

    Parameters
    ----------
    who : PeerIdentity
        Its address is the one told to peers; with port 0, the port listened on.
    clock : Clock
    random : random.Random
    tell : callable
        Given messages for the kernel; must not block.
    offer : callable
        Given configurations that peers sent; must not block.
    listen_address : str
        ``IP:PORT``; port 0 takes a free one.
    period : timedelta
        Mean time between two rounds.
    timeout : timedelta
        Longest wait for a peer's answer.
    """

    def __init__(
        self,
        who: PeerIdentity,
        clock: Clock,
        random: Random,
        tell: Callable[[Message], None],
        offer: Offer,
        listen_address: str,
        period: timedelta = ROUND_PERIOD,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        super().__init__("peers")
        self.clock = clock
        self.random = random
        self.tell = tell
        self.period = period
        self.server = PeersServer(listen_address, self._asked)
        self.client = PeersClient(timeout)
        self.configuration = ConfigurationShare(offer)
        who = replace(who, address=with_port(who.address, self.server.port))
        identity = who.identity
        self.exchanger = Exchanger(who, clock, random, self.configuration, tell)
        self.partners = Partners(identity.instance, identity.availability_zone, random)
        self.view = MembersView(self.exchanger.store, self._now_s())
        self.draining = False
        self.state: InstanceState | None = None
        self.state_at_s = 0.0
        self.next_round_s = self._now_s()
        self.next_cleaning_s = self._now_s()

    def start(self) -> None:
        """Start the thread and the server."""
        super().start()
        self.server.start()

    def stop(self, timeout: timedelta = timedelta(seconds=5)) -> None:
        """Stop the server, then the thread; open calls are cancelled."""
        self.server.stop()
        super().stop(timeout)
        self.client.close()

    def wait_time(self) -> timedelta:
        """Return the time until the next round."""
        return timedelta(seconds=self.next_round_s - self._now_s())

    def idle(self) -> None:
        """Run a round."""
        now_s = self._now_s()
        spread = 1 + ROUND_JITTER * (2 * self.random.random() - 1)
        self.next_round_s = now_s + self.period.total_seconds() * spread
        store = self.exchanger.store
        if now_s >= self.next_cleaning_s:
            self.next_cleaning_s = now_s + CLEANING_PERIOD_S
            store.drop_expired(now_s)
        self._renew_state(now_s)
        store.beat(now_s)
        for contact in self.partners.for_round(FAN_OUT, now_s):
            self._call(contact)
        live = self.view.live_names(now_s)
        for contact in self.partners.for_links(live, now_s):
            self._call(contact)
        self._tell_members(now_s)

    def receive(self, message: PeersInput) -> None:
        """Handle a message, and run the round if it has come due meanwhile."""
        self.handle(message)
        if self.next_round_s <= self._now_s():
            self.idle()

    @singledispatchmethod
    def handle(self, message: PeersInput) -> None:
        """Handle one message by its type."""
        raise PeerError(f"no handler for {type(message).__name__}")

    @handle.register
    def _(self, message: ExchangeAsked) -> None:
        try:
            reply = self.exchanger.answer(message.request)
        except PeerError as error:
            _settle(message.reply, error)
            return
        _settle(message.reply, reply)
        contact = self.partners.met(message.request.sender)
        self._ask_if_newer(contact, message.request.sender)

    @handle.register
    def _(self, message: ExchangeAnswered) -> None:
        self.partners.answered(message.contact)
        push = self.exchanger.take_reply(message.reply)
        contact = self.partners.met(message.reply.sender)
        if push is not None:
            self._send(contact, push)
        self._ask_if_newer(contact, message.reply.sender)

    @handle.register
    def _(self, message: ExchangeFailed) -> None:
        logger.debug("no exchange with %s: %s", message.contact.instance, message.error)
        self.partners.failed(message.contact, self._now_s())

    @handle.register
    def _(self, message: Publish) -> None:
        self.exchanger.publish(message.key, message.value, message.scope)
        if message.urgent:
            self.next_round_s = self._now_s()

    @handle.register
    def _(self, message: AddPeerCandidates) -> None:
        known = len(self.partners.contacts)
        self.partners.meet(message.instances)
        if known == 0 and self.partners.contacts:
            # An instance that has just started knows nothing yet, and can't serve
            # what it has not heard of.
            self.next_round_s = self._now_s()

    @handle.register
    def _(self, message: HoldConfiguration) -> None:
        self.configuration.hold(message.configuration)
        self._renew_state(self._now_s())

    @handle.register
    def _(self, message: AnnounceDrain) -> None:
        self.draining = True
        self._renew_state(self._now_s())
        self.next_round_s = self._now_s()

    def _asked(self, request: ExchangeRequest, reply: "Future[ExchangeReply]") -> None:
        """Take a call from one of the server's threads."""
        self.send(ExchangeAsked(request, reply))

    def _call(self, contact: Contact, wanted: Revision = NO_REVISION) -> None:
        own_zone = contact.availability_zone == self.partners.availability_zone
        contact.waiting = True
        self._send(contact, self.exchanger.request(own_zone, wanted))

    def _send(self, contact: Contact, request: ExchangeRequest) -> None:
        self.client.exchange(
            contact.address,
            request,
            replied=lambda reply: self.send(ExchangeAnswered(contact, reply)),
            failed=lambda error: self.send(ExchangeFailed(contact, error)),
        )

    def _ask_if_newer(self, contact: Contact, sender: Sender) -> None:
        """Fetch a newer configuration at once, not at the next round."""
        now_s = self._now_s()
        if self.configuration.wants_from(sender, now_s):
            self.configuration.asking(sender.revision, now_s)
            self._call(contact, sender.revision)

    def _renew_state(self, now_s: float) -> None:
        """Publish this instance's own state when it is new, or old enough."""
        state = InstanceState(
            self.exchanger.who.address, self.draining, self.configuration.revision
        )
        if state != self.state or now_s - self.state_at_s >= STATE_RENEWAL_S:
            self.exchanger.publish("", state)
            self.state = state
            self.state_at_s = now_s

    def _tell_members(self, now_s: float) -> None:
        changed = self.view.changed(self.partners.contacts, now_s)
        if changed is not None:
            self.tell(changed)

    def _now_s(self) -> float:
        return self.clock.monotonic().total_seconds()


def with_port(address: str, port: int) -> str:
    """Return an address with its port 0 replaced by a real one."""
    host, _, number = address.rpartition(":")
    return f"{host}:{port}" if number == "0" else address


def _settle(
    waiting: "Future[ExchangeReply]", result: ExchangeReply | PeerError
) -> None:
    """Fulfil a future unless its server thread has given up meanwhile."""
    try:
        if isinstance(result, PeerError):
            waiting.set_exception(result)
        else:
            waiting.set_result(result)
    except InvalidStateError:
        logger.debug("a peer's call was answered too late")
