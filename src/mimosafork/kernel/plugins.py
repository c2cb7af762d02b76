"""What a plug-in can be.

Every plug-in may handle messages: its `handle` is a
`functools.singledispatchmethod` whose registered types the kernel reads once, so
that a message costs only the plug-ins that want it. A plug-in takes part in a
request's life by deriving from one of the roles below.
"""

from functools import singledispatchmethod
from typing import TYPE_CHECKING, ClassVar, Protocol, TypeVar

import msgspec

from ..ids import EndpointId, Incarnation, ReservationId, StreamId
from .messages.attempts import AttemptFailed
from .messages.base import Message
from .messages.dispatch import PrefillHelper, SilenceTimeouts
from .messages.outcomes import Conclude, Outcome, Retention
from .messages.problems import Problem

if TYPE_CHECKING:
    from datetime import timedelta

    from .context import Context
    from .records import RequestRecord


P = TypeVar("P", bound="Plugin")


class PluginFinder(Protocol):
    """Looks up another plug-in of the same kernel."""

    def __call__(self, kind: type[P]) -> P | None:
        """Return the plug-in of a class; None if settings left it out."""


class Plugin:
    """Base of all plug-ins."""

    name: ClassVar[str] = ""

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Keep the other plug-ins that this one asks; called once, at the start."""

    @singledispatchmethod
    def handle(self, message: Message, context: "Context") -> None:
        """React to a message; types that nobody registered are not delivered."""


class Proceed(msgspec.Struct, frozen=True):
    """The stage has no objection."""


class Hold(msgspec.Struct, frozen=True):
    """The stage waits for something and will post `StageCleared`."""


class Refuse(msgspec.Struct, frozen=True):
    """The request ends here.

    `outcome` is NOT_RUN unless the stage knows of an earlier run.
    """

    problem: Problem
    outcome: Outcome = Outcome.NOT_RUN


class Bypass(msgspec.Struct, frozen=True):
    """The request goes to the placers at once; later stages don't review it.

    For a request that brings no new work: it is answered by a run that exists.
    """


class Answered(msgspec.Struct, frozen=True):
    """The stage has had the whole answer delivered; the request ends here."""


ReviewDecision = Proceed | Hold | Refuse | Bypass | Answered


class StageCleared(Message, frozen=True):
    """A stage that held a request has come to its verdict."""

    request_id: str
    stage: str
    decision: ReviewDecision


class Stage(Plugin):
    """Looks at each new request once, in the order of `order`."""

    order: ClassVar[int] = 50

    def review(self, record: "RequestRecord", context: "Context") -> ReviewDecision:
        """Return whether the request goes on."""
        raise NotImplementedError


class NotApplicable(msgspec.Struct, frozen=True):
    """The placer leaves this request to the next one."""


class Wait(msgspec.Struct, frozen=True):
    """No endpoint should take the request now; it stays in the queue.

    `reason` tells which queue bound was met, for metrics.
    """

    reason: str


class PlaceOn(msgspec.Struct, frozen=True):
    """Dispatch to this endpoint now."""

    endpoint: EndpointId
    incarnation: Incarnation
    address: str
    priority: int = 0
    stream_id: StreamId | None = None
    attach: bool = False
    imports: tuple[ReservationId, ...] = ()
    imported_tokens: int = 0
    reservation: ReservationId | None = None
    helpers: tuple[PrefillHelper, ...] = ()
    silence_timeouts: SilenceTimeouts | None = None


class PlacementPending(msgspec.Struct, frozen=True):
    """The placer works on it and will post `Placed` or `PlacementFailed`."""


Placement = NotApplicable | Wait | PlaceOn | PlacementPending | Refuse


class Placed(Message, frozen=True):
    """A placer that had a request in hand has found its place."""

    request_id: str
    place: PlaceOn


class PlacementFailed(Message, frozen=True):
    """A placer gives a request that it had in hand back to the queue."""

    request_id: str
    refuse: Refuse | None = None


class Placer(Plugin):
    """Chooses where a waiting request runs, in the order of `order`."""

    order: ClassVar[int] = 50

    def place(self, record: "RequestRecord", context: "Context") -> Placement:
        """Return the placement, or that another placer should decide."""
        raise NotImplementedError


class RetryLater(msgspec.Struct, frozen=True):
    """Run a further attempt after a pause."""

    pause: "timedelta"


class GiveUp(msgspec.Struct, frozen=True):
    """Answer the caller at once."""

    problem: Problem


RetryDecision = RetryLater | GiveUp


class RetryPolicy(Plugin):
    """Decides what follows a failed attempt."""

    def decide(
        self, record: "RequestRecord", failure: AttemptFailed, context: "Context"
    ) -> RetryDecision:
        """Return whether and when to try again."""
        raise NotImplementedError


class RequestConcluded(Message, frozen=True):
    """A request's life has ended; told to plug-ins that learn or clean up."""

    record: "RequestRecord"
    conclusion: Conclude


class CompletionCleared(Message, frozen=True):
    """A finisher that held a whole answer lets its end go out."""

    request_id: str
    retention: Retention


class Finisher(Plugin):
    """May hold the end of a whole answer, after its last token went out."""

    def finish(self, record: "RequestRecord", context: "Context") -> Proceed | Hold:
        """Return whether the request may be concluded now.

        After `Hold` it posts `CompletionCleared`, within a bounded time.
        """
        raise NotImplementedError


class QueueDiscipline(Plugin):
    """Orders the requests that wait for an endpoint."""

    def rank(self, record: "RequestRecord", now: "timedelta") -> float:
        """Return the request's place; lower goes first."""
        raise NotImplementedError

    def lane(self, record: "RequestRecord") -> str:
        """Return a name for the requests that wait for the same kind of room.

        When some of a lane find no room, the rest of it is not tried just then; the
        other lanes are. Otherwise a few long prompts at the head would keep all
        short ones behind them waiting beside idle endpoints.
        """
        return ""
