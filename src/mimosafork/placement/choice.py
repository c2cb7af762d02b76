"""Placement requests and decisions."""

from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import AvailabilityZoneId, EndpointId, RequestId
from .load_tracker import HeldTokens, InFlightRequest, PrefillPart


class PlacementRequest(msgspec.Struct, frozen=True):
    """A request that has to be placed.

    Attributes
    ----------
    prompt_tokens, max_answer_tokens : int
        As the caller stated them; 0 if it didn't.
    answer_tokens : int
        Expected length of the answer; right at the median, often far off.
    time_left : timedelta
        Until the caller stops waiting.
    objective : timedelta
        Remaining time to the first event for the answer to be on time.
    longest_pause : timedelta or None
        Between two events of an answer that is on time.
    priority : int
        0 is the highest.
    avoid : frozenset of EndpointId
        Used only if there is no other endpoint, such as those tried before.
    zone : AvailabilityZoneId or None
        Zone of this instance; its endpoints are preferred on ties.
    may_have_run : bool
        Whether an earlier attempt may have reached an endpoint.
    running_ceiling : int or None
        Engines with this many running requests or more are excluded, because an engine
        with as many has just rejected the request as overloaded. None without such a
        rejection.
    """

    request: RequestId
    prompt_tokens: int
    max_answer_tokens: int
    answer_tokens: int
    time_left: timedelta
    objective: timedelta
    longest_pause: timedelta | None = None
    priority: int = 5
    avoid: frozenset[EndpointId] = frozenset()
    zone: AvailabilityZoneId | None = None
    may_have_run: bool = False
    running_ceiling: int | None = None


class EngineView(msgspec.Struct, frozen=True):
    """State of an endpoint, apart from its load, as this instance knows it.

    Attributes
    ----------
    usable : bool
        Ready and connected.
    suspect : bool
        Failed recently; used only if there is no other.
    slowdown : float
        Factor by which work takes longer than the stated figures; at least 1.
    cold : bool
        Still slow after its start.
    rate_limited : bool
        Accepts only so many requests per second from all instances together.
    permitted : bool
        Whether it is used before those that are used only rather than being late.
    """

    endpoint: EndpointId
    address: str
    zone: AvailabilityZoneId
    slots: int
    usable: bool = True
    suspect: bool = False
    slowdown: float = 1.0
    cold: bool = False
    rate_limited: bool = False
    permitted: bool = True


class Helper(msgspec.Struct, frozen=True):
    """An engine that prefills a part of the prompt for the host."""

    endpoint: EndpointId
    address: str


class Reservation(msgspec.Struct, frozen=True):
    """KV cache memory to reserve before the request is sent, in this order."""

    endpoint: EndpointId
    address: str
    tokens: int


class Assignment(msgspec.Struct, frozen=True):
    """The host and the helpers of a request.

    Attributes
    ----------
    reservations : tuple of Reservation
        Empty where the prompt fits into the host; otherwise the host's comes first.
    predicted_first_token : timedelta
        From now.
    parts : tuple of PrefillPart
        What the host and each helper prefill, for the load tracker.
    """

    host: EndpointId
    address: str
    helpers: tuple[Helper, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    predicted_first_token: timedelta = timedelta(0)
    parts: tuple[PrefillPart, ...] = ()

    def to_in_flight_request(
        self, request: PlacementRequest, now: timedelta
    ) -> InFlightRequest:
        """Return the entry for the load tracker once the request is sent."""
        held = tuple(HeldTokens(r.endpoint, r.tokens) for r in self.reservations)
        return InFlightRequest(
            request=request.request,
            host=self.host,
            parts=self.parts,
            held=held,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            longest_pause=request.longest_pause,
            started_at=now,
        )


class Shortage(Enum):
    """Why a request can't be placed now."""

    ENDPOINTS = "no endpoint is usable"
    SLOTS = "all slots are taken"
    MEMORY = "the memory is promised to others"
    SIZE = "the prompt is larger than all memory"
    TIME = "the time that is left is too short"
    TURN = "older prompts are being read"
    RATE = "the rate limits of all endpoints are reached"
    COLD = "endpoints may be cold and take no further request now"
    BACKOFF = "all endpoints have requested a backoff"
    SHARE = "calls that go before leave too little time"


class WaitForCapacity(msgspec.Struct, frozen=True):
    """The request can't be placed now and is to be tried again later."""

    reason: Shortage


class RejectRequest(msgspec.Struct, frozen=True):
    """The request can't finish in time, or never fits, and is rejected at once.

    Attributes
    ----------
    retry_after : timedelta
        Time after which the caller may try again.
    """

    retry_after: timedelta
    reason: Shortage


PlacementDecision = Assignment | WaitForCapacity | RejectRequest
