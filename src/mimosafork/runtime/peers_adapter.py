"""Connects the kernel with the other entry instances."""

from collections.abc import Iterable
from random import Random

from ..clock import Clock
from ..kernel.context import InstanceIdentity
from ..kernel.messages.base import Effect
from ..kernel.messages.fleet import EntryInstance, LifecycleState
from ..kernel.messages.peers import AddPeerCandidates, AnnounceDrain, Publish
from ..network.http import HttpClient
from ..peers.configuration import Offer
from ..peers.exchanger import PeerIdentity
from ..peers.frames import ConfigurationText
from ..peers.task import HoldConfiguration, PeersTask
from ..settings.model import InstanceSettings
from ..storage.instances import InstanceListClient
from ..telemetry.catalogue.peers import PEER_TRAFFIC
from ..telemetry.metrics import Metrics, Reading
from .kernel_task import KernelTask
from .own_listing import OwnListing


class PeersAdapter:
    """Exchanges with peers, and keeps this instance in the platform's list.

    Attributes
    ----------
    takers : list of callable
        Given each configuration that a peer sent, in the exchanging task's thread;
        must not block. Filled before `start`.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        identity: InstanceIdentity,
        http: HttpClient,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
    ) -> None:
        self.takers: list[Offer] = []
        own = settings.peers
        shown = own.advertised_address or own.address
        self.task = PeersTask(
            PeerIdentity(identity, own.fleet, shown),
            clock,
            random,
            kernel_task.send,
            self.offered,
            listen_address=own.address,
            period=own.period,
            timeout=own.timeout,
        )
        entry = EntryInstance(
            identity.instance,
            settings.front.advertised_address or "",
            self.task.exchanger.who.address,
            identity.availability_zone,
            identity.incarnation,
            LifecycleState.LIVE,
            settings.operations.advertised_address or "",
        )
        client = InstanceListClient(http, settings.platform.instances)
        self.listing = OwnListing(client, clock, entry)

    def offered(self, configuration: ConfigurationText) -> None:
        """Pass on a configuration that a peer sent."""
        for take in self.takers:
            take(configuration)

    def hold(self, configuration: ConfigurationText) -> None:
        """Let peers have the configuration that is in force here now."""
        self.task.send(HoldConfiguration(configuration))

    def register(self, kernel_task: KernelTask) -> None:
        """Take the effects about peers."""
        for effect in (Publish, AddPeerCandidates, AnnounceDrain):
            kernel_task.register(effect, self.take)

    def observe(self, metrics: Metrics) -> None:
        """Count the bytes of the exchanges."""
        metrics.observe(PEER_TRAFFIC, self.count_traffic)

    def count_traffic(self) -> Iterable[Reading]:
        """Return the bytes in both directions, as caller and as callee."""
        sides = [self.task.client.traffic, self.task.server.traffic]
        return [
            Reading(sum(each.sent for each in sides), (("direction", "sent"),)),
            Reading(sum(each.received for each in sides), (("direction", "received"),)),
        ]

    def take(self, effect: Effect) -> None:
        """Hand an effect to the tasks."""
        if isinstance(effect, Publish | AddPeerCandidates | AnnounceDrain):
            self.task.send(effect)
        if isinstance(effect, AnnounceDrain):
            self.listing.send(LifecycleState.LEAVING)

    def start(self) -> None:
        """Start exchanging."""
        self.task.start()

    def list_at(self, front: str, operations: str) -> None:
        """Be listed, at the addresses that the servers listen at by now."""
        self.listing.start_at(front, operations)

    def stop(self) -> None:
        """Leave the list, then stop exchanging."""
        self.listing.stop()
        self.task.stop()
