"""Keeps a request that crashes endpoints from reaching further ones."""

import logging
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ...ids import Digest, EndpointId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, FailureKind
from ...kernel.messages.base import Message
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.sharing import (
    CrashSuspicionUpdated,
    PublishCrashClearance,
    PublishCrashSuspicion,
)
from ...kernel.plugins import Proceed, Refuse, RequestConcluded, ReviewDecision, Stage
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...telemetry.catalogue.gateway import CONTENT_CLEARED, CONTENT_QUARANTINED
from ...telemetry.logs import log_event

logger = logging.getLogger(__name__)

CRASHES = 2
"""Endpoints that a request may have brought down before it is refused."""

KEPT_FOR = timedelta(seconds=60)
COME_BACK = timedelta(seconds=5)

OWN = "own attempts"
PEER = "peer"
"""Whose word a line tells."""


class Suspicion(msgspec.Struct):
    """Endpoints whose connections broke under a request, and when last."""

    endpoints: set[EndpointId] = msgspec.field(default_factory=set)
    seen_at: timedelta = timedelta(0)


@register("crash-quarantine")
class CrashQuarantine(Stage):
    """Refuses a request that broke its connection at several endpoints."""

    order = 20

    def __init__(self) -> None:
        # The one that was seen last stands last.
        self.suspicions: dict[Digest, Suspicion] = {}

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Refuse what has crashed endpoints before."""
        problem = self.objection(record.request.body_digest, context.now)
        return Proceed() if problem is None else Refuse(problem)

    def objection(self, digest: Digest, now: timedelta) -> Problem | None:
        """Return why a content is sent nowhere; None if it may be."""
        suspicion = self.suspicions.get(digest)
        if suspicion is None or now - suspicion.seen_at > KEPT_FOR:
            return None
        if len(suspicion.endpoints) <= CRASHES:
            return None
        detail = f"broke off at {len(suspicion.endpoints)} endpoints"
        return Problem(ProblemCode.QUARANTINED, detail, COME_BACK)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Learn from how attempts end."""

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        if message.kind is not FailureKind.BROKEN or message.digest is None:
            return
        suspicion = self._seen(message.digest, context.now)
        if message.endpoint is not None:
            self._add(message.digest, suspicion, {message.endpoint}, OWN)
            context.emit(PublishCrashSuspicion(message.digest, message.endpoint))

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        # By its conclusion, as the record is gone when its last attempt's end is
        # told: a content that ran well was never cleared, and its crashes of other
        # causes added up until it was refused.
        if message.conclusion.outcome is not Outcome.COMPLETED:
            return
        digest = message.record.request.body_digest
        if self._clear(digest, OWN):
            context.emit(PublishCrashClearance(digest))

    @handle.register
    def _(self, message: CrashSuspicionUpdated, context: Context) -> None:
        if message.cleared:
            self._clear(message.digest, PEER)
            return
        suspicion = self._seen(message.digest, context.now)
        self._add(message.digest, suspicion, set(message.endpoints), PEER)

    def _add(
        self,
        digest: Digest,
        suspicion: Suspicion,
        endpoints: set[EndpointId],
        source: str,
    ) -> None:
        before = len(suspicion.endpoints)
        suspicion.endpoints |= endpoints
        count = len(suspicion.endpoints)
        if before <= CRASHES < count:
            log_event(
                logger,
                CONTENT_QUARANTINED,
                content=digest,
                count=count,
                source=source,
                endpoints=",".join(sorted(suspicion.endpoints)),
            )

    def _clear(self, digest: Digest, source: str) -> bool:
        """Forget a suspicion; return whether there was one."""
        suspicion = self.suspicions.pop(digest, None)
        if suspicion is None:
            return False
        if len(suspicion.endpoints) > CRASHES:
            log_event(logger, CONTENT_CLEARED, content=digest, source=source)
        return True

    def _seen(self, digest: Digest, now: timedelta) -> Suspicion:
        """Return the suspicion of a content that was seen now; forget old ones."""
        suspicion = self.suspicions.pop(digest, None)
        if suspicion is None or now - suspicion.seen_at > KEPT_FOR:
            suspicion = Suspicion()
        suspicion.seen_at = now
        self.suspicions[digest] = suspicion
        oldest = next(iter(self.suspicions))
        while now - self.suspicions[oldest].seen_at > KEPT_FOR:
            del self.suspicions[oldest]
            oldest = next(iter(self.suspicions))
        return suspicion
