"""Faults of an endpoint, and the script that says which requests meet them."""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .http import Request
from .words import PROMPT_PREFIX

REQUEST_ID_MARK = b"{request-id}"
EVENT_ID = re.compile(rb"^id: ([0-9]+)\n", re.MULTILINE)
GARBAGE = b"\x00\x17not an answer\r\n\r\n\xff"


@dataclass(frozen=True, slots=True)
class CrashOnRun:
    """The process crashes as it begins to run the request.

    Attributes
    ----------
    down : timedelta or None
        It comes back after so long; with None when the test says so.
    """

    down: timedelta | None = None


@dataclass(frozen=True, slots=True)
class CrashOnAnswer:
    """The engine crashes after the head of an answer, before its first event.

    Attributes
    ----------
    delay : timedelta
        Between the head and the crash.
    down : timedelta or None
        As in `CrashOnRun`.
    """

    delay: timedelta = timedelta(0)
    down: timedelta | None = None


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """The answer ends early: after so many events, or halfway through a body."""

    after_events: int = 1
    inside_event: bool = True
    reset: bool = True


@dataclass(frozen=True, slots=True)
class Garbage:
    """Bytes that are no answer, in place of one; the run is done."""

    data: bytes = GARBAGE


@dataclass(frozen=True, slots=True)
class Flood:
    """Bytes that are no answer, without end, until the caller closes.

    Attributes
    ----------
    start : bytes
        Sent once; `REQUEST_ID_MARK` in it stands for the request's id.
    piece : bytes
        Sent again and again.
    after_answer : bool
        They follow a proper answer.
    delay : timedelta
        Pause before the first byte.
    pause : timedelta
        Pause between two pieces.
    """

    piece: bytes
    start: bytes = b""
    after_answer: bool = False
    delay: timedelta = timedelta(0)
    pause: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class ExtraAnswer:
    """The whole answer comes again, also that of a request that is refused.

    Attributes
    ----------
    late : bool
        At the place of the next answer.
    delay : timedelta
        Otherwise after so long, whatever the channel carries by then.
    """

    late: bool = False
    delay: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class UnboundedAnswer:
    """An answer without a length that ends with its channel.

    Attributes
    ----------
    reset : bool
        The end is a reset, halfway through a body or after the first event.
    """

    reset: bool = False


class Framing(Enum):
    """What delimits the body of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """A stream that ends after so many bytes, as if it were complete.

    With `Framing.LENGTH` and `Framing.CHUNKS` the framing is intact, with
    `Framing.CONNECTION` the connection is closed in an orderly way.
    """

    after_bytes: int
    framing: Framing = Framing.CONNECTION


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """The request runs and no answer comes: a reset, or `silent` for good."""

    silent: bool = False


@dataclass(frozen=True, slots=True)
class OwnError:
    """The request runs, and the endpoint's own answer is a failure."""

    status: int = 500


@dataclass(frozen=True, slots=True)
class Shed:
    """The request does not run, and the answer says so.

    Attributes
    ----------
    late_copy : bool
        The answer comes again, at the place of the next one.
    """

    status: int = 503
    retry_after: timedelta | None = None
    late_copy: bool = False


@dataclass(frozen=True, slots=True)
class Hang:
    """The request begins to run, keeps its slot and is never answered."""


@dataclass(frozen=True, slots=True)
class Mute:
    """The request is read, does not run and is never answered."""


@dataclass(frozen=True, slots=True)
class Slow:
    """The first byte comes so much later."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """The answer comes before the body is read; the rest is read `later`."""

    later: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class CloseAfter:
    """The answer says `Connection: close`, and the channel is closed after it."""


@dataclass(frozen=True, slots=True)
class WrittenIds:
    """The ids of a stream's events differ from the events' numbers.

    Attributes
    ----------
    base : int
        Added to each number.
    spoiled : tuple of (int, bytes)
        Ids of single events, by number, as they are written.
    from_start : bool
        The stream begins with its first event, whatever the request asks for.
    ends_after, reset_after : int or None
        Number of the event after which the stream ends, or is reset.
    """

    base: int = 0
    spoiled: tuple[tuple[int, bytes], ...] = ()
    from_start: bool = False
    ends_after: int | None = None
    reset_after: int | None = None

    def first(self, last_event_id: str) -> int:
        """Return the number of the first event of a run."""
        if self.from_start or not last_event_id:
            return 1
        return int(last_event_id) - self.base + 1

    def written(self, event: bytes) -> bytes:
        """Return an event with its id as it is written."""
        number = number_of(event)
        written = dict(self.spoiled).get(number, b"%d" % (number + self.base))
        return EVENT_ID.sub(b"id: %b\n" % written, event)


def number_of(event: bytes) -> int:
    """Return the number of an event."""
    found = EVENT_ID.search(event)
    assert found is not None
    return int(found[1])


Fault = (
    CrashOnRun
    | CrashOnAnswer
    | CutAnswer
    | Garbage
    | Flood
    | ExtraAnswer
    | UnboundedAnswer
    | EarlyEnd
    | LostAnswer
    | OwnError
    | Shed
    | Hang
    | Mute
    | Slow
    | EarlyAnswer
    | CloseAfter
    | WrittenIds
)


@dataclass(slots=True)
class Scripted:
    """A fault and the requests that meet it.

    Attributes
    ----------
    times : int or None
        So many of them; None for all.
    every : int
        Each n-th of them, as a share of errors.
    path_prefix, request_id, prompt_part : str
        Empty for any.
    """

    fault: Fault
    times: int | None = 1
    every: int = 1
    path_prefix: str = ""
    request_id: str = ""
    prompt_part: str = ""
    seen: int = 0

    def meets(self, request: Request, request_id: str) -> bool:
        """Count a request and say whether it meets the fault."""
        if self.times == 0 or not request.path.startswith(self.path_prefix):
            return False
        if self.request_id not in {"", request_id}:
            return False
        if self.prompt_part and self.prompt_part not in prompt_parts(request):
            return False
        self.seen += 1
        if self.seen % self.every:
            return False
        if self.times is not None:
            self.times -= 1
        return True


def prompt_parts(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, in order."""
    entries = request.header(PROMPT_PREFIX).split(",")
    return [entry.partition(":")[0].strip() for entry in entries if entry]


class Script:
    """What goes wrong at one endpoint, in the order in which it was added."""

    def __init__(self) -> None:
        self.entries: list[Scripted] = []

    def take(self, request: Request, request_id: str) -> Fault | None:
        """Return the fault that a request meets, if any."""
        for entry in self.entries:
            if entry.meets(request, request_id):
                return entry.fault
        return None
