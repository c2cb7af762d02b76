"""Runs that ended with their endpoint, and contents that are quarantined for it."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AccountId, Digest, EndpointId
from .base import Effect, Message


class RunPhase(Enum):
    """Progress of a run when its connection broke."""

    PENDING = 0
    """Nothing of the answer had been received."""
    BEGUN = 1
    """The head of the answer had been received, but no part of the answer itself."""
    ANSWERING = 2
    """A part of the answer had been received."""


class InterruptedRun(msgspec.Struct, frozen=True):
    """A run whose connection broke.

    Attributes
    ----------
    content : Digest
        Digest of the request's target and body.
    parts : tuple of Digest
        Shared parts of its prompt, in order.
    sent_at, ended_at : timedelta
        Monotonic times at which the attempt was placed, and its connection broke.
    """

    content: Digest
    account: AccountId
    parts: tuple[Digest, ...]
    phase: RunPhase
    sent_at: timedelta
    ended_at: timedelta


class Quarantine(msgspec.Struct, frozen=True):
    """Decision on a content, which is a body or a prompt part.

    Attributes
    ----------
    accounts : tuple of AccountId
        Accounts whose requests with a part crashed endpoints; with none, as for a body,
        or with two, the requests of all accounts are refused.
    decided_at, until : timedelta
        Monotonic times. From `until` on, single requests are admitted as trials.
    level : int
        Number of quarantines of this content without a success since the first one.
    crashes : int
        Number of endpoints that it crashed.
    lifted : bool
        The quarantine has ended.
    """

    content: Digest
    accounts: tuple[AccountId, ...]
    decided_at: timedelta
    until: timedelta
    level: int = 0
    crashes: int = 0
    lifted: bool = False


class PublishInterruptedRun(Effect, frozen=True):
    """Publish a run that ended with its endpoint."""

    endpoint: EndpointId
    run: InterruptedRun


class PeerRunInterrupted(Message, frozen=True):
    """A peer has published a run that ended with its endpoint."""

    endpoint: EndpointId
    run: InterruptedRun


class PublishRefutation(Effect, frozen=True):
    """Publish that an endpoint with interrupted runs had not crashed.

    Attributes
    ----------
    sent_at : timedelta
        Monotonic time of a later request that it has answered.
    """

    endpoint: EndpointId
    sent_at: timedelta


class PeerRefutation(Message, frozen=True):
    """A peer has published that an endpoint with interrupted runs had not crashed."""

    endpoint: EndpointId
    sent_at: timedelta


class PublishSuccess(Effect, frozen=True):
    """Publish that a suspected content has run without crashing its endpoint."""

    content: Digest
    at: timedelta


class PeerSuccessReported(Message, frozen=True):
    """A peer has run a suspected content without crashing its endpoint."""

    content: Digest
    at: timedelta


class PublishQuarantine(Effect, frozen=True):
    """Publish the latest decision on a content.

    Attributes
    ----------
    is_own : bool
        This instance has decided, and stores the decision.
    """

    quarantine: Quarantine
    is_own: bool


class QuarantineReceived(Message, frozen=True):
    """A decision on a content was received from a peer or read from the store."""

    quarantine: Quarantine
