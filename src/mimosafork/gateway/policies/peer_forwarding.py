"""Sends calls to peers that reach a service which this instance does not."""

from collections import Counter
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import Incarnation, InstanceId, RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, Exposure
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import (
    ForwardingPeer,
    ForwardingPeersChanged,
    peer_endpoint,
)
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.plugins import (
    Placement,
    PlaceOn,
    Plugin,
    PluginFinder,
    Refuse,
    RequestConcluded,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from .connectivity import EndpointConnectivity
from .home_regions import HomeRegions
from .placement_requests import RETRY_AFTER, overloaded_problem
from .retrying import RETRY_BUDGET_EXHAUSTED, BudgetedRetry

PEER_INCARNATION = Incarnation(1)
ELSEWHERE_AFTER = timedelta(milliseconds=200)
"""Retry delay of callers that another instance may serve at once."""

REFUSED_BY_PEERS = "all peers that reach the service have refused it"
NO_WAY = "no endpoint and no peer that reaches one can be reached"


@register("peer-forwarding")
class PeerForwarding(Plugin):
    """Chooses the peer that runs a call which this instance can't run itself.

    A call is forwarded at most once: an instance that received it from a peer runs or
    refuses it.

    Attributes
    ----------
    peers : tuple of ForwardingPeer
        Live peers.
    forwarded : dict of RequestId to InstanceId
        Peers that run calls of this instance.
    """

    def __init__(self) -> None:
        self.connectivity = EndpointConnectivity()
        self.retry = BudgetedRetry()
        self.homes = HomeRegions()
        self.peers: tuple[ForwardingPeer, ...] = ()
        self.had_peers = False
        self.forwarded: dict[RequestId, InstanceId] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.connectivity = find(EndpointConnectivity) or self.connectivity
        self.retry = find(BudgetedRetry) or self.retry
        self.homes = find(HomeRegions) or self.homes

    def peers_reaching(self, service: ServiceId) -> list[ForwardingPeer]:
        """Return the peers that accept forwarded calls and reach a service."""
        return [
            each
            for each in self.peers
            if each.address is not None and service not in each.unreachable
        ]

    def place(self, record: RequestRecord, context: Context) -> Placement | None:
        """Return where a call goes if its service can't be reached from here.

        Returns
        -------
        Placement or None
            None if the call is placed as usual: the service can be reached, or no
            instance reaches it, so that its endpoints may be down and come back.
        """
        service = ServiceId(record.request.target)
        if not self.connectivity.unreachable(service):
            return None
        if record.request.forwarded_by is not None:
            return Refuse(no_way())
        peers = [
            each
            for each in self.peers_reaching(service)
            if self.homes.allows_zone(record.request, each.zone)
        ]
        peer = self._choose(peers, record, context)
        if peer is None and peers:
            return Refuse(overloaded_problem(REFUSED_BY_PEERS, RETRY_AFTER))
        if peer is None:
            alone = self.had_peers and not self.peers
            return Refuse(no_way()) if alone else None
        if not self.retry.charge_retry(record.request, context):
            return Refuse(overloaded_problem(RETRY_BUDGET_EXHAUSTED, RETRY_AFTER))
        self.forwarded[record.request_id] = peer.instance
        return place_on_peer(peer, record)

    def _choose(
        self, peers: list[ForwardingPeer], record: RequestRecord, context: Context
    ) -> ForwardingPeer | None:
        """Return the peer with the fewest calls of this instance, a near one first.

        A peer that has refused the call is not asked again. One that lost it may resume
        it, if there is no other.
        """
        refused = {
            attempt.endpoint
            for attempt in record.attempts
            if attempt.exposure is not Exposure.POSSIBLE
        }
        candidates = [peer for peer in peers if peer.endpoint not in refused]
        if not candidates:
            return None
        running = Counter(self.forwarded.values())
        zone = context.state.identity.availability_zone
        return min(
            candidates,
            key=lambda peer: (
                peer.endpoint in record.avoid,
                running[peer.instance],
                peer.zone != zone,
                context.random.random(),
            ),
        )

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Follow peers and the calls that run there."""

    @handle.register
    def _(self, message: ForwardingPeersChanged, context: Context) -> None:
        self.peers = message.peers
        self.had_peers = self.had_peers or bool(message.peers)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        peer = self.forwarded.get(message.request_id)
        if peer is not None and message.endpoint == peer_endpoint(peer):
            del self.forwarded[message.request_id]

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.forwarded.pop(message.record.request_id, None)


def place_on_peer(peer: ForwardingPeer, record: RequestRecord) -> PlaceOn:
    """Return the dispatch target of a call that a peer runs."""
    assert peer.address is not None
    terms = record.request.terms
    return PlaceOn(
        endpoint=peer.endpoint,
        incarnation=PEER_INCARNATION,
        address=peer.address,
        priority=0 if terms is None else terms.priority,
        via_peer=True,
    )


def no_way() -> Problem:
    """Return the problem of a call that neither this instance nor a peer can run."""
    return Problem(ProblemCode.NO_ENDPOINT, NO_WAY, ELSEWHERE_AFTER)
