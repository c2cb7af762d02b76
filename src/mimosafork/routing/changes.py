"""What a version of the configuration changed, as counts that a log line can bear."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from .table import RoutingTable

NO_CHANGES = "nothing that matters here"


@dataclass(frozen=True)
class TableChanges:
    """Counts what differs between two configurations, once it is written.

    No key and no name is told, so that the text is short and holds no secret. The
    work is done where the line is formatted, and only if it is.

    Parameters
    ----------
    before : RoutingTable or None
        None if there was none: then all is new.
    after : RoutingTable
    """

    before: RoutingTable | None
    after: RoutingTable

    def __str__(self) -> str:
        """Return the counts: ``+`` for new, ``-`` for removed, ``~`` for changed."""
        return self.text

    @cached_property
    def text(self) -> str:
        """The counts of all parts that differ."""
        before, after = self.before, self.after
        parts = []
        for name, part_of in PARTS.items():
            counts = counted({} if before is None else part_of(before), part_of(after))
            if counts:
                parts.append(f"{name} {counts}")
        if before is not None and before.limits != after.limits:
            parts.append("limits")
        if before is not None and before.has_accounts != after.has_accounts:
            parts.append("keys needed" if after.has_accounts else "no keys needed")
        return ", ".join(parts) or NO_CHANGES


def counted(before: Mapping[Any, object], after: Mapping[Any, object]) -> str:
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
    """Return the accounts by name, without their keys, which count apart."""
    return {account.name: account.priority for account in table.accounts}


def keys_of(table: RoutingTable) -> Mapping[Any, object]:
    """Return the account of each key; one that another account has is changed."""
    return {key: account.name for key, account in table.by_key.items()}


PARTS = {
    "routes": routes_of,
    "services": services_of,
    "accounts": accounts_of,
    "keys": keys_of,
}
