"""Messages about the demand of client accounts."""

from hashlib import blake2b
from typing import NewType

import msgspec

from ...ids import AccountId
from .base import Message
from .peers import Origin, PeerValue

INSTANCE_DEMAND = "demand"
ZONE_DEMAND = "zone-demand"
"""Keys of what is published; an instance has one value under each."""

AccountKey = NewType("AccountKey", int)
"""Short name of a client account in what peers tell."""

KEY_BYTES = 4
"""Two of 2,100 accounts share a key in one of 2,000 fleets. Their demands are then
added up, so that each gets less than its limit, never more."""


def account_key(account: AccountId) -> AccountKey:
    """Return a client account's short name."""
    digest = blake2b(account.encode(), digest_size=KEY_BYTES).digest()
    return AccountKey(int.from_bytes(digest))


class AccountDemand(PeerValue, msgspec.Struct, frozen=True):
    """Recent demand of the accounts that want most of their limits.

    Attributes
    ----------
    accounts : tuple of AccountKey
    tokens_per_second : tuple of int
        Demand of each, refused requests included, up to the account's limit.
    """

    accounts: tuple[AccountKey, ...]
    tokens_per_second: tuple[int, ...]

    def __post_init__(self) -> None:
        if len(self.accounts) != len(self.tokens_per_second):
            raise ValueError("a demand for each account is needed")


class AccountDemandReceived(Message, frozen=True):
    """An entry instance has told its own demand, or a zone's speaker its zone's.

    Attributes
    ----------
    of_zone : bool
        The demand of the whole availability zone.
    """

    demand: AccountDemand
    of_zone: bool
    origin: Origin
