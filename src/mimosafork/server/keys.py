"""Which client account an API key belongs to."""

import hmac
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

from ..ids import AccountId, Digest
from ..kernel.configuration import AccountPolicy

BUCKET_DIGITS = 8
BEARER = "bearer"


@dataclass(frozen=True, slots=True)
class KnownKey:
    """Hash of a key, and whose key it is."""

    key_hash: Digest
    account: AccountId


class KeyRing:
    """The keys of all client accounts, as hashes.

    Two thousand accounts would make it slow to compare a key with all of them.
    They are found by the first digits of their hash, which tell nothing of the
    key, and only the few with the same digits are compared, in constant time.
    """

    def __init__(self, accounts: Iterable[AccountPolicy]) -> None:
        self.buckets: dict[str, list[KnownKey]] = defaultdict(list)
        for account in accounts:
            for key_hash in account.key_hashes:
                known = KnownKey(key_hash, account.account)
                self.buckets[key_hash[:BUCKET_DIGITS]].append(known)

    def account_of(self, key: str) -> AccountId | None:
        """Return the account of a key, or None if nobody has it."""
        key_hash = sha256(key.encode()).hexdigest()
        found = None
        for known in self.buckets.get(key_hash[:BUCKET_DIGITS], ()):
            if hmac.compare_digest(known.key_hash, key_hash):
                found = known.account
        return found


def bearer_key(authorization: str | None) -> str | None:
    """Return the key in an `Authorization` header, if there is one."""
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != BEARER or not key.strip():
        return None
    return key.strip()
