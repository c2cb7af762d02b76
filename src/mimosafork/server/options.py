"""What a caller's headers ask for."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..kernel.configuration import FleetPolicy
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.requests import Repeatability
from .errors import RejectedError

DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
NON_IDEMPOTENT_HEADER = "X-Non-Idempotent"
RESUME_HEADER = "X-Resume-Offset"
MAX_KEY_LENGTH = 255
MAX_NUMBER_DIGITS = 15


@dataclass(frozen=True, slots=True)
class CallOptions:
    """How a request is to be run.

    Attributes
    ----------
    time_left : timedelta
        Time in which it finishes or fails.
    resume_offset : int
        Tokens that the caller already has.
    """

    time_left: timedelta
    repeatability: Repeatability
    idempotency_key: str | None
    resume_offset: int


def read_options(
    headers: Mapping[str, str],
    fleet: FleetPolicy,
    default_time: timedelta | None = None,
) -> CallOptions:
    """Read a request's options.

    Parameters
    ----------
    headers : mapping of str to str
        Names in any case.
    default_time : timedelta, optional
        Time that a request gets if it names none, in place of the fleet's.

    Raises
    ------
    RejectedError
        If a header makes no sense.
    """
    key = _idempotency_key(headers)
    offset = _resume_offset(headers)
    if offset and key is None:
        raise RejectedError(
            ProblemCode.MALFORMED,
            f"{RESUME_HEADER} needs the {IDEMPOTENCY_HEADER} of the first call",
        )
    return CallOptions(
        time_left=_time_left(headers, fleet, default_time),
        repeatability=_repeatability(headers),
        idempotency_key=key,
        resume_offset=offset,
    )


def _time_left(
    headers: Mapping[str, str], fleet: FleetPolicy, default_time: timedelta | None
) -> timedelta:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return min(default_time or fleet.default_deadline, fleet.longest_deadline)
    milliseconds = _whole_number(value)
    longest_ms = fleet.longest_deadline // timedelta(milliseconds=1)
    if milliseconds is None or not 1 <= milliseconds <= longest_ms:
        raise RejectedError(
            ProblemCode.BAD_DEADLINE,
            f"{DEADLINE_HEADER} must be a whole number from 1 to {longest_ms}",
        )
    return timedelta(milliseconds=milliseconds)


def _idempotency_key(headers: Mapping[str, str]) -> str | None:
    key = headers.get(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        raise RejectedError(
            ProblemCode.MALFORMED,
            f"{IDEMPOTENCY_HEADER} must be 1 to {MAX_KEY_LENGTH} printable characters",
        )
    return key


def _repeatability(headers: Mapping[str, str]) -> Repeatability:
    mark = headers.get(NON_IDEMPOTENT_HEADER, "false").strip().lower()
    if mark == "true":
        return Repeatability.NON_IDEMPOTENT
    if mark == "false":
        return Repeatability.IDEMPOTENT
    # A mark that can't be read must not count as absent: the request would be
    # repeated against its caller's will.
    raise RejectedError(
        ProblemCode.MALFORMED, f"{NON_IDEMPOTENT_HEADER} must be true or false"
    )


def _resume_offset(headers: Mapping[str, str]) -> int:
    value = headers.get(RESUME_HEADER)
    if value is None:
        return 0
    offset = _whole_number(value)
    if offset is None:
        raise RejectedError(
            ProblemCode.MALFORMED, f"{RESUME_HEADER} must be a whole number from 0"
        )
    return offset


def _whole_number(value: str) -> int | None:
    digits = value.strip()
    if not digits.isascii() or not digits.isdecimal():
        return None
    if len(digits) > MAX_NUMBER_DIGITS:
        return None
    return int(digits)
