"""What ran where: the record from which tests see TWICE, REFUSED, GONE and the like."""

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from threading import Condition

from ..errors import StandinError
from .http import Request
from .words import RECORDED_HEADERS, REQUEST_ID

MAX_RECORDS = 100_000
WAIT_S = 10.0


class RunEnd(Enum):
    """How a run ended."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    CRASHED = "crashed"
    CUT = "cut"
    NOT_BEGUN = "not begun"
    """Admitted, and answered with a promise before its first event."""


@dataclass(slots=True, eq=False)
class Run:
    """One request at which an endpoint began to work.

    Attributes
    ----------
    instance : str
        Id of that life of the endpoint.
    body_digest : str
        SHA-256 in hexadecimal.
    headers : dict of str to str
        Those of `RECORDED_HEADERS` that it had, under these names.
    began_s, ended_s : float
        Steady clock, in seconds.
    """

    number: int
    instance: str
    service: str
    request_id: str
    method: str
    target: str
    body_digest: str
    headers: dict[str, str]
    began_s: float
    ended_s: float | None = None
    end: RunEnd = RunEnd.RUNNING

    @property
    def cancelled(self) -> bool:
        """Whether its caller left it."""
        return self.end is RunEnd.CANCELLED


@dataclass(frozen=True, slots=True)
class Visit:
    """One request that reached an endpoint, and what became of it.

    Attributes
    ----------
    status : int or None
        Of the refusal; None if the request was taken in.
    zone : str
        Of the endpoint.
    """

    instance: str
    service: str
    request_id: str
    status: int | None
    zone: str = ""


@dataclass(slots=True)
class RunLog:
    """All runs and visits of a deployment; any thread may read it."""

    runs: list[Run] = field(default_factory=list)
    visits: list[Visit] = field(default_factory=list)
    changed: Condition = field(default_factory=Condition)
    begun: int = 0
    recorded: tuple[str, ...] = tuple(RECORDED_HEADERS)
    """Names of the headers that runs keep."""

    def begin(self, request: Request, instance: str, service: str, now_s: float) -> Run:
        """Record the start of a run."""
        headers = {
            name: request.header(name)
            for name in self.recorded
            if name.lower() in request.headers
        }
        with self.changed:
            if len(self.runs) >= MAX_RECORDS:
                raise StandinError("too many runs to record")
            self.begun += 1
            run = Run(
                self.begun,
                instance,
                service,
                request.header(REQUEST_ID),
                request.method,
                request.target,
                digest_of(bytes(request.body)),
                headers,
                now_s,
            )
            self.runs.append(run)
            self.changed.notify_all()
        return run

    def finish(self, run: Run, end: RunEnd, now_s: float) -> None:
        """Record the end of a run; the first end counts.

        One that has not begun is no run, and is taken out of the record.
        """
        with self.changed:
            if run.end is RunEnd.RUNNING:
                run.end, run.ended_s = end, now_s
            if end is RunEnd.NOT_BEGUN:
                self.runs.remove(run)
            self.changed.notify_all()

    def visit(self, visit: Visit) -> None:
        """Record that a request arrived."""
        with self.changed:
            if len(self.visits) < MAX_RECORDS:
                self.visits.append(visit)
            self.changed.notify_all()

    def of(self, request_id: str) -> list[Run]:
        """Return the runs of a request, in order."""
        with self.changed:
            return [run for run in self.runs if run.request_id == request_id]

    def visits_of(self, request_id: str) -> list[Visit]:
        """Return the arrivals of a request, in order."""
        with self.changed:
            return [each for each in self.visits if each.request_id == request_id]

    def ran_twice(self) -> list[str]:
        """Return the ids of the requests that ran more than once."""
        with self.changed:
            counts = Counter(run.request_id for run in self.runs)
        return [request_id for request_id, count in counts.items() if count > 1]

    def at_work(self) -> list[Run]:
        """Return the runs that have not ended."""
        with self.changed:
            return [run for run in self.runs if run.end is RunEnd.RUNNING]

    def wait_until(
        self, holds: Callable[["RunLog"], bool], timeout_s: float = WAIT_S
    ) -> None:
        """Wait until something holds of the record.

        Raises
        ------
        StandinError
            If it does not in time.
        """
        with self.changed:
            if not self.changed.wait_for(lambda: holds(self), timeout_s):
                raise StandinError("what was waited for did not happen")


def digest_of(body: bytes) -> str:
    """Return the digest under which a body is recorded."""
    return hashlib.sha256(body).hexdigest()
