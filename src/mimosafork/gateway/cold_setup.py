"""Joins the bound of cold endpoints with settings, directory and shares."""

from datetime import timedelta

from ..clock import Clock
from ..directory.directory import Directory
from ..directory.listing_changes import listing_changed, listing_or_coldness_changed
from ..directory.peer_feed import MAX_UPDATE_AGE
from ..directory.settings import FollowSettings
from ..settings.gateway import BoundsSection
from .fleet_shares import FleetShares
from .policies.cold_endpoints import ColdEndpoints


def bound_cold_endpoints(
    cold: ColdEndpoints,
    bounds: BoundsSection,
    directory: Directory,
    shares: FleetShares,
    clock: Clock,
) -> None:
    """Apply the settings in force; without a factor, nothing else is changed."""
    enabled = bounds.cold_factor is not None
    registry = directory.endpoint_registry
    registry.differs = listing_or_coldness_changed if enabled else listing_changed
    confirmed_within = longest_confirmation(directory.endpoint_follower.settings)

    def is_unconfirmed() -> bool:
        age = directory.listing_age
        return age is None or age > confirmed_within

    cold.share_of = shares.of_cold_endpoint
    cold.unconfirmed = is_unconfirmed
    cold.set_bound(bounds.cold_factor, bounds.cold_slack, clock.monotonic())


def longest_confirmation(follow: FollowSettings) -> timedelta:
    """Return the longest time between two confirmations of the list in service.

    The update of a peer has just not expired when it is applied, and its successor is
    awaited by an own long poll.
    """
    return MAX_UPDATE_AGE + follow.wait + follow.pause
