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


def equal_except_unreported(first: ListedEndpoint, second: ListedEndpoint) -> bool:
    """Whether two listings differ at most in fields that are not published."""
    return replace(first, **UNREPORTED_FIELDS) == replace(second, **UNREPORTED_FIELDS)
