"""API keys of client accounts; the manifest holds their hashes only."""

import secrets
from hashlib import sha256

from ..ids import Digest
from .errors import ApiKeyError

PREFIX = "mf-"
NEW_KEY_BYTES = 32
SHORTEST_KEY = 20
"""A plain hash is safe only over keys that can't be guessed."""


def hash_key(key: str) -> Digest:
    """Return the hash under which an account's key stands in the manifest."""
    return Digest(sha256(key.encode()).hexdigest())


def checked_key(key: str) -> str:
    """Return the key, if it may be used.

    Raises
    ------
    ApiKeyError
        If it is too short or would not survive a header.
    """
    if len(key) < SHORTEST_KEY:
        raise ApiKeyError(f"a key has at least {SHORTEST_KEY} characters")
    if not key.isascii() or not key.isprintable() or " " in key:
        raise ApiKeyError("a key is made of visible ASCII characters")
    return key


def new_key() -> str:
    """Return a fresh random key."""
    return PREFIX + secrets.token_urlsafe(NEW_KEY_BYTES)
