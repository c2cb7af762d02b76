"""State that an instance decides on, as logged with its decisions."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ..directory.directory import Directory
from ..ids import AvailabilityZoneId, EndpointId, InstanceId, ServiceId
from ..kernel.core import Kernel
from ..kernel.messages.dispatch import Dispatch
from .attempt_diagnostics import AttemptPlacement
from .gossip_adapter import GossipAdapter
from .policies.fleet_view import FleetView
from .policies.placing import WorkPlacer
from .policies.retrying import BudgetedRetry

LogFields = dict[str, Any]
"""Fields of a log line."""


class DecisionInputs(msgspec.Struct, frozen=True):
    """State that decisions about a service's calls are based on.

    Attributes
    ----------
    listed, usable : int
        Known endpoints of the service, and those that accept new work.
    running, peers_running : int
        Running calls of this instance, and those published by peers.
    waiting : int
        Calls of this instance that wait for an endpoint.
    peers : int
        Live peers.
    retries_left : int
        Retries left in this instance's share of the retry budget.
    retries_sent : int
        Retries sent by this instance since its start. The fleet's total is the sum
        over all instances.
    budget_instances : int
        Instances that share the slack of the retry budget, as counted here; 0 while
        this one has no share.
    table_age, listing_age : timedelta or None
        Time since the store last confirmed the configuration and the endpoints.
    """

    listed: int = 0
    usable: int = 0
    running: int = 0
    peers_running: int = 0
    waiting: int = 0
    peers: int = 0
    retries_left: int = 0
    retries_sent: int = 0
    budget_instances: int = 0
    table_age: timedelta | None = None
    listing_age: timedelta | None = None

    def fields(self) -> LogFields:
        """Return the fields of a log line, ages in milliseconds."""
        return {
            "listed": self.listed,
            "usable": self.usable,
            "running": self.running,
            "peers_running": self.peers_running,
            "waiting": self.waiting,
            "peers": self.peers,
            "repeats_left": self.retries_left,
            "repeats_sent": self.retries_sent,
            "sharers": self.budget_instances,
            "table_age_ms": milliseconds(self.table_age),
            "listing_age_ms": milliseconds(self.listing_age),
        }


class InstanceView(Protocol):
    """Source of the state that decisions are based on."""

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return the current state for a service."""

    def load_age(self) -> timedelta | None:
        """Return the age of the oldest peer load still in use."""

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return the zones of an attempt's endpoints, and its predicted first token."""

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """Availability zone of this instance."""

    @property
    def own_instance(self) -> InstanceId | None:
        """Name of this instance."""


class EmptyInstanceView:
    """Empty state, used until the gateway is connected to the rest of its instance."""

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return empty inputs."""
        return DecisionInputs()

    def load_age(self) -> timedelta | None:
        """Return None, as no peer is live."""
        return None

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return an empty placement."""
        return AttemptPlacement()

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """None: the zone is unknown."""
        return None

    @property
    def own_instance(self) -> InstanceId | None:
        """None: the name is unknown."""
        return None


class LiveInstanceView:
    """Reads the current state from its owners.

    Parameters
    ----------
    kernel : Kernel
        With the gateway's plug-ins.
    directory : Directory
    gossip_adapter : GossipAdapter
    now : callable
        Returns the kernel's monotonic instant.
    """

    def __init__(
        self,
        kernel: Kernel,
        directory: Directory,
        gossip_adapter: GossipAdapter,
        now: Callable[[], timedelta],
    ) -> None:
        self.kernel = kernel
        self.directory = directory
        self.gossip_adapter = gossip_adapter
        self.now = now
        self.fleet = kernel.plugin(FleetView)
        self.placer = kernel.plugin(WorkPlacer)
        self.book = self.placer.load_tracker
        self.retry = kernel.plugin(BudgetedRetry)

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return the current state for a service."""
        now = self.now()
        known = self.fleet.service_endpoints(service)
        return DecisionInputs(
            listed=len(known),
            usable=sum(each.usable(now) for each in known),
            running=len(self.book.own),
            peers_running=sum(len(works) for works in self.book.peers.values()),
            waiting=len(self.kernel.state.waiting),
            peers=len(self.gossip_adapter.live_peers),
            retries_left=int(self.retry.available_retries(service, now)),
            retries_sent=self.retry.retries_sent(service),
            budget_instances=self.retry.slack_sharers(),
            table_age=self.directory.table_age,
            listing_age=self.directory.listing_age,
        )

    def load_age(self) -> timedelta | None:
        """Return the age of the oldest peer load still in use."""
        gossip = self.gossip_adapter.gossip
        return (
            max((peer.age for peer in gossip.peers), default=None) if gossip else None
        )

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return the zones of an attempt's endpoints, and its predicted first token.

        They are looked up when the attempt is sent, as an endpoint may have been
        removed by the time its attempt fails.
        """
        return AttemptPlacement(
            self.zone_of(dispatch.endpoint),
            tuple(self.zone_of(each.endpoint) for each in dispatch.helpers),
            self.placer.predicted_first_token_at.get(dispatch.request_id),
        )

    def zone_of(self, endpoint: EndpointId) -> AvailabilityZoneId | None:
        """Return an endpoint's zone, if it is known."""
        known = self.fleet.endpoints.get(endpoint)
        return None if known is None else known.listed.zone

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """Availability zone of this instance."""
        return self.kernel.state.identity.availability_zone

    @property
    def own_instance(self) -> InstanceId | None:
        """Name of this instance."""
        return self.kernel.state.identity.instance


def milliseconds(time: timedelta | None) -> int | None:
    """Return whole milliseconds, or None for None."""
    return None if time is None else int(time / timedelta(milliseconds=1))
