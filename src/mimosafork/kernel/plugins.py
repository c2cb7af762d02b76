"""Plug-in base class and roles.

Every plug-in may handle messages: its `handle` is a
`functools.singledispatchmethod` whose registered types the kernel reads once, so
that a message is delivered only to the plug-ins that handle it. A plug-in takes part
in the request lifecycle by deriving from one of the roles below.
"""

from collections.abc import Sequence
from functools import singledispatchmethod
from typing import TYPE_CHECKING, ClassVar, NamedTuple, Protocol, TypeVar

import msgspec

from ..ids import EndpointId, Incarnation, ReservationId, StreamId
from .messages.attempts import AttemptFailed
from .messages.base import Message
from .messages.dispatch import PrefillHelper, SilenceTimeouts
from .messages.outcomes import Conclude, Outcome, Retention
from .messages.problems import Problem

if TYPE_CHECKING:
    from datetime import timedelta
    from random import Random

    from .context import Context
    from .records import RequestRecord


P = TypeVar("P", bound="Plugin")


class PluginFinder(Protocol):
    """Finds another plug-in of the same kernel."""

    def __call__(self, kind: type[P]) -> P | None:
        """Return the plug-in of a class; None if it is not enabled."""


class Plugin:
    """Base class of all plug-ins."""

    name: ClassVar[str] = ""

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one depends on; called once at startup."""

    @singledispatchmethod
    def handle(self, message: Message, context: "Context") -> None:
        """Handle a message; unregistered types are not delivered."""


class Proceed(msgspec.Struct, frozen=True):
    """The stage accepts the request."""


class Hold(msgspec.Struct, frozen=True):
    """The stage needs more time and will post `StageCleared`."""


class Refuse(msgspec.Struct, frozen=True):
    """The request is rejected.

    `outcome` is NOT_RUN unless the stage knows of an earlier run.
    """

    problem: Problem
    outcome: Outcome = Outcome.NOT_RUN


class Bypass(msgspec.Struct, frozen=True):
    """The request goes straight to the placers; later stages are skipped.

    For a request that adds no load because an existing run answers it.
    """


class Answered(msgspec.Struct, frozen=True):
    """The stage has delivered the whole answer; the request is complete."""


ReviewDecision = Proceed | Hold | Refuse | Bypass | Answered


class StageCleared(Message, frozen=True):
    """A stage has decided on a request that it held."""

    request_id: str
    stage: str
    decision: ReviewDecision


class Stage(Plugin):
    """Reviews each new request once, in ascending `order`."""

    order: ClassVar[int] = 50

    def review(self, record: "RequestRecord", context: "Context") -> ReviewDecision:
        """Return the decision on the request."""
        raise NotImplementedError


class NotApplicable(msgspec.Struct, frozen=True):
    """The placer does not handle this request; the next one is asked."""


class Wait(msgspec.Struct, frozen=True):
    """No endpoint should run the request now; it stays queued.

    `reason` is a short label of why it waits.
    """

    reason: str


class PlaceOn(msgspec.Struct, frozen=True):
    """Dispatch the request to this endpoint now."""

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
    via_peer: bool = False


class PlacementPending(msgspec.Struct, frozen=True):
    """The placement is asynchronous; `Placed` or `PlacementFailed` will follow."""


Placement = NotApplicable | Wait | PlaceOn | PlacementPending | Refuse


class Placed(Message, frozen=True):
    """A pending placement has succeeded."""

    request_id: str
    place: PlaceOn


class PlacementFailed(Message, frozen=True):
    """A pending placement has failed; the request is queued again or refused."""

    request_id: str
    refuse: Refuse | None = None


class Placer(Plugin):
    """Chooses an endpoint for a waiting request, in ascending `order`."""

    order: ClassVar[int] = 50

    def place(self, record: "RequestRecord", context: "Context") -> Placement:
        """Return the placement, or `NotApplicable` to ask the next placer."""
        raise NotImplementedError


class RetryLater(msgspec.Struct, frozen=True):
    """Retry after a delay."""

    pause: "timedelta"


class GiveUp(msgspec.Struct, frozen=True):
    """Do not retry; report the problem to the caller."""

    problem: Problem


RetryDecision = RetryLater | GiveUp


class RetryPolicy(Plugin):
    """Decides whether a failed attempt is retried."""

    def decide(
        self, record: "RequestRecord", failure: AttemptFailed, context: "Context"
    ) -> RetryDecision:
        """Return whether and when to retry."""
        raise NotImplementedError


class RequestConcluded(Message, frozen=True):
    """A request has ended; for plug-ins that collect statistics or clean up."""

    record: "RequestRecord"
    conclusion: Conclude


class CompletionCleared(Message, frozen=True):
    """A finisher that held a whole answer releases its completion."""

    request_id: str
    retention: Retention


class Finisher(Plugin):
    """May delay the completion of an answer after its last token was sent."""

    def finish(self, record: "RequestRecord", context: "Context") -> Proceed | Hold:
        """Return whether the request may be concluded now.

        After `Hold` it posts `CompletionCleared`, within a bounded time.
        """
        raise NotImplementedError


class Surplus(NamedTuple):
    """A waiting request that is refused because others go before it."""

    record: "RequestRecord"
    problem: Problem


class QueueDiscipline(Plugin):
    """Orders the requests that wait for an endpoint."""

    def rank(self, record: "RequestRecord", now: "timedelta") -> float:
        """Return the request's rank; the lowest goes first."""
        raise NotImplementedError

    def lane(self, record: "RequestRecord") -> str:
        """Return the name of the group that competes for the same kind of capacity.

        When several requests of a lane can't be placed, the rest of the lane is
        skipped in this pass and the other lanes are tried. Otherwise a few long
        prompts at the head of the queue would block short ones although endpoints
        are idle.
        """
        return ""

    def arrange(
        self, ranked: "list[RequestRecord]", now: "timedelta"
    ) -> "list[RequestRecord]":
        """Return the waiting requests of a target in the order in which they go.

        For an order that depends on all of them; by default the one of their ranks.

        Parameters
        ----------
        ranked : list of RequestRecord
            At least two, by rank.
        """
        return ranked

    def surplus(
        self, waiting: "list[RequestRecord]", now: "timedelta"
    ) -> "Sequence[Surplus]":
        """Return the requests that are refused now, as others leave them no capacity.

        Parameters
        ----------
        waiting : list of RequestRecord
            Requests of a target, in order, after as many as possible were placed.
        """
        return ()

    def final_problem(self, problem: Problem, random: "Random") -> Problem:
        """Return the problem that a request ends with; it may change the delay."""
        return problem
