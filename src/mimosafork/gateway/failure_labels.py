"""In which word a failed attempt is told: what ran out of time is no fault."""

from datetime import timedelta
from http import HTTPStatus

from ..kernel.messages.attempts import AttemptFailed, FailureKind

OUT_OF_TIME = "out-of-time"
"""An endpoint's own 504 at the end of the time that it was handed with the call."""

AT_THE_LIMIT = timedelta(milliseconds=100)
"""With no more time left than this, a 504 tells that the call's time is over. The
endpoint counts from the request's arrival, and the answer takes a way; a 504 that comes
sooner has another cause."""


def failure_label(failure: AttemptFailed, left: timedelta) -> str:
    """Return how an attempt failed, in a word.

    Guard: calls that run out of time at a sound endpoint come all day, and looked like
    engines that fail: nobody saw the ones that did.

    Parameters
    ----------
    left : timedelta
        Of the call's time; negative after its end.
    """
    own = failure.kind is FailureKind.ENGINE_FAILED
    if own and failure.status == HTTPStatus.GATEWAY_TIMEOUT and left <= AT_THE_LIMIT:
        return OUT_OF_TIME
    return failure.kind.value
