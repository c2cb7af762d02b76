"""Quarantines requests whose content crashes endpoints."""

import logging
from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ...ids import Digest, EndpointId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, FailureKind
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import ServiceProbed
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.sharing import (
    CrashSuspicionUpdated,
    PublishCrashClearance,
    PublishCrashSuspicion,
)
from ...kernel.plugins import (
    PluginFinder,
    Proceed,
    Refuse,
    RequestConcluded,
    ReviewDecision,
    Stage,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...telemetry.catalogue.gateway import CONTENT_CLEARED, CONTENT_QUARANTINED
from ...telemetry.logs import log_event
from .connectivity import EndpointConnectivity
from .fleet_view import FleetView

logger = logging.getLogger(__name__)

MAX_CRASHES = 2
"""Number of endpoints that a content may crash before it is quarantined."""

SUSPICION_TTL = timedelta(seconds=60)
RETRY_AFTER = timedelta(seconds=5)

SOURCE_OWN = "own attempts"
SOURCE_PEER = "peer"
"""Sources of a quarantine decision in log lines."""


class CrashSuspicion(msgspec.Struct):
    """Endpoints whose connections broke while running a content."""

    endpoints: set[EndpointId] = msgspec.field(default_factory=set)
    last_crash_at: timedelta = timedelta(0)


@register("crash-quarantine")
class CrashQuarantine(Stage):
    """Rejects requests whose content broke connections at several endpoints."""

    order = 20

    def __init__(self) -> None:
        # Ordered by the time of the last crash, most recent last.
        self.suspicions: dict[Digest, CrashSuspicion] = {}
        self.unpublished: list[PublishCrashSuspicion] = []
        """Crashes that a partition of this instance may have caused."""
        self.connectivity: EndpointConnectivity | None = None
        self.fleet: FleetView | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.connectivity = find(EndpointConnectivity)
        self.fleet = find(FleetView)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Reject a request whose content is quarantined."""
        problem = self.rejection_for(record.request.body_digest, context.now)
        return Proceed() if problem is None else Refuse(problem)

    def rejection_for(self, digest: Digest, now: timedelta) -> Problem | None:
        """Return the problem for a quarantined content; None if it may be sent."""
        suspicion = self.suspicions.get(digest)
        if suspicion is None or now - suspicion.last_crash_at > SUSPICION_TTL:
            return None
        if len(suspicion.endpoints) <= MAX_CRASHES:
            return None
        detail = f"broke off at {len(suspicion.endpoints)} endpoints"
        return Problem(ProblemCode.QUARANTINED, detail, RETRY_AFTER)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Update suspicions from attempt outcomes and peer reports."""

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        if message.kind is not FailureKind.BROKEN or message.digest is None:
            return
        suspicion = self._record_crash(message.digest, context.now)
        if message.endpoint is None:
            return
        self._add(message.digest, suspicion, {message.endpoint}, SOURCE_OWN)
        crash = PublishCrashSuspicion(message.digest, message.endpoint)
        if self._may_be_partitioned(message.endpoint):
            self.unpublished.append(crash)
        else:
            context.emit(crash)

    def _may_be_partitioned(self, endpoint: EndpointId) -> bool:
        connectivity = self.connectivity
        return connectivity is not None and connectivity.may_be_partitioned(endpoint)

    @handle.register
    def _(self, message: ServiceProbed, context: Context) -> None:
        # A partition of this instance breaks the connections of all contents that run
        # behind it. Peers must not refuse these for it.
        held, self.unpublished = self.unpublished, []
        endpoints = {} if self.fleet is None else self.fleet.endpoints
        for crash in held:
            known = endpoints.get(crash.endpoint)
            if known is not None and known.listed.service != message.service:
                self.unpublished.append(crash)
            elif message.reachable:
                context.emit(crash)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        # Uses the conclusion, as the request record no longer exists when the end of
        # its last attempt is reported. Otherwise a good content would never be cleared
        # and unrelated crashes would add up until it is rejected.
        if message.conclusion.outcome is not Outcome.COMPLETED:
            return
        digest = message.record.request.body_digest
        if self._clear(digest, SOURCE_OWN):
            context.emit(PublishCrashClearance(digest))

    @handle.register
    def _(self, message: CrashSuspicionUpdated, context: Context) -> None:
        if message.cleared:
            self._clear(message.digest, SOURCE_PEER)
            return
        suspicion = self._record_crash(message.digest, context.now)
        self._add(message.digest, suspicion, set(message.endpoints), SOURCE_PEER)

    def _add(
        self,
        digest: Digest,
        suspicion: CrashSuspicion,
        endpoints: set[EndpointId],
        source: str,
    ) -> None:
        before = len(suspicion.endpoints)
        suspicion.endpoints |= endpoints
        count = len(suspicion.endpoints)
        if before <= MAX_CRASHES < count:
            log_event(
                logger,
                CONTENT_QUARANTINED,
                content=digest,
                count=count,
                source=source,
                endpoints=",".join(sorted(suspicion.endpoints)),
            )

    def _clear(self, digest: Digest, source: str) -> bool:
        """Remove a suspicion; return whether there was one."""
        suspicion = self.suspicions.pop(digest, None)
        if suspicion is None:
            return False
        if len(suspicion.endpoints) > MAX_CRASHES:
            log_event(logger, CONTENT_CLEARED, content=digest, source=source)
        return True

    def _record_crash(self, digest: Digest, now: timedelta) -> CrashSuspicion:
        """Return the suspicion of a content that crashed now; drop expired ones."""
        suspicion = self.suspicions.pop(digest, None)
        if suspicion is None or now - suspicion.last_crash_at > SUSPICION_TTL:
            suspicion = CrashSuspicion()
        suspicion.last_crash_at = now
        self.suspicions[digest] = suspicion
        oldest = next(iter(self.suspicions))
        while now - self.suspicions[oldest].last_crash_at > SUSPICION_TTL:
            del self.suspicions[oldest]
            oldest = next(iter(self.suspicions))
        return suspicion
