"""Suspicion that a request's body crashes the engines that run it."""

from datetime import timedelta

import msgspec

from ...ids import Digest, EndpointId, Incarnation
from .base import Effect, Message
from .peers import Origin, PeerValue


class EndpointIncarnation(msgspec.Struct, frozen=True):
    """One life of an endpoint."""

    endpoint: EndpointId
    incarnation: Incarnation


class CrashEvidence(msgspec.Struct, frozen=True):
    """A body was in progress when an endpoint's life ended.

    Attributes
    ----------
    weight : float
        One part of the requests that were in progress there, as far as known.
    is_sole : bool
        It ran alone.
    is_confirmed : bool
        The life has surely ended; until then the connection may just have broken.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    weight: float
    is_sole: bool
    is_confirmed: bool

    @property
    def endpoint_incarnation(self) -> EndpointIncarnation:
        """The life that has ended, or seemed to."""
        return EndpointIncarnation(self.endpoint, self.incarnation)


class Suspicion(PeerValue, msgspec.Struct, frozen=True):
    """What the writer knows against a body; the key is its digest.

    Attributes
    ----------
    dropped : tuple of Life
        Evidence that counts no more, whoever still tells it: the life went on, or
        the body has run to its end since.
    """

    evidence: tuple[CrashEvidence, ...]
    dropped: tuple[EndpointIncarnation, ...] = ()


class SuspicionReceived(Message, frozen=True):
    """A peer has told a suspicion."""

    digest: Digest
    suspicion: Suspicion
    origin: Origin


class EndpointIsolation(PeerValue, msgspec.Struct, frozen=True):
    """An endpoint is kept free for a suspect; the key is the endpoint.

    Attributes
    ----------
    left_ms : int
        For how long from when it was written; 0 ends it.
    """

    remaining_ms: int


class EndpointIsolationReceived(Message, frozen=True):
    """A peer keeps an endpoint free, or no longer does."""

    endpoint: EndpointId
    isolation: EndpointIsolation
    origin: Origin


class StoreSuspicion(Effect, frozen=True):
    """Add evidence to what the table service keeps of a body."""

    digest: Digest
    evidence: tuple[CrashEvidence, ...]


class DropSuspicion(Effect, frozen=True):
    """Drop what the table service keeps of a body."""

    digest: Digest


class StoredSuspicion(msgspec.Struct, frozen=True):
    """What the table service keeps of a body.

    Attributes
    ----------
    age : timedelta
        Since it was written last.
    """

    digest: Digest
    evidence: tuple[CrashEvidence, ...]
    age: timedelta


class SuspicionsRead(Message, frozen=True):
    """The kept suspicions were read from the table service."""

    suspicions: tuple[StoredSuspicion, ...]
