"""Effects that send an attempt to an endpoint and stop it there."""

from datetime import timedelta

import msgspec

from ...ids import (
    AttemptNumber,
    EndpointId,
    Incarnation,
    RequestId,
    ReservationId,
    StreamId,
)
from .base import Effect


class PrefillHelper(msgspec.Struct, frozen=True):
    """An endpoint that reads a part of a prompt for the one that answers.

    Attributes
    ----------
    reservation : ReservationId or None
        Memory set aside there for the part.
    """

    endpoint: EndpointId
    address: str
    reservation: ReservationId | None = None


class SilenceTimeouts(msgspec.Struct, frozen=True):
    """How long an attempt may be silent before that is worth a thought.

    Attributes
    ----------
    first : timedelta
        Until the answer begins.
    further : timedelta
        Between two events after that.
    """

    first_event: timedelta
    between_events: timedelta


class Dispatch(Effect, frozen=True):
    """Send an attempt to an endpoint.

    Attributes
    ----------
    attach : bool
        Attach to the stream that already runs there instead of starting one.
    offset : int
        First token wanted.
    priority : int
        Lower runs first.
    imports : tuple of ReservationId
        KV parts imported before, joined in front of the prompt.
    imported_tokens : int
        Length of those parts.
    keep : bool
        The answer is to be kept: the relay captures it, over all attempts, and
        hands it to the answer keeper before it reports the attempt as finished.
    shared : bool
        Another call under the same key may be answered by the stream: only
        `CancelAttempt` ends it, not that this attempt failed.
    helpers : tuple of PrefillHelper
        Endpoints that read the prompt in even parts with this one.
    patience : Patience or None
        A longer silence is told by `AttemptSilent`; None asks for no word.
    """

    request_id: RequestId
    attempt: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    incarnation: Incarnation
    address: str
    deadline: timedelta
    priority: int = 0
    attach: bool = False
    offset: int = 0
    imports: tuple[ReservationId, ...] = ()
    imported_tokens: int = 0
    reservation: ReservationId | None = None
    keep_answer: bool = False
    shared: bool = False
    helpers: tuple[PrefillHelper, ...] = ()
    silence_timeouts: SilenceTimeouts | None = None


class RestoreAttempt(Effect, frozen=True):
    """Take a hedged attempt for the current one again."""

    request_id: RequestId
    attempt: AttemptNumber


class CancelAttempt(Effect, frozen=True):
    """Stop an attempt; its endpoint frees what it holds."""

    request_id: RequestId
    attempt: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    address: str
