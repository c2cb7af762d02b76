"""Errors of the gossip among entry instances."""

from ..errors import MimosaforkError


class GossipError(MimosaforkError):
    """Base of failures in the gossip."""


class BadDatagramError(GossipError):
    """A datagram is cut, foreign or breaks the format."""


class DuplicateStateKindError(GossipError):
    """Two kinds of state claim the same number."""


class PullError(GossipError):
    """A peer did not hand over what it had offered."""
