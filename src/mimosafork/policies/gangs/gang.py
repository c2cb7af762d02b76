"""State of one gang: its holdings on each engine and its current step."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ...ids import EndpointId, Incarnation, RequestId, ReservationId, StreamId
from ...kernel.messages.recovery import HoldingKind
from .plan import Segment


class Step(Enum):
    """The step that a gang is in."""

    RESERVING = "reserving"
    PREFILLING = "prefilling"
    IMPORTING = "importing"
    RUNNING = "running"
    """All segments but the last are prefilled; the request runs on the last engine."""


@dataclass(frozen=True, slots=True)
class GangHolding:
    """A reservation, stream or export that an engine may hold for the gang."""

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
        For its segment of the prompt, and on the last engine for the answer.
    placeholder : ReservationId
        Reserves the memory that the import will use; freed right before it.
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
        """Incarnation of the engine."""
        return self.segment.endpoint.entry.incarnation


@dataclass(slots=True)
class Gang:
    """A request's engines, in the order in which they are reserved and used.

    Attributes
    ----------
    incarnations : tuple of Incarnation
        Incarnations of the engines when the gang began.
    holdings : dict of str to GangHolding
        All that may be held for it, by holding id. A holding is entered before its
        request is answered, since an answer may be lost after the step took effect.
    next_reservation : int
        Index of the next reservation; two per member, except that the first member
        needs no placeholder.
    current_index : int
        Index of the member whose segment is prefilled.
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
        """The member whose segment is next."""
        return self.members[self.current_index]

    @property
    def is_last(self) -> bool:
        """Whether the current segment is the last one."""
        return self.current_index == len(self.members) - 1

    def hold(self, member: Member, kind: HoldingKind, holding_id: str) -> None:
        """Record that an engine may hold something from now on."""
        holding = GangHolding(member.endpoint, member.address, kind, holding_id)
        self.holdings[holding_id] = holding

    def name(self, what: str, index: int) -> str:
        """Return an id for one of this gang's holdings."""
        return f"{self.request_id}.g{self.number}.{what}{index}"


def make_gang(request_id: RequestId, number: int, segments: list[Segment]) -> Gang:
    """Return a gang without holdings."""
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
