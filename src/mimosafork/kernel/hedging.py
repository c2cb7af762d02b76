"""Hedged requests: a silent attempt stays open until another one has answered.

If a silent attempt were cancelled before its replacement answers, and the replacement
were then refused, the caller would get a truncated answer although the first endpoint
was healthy and resumed a moment later.
"""

from ..ids import AttemptNumber
from .attempts import build_own_dispatch
from .context import Context
from .messages.attempts import AttemptFailed, AttemptRestored, FailureKind
from .messages.dispatch import CancelAttempt, RestoreAttempt
from .messages.problems import Problem, ProblemCode
from .records import Attempt, RequestRecord, RequestState

FINAL_PROBLEMS = frozenset(
    {
        ProblemCode.CALLER_GONE,
        ProblemCode.DEADLINE_PASSED,
        ProblemCode.SHUTTING_DOWN,
    }
)
"""Problems that end a request even if a hedged attempt is still open."""

RESTORABLE_STATES = frozenset(
    {RequestState.RUNNING, RequestState.PAUSED, RequestState.WAITING}
)


def is_hedged(record: RequestRecord, number: AttemptNumber) -> bool:
    """Return whether an attempt is the hedged one of its request."""
    return record.hedged is not None and record.hedged.number == number


def hedged_attempt_continues(record: RequestRecord, problem: Problem | None) -> bool:
    """Return whether a hedged attempt continues instead of ending the request."""
    if problem is None or record.hedged is None:
        return False
    return problem.code not in FINAL_PROBLEMS


def restore(record: RequestRecord, context: Context) -> None:
    """Make the hedged attempt the current one and cancel its replacement."""
    hedged, record.hedged = record.hedged, None
    if hedged is None:
        return
    context.state.waiting.remove(record)
    current = record.current
    tried = current is not None and current is not hedged
    if current is not None and tried and record.state is RequestState.RUNNING:
        _supersede(record, current, context)
    hedged.failure = None
    record.attempts.remove(hedged)
    record.attempts.append(hedged)
    record.state = RequestState.RUNNING
    own = build_own_dispatch(record, context.now)
    context.state.fleet.add_own_request(hedged.endpoint, own)
    context.emit(RestoreAttempt(record.request_id, hedged.number))
    context.post(AttemptRestored(record.request_id, hedged.number))


def cancel_hedged(record: RequestRecord, context: Context) -> None:
    """Cancel the hedged attempt because another one answered or the request ended."""
    hedged, record.hedged = record.hedged, None
    if hedged is not None:
        context.emit(build_cancellation(record, hedged))


def build_cancellation(record: RequestRecord, attempt: Attempt) -> CancelAttempt:
    """Return the effect that cancels an attempt."""
    return CancelAttempt(
        record.request_id,
        attempt.number,
        attempt.stream_id,
        attempt.endpoint,
        attempt.address,
    )


def _supersede(record: RequestRecord, attempt: Attempt, context: Context) -> None:
    context.state.fleet.remove_own_request(attempt.endpoint, record.request_id)
    context.emit(build_cancellation(record, attempt))
    if attempt.failure is not None:
        return
    attempt.failure = AttemptFailed(
        record.request_id,
        attempt.number,
        FailureKind.SUPERSEDED,
        attempt.exposure,
        endpoint=attempt.endpoint,
        digest=record.request.body_digest,
    )
    context.post(attempt.failure)
