"""Messages about the demand of client accounts."""

from hashlib import blake2b
from typing import NewType

import msgspec

from ...ids import AccountId
from .base import Message
from .peers import Origin, PeerValue

INSTANCE_DEMAND = "demand"
ZONE_DEMAND = "zone-demand"
"""Keys of the published values; an instance has one value for each key."""

AccountKey = NewType("AccountKey", int)
"""Short key of a client account in peer messages."""

KEY_BYTES = 4
"""With 2,100 accounts, two share a key in one of 2,000 fleets. Their demands are then
added, so that each gets less than its limit, never more."""


def account_key(account: AccountId) -> AccountKey:
    """Return the short key of a client account."""
    digest = blake2b(account.encode(), digest_size=KEY_BYTES).digest()
    return AccountKey(int.from_bytes(digest))


class AccountDemand(PeerValue, msgspec.Struct, frozen=True):
    """Recent demand of the accounts that use the largest share of their limits.

    Attributes
    ----------
    accounts : tuple of AccountKey
    tokens_per_second : tuple of int
        Demand of each account, including refused requests, capped at its limit.
    """

    accounts: tuple[AccountKey, ...]
    tokens_per_second: tuple[int, ...]

    def __post_init__(self) -> None:
        if len(self.accounts) != len(self.tokens_per_second):
            raise ValueError("accounts and tokens_per_second differ in length")


class AccountDemandReceived(Message, frozen=True):
    """Demand of an entry instance, or of a zone by its publisher, was received.

    Attributes
    ----------
    of_zone : bool
        The demand covers the whole availability zone.
    """

    demand: AccountDemand
    of_zone: bool
    origin: Origin
