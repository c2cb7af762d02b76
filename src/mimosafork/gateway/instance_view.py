"""What this instance knows at a moment, as the log tells it beside a decision."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ..directory.directory import Directory
from ..ids import AvailabilityZoneId, EndpointId, ServiceId
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
    """What decisions about a service's calls go by.

    Attributes
    ----------
    listed, usable : int
        Endpoints of the service that are known, and those that get new work.
    running, peers_running : int
        Calls that run, of this instance and as far as peers have told.
    waiting : int
        Calls here that wait for a place.
    peers : int
        Instances that are heard.
    repeats_left : int
        What this instance may still repeat by its part of the budget.
    repeats_sent : int
        Repeats that this instance has counted in its life; those of all instances
        together are what the fleet sent.
    sharers : int
        Instances among which the slack is shared, as this one counts them; 0 while
        it has no part in it.
    table_age, listing_age : timedelta or None
        Since the store last told configuration and endpoints.
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
    """Tells what decisions about a service's calls go by."""

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return what is known now."""

    def load_age(self) -> timedelta | None:
        """Return the age of the oldest word of a peer that still counts."""

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return the zones of an attempt's endpoints, and what is expected of it."""

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """Where this instance runs."""


class EmptyInstanceView:
    """Knows nothing, until the gateway is joined with the rest of its instance."""

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return nothing known."""
        return DecisionInputs()

    def load_age(self) -> timedelta | None:
        """Return that no peer is heard."""
        return None

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return nothing known."""
        return AttemptPlacement()

    @property
    def own_zone(self) -> AvailabilityZoneId | None:
        """Return nothing known."""
        return None


class LiveInstanceView:
    """Reads what is known from its owners.

    Parameters
    ----------
    kernel : Kernel
        With the gateway's plug-ins.
    directory : Directory
    sharing : Sharing
    now : callable
        Returns the kernel's monotonic instant.
    """

    def __init__(
        self,
        kernel: Kernel,
        directory: Directory,
        sharing: GossipAdapter,
        now: Callable[[], timedelta],
    ) -> None:
        self.kernel = kernel
        self.directory = directory
        self.sharing = sharing
        self.now = now
        self.fleet = kernel.plugin(FleetView)
        self.placer = kernel.plugin(WorkPlacer)
        self.book = self.placer.load_tracker
        self.retry = kernel.plugin(BudgetedRetry)

    def inputs(self, service: ServiceId) -> DecisionInputs:
        """Return what is known now."""
        now = self.now()
        known = self.fleet.service_endpoints(service)
        return DecisionInputs(
            listed=len(known),
            usable=sum(each.usable(now) for each in known),
            running=len(self.book.own),
            peers_running=sum(len(works) for works in self.book.peers.values()),
            waiting=len(self.kernel.state.waiting),
            peers=len(self.sharing.known_peers),
            retries_left=int(self.retry.available_retries(service, now)),
            retries_sent=self.retry.retries_sent(service),
            budget_instances=self.retry.slack_sharers(),
            table_age=self.directory.table_age,
            listing_age=self.directory.listing_age,
        )

    def load_age(self) -> timedelta | None:
        """Return the age of the oldest word of a peer that still counts."""
        gossip = self.sharing.gossip
        return (
            max((peer.age for peer in gossip.peers), default=None) if gossip else None
        )

    def attempt_placement(self, dispatch: Dispatch) -> AttemptPlacement:
        """Return the zones of an attempt's endpoints, and what is expected of it.

        They are looked up when it is sent: an endpoint that is gone when its attempt
        fails is no longer known then.
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
        """Where this instance runs."""
        return self.kernel.state.identity.availability_zone


def milliseconds(time: timedelta | None) -> int | None:
    """Return whole milliseconds; None stays what it is."""
    return None if time is None else int(time / timedelta(milliseconds=1))
