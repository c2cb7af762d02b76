"""What a deployment's contracts ask of its instances."""

from collections.abc import Iterable

from .names import PRESSURE


def asks_for_account_shares(contracts: Iterable[str]) -> bool:
    """Return whether capacity is to be shared fairly among client accounts."""
    return PRESSURE in contracts
