"""Quarantines bodies and prompt parts that crash endpoints."""

import logging
from datetime import timedelta
from functools import singledispatchmethod

from msgspec.structs import replace

from ...ids import AccountId, Digest, EndpointId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, Exposure, FailureKind, FirstToken
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import ServiceProbed
from ...kernel.messages.crashes import (
    InterruptedRun,
    PeerRefutation,
    PeerRunInterrupted,
    PeerSuccessReported,
    PublishInterruptedRun,
    PublishQuarantine,
    PublishRefutation,
    Quarantine,
    QuarantineReceived,
    RunPhase,
)
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.problems import Problem
from ...kernel.messages.requests import Request
from ...kernel.plugins import (
    PluginFinder,
    Proceed,
    Refuse,
    RequestConcluded,
    ReviewDecision,
    Stage,
)
from ...kernel.records import RequestRecord, RequestState
from ...kernel.registry import register
from ...quarantine.crash_ledger import CrashLedger
from ...quarantine.judgement import EVIDENCE_RETENTION
from ...quarantine.register import QuarantineRegister, QuarantineState
from ...telemetry.catalogue.contents import CRASH_REFUTED
from ...telemetry.catalogue.gateway import (
    CONTENT_CLEARED,
    CONTENT_QUARANTINED,
)
from ...telemetry.logs import log_event
from .connectivity import EndpointConnectivity
from .fleet_view import FleetView
from .success_reports import SuccessReportDue, SuccessReports

logger = logging.getLogger(__name__)

REVIEW_TIME = EVIDENCE_RETENTION / 2
"""Time in which later evidence may show that a decision was wrong."""

STAGGER = timedelta(milliseconds=250)
"""Between the instances' next requests with a suspected part."""

MAX_STAGGERED = 8
MAX_PUBLISHED_RUNS = 16
"""Interrupted runs of one endpoint that an instance publishes besides the suspects."""

SOURCE_OWN = "own attempts"
SOURCE_PEER = "peer"
"""Sources of a decision in log lines."""


@register("crash-quarantine")
class CrashQuarantine(Stage):
    """Rejects requests with a content that crashes the endpoints that run it.

    Attributes
    ----------
    ledger : CrashLedger
        Evidence of all instances.
    register : QuarantineRegister
        Decisions in force.
    """

    order = 20

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.register = QuarantineRegister()
        self.successes = SuccessReports(self.ledger)
        self.own_decisions: set[Digest] = set()
        """Contents that were quarantined by the evidence that this instance has."""
        self.unpublished: list[PublishInterruptedRun] = []
        """Runs that a partition of this instance may have interrupted."""
        self.connectivity: EndpointConnectivity | None = None
        self.fleet: FleetView | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.connectivity = find(EndpointConnectivity)
        self.fleet = find(FleetView)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Reject a request with a quarantined content."""
        problem = self.rejection_for(record.request, context.now)
        return Proceed() if problem is None else Refuse(problem)

    def rejection_for(self, request: Request, now: timedelta) -> Problem | None:
        """Return the problem for a quarantined content; None if it may be sent."""
        if not self.register.decisions:
            return None
        for content in (request.body_digest, *request.prompt_parts):
            problem = self.register.objection(
                content, request.account, request.request_id, now
            )
            if problem is not None:
                return problem
        return None

    def is_suspected(self, request: Request) -> bool:
        """Return whether it is open if a part of a prompt crashes endpoints."""
        parts = request.prompt_parts
        return any(self.ledger.last_crash(part) is not None for part in parts)

    def must_wait(self, record: RequestRecord, context: Context) -> bool:
        """Return whether a request with a suspected part is not to be sent yet.

        While it is open whether a part that was never answered crashes endpoints, each
        instance runs one request with it at a time, and the instances begin in turn.
        Without that, all requests that waited would be sent at the same moment.
        """
        for part in record.request.prompt_parts:
            last_crash = self.ledger.last_crash(part)
            if last_crash is None:
                continue
            rank = min(self.register.rank(part), MAX_STAGGERED)
            if context.now - last_crash < rank * STAGGER:
                return True
            if any(
                other.state is RequestState.RUNNING
                and part in other.request.prompt_parts
                for other in context.state.requests.values()
            ):
                return True
        return False

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Collect evidence and decide on contents."""

    # Evidence of own calls

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        if message.endpoint is None:
            return
        if message.exposure is Exposure.REFUSED and message.refusal != "elsewhere":
            self._note_answer(message, context)
        if message.kind is not FailureKind.BROKEN or message.digest is None:
            return
        if self._is_leaving(message.endpoint):
            return
        run = message.interrupted or InterruptedRun(
            message.digest,
            AccountId(""),
            (),
            RunPhase.PENDING,
            timedelta(0),
            context.now,
        )
        has_begun = run.phase is RunPhase.BEGUN
        if self._may_be_partitioned(message.endpoint) and not has_begun:
            self.unpublished.append(PublishInterruptedRun(message.endpoint, run))
            run = replace(run, parts=())
            if self.ledger.add(message.endpoint, run):
                self._judge(message.endpoint, SOURCE_OWN, context)
            return
        if self.ledger.add(message.endpoint, run):
            self._publish(PublishInterruptedRun(message.endpoint, run), context)

    def _publish(self, crash: PublishInterruptedRun, context: Context) -> None:
        runs = len(self.ledger.records[crash.endpoint].runs)
        if runs <= MAX_PUBLISHED_RUNS or crash.run.phase is RunPhase.BEGUN:
            context.emit(crash)
        self._judge(crash.endpoint, SOURCE_OWN, context)

    def _is_leaving(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint was about to end by itself."""
        known = None if self.fleet is None else self.fleet.endpoints.get(endpoint)
        return known is not None and known.leaving

    def _may_be_partitioned(self, endpoint: EndpointId) -> bool:
        connectivity = self.connectivity
        return connectivity is not None and connectivity.may_be_partitioned(endpoint)

    @handle.register
    def _(self, message: ServiceProbed, context: Context) -> None:
        # A partition of this instance breaks the connections of all contents that run
        # behind it. Neither peers nor calls with the same parts must suffer for it.
        held, self.unpublished = self.unpublished, []
        endpoints = {} if self.fleet is None else self.fleet.endpoints
        for crash in held:
            known = endpoints.get(crash.endpoint)
            if known is not None and known.listed.service != message.service:
                self.unpublished.append(crash)
            elif message.reachable:
                self.ledger.add(crash.endpoint, crash.run)
                self._publish(crash, context)

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is None or record.current is None:
            return
        if record.current.number != message.attempt:
            return
        if self.ledger.records:
            endpoint, sent_at = record.current.endpoint, record.current.started_at
            self._refute_if_later(endpoint, sent_at, context)
        for part in record.request.prompt_parts:
            self.successes.note(part, context)
            self._review_success(part, context.now, SOURCE_OWN, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        # Uses the conclusion, as the request record no longer exists when the end of
        # its last attempt is reported.
        if message.conclusion.outcome is not Outcome.COMPLETED:
            return
        digest = message.record.request.body_digest
        if digest in self.ledger.by_content or digest in self.register.decisions:
            self.successes.note(digest, context)
            self._review_success(digest, context.now, SOURCE_OWN, context)

    def _note_answer(self, message: AttemptFailed, context: Context) -> None:
        """Use a rejection by an endpoint as proof that it had not crashed before."""
        record = context.state.requests.get(message.request_id)
        if record is None or message.endpoint is None:
            return
        for attempt in record.attempts:
            if attempt.number == message.attempt:
                self._refute_if_later(message.endpoint, attempt.started_at, context)

    def _refute_if_later(
        self, endpoint: EndpointId, sent_at: timedelta, context: Context
    ) -> None:
        """Drop the runs that ended before an answered request was sent."""
        dropped = self.ledger.refute(endpoint, sent_at)
        if not dropped:
            return
        log_event(logger, CRASH_REFUTED, endpoint=endpoint, runs=dropped)
        context.emit(PublishRefutation(endpoint, sent_at))
        self._review_all(SOURCE_OWN, context)

    # Evidence of peers

    @handle.register
    def _(self, message: PeerRunInterrupted, context: Context) -> None:
        if not self.ledger.add(message.endpoint, message.run):
            return
        for content in message.run.parts:
            self.successes.answer(content, context)
        self._judge(message.endpoint, SOURCE_PEER, context)

    @handle.register
    def _(self, message: PeerRefutation, context: Context) -> None:
        if self.ledger.refute(message.endpoint, message.sent_at):
            self._review_all(SOURCE_PEER, context)

    @handle.register
    def _(self, message: PeerSuccessReported, context: Context) -> None:
        self.successes.received(message.content)
        if self.ledger.succeed(message.content, message.at):
            self._review_success(message.content, message.at, SOURCE_PEER, context)

    @handle.register
    def _(self, message: SuccessReportDue, context: Context) -> None:
        self.successes.publish(message.content, context)

    @handle.register
    def _(self, message: QuarantineReceived, context: Context) -> None:
        before = self.register.state(message.quarantine.content, context.now)
        decision = self.register.receive(message.quarantine)
        if decision is None:
            return
        self._apply(decision, before, SOURCE_PEER, context)

    # Decisions

    def _judge(self, endpoint: EndpointId, source: str, context: Context) -> None:
        """Decide on the contents that an endpoint ran when it crashed."""
        for content in self.ledger.candidates(endpoint):
            state = self.register.state(content, context.now)
            if state is QuarantineState.CLEAR:
                is_cause = self.ledger.is_cause(content)
            else:
                is_cause = self.ledger.is_suspected(content)
            if is_cause:
                self._quarantine(content, state, source, context)
        self._review_all(source, context)

    def _quarantine(
        self,
        content: Digest,
        before: QuarantineState,
        source: str,
        context: Context,
    ) -> None:
        self.ledger.condemn(content)
        decision = self.register.decide(
            content,
            self.ledger.accounts(content),
            len(self.ledger.condemned[content]),
            context.now,
        )
        if decision is not None:
            self.own_decisions.add(content)
            self._apply(decision, before, source, context)

    def _review_all(self, source: str, context: Context) -> None:
        """Lift the quarantines for which the evidence is no longer sufficient."""
        for content in list(self.own_decisions):
            decision = self.register.decisions.get(content)
            if decision is None or context.now - decision.decided_at > REVIEW_TIME:
                self.own_decisions.discard(content)
            elif not self.ledger.is_cause(content):
                self._lift(content, source, context)

    def _review_success(
        self, content: Digest, at: timedelta, source: str, context: Context
    ) -> None:
        """Lift a quarantine that a success contradicts."""
        decision = self.register.decisions.get(content)
        if decision is None:
            return
        is_own = content in self.own_decisions
        if at > decision.decided_at or (is_own and not self.ledger.is_cause(content)):
            self._lift(content, source, context)

    def _lift(self, content: Digest, source: str, context: Context) -> None:
        self.ledger.release(content)
        before = self.register.state(content, context.now)
        decision = self.register.lift(content, context.now)
        if decision is not None:
            self._apply(decision, before, source, context)

    def _apply(
        self,
        decision: Quarantine,
        before: QuarantineState,
        source: str,
        context: Context,
    ) -> None:
        """Log and publish a decision.

        Each instance publishes the decisions that it receives as well: those of an
        instance that has ended would be lost for the instances that start later.
        """
        context.emit(PublishQuarantine(decision, is_own=source == SOURCE_OWN))
        if decision.lifted:
            self.ledger.release(decision.content)
            self.own_decisions.discard(decision.content)
            if before is not QuarantineState.CLEAR:
                log_event(
                    logger, CONTENT_CLEARED, content=decision.content, source=source
                )
            return
        self.ledger.condemn(decision.content)
        if before is not QuarantineState.QUARANTINED:
            log_event(
                logger,
                CONTENT_QUARANTINED,
                content=decision.content,
                count=decision.crashes,
                source=source,
                endpoints=",".join(sorted(self.ledger.condemned[decision.content])),
                accounts=",".join(decision.accounts),
                level=decision.level,
                for_s=int((decision.until - context.now).total_seconds()),
            )
