"""One gang: what it holds on which engine, and its next step."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ...ids import EndpointId, Incarnation, RequestId, ReservationId, StreamId
from ...kernel.messages.recovery import HoldingKind
from .plan import Segment


class Step(Enum):
    """What a gang waits for."""

    RESERVING = "reserving"
    PREFILLING = "prefilling"
    IMPORTING = "importing"
    RUNNING = "running"
    """All but the last part are prefilled, and the request runs on the last engine."""


@dataclass(frozen=True, slots=True)
class GangHolding:
    """Something that an engine may hold for the gang."""

    endpoint: EndpointId
    address: str
    kind: HoldingKind
    holding_id: str


@dataclass(slots=True)
class Member:
    """An engine of the gang.

    Attributes
    ----------
    reservation : ReservationId
        For its part of the prompt, and on the last engine for the answer.
    placeholder : ReservationId
        Keeps the memory that the import will take; freed right before it.
    """

    segment: Segment
    reservation: ReservationId
    placeholder: ReservationId

    @property
    def endpoint(self) -> EndpointId:
        """Id of the engine."""
        return self.segment.endpoint.entry.endpoint

    @property
    def address(self) -> str:
        """Address of the engine."""
        return self.segment.endpoint.entry.address

    @property
    def incarnation(self) -> Incarnation:
        """Life of the engine in which the gang began."""
        return self.segment.endpoint.entry.incarnation


@dataclass(slots=True)
class Gang:
    """A request's engines, in the order in which they are reserved and used.

    Attributes
    ----------
    incarnations : tuple of Incarnation
        Lives of the engines when the gang began.
    parts : dict of str to Part
        All that may be held for it, by holding id. What is asked for is entered
        before the answer is known: an answer may be lost after its step took effect.
    reserve_at : int
        Index of the next reservation; two a member, but for the first.
    segment_at : int
        Index of the member whose part is prefilled.
    """

    request_id: RequestId
    number: int
    members: list[Member]
    incarnations: tuple[Incarnation, ...]
    step: Step = Step.RESERVING
    holdings: dict[str, GangHolding] = field(default_factory=dict)
    next_reservation: int = 0
    current_index: int = 0
    begun_at: timedelta | None = None
    import_id: ReservationId | None = None
    stream_id: StreamId | None = None

    @property
    def current(self) -> Member:
        """The member whose part comes next."""
        return self.members[self.current_index]

    @property
    def is_last(self) -> bool:
        """Whether the current part is the last one."""
        return self.current_index == len(self.members) - 1

    def hold(self, member: Member, kind: HoldingKind, holding_id: str) -> None:
        """Note that an engine may hold something from now on."""
        holding = GangHolding(member.endpoint, member.address, kind, holding_id)
        self.holdings[holding_id] = holding

    def name(self, what: str, index: int) -> str:
        """Return an id for something of this gang."""
        return f"{self.request_id}.g{self.number}.{what}{index}"


def make_gang(request_id: RequestId, number: int, segments: list[Segment]) -> Gang:
    """Return a gang that holds nothing yet."""
    gang = Gang(
        request_id,
        number,
        [],
        tuple(each.endpoint.entry.incarnation for each in segments),
    )
    for index, segment in enumerate(segments):
        reservation = ReservationId(gang.name("r", index))
        placeholder = ReservationId(gang.name("p", index))
        gang.members.append(Member(segment, reservation, placeholder))
    return gang
