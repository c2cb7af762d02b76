"""Which changes of a listing are published."""

from datetime import timedelta

from msgspec.structs import replace

from ..routing.listing import ListedEndpoint, ListedState

UNREPORTED_FIELDS = {
    "sequence": 0,
    "cold_remaining": timedelta(0),
    "state": ListedState.READY,
}
"""Listing fields whose change alone is not published, with fixed values to compare."""


def listing_changed(before: ListedEndpoint, after: ListedEndpoint) -> bool:
    """Whether two listings differ in fields that are published."""
    return replace(before, **UNREPORTED_FIELDS) != replace(after, **UNREPORTED_FIELDS)


def listing_or_coldness_changed(before: ListedEndpoint, after: ListedEndpoint) -> bool:
    """Whether a listing has changed, or its endpoint is cold, cold again or warm.

    The remaining cold time counts down with each report, which is not published.
    """
    return coldness_changed(before, after) or listing_changed(before, after)


def coldness_changed(before: ListedEndpoint, after: ListedEndpoint) -> bool:
    """Whether an endpoint has become cold, cold for longer, or warm."""
    if after.cold_remaining <= timedelta(0):
        return before.cold_remaining > timedelta(0)
    return after.cold_remaining > before.cold_remaining
