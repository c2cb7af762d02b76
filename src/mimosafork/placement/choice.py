"""What is asked of placement, and what it says."""

from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import AvailabilityZoneId, EndpointId, RequestId
from .load_tracker import HeldTokens, InFlightRequest, PrefillPart


class PlacementRequest(msgspec.Struct, frozen=True):
    """A request that needs a place.

    Attributes
    ----------
    prompt_tokens, max_answer_tokens : int
        As the caller stated them; 0 where it stated none.
    answer_tokens : int
        Expected length of the answer; right at the median, often far off.
    time_left : timedelta
        Until the caller stops waiting.
    objective : timedelta
        What is left of the time within which the first event is on time.
    longest_pause : timedelta or None
        Between two events of an answer that is on time.
    priority : int
        0 is the highest.
    avoid : frozenset of EndpointId
        Not to be taken while there are others, such as those tried before.
    zone : AvailabilityZoneId or None
        Where this instance runs; its zone goes first on ties.
    repeated : bool
        Whether endpoints may have run it before.
    crowded : int or None
        No host of so many requests or more is taken: one that seemed to be as busy has
        just turned it away. None where none has.
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
    """What this instance knows of an endpoint beside its work.

    Attributes
    ----------
    usable : bool
        Ready and connected.
    suspect : bool
        Failed lately; taken only if there is no other.
    pace : float
        How many times longer than stated its work takes; at least 1.
    cold : bool
        Still slow after its start.
    """

    endpoint: EndpointId
    address: str
    zone: AvailabilityZoneId
    slots: int
    usable: bool = True
    suspect: bool = False
    slowdown: float = 1.0
    cold: bool = False


class Helper(msgspec.Struct, frozen=True):
    """An engine that reads a part of the prompt for the host."""

    endpoint: EndpointId
    address: str


class Reservation(msgspec.Struct, frozen=True):
    """Memory to be reserved before the request is sent, in this order."""

    endpoint: EndpointId
    address: str
    tokens: int


class Assignment(msgspec.Struct, frozen=True):
    """Where a request goes.

    Attributes
    ----------
    reservations : tuple of Reservation
        Empty where the prompt fits into the host; the host's own goes first.
    predicted_first_token : timedelta
        From now.
    parts : tuple of Part
        What the host and each helper read, for the book.
    """

    host: EndpointId
    address: str
    helpers: tuple[Helper, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    predicted_first_token: timedelta = timedelta(0)
    parts: tuple[PrefillPart, ...] = ()

    def to_in_flight_request(
        self, ask: PlacementRequest, now: timedelta
    ) -> InFlightRequest:
        """Return what goes into the book once the request is sent."""
        held = tuple(HeldTokens(r.endpoint, r.tokens) for r in self.reservations)
        return InFlightRequest(
            request=ask.request,
            host=self.host,
            parts=self.parts,
            held=held,
            prompt_tokens=ask.prompt_tokens,
            answer_tokens=ask.answer_tokens,
            longest_pause=ask.longest_pause,
            started_at=now,
        )


class Shortage(Enum):
    """What a request lacks."""

    ENDPOINTS = "no endpoint is usable"
    SLOTS = "all slots are taken"
    MEMORY = "the memory is promised to others"
    SIZE = "the prompt is larger than all memory"
    TIME = "the time that is left is too short"
    TURN = "older prompts are being read"


class WaitForCapacity(msgspec.Struct, frozen=True):
    """Nothing is free now; to be asked again when work ends."""

    reason: Shortage


class RejectRequest(msgspec.Struct, frozen=True):
    """The request can't be done in time; to be refused at once.

    Attributes
    ----------
    come_back : timedelta
        After which there should be room.
    """

    retry_after: timedelta
    reason: Shortage


PlacementDecision = Assignment | WaitForCapacity | RejectRequest
