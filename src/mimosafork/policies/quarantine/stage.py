"""Collects evidence against request bodies and refuses condemned ones."""

from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger

from ...ids import Digest, RequestId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.fleet import InstancesListed
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.peers import MembersChanged, Publish, Scope
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.quarantine import (
    DropSuspicion,
    EndpointIncarnation,
    StoreSuspicion,
    SuspicionReceived,
    SuspicionsRead,
)
from ...kernel.plugins import Proceed, Refuse, RequestConcluded, Stage
from ...kernel.plugins import ReviewDecision as StageVerdict
from ...kernel.records import Attempt, RequestRecord
from ...kernel.registry import register
from ...telemetry.catalogue.quarantine import (
    REQUEST_CLEARED,
    REQUEST_QUARANTINED,
    REQUEST_SUSPECTED,
)
from ...telemetry.logs import log_event
from .crashes import BREAK_RETENTION, ConnectionBreak, incarnation_ended, start_break
from .ledger import EvidenceLedger, Verdict
from .witnesses import Witnesses

logger = getLogger(__name__)

BREAK_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Between two checks of the endpoints whose connections broke."""

MAX_EARLY_PUBLISHED_BODIES = 32
"""Bodies of one break that are published before it is known to be a crash. A network
partition breaks thousands of connections, and publishing the bodies of all of them
would exceed the traffic limits between peers."""


@register("quarantine")
class Quarantine(Stage):
    """Prevents repeated runs of a body that crashes engines.

    Without it, a caller that resends such a request under new ids crashes engine
    after engine, and all other answers on them break off. The symptom is endpoints
    that restart one after the other. The digest identifies a body under any request
    id. Bystanders are spared because only crashes with a body alone on the endpoint
    condemn it.
    """

    order = 30

    def __init__(self) -> None:
        self.ledger = EvidenceLedger()
        self.breaks: dict[EndpointIncarnation, ConnectionBreak] = {}
        self.witnesses = Witnesses()
        self.concluded_request: RequestId | None = None
        self.checked_at = timedelta(0)

    def review(self, record: RequestRecord, context: Context) -> StageVerdict:
        """Refuse a condemned body before it runs."""
        digest = record.request.body_digest
        if self.ledger.verdict(digest) is Verdict.CONDEMNED:
            return Refuse(condemned_problem())
        return Proceed()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to failed attempts, peers and the store."""

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        if message.kind is not FailureKind.BROKEN:
            return
        if message.exposure is not Exposure.POSSIBLE:
            return
        record = context.state.requests.get(message.request_id)
        if record is None:
            # The request was concluded at this failure, and its record comes with
            # the RequestConcluded message, which is handled right after this.
            self.concluded_request = message.request_id
            return
        for attempt in record.attempts:
            if attempt.number == message.attempt:
                self._record_break(record, attempt, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        record = message.record
        if message.conclusion.outcome is Outcome.COMPLETED:
            self._clear(record.request.body_digest, context)
        elif record.request_id == self.concluded_request and record.current is not None:
            self._record_break(record, record.current, context)
        self.concluded_request = None

    @handle.register
    def _(self, message: SuspicionReceived, context: Context) -> None:
        at = context.now - message.origin.age
        changed = self.ledger.merge(message.digest, message.suspicion, at)
        publisher = frozenset({message.origin.instance})
        if changed and self.witnesses.includes_own(message.digest, publisher, context):
            self._publish_suspicion(message.digest, context)
        for evidence in message.suspicion.evidence:
            if not evidence.is_confirmed:
                # The publishing instance may stop before it can settle this break.
                known = self.breaks.setdefault(
                    evidence.endpoint_incarnation,
                    ConnectionBreak(evidence.endpoint_incarnation, at),
                )
                known.peer_bodies.add(message.digest)

    @handle.register
    def _(self, message: InstancesListed | MembersChanged, context: Context) -> None:
        started = self.witnesses.update(context)
        if not started:
            return
        for digest, case in self.ledger.cases.items():
            if case.verdict is not Verdict.CLEAR and self.witnesses.includes_own(
                digest, started, context
            ):
                self._publish_suspicion(digest, context)

    @handle.register
    def _(self, message: SuspicionsRead, context: Context) -> None:
        for stored in message.suspicions:
            for evidence in stored.evidence:
                self.ledger.add(stored.digest, evidence, context.now - stored.age)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if not self.breaks or context.now - self.checked_at < BREAK_CHECK_INTERVAL:
            return
        self.checked_at = context.now
        for broken in list(self.breaks.values()):
            self._resolve_break(broken, context)
        self.ledger.forget_old(context.now)

    def _record_break(
        self, record: RequestRecord, attempt: Attempt, context: Context
    ) -> None:
        """Record a request that broke off in mid-answer as a possible cause."""
        endpoint_incarnation = EndpointIncarnation(
            attempt.endpoint, attempt.incarnation
        )
        is_prefilled = attempt.first_token_at is not None
        broken = self.breaks.get(endpoint_incarnation)
        if broken is None:
            broken = self.breaks[endpoint_incarnation] = start_break(
                endpoint_incarnation, is_prefilled, context
            )
        if not broken.add(record.request.body_digest, is_prefilled):
            return
        for body in broken.bodies:
            self.ledger.add(body, broken.evidence(body), context.now)
        if len(broken.bodies) <= MAX_EARLY_PUBLISHED_BODIES:
            self._publish_suspicion(record.request.body_digest, context)

    def _resolve_break(self, broken: ConnectionBreak, context: Context) -> None:
        """Settle a break once it is known whether the incarnation has ended."""
        ended = incarnation_ended(broken, context)
        if ended is None and context.now - broken.at < BREAK_RETENTION:
            return
        del self.breaks[broken.endpoint_incarnation]
        for digest in broken.peer_bodies - broken.bodies.keys():
            self._settle(digest, broken.endpoint_incarnation, bool(ended), context)
        for digest in broken.bodies:
            if self._settle(digest, broken.endpoint_incarnation, bool(ended), context):
                self._publish_suspicion(digest, context)
                if ended:
                    self._report_crash(digest, broken.endpoint_incarnation, context)

    def _settle(
        self,
        digest: Digest,
        endpoint_incarnation: EndpointIncarnation,
        has_ended: bool,
        context: Context,
    ) -> bool:
        """Confirm or drop evidence; return whether that changed anything."""
        if has_ended:
            return self.ledger.confirm(digest, endpoint_incarnation, context.now)
        return self.ledger.drop(digest, [endpoint_incarnation], context.now)

    def _publish_suspicion(self, digest: Digest, context: Context) -> None:
        suspicion = self.ledger.suspicion(digest)
        context.emit(Publish(digest, suspicion, Scope.FLEET, urgent=True))

    def _report_crash(
        self,
        digest: Digest,
        endpoint_incarnation: EndpointIncarnation,
        context: Context,
    ) -> None:
        """Log a confirmed crash, and store it if the body ran alone."""
        case = self.ledger.cases[digest]
        evidence = tuple(each for each in case.evidence.values() if each.is_confirmed)
        sole = sum(each.is_sole for each in evidence)
        if sole:
            context.emit(StoreSuspicion(digest, evidence))
        if case.verdict is Verdict.CONDEMNED:
            log_event(logger, REQUEST_QUARANTINED, digest=digest, crashes=sole)
            return
        log_event(
            logger,
            REQUEST_SUSPECTED,
            digest=digest,
            endpoint=endpoint_incarnation.endpoint,
            suspicion=f"{case.weight:.2f}",
        )

    def _clear(self, digest: Digest, context: Context) -> None:
        """Drop all evidence against a body that has completed."""
        case = self.ledger.cases.get(digest)
        if case is None or not case.evidence:
            return
        was_suspect = case.verdict is not Verdict.CLEAR
        was_stored = any(each.is_sole for each in case.evidence.values())
        self.ledger.drop(digest, list(case.evidence), context.now)
        self._publish_suspicion(digest, context)
        if was_stored:
            context.emit(DropSuspicion(digest))
        if was_suspect:
            log_event(logger, REQUEST_CLEARED, digest=digest)


def condemned_problem() -> Problem:
    """Return the problem for callers of a condemned body; it is not to be retried."""
    detail = "endpoints stop working whenever they run this request on its own"
    return Problem(ProblemCode.QUARANTINED, detail)
