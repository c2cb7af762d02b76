"""Effects that dispatch and cancel attempts."""

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
    """An endpoint that prefills a part of a prompt for the one that answers.

    Attributes
    ----------
    reservation : ReservationId or None
        Memory reserved there for the part.
    """

    endpoint: EndpointId
    address: str
    reservation: ReservationId | None = None


class SilenceTimeouts(msgspec.Struct, frozen=True):
    """Silence of an attempt after which it is reported.

    Attributes
    ----------
    first_event : timedelta
        Time until the first event of the answer.
    between_events : timedelta
        Time between two later events.
    """

    first_event: timedelta
    between_events: timedelta


class Dispatch(Effect, frozen=True):
    """Dispatch an attempt to an endpoint.

    Attributes
    ----------
    attach : bool
        Attach to a stream that is already running there instead of starting one.
    offset : int
        First token to receive.
    priority : int
        Lower runs first.
    imports : tuple of ReservationId
        Previously imported KV parts, prepended to the prompt.
    imported_tokens : int
        Total length of the imported parts.
    keep_answer : bool
        The relay captures the answer over all attempts and passes it to the answer
        keeper before it reports the attempt as finished.
    shared : bool
        The stream may answer another call with the same key: only `CancelAttempt`
        ends it, not the failure of this attempt.
    helpers : tuple of PrefillHelper
        Endpoints that prefill the prompt in equal parts together with this one.
    silence_timeouts : SilenceTimeouts or None
        A longer silence is reported by `AttemptSilent`; None disables the reports.
    via_peer : bool
        The endpoint is another entry instance, which runs the call as its own.
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
    via_peer: bool = False


class RestoreAttempt(Effect, frozen=True):
    """Make a hedged attempt the current one again."""

    request_id: RequestId
    attempt: AttemptNumber


class CancelAttempt(Effect, frozen=True):
    """Cancel an attempt; its endpoint frees the resources that it holds."""

    request_id: RequestId
    attempt: AttemptNumber
    stream_id: StreamId
    endpoint: EndpointId
    address: str
