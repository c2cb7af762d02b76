"""Silent attempts that stay open until another one has answered.

Guard: an attempt that was ended for its silence, and whose place elsewhere was then
refused, left its caller with an answer cut in the middle, though its endpoint was sound
and went on a moment later. So it is left only for one that answers.
"""

from ..ids import AttemptNumber
from .attempts import own_dispatch_of
from .context import Context
from .messages.attempts import AttemptFailed, AttemptRestored, FailureKind
from .messages.dispatch import CancelAttempt, RestoreAttempt
from .messages.problems import Problem, ProblemCode
from .records import Attempt, RequestRecord, RequestState

FINAL = frozenset(
    {
        ProblemCode.CALLER_GONE,
        ProblemCode.DEADLINE_PASSED,
        ProblemCode.SHUTTING_DOWN,
    }
)
"""Problems that end a request whatever is still open of it."""

RESTORABLE = frozenset(
    {RequestState.RUNNING, RequestState.PAUSED, RequestState.WAITING}
)


def is_hedged(record: RequestRecord, number: AttemptNumber) -> bool:
    """Return whether an attempt is the one that is hedged."""
    return record.hedged is not None and record.hedged.number == number


def goes_on(record: RequestRecord, problem: Problem | None) -> bool:
    """Return whether a hedged attempt goes on in place of the request's end."""
    if problem is None or record.hedged is None:
        return False
    return problem.code not in FINAL


def restore(record: RequestRecord, context: Context) -> None:
    """Let the hedged attempt go on, and end what was tried beside it."""
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
    own = own_dispatch_of(record, context.now)
    context.state.fleet.add_own_request(hedged.endpoint, own)
    context.emit(RestoreAttempt(record.request_id, hedged.number))
    context.post(AttemptRestored(record.request_id, hedged.number))


def cancel_hedged(record: RequestRecord, context: Context) -> None:
    """End the hedged attempt, as another one answers or the request ends."""
    hedged, record.hedged = record.hedged, None
    if hedged is not None:
        context.emit(cancellation_of(record, hedged))


def cancellation_of(record: RequestRecord, attempt: Attempt) -> CancelAttempt:
    """Return the effect that ends an attempt."""
    return CancelAttempt(
        record.request_id,
        attempt.number,
        attempt.stream_id,
        attempt.endpoint,
        attempt.address,
    )


def _supersede(record: RequestRecord, attempt: Attempt, context: Context) -> None:
    context.state.fleet.remove_own_request(attempt.endpoint, record.request_id)
    context.emit(cancellation_of(record, attempt))
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
