"""Labels of failed attempts, which separate an expired deadline from a failure."""

from datetime import timedelta
from http import HTTPStatus

from ..kernel.messages.attempts import AttemptFailed, FailureKind

OUT_OF_TIME = "out-of-time"
"""Label of an endpoint's own 504 at the deadline that was sent with the call."""

DEADLINE_TOLERANCE = timedelta(milliseconds=100)
"""A 504 with at most this much time left means that the call's deadline expired. The
endpoint counts from the arrival of the request, and its response takes time to travel;
an earlier 504 has another cause."""


def failure_label(failure: AttemptFailed, time_left: timedelta) -> str:
    """Return the label of a failed attempt.

    Calls that exceed their deadline at a healthy endpoint are common. Under the label
    of an engine failure they would hide the engines that do fail.

    Parameters
    ----------
    time_left : timedelta
        Time until the call's deadline; negative after it.
    """
    own = failure.kind is FailureKind.ENGINE_FAILED
    if (
        own
        and failure.status == HTTPStatus.GATEWAY_TIMEOUT
        and time_left <= DEADLINE_TOLERANCE
    ):
        return OUT_OF_TIME
    return failure.kind.value
