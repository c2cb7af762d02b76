"""Suspicion that a request body crashes the engines that run it."""

from datetime import timedelta

import msgspec

from ...ids import Digest, EndpointId, Incarnation
from .base import Effect, Message
from .peers import Origin, PeerValue


class EndpointIncarnation(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint."""

    endpoint: EndpointId
    incarnation: Incarnation


class CrashEvidence(msgspec.Struct, frozen=True):
    """A request body was in flight when an endpoint incarnation ended.

    Attributes
    ----------
    weight : float
        Share of the blame, divided among the requests known to be in flight there.
    is_sole : bool
        It was the only request in flight.
    is_confirmed : bool
        The incarnation has definitely ended; otherwise only the connection may have
        failed.
    is_answering : bool
        Tokens of the answer had been received.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    weight: float
    is_sole: bool
    is_confirmed: bool
    is_answering: bool = False

    @property
    def endpoint_incarnation(self) -> EndpointIncarnation:
        """Incarnation that has ended, or is suspected to have ended."""
        return EndpointIncarnation(self.endpoint, self.incarnation)


class Suspicion(PeerValue, msgspec.Struct, frozen=True):
    """Evidence of the writer against a request body; the key is its digest.

    Attributes
    ----------
    dropped : tuple of EndpointIncarnation
        Incarnations whose evidence is no longer valid, whoever still publishes it:
        the incarnation continued, or the body has since run to completion.
    """

    evidence: tuple[CrashEvidence, ...]
    dropped: tuple[EndpointIncarnation, ...] = ()


class SuspicionReceived(Message, frozen=True):
    """A suspicion was received from a peer."""

    digest: Digest
    suspicion: Suspicion
    origin: Origin


class EndpointIsolation(PeerValue, msgspec.Struct, frozen=True):
    """An endpoint is isolated for a suspect request; the key is the endpoint.

    Attributes
    ----------
    remaining_ms : int
        Remaining time when the value was written; 0 ends the isolation.
    """

    remaining_ms: int


class EndpointIsolationReceived(Message, frozen=True):
    """A peer has isolated an endpoint or ended the isolation."""

    endpoint: EndpointId
    isolation: EndpointIsolation
    origin: Origin


class StoreSuspicion(Effect, frozen=True):
    """Add evidence to the stored suspicion of a request body."""

    digest: Digest
    evidence: tuple[CrashEvidence, ...]


class DropSuspicion(Effect, frozen=True):
    """Delete the stored suspicion of a request body."""

    digest: Digest


class StoredSuspicion(msgspec.Struct, frozen=True):
    """Suspicion of a request body as stored in the table service.

    Attributes
    ----------
    age : timedelta
        Time since the last write.
    """

    digest: Digest
    evidence: tuple[CrashEvidence, ...]
    age: timedelta


class SuspicionsRead(Message, frozen=True):
    """The stored suspicions were read from the table service."""

    suspicions: tuple[StoredSuspicion, ...]
