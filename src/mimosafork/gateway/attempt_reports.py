"""Messages of one attempt to the kernel."""

from datetime import timedelta

from ..kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptSent,
    ConnectionOpening,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
)
from ..kernel.messages.crashes import InterruptedRun, RunPhase
from ..kernel.messages.dispatch import Dispatch
from ..kernel.messages.endpoint_statements import (
    BackoffRequested,
    BackoffUnreadable,
    LeavingAnnounced,
)
from .attempt_context import AttemptContext
from .attempt_log import log_attempt_sent
from .call import Call
from .dialect import ResponseMetadata
from .limit_reports import limit_report


class AttemptReports:
    """Reports the progress of an attempt.

    Attributes
    ----------
    first_reported : bool
        Whether the first event or the whole response has been reported.
    head_received : bool
        Whether the head of the response has been received.
    placed_at : timedelta
        Monotonic time.
    """

    def __init__(self, call: Call, dispatch: Dispatch, context: AttemptContext) -> None:
        self.call = call
        self.dispatch = dispatch
        self.context = context
        self.first_reported = False
        self.head_received = False
        self.placed_at = context.clock.monotonic()

    def opening(self) -> None:
        """Report that the attempt waits for a connection."""
        self.context.report(
            ConnectionOpening(self.dispatch.request_id, self.dispatch.attempt)
        )

    def sent(self) -> None:
        """Report that the attempt is about to be sent on a new connection."""
        self.context.report(
            AttemptSent(self.dispatch.request_id, self.dispatch.attempt)
        )

    def log_sent(self) -> None:
        """Log that the request is about to be sent, on any connection."""
        log_attempt_sent(self.call, self.dispatch, self.context.instance)

    def statements(self, metadata: ResponseMetadata, sent_at: timedelta) -> None:
        """Report what a response states about its endpoint."""
        # A response of another endpoint says nothing about this one.
        if metadata.endpoint_moved:
            return
        endpoint = self.dispatch.endpoint
        if metadata.announces_leaving:
            self.context.report(LeavingAnnounced(endpoint, sent_at))
        if metadata.backoff:
            self.context.report(BackoffRequested(endpoint, sent_at, metadata.backoff))
        elif not metadata.backoff_readable:
            self.context.report(BackoffUnreadable(endpoint))
        self._rate_limit(metadata, sent_at)

    def _rate_limit(self, metadata: ResponseMetadata, sent_at: timedelta) -> None:
        """Report the rate limit that a response states, or that one has ended."""
        # Most endpoints have no limit: their responses cost no message.
        nothing_stated = metadata.rate_limit is None and metadata.rate_limit_readable
        if nothing_stated and not self.context.sends.tracks(self.dispatch.endpoint):
            return
        now = self.context.clock.monotonic()
        report = limit_report(self.dispatch, metadata, sent_at, now)
        if report is not None:
            self.context.report(report)

    def resumed(self) -> None:
        """Report that a hedged attempt has sent an event."""
        self.context.report(
            HedgedAttemptResumed(self.dispatch.request_id, self.dispatch.attempt)
        )

    def first(self) -> None:
        """Report the first event, or the whole response, once."""
        if self.first_reported:
            return
        self.first_reported = True
        self.context.report(FirstToken(self.dispatch.request_id, self.dispatch.attempt))

    def finished(self) -> None:
        """Report that the caller has the whole response."""
        self.context.report(
            AttemptFinished(self.dispatch.request_id, self.dispatch.attempt)
        )

    def failed(
        self,
        kind: FailureKind,
        exposure: Exposure,
        status: int | None,
        refusal: str | None,
        fault_at: str | None,
    ) -> None:
        """Report that there is no complete response."""
        self.context.report(
            AttemptFailed(
                self.dispatch.request_id,
                self.dispatch.attempt,
                kind,
                exposure,
                delivered_tokens=self.call.events_sent,
                refusal=refusal,
                status=status,
                fault_at=fault_at,
                endpoint=self.dispatch.endpoint,
                digest=self.call.request.body_digest,
                interrupted=self._interrupted(kind),
                resumable=self.call.position_certain,
            )
        )

    def _interrupted(self, kind: FailureKind) -> InterruptedRun | None:
        """Return the run, if its connection broke."""
        if kind is not FailureKind.BROKEN:
            return None
        request = self.call.request
        phase = self._phase()
        # Parts that have been answered are not suspected.
        parts = () if phase is RunPhase.ANSWERING else request.prompt_parts
        return InterruptedRun(
            request.body_digest,
            request.account,
            parts,
            phase,
            self.placed_at,
            self.context.clock.monotonic(),
        )

    def _phase(self) -> RunPhase:
        if self.first_reported:
            return RunPhase.ANSWERING
        return RunPhase.BEGUN if self.head_received else RunPhase.PENDING
