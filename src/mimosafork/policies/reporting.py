"""Reports on requests, endpoints and peers for operators."""

from datetime import timedelta
from functools import singledispatchmethod

from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.attempts import FailureKind
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.fleet import EndpointKind
from ..kernel.messages.leases import Duty, LeaseChanged
from ..kernel.messages.orders import OrderAnswered
from ..kernel.messages.outcomes import Outcome
from ..kernel.messages.reports import (
    AttemptEnd,
    EndpointCondition,
    EndpointView,
    FleetReport,
    OrderReport,
    RequestReport,
)
from ..kernel.plugins import Plugin, RequestConcluded
from ..kernel.records import Attempt, RequestRecord
from ..kernel.registry import register

FLEET_REPORT_INTERVAL = timedelta(seconds=1)
"""Time between two fleet reports: short for operators, at negligible cost."""


@register("reporting")
class Reporting(Plugin):
    """Emits a report for each request and, periodically, one of the fleet."""

    def __init__(self) -> None:
        self.next_at = timedelta(0)
        self.leases: set[Duty] = set()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to a message."""

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        record, conclusion = message.record, message.conclusion
        problem = conclusion.problem
        context.emit(
            RequestReport(
                request_id=record.request_id,
                account=record.request.account,
                target=record.request.target,
                prompt_tokens=record.request.prompt_tokens,
                outcome=conclusion.outcome,
                code=problem.code if problem is not None else None,
                attempts=tuple(
                    attempt_end(attempt, conclusion.outcome)
                    for attempt in record.attempts
                ),
                first_token_after=time_to_first_token(record),
                duration=context.now - record.submitted_at,
            )
        )

    @handle.register
    def _(self, message: LeaseChanged, context: Context) -> None:
        if message.lease is None:
            self.leases.discard(message.duty)
        else:
            self.leases.add(message.duty)

    @handle.register
    def _(self, message: OrderAnswered, context: Context) -> None:
        context.emit(OrderReport(message.order.kind, message.result))

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if context.now < self.next_at:
            return
        self.next_at = context.now + FLEET_REPORT_INTERVAL
        fleet = context.state.fleet
        own = context.state.identity.instance
        context.emit(
            FleetReport(
                endpoints={
                    name: EndpointView(
                        each.entry.incarnation, endpoint_condition(each, context.now)
                    )
                    for name, each in fleet.endpoints.items()
                },
                peers={
                    name: each.state
                    for name, each in fleet.members.items()
                    if name != own
                },
                waiting_requests=len(context.state.waiting),
                leases=len(self.leases),
            )
        )


def attempt_end(attempt: Attempt, outcome: Outcome) -> AttemptEnd | FailureKind:
    """Return how an attempt of a concluded request ended."""
    if attempt.failure is not None:
        return attempt.failure.kind
    if outcome is Outcome.COMPLETED:
        return AttemptEnd.FINISHED
    return AttemptEnd.CANCELLED


def time_to_first_token(record: RequestRecord) -> timedelta | None:
    """Return the time from a request's arrival to its first token."""
    instants = [
        attempt.first_token_at
        for attempt in record.attempts
        if attempt.first_token_at is not None
    ]
    return min(instants) - record.submitted_at if instants else None


def endpoint_condition(endpoint: Endpoint, now: timedelta) -> EndpointCondition:
    """Return the most restrictive condition that applies to an endpoint."""
    if endpoint.leaving:
        return EndpointCondition.LEAVING
    if endpoint.unreachable_since is not None:
        return EndpointCondition.UNREACHABLE
    if endpoint.ejected_until is not None and endpoint.ejected_until > now:
        return EndpointCondition.EJECTED
    if endpoint.report is None and endpoint.entry.kind is EndpointKind.MODEL_ENGINE:
        return EndpointCondition.UNREPORTED
    return EndpointCondition.LIVE
