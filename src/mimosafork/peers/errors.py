"""Errors of the exchange among entry instances."""

from ..errors import MimosaforkError


class PeerError(MimosaforkError):
    """Base of failures in the exchange among peers."""


class InvalidPeerMessageError(PeerError):
    """A peer's message breaks the protocol or its bounds."""


class UnknownKindError(PeerError):
    """No kind of entry is registered for a value."""


class DuplicateKindError(PeerError):
    """Two kinds of entry claim the same number or value type."""
