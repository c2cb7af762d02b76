"""What the follower is told and what it tells."""

from dataclasses import dataclass

from ..ids import Digest, Revision
from ..kernel.configuration import Configuration


@dataclass(frozen=True, slots=True)
class FollowerMessage:
    """Base of the messages to the follower."""


@dataclass(frozen=True, slots=True)
class ConfigurationOffer(FollowerMessage):
    """A peer sent the configuration that is in force with it.

    Attributes
    ----------
    text : str
        The canonical manifest; checked against the digest before use.
    source : str
        The peer, for logs.
    """

    revision: Revision
    digest: Digest
    text: str
    source: str


@dataclass(frozen=True, slots=True)
class PeersAnswered(FollowerMessage):
    """Peers have been asked for their revisions.

    Attributes
    ----------
    newest : Revision
        The highest that any of them has; 0 if none has one or there are no peers.
    """

    newest: Revision


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """A configuration in every form that somebody needs.

    Attributes
    ----------
    text : str
        The canonical manifest, for peers.
    """

    revision: Revision
    digest: Digest
    text: str
    configuration: Configuration
