"""Request lifecycle: review, queue, attempts, conclusion.

Only this module and `hedging`, which it calls, change a record's state. The decisions
at each step are made by plug-ins.
"""

from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

from ..ids import AttemptNumber, ModelId, RequestId, ServiceId
from . import hedging
from .attempts import build_dispatch, build_own_dispatch, new_attempt
from .context import Context
from .messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptHedged,
    AttemptSent,
    ConnectionOpening,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
    RetryDue,
)
from .messages.outcomes import Conclude, Outcome, Retention
from .messages.problems import Problem, ProblemCode
from .messages.requests import Request
from .plugins import (
    Answered,
    Bypass,
    CompletionCleared,
    Finisher,
    GiveUp,
    Hold,
    NotApplicable,
    Placed,
    PlacementFailed,
    PlacementPending,
    PlaceOn,
    Placer,
    QueueDiscipline,
    Refuse,
    RequestConcluded,
    RetryPolicy,
    ReviewDecision,
    Stage,
    StageCleared,
    Wait,
)
from .ranking import final_problem, rank_waiting, surplus_of
from .records import Attempt, RequestRecord, RequestState

SHUTDOWN_RETRY_AFTER = timedelta(seconds=1)
DEADLINE_PASSED = Problem(ProblemCode.DEADLINE_PASSED, "the deadline has passed")
INTERNAL_FAULT = Problem(ProblemCode.INTERNAL, "a fault in this program")
STOPPED = Problem(
    ProblemCode.SHUTTING_DOWN, "this instance had to stop", SHUTDOWN_RETRY_AFTER
)

HELD_BY_PLUGINS = frozenset(
    {RequestState.HELD, RequestState.PLACING, RequestState.FINISHING}
)
"""States that a request leaves only by a message from a plug-in."""

QUEUE_SCAN = 64
"""Highest-ranked waiting requests of one target that are tried in one pass. Without
a limit the cost of a decision would grow with the backlog."""

QUEUE_MISSES = 3
"""Consecutive failed placements after which the rest of a lane is skipped."""


class Lifecycle:
    """Runs requests through the plug-ins.

    Parameters
    ----------
    stages, placers : sequences
        In any order; they are sorted by their `order`.
    retry : RetryPolicy
    discipline : QueueDiscipline
    finishers : sequence of Finisher, optional
    """

    def __init__(
        self,
        stages: Sequence[Stage],
        placers: Sequence[Placer],
        retry: RetryPolicy,
        discipline: QueueDiscipline,
        finishers: Sequence[Finisher] = (),
    ) -> None:
        self.stages = sorted(stages, key=lambda stage: stage.order)
        self.placers = sorted(placers, key=lambda placer: placer.order)
        self.retry = retry
        self.discipline = discipline
        self.finishers = list(finishers)

    def submit(self, request: Request, context: Context) -> None:
        """Create the record of a request and review it."""
        record = RequestRecord(request, submitted_at=context.now)
        context.state.requests[request.request_id] = record
        self._review(record, context)

    def _review(self, record: RequestRecord, context: Context) -> None:
        while record.stage_index < len(self.stages):
            stage = self.stages[record.stage_index]
            decision = stage.review(record, context)
            if not self._apply_decision(record, decision, context):
                return
        self._enqueue(record, context)

    def _apply_decision(
        self, record: RequestRecord, decision: ReviewDecision, context: Context
    ) -> bool:
        """Apply a stage's decision; return whether the review continues."""
        if isinstance(decision, Refuse):
            outcome = decision.outcome
            if outcome is Outcome.NOT_RUN:
                outcome = record.outcome_if_ended()
            self.conclude(record, outcome, decision.problem, context)
            return False
        if isinstance(decision, Hold):
            record.state = RequestState.HELD
            return False
        if isinstance(decision, Answered):
            self.conclude(record, Outcome.COMPLETED, None, context)
            return False
        if isinstance(decision, Bypass):
            record.stage_index = len(self.stages)
            return True
        record.stage_index += 1
        return True

    def stage_cleared(self, cleared: StageCleared, context: Context) -> None:
        """Continue the review of a request that a stage held."""
        record = context.state.requests.get(RequestId(cleared.request_id))
        if record is None or record.state is not RequestState.HELD:
            return
        if self.stages[record.stage_index].name != cleared.stage:
            return
        record.state = RequestState.REVIEWING
        if self._apply_decision(record, cleared.decision, context):
            self._review(record, context)

    def _enqueue(self, record: RequestRecord, context: Context) -> None:
        record.state = RequestState.WAITING
        context.state.waiting.add(record)
        waiting = context.state.waiting.waiting_for(record.request.target)
        if len(waiting) == 1:
            self._try_place(record, context)
        else:
            self.place_waiting(record.request.target, context)

    def place_waiting(self, target: ModelId | ServiceId, context: Context) -> None:
        """Place as many waiting requests of a target as possible.

        A request for which a plug-in raises is ended. If it stayed queued, it would
        raise at each tick and block all requests behind it.
        """
        misses: Counter[str] = Counter()
        ranking = rank_waiting(self.discipline, target, context)
        for request_id in ranking.faulted:
            self.end_faulted(request_id, context)
        for record in ranking.ranked[:QUEUE_SCAN]:
            try:
                self._place_in_turn(record, misses, context)
            except Exception as error:
                context.faults.append(error)
                self.end_faulted(record.request_id, context)
        for each in surplus_of(self.discipline, target, ranking.ranked, context):
            outcome = each.record.outcome_if_ended()
            self.conclude(each.record, outcome, each.problem, context)

    def _place_in_turn(
        self, record: RequestRecord, misses: Counter[str], context: Context
    ) -> None:
        if record.state is not RequestState.WAITING:
            return
        lane = self.discipline.lane(record)
        if misses[lane] >= QUEUE_MISSES:
            return
        if self._try_place(record, context):
            misses[lane] = 0
        else:
            misses[lane] += 1

    def _try_place(self, record: RequestRecord, context: Context) -> bool:
        """Ask the placers; return whether the request left the queue."""
        for placer in self.placers:
            placement = placer.place(record, context)
            if isinstance(placement, NotApplicable):
                continue
            if isinstance(placement, Wait):
                return False
            context.state.waiting.remove(record)
            if isinstance(placement, PlacementPending):
                record.state = RequestState.PLACING
            elif isinstance(placement, Refuse):
                outcome = record.outcome_if_ended()
                self.conclude(record, outcome, placement.problem, context)
            else:
                self._dispatch(record, placement, context)
            return True
        return False

    def placed(self, placed: Placed, context: Context) -> None:
        """Dispatch a request whose placement was pending."""
        record = context.state.requests.get(RequestId(placed.request_id))
        if record is not None and record.state is RequestState.PLACING:
            self._dispatch(record, placed.place, context)

    def placement_failed(self, failed: PlacementFailed, context: Context) -> None:
        """Queue or refuse a request whose pending placement failed."""
        record = context.state.requests.get(RequestId(failed.request_id))
        if record is None or record.state is not RequestState.PLACING:
            return
        if failed.refuse is not None:
            outcome = record.outcome_if_ended()
            self.conclude(record, outcome, failed.refuse.problem, context)
            return
        record.state = RequestState.WAITING
        context.state.waiting.add(record)

    def _dispatch(
        self, record: RequestRecord, place: PlaceOn, context: Context
    ) -> None:
        # The process may have been suspended past the deadline since the review, and
        # the tick that would have expired the request is still queued behind the
        # current message. Dispatching now would run a request that is reported to its
        # caller as not run.
        if record.request.deadline <= context.now:
            self._end(record, DEADLINE_PASSED, context)
            return
        attempt = new_attempt(record, place, context.now)
        record.attempts.append(attempt)
        record.state = RequestState.RUNNING
        own = build_own_dispatch(record, context.now)
        context.state.fleet.add_own_request(attempt.endpoint, own)
        context.emit(build_dispatch(record, attempt, place))

    def _forget_own_dispatch(self, record: RequestRecord, context: Context) -> None:
        if record.current is not None:
            endpoint = record.current.endpoint
            context.state.fleet.remove_own_request(endpoint, record.request_id)

    def note_sending(
        self, message: ConnectionOpening | AttemptSent, context: Context
    ) -> None:
        """Record whether anything of an attempt may have been sent."""
        record = self._running(message.request_id, message.attempt, context)
        if record is not None and record.current is not None:
            record.current.unsent = isinstance(message, ConnectionOpening)

    def first_token(self, message: FirstToken, context: Context) -> None:
        """Record the end of an attempt's prefill."""
        record = self._running(message.request_id, message.attempt, context)
        if record is None or record.current is None:
            return
        hedging.cancel_hedged(record, context)
        record.current.first_token_at = context.now
        endpoint = context.state.fleet.endpoints.get(record.current.endpoint)
        if endpoint is not None and record.request_id in endpoint.own_requests:
            endpoint.own_requests[record.request_id].prefilled = True

    def attempt_finished(self, message: AttemptFinished, context: Context) -> None:
        """Conclude a request whose answer is complete, unless a finisher holds it."""
        self._finish_hedged(message, context)
        record = self._running(message.request_id, message.attempt, context)
        if record is None:
            return
        # Set before the finishers run: if one raises, the caller still has a complete
        # answer, which must not be reported as failed.
        record.state = RequestState.FINISHING
        for finisher in self.finishers:
            if isinstance(finisher.finish(record, context), Hold):
                return
        self.conclude(record, Outcome.COMPLETED, None, context)

    def completion_cleared(self, cleared: CompletionCleared, context: Context) -> None:
        """Conclude a request whose completion a finisher held."""
        record = context.state.requests.get(RequestId(cleared.request_id))
        if record is not None and record.state is RequestState.FINISHING:
            self._complete(record, cleared.retention, context)

    def _complete(
        self, record: RequestRecord, retention: Retention, context: Context
    ) -> None:
        self.conclude(record, Outcome.COMPLETED, None, context, retention)

    def attempt_failed(self, message: AttemptFailed, context: Context) -> None:
        """Retry or give up after a failed attempt."""
        record = context.state.requests.get(message.request_id)
        if record is not None and hedging.is_hedged(record, message.attempt):
            record.hedged = None
            return
        record = self._running(message.request_id, message.attempt, context)
        if record is not None:
            self._fail(record, message, context)

    def attempt_hedged(self, message: AttemptHedged, context: Context) -> None:
        """Start another attempt while a silent one stays open."""
        record = self._running(message.request_id, message.attempt, context)
        if record is not None:
            record.hedged = record.current
            self._fail(record, message, context)

    def hedged_resumed(self, message: HedgedAttemptResumed, context: Context) -> None:
        """Continue a hedged attempt that has sent an event again."""
        self._restore(message.request_id, message.attempt, context)

    def _finish_hedged(self, message: AttemptFinished, context: Context) -> None:
        """Restore a hedged attempt whose answer is complete, in any request state."""
        record = context.state.requests.get(message.request_id)
        if record is not None and hedging.is_hedged(record, message.attempt):
            hedging.restore(record, context)

    def _restore(
        self, request_id: RequestId, attempt: AttemptNumber, context: Context
    ) -> None:
        record = context.state.requests.get(request_id)
        if record is None or not hedging.is_hedged(record, attempt):
            return
        if record.state in hedging.RESTORABLE_STATES:
            hedging.restore(record, context)

    def _fail(
        self, record: RequestRecord, message: AttemptFailed, context: Context
    ) -> None:
        if record.current is None:
            return
        self._forget_own_dispatch(record, context)
        record.current.failure = message
        record.avoid.add(record.current.endpoint)
        record.delivered_tokens = message.delivered_tokens
        self._mark_unreachable(record.current, message, context)
        decision = self.retry.decide(record, message, context)
        if isinstance(decision, GiveUp):
            outcome = record.outcome_if_ended()
            self.conclude(record, outcome, decision.problem, context)
        elif decision.pause <= timedelta(0):
            self._enqueue(record, context)
        else:
            record.state = RequestState.PAUSED
            context.wake_after(decision.pause, RetryDue(record.request_id))

    def _mark_unreachable(
        self, attempt: Attempt, failure: AttemptFailed, context: Context
    ) -> None:
        """Mark an endpoint as unreachable after a failed connection.

        Otherwise, after an engine crash, attempts would be sent there until the next
        probe fails, and would use up the callers' retries. The next answered probe,
        here or at a peer, makes the endpoint reachable again.
        """
        if failure.kind is FailureKind.UNREACHED:
            fleet = context.state.fleet
            fleet.apply_failure(attempt.endpoint, context.now, own=False)

    def dispatch_faulted(self, failure: AttemptFailed, context: Context) -> None:
        """End a request whose attempt failed because of an internal fault."""
        record = self._running(failure.request_id, failure.attempt, context)
        if record is None or record.current is None:
            return
        record.current.failure = failure
        self._end(record, INTERNAL_FAULT, context)

    def end_faulted(self, request_id: RequestId | None, context: Context) -> None:
        """End a request, if it is open, after a fault in a decision about it."""
        record = _open_request(request_id, context)
        if record is not None:
            self._end(record, INTERNAL_FAULT, context)

    def end_held(self, request_id: RequestId | None, context: Context) -> None:
        """End a request after a fault in a plug-in that may have been holding it.

        A running, waiting or paused request continues without the plug-in.
        """
        record = _open_request(request_id, context)
        if record is not None and record.state in HELD_BY_PLUGINS:
            self._end(record, INTERNAL_FAULT, context)

    def retry_due(self, message: RetryDue, context: Context) -> None:
        """Queue a request for its next attempt."""
        record = context.state.requests.get(message.request_id)
        if record is not None and record.state is RequestState.PAUSED:
            self._enqueue(record, context)

    def caller_gone(self, request_id: RequestId, context: Context) -> None:
        """End a request whose caller has disconnected."""
        record = context.state.requests.get(request_id)
        if record is None:
            return
        if record.state is RequestState.FINISHING or _continues_without_caller(record):
            record.caller_gone = True
            return
        problem = Problem(ProblemCode.CALLER_GONE, "the caller closed its connection")
        self.conclude(record, record.outcome_if_ended(), problem, context)

    def expire(self, context: Context) -> None:
        """End every request whose deadline has passed."""
        late = [
            record
            for record in context.state.requests.values()
            if record.request.deadline <= context.now
        ]
        for record in late:
            self._end(record, DEADLINE_PASSED, context)

    def end_all(self, context: Context) -> None:
        """End every request because the shutdown grace period is over."""
        for record in list(context.state.requests.values()):
            self._end(record, STOPPED, context)

    def _end(self, record: RequestRecord, problem: Problem, context: Context) -> None:
        """End a request with its known outcome; a complete answer stays completed."""
        if record.state is RequestState.FINISHING:
            self._complete(record, Retention.NOT_KEPT, context)
            return
        self.conclude(record, record.outcome_if_ended(), problem, context)

    def conclude(
        self,
        record: RequestRecord,
        outcome: Outcome,
        problem: Problem | None,
        context: Context,
        retention: Retention = Retention.NOT_ASKED,
    ) -> None:
        """End a request and send its caller the final answer.

        If a hedged attempt of it is still open, that attempt continues instead.
        """
        if hedging.hedged_attempt_continues(record, problem):
            hedging.restore(record, context)
            return
        hedging.cancel_hedged(record, context)
        context.state.waiting.remove(record)
        self._forget_own_dispatch(record, context)
        current = record.current
        # An attached run belongs to another call with the same key: cancelling it
        # because this caller disconnected would truncate the other call's answer.
        own = record.state is RequestState.RUNNING and record.attached_run is None
        if own and current is not None and outcome is not Outcome.COMPLETED:
            context.emit(hedging.build_cancellation(record, current))
        context.state.requests.pop(record.request_id, None)
        if problem is not None:
            problem = final_problem(self.discipline, problem, context)
        conclusion = Conclude(
            record.request_id,
            outcome,
            len(record.attempts),
            problem,
            retention,
            tuple(attempt.exposure for attempt in record.attempts),
        )
        context.emit(conclusion)
        context.post(RequestConcluded(record, conclusion))

    def _running(
        self, request_id: RequestId, attempt: AttemptNumber, context: Context
    ) -> RequestRecord | None:
        """Return the record if this attempt is its current, running one.

        Late messages of an earlier attempt must not be attributed to the current
        one: they would end a request that is still running.
        """
        record = context.state.requests.get(request_id)
        if record is None or record.state is not RequestState.RUNNING:
            return None
        if record.current is None or record.current.number != attempt:
            return None
        return record


def _open_request(
    request_id: RequestId | None, context: Context
) -> RequestRecord | None:
    if request_id is None:
        return None
    return context.state.requests.get(request_id)


def _continues_without_caller(record: RequestRecord) -> bool:
    """Return whether a run continues after its caller disconnects.

    The caller of a claimed request may reconnect with its key, and the answer of a
    non-idempotent run would be lost for good if the run were cancelled.
    """
    return record.state is RequestState.RUNNING and record.claim is not None
