"""Summary of what changed between two configuration versions, for a log line."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from .table import RoutingTable

NO_CHANGES = "nothing that matters here"


@dataclass(frozen=True)
class TableChanges:
    """Counts of differences between two configurations, formatted on demand.

    Contains no keys or names, so that the text is short and has no secrets. The counts
    are computed only if the log line is formatted.

    Parameters
    ----------
    before : RoutingTable or None
        None if there was none: then everything is new.
    after : RoutingTable
    """

    before: RoutingTable | None
    after: RoutingTable

    def __str__(self) -> str:
        """Return the counts: ``+`` for new, ``-`` for removed, ``~`` for changed."""
        return self.text

    @cached_property
    def text(self) -> str:
        """The counts of all sections that differ."""
        before, after = self.before, self.after
        sections = []
        for name, entries_of in SECTIONS.items():
            counts = format_counts(
                {} if before is None else entries_of(before), entries_of(after)
            )
            if counts:
                sections.append(f"{name} {counts}")
        if before is not None and before.limits != after.limits:
            sections.append("limits")
        if before is not None and before.has_accounts != after.has_accounts:
            sections.append("keys needed" if after.has_accounts else "no keys needed")
        return ", ".join(sections) or NO_CHANGES


def format_counts(before: Mapping[Any, object], after: Mapping[Any, object]) -> str:
    """Return how many entries are new, removed and changed; empty if none is."""
    added = len(after.keys() - before.keys())
    removed = len(before.keys() - after.keys())
    kept = before.keys() & after.keys()
    changed = sum(before[name] != after[name] for name in kept)
    counts = (("+", added), ("-", removed), ("~", changed))
    return " ".join(f"{sign}{count}" for sign, count in counts if count)


def routes_of(table: RoutingTable) -> Mapping[Any, object]:
    """Return the routes by name."""
    return {route.name: route for route in table.routes}


def services_of(table: RoutingTable) -> Mapping[Any, object]:
    """Return the services by name."""
    return table.services


def accounts_of(table: RoutingTable) -> Mapping[Any, object]:
    """Return the accounts by name, without their keys, which are counted separately."""
    return {
        account.name: (account.priority, account.home_regions)
        for account in table.accounts
    }


def keys_of(table: RoutingTable) -> Mapping[Any, object]:
    """Return the account of each key; a key that changes accounts counts as changed."""
    return {key: account.name for key, account in table.by_key.items()}


SECTIONS = {
    "routes": routes_of,
    "services": services_of,
    "accounts": accounts_of,
    "keys": keys_of,
}
