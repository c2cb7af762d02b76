"""Stand-in for a plain service, whose every call is a run with an effect."""

from dataclasses import dataclass
from functools import singledispatchmethod
from http import HTTPStatus

from ..clock import Clock
from .base import Standin
from .faults import Fault, LoseAnswers, Refuse
from .http import Call, Exchange, HttpAnswer, HttpRequest, Router
from .refusals import Refusal, RefusalReason, refusal_answer

ROLE = "service"


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """How a plain service behaves.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    service : str
        Name of the service.
    work_s : float
        Seconds that a call takes.
    """

    endpoint: str = "service-1"
    service: str = "filings"
    work_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """What a call of the service gives.

    Parameters
    ----------
    run : int
        How many calls have run in this incarnation, this one included.
    """

    endpoint: str
    service: str
    incarnation: int
    method: str
    path: str
    request_id: str
    attempt: int
    run: int
    body: str


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load report of a service."""

    endpoint: str
    incarnation: int
    sequence: int
    lag_s: float
    role: str
    running: int
    models: tuple[str, ...]
    draining: bool


@dataclass(frozen=True, slots=True)
class ServiceState:
    """State of a service."""

    incarnation: int
    role: str
    models: tuple[str, ...]
    draining: bool


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """A call in the journal."""

    request_id: str
    attempt: int
    event: str
    method: str
    path: str
    at_s: float


class ServiceStandin(Standin):
    """A plain service on HTTP that answers any path.

    Parameters
    ----------
    settings : ServiceSettings
        How the service behaves.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        self.settings = settings
        self.lives = 1
        self.runs = 0
        self.running = 0
        self.reports = 0
        self.draining = False
        self.refusals: list[RefusalReason] = []
        super().__init__(clock, f"service-standin-{settings.endpoint}")

    @property
    def incarnation(self) -> int:
        """Which life of the service this is; any task may ask."""
        return self.lives

    def add_routes(self, router: Router) -> None:
        """Add the routes of this system."""
        router.add("GET", "/v1/load", self._get_load)
        router.add("GET", "/v1/state", self._get_state)

    def dispatch(self, request: HttpRequest, exchange: Exchange) -> None:
        """Let the right handler answer the request."""
        if self.router.knows(request):
            super().dispatch(request, exchange)
        elif self.draining:
            self._refuse(request, exchange, RefusalReason.DRAINING)
        elif self.refusals:
            self._refuse(request, exchange, self.refusals.pop())
        else:
            self._run(request, exchange)

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        super().apply_fault(fault)

    @apply_fault.register
    def _(self, fault: LoseAnswers) -> None:
        self.answers_to_lose = fault.count

    @apply_fault.register
    def _(self, fault: Refuse) -> None:
        self.refusals = [RefusalReason.read(fault.reason)] * fault.count

    def clear_faults(self) -> None:
        """End the faults that last."""
        super().clear_faults()
        self.refusals = []

    def crashed(self) -> None:
        """Forget what a crash takes away."""
        self.runs = 0
        self.running = 0
        self.draining = False
        self.lives += 1

    def _run(self, request: HttpRequest, exchange: Exchange) -> None:
        self.runs += 1
        self.running += 1
        self._record(request, "started")
        run = self.runs
        incarnation = self.lives

        def finish() -> None:
            if incarnation != self.lives:
                return
            self.running -= 1
            self._record(request, "finished")
            if self.loses_answer():
                exchange.reset()
            else:
                exchange.answer(HttpAnswer.json(self._result(request, run)))

        if self.settings.work_s > 0:
            self.loop.call_at(self.loop.now_s() + self.settings.work_s, finish)
        else:
            finish()

    def _result(self, request: HttpRequest, run: int) -> ServiceAnswer:
        return ServiceAnswer(
            endpoint=self.settings.endpoint,
            service=self.settings.service,
            incarnation=self.lives,
            method=request.method,
            path=request.path,
            request_id=_request_id(request),
            attempt=_attempt(request),
            run=run,
            body=request.body.decode("utf-8", "replace"),
        )

    def _refuse(
        self, request: HttpRequest, exchange: Exchange, reason: RefusalReason
    ) -> None:
        self._record(request, "refused")
        refusal = Refusal(reason, f"refused by {self.settings.endpoint}")
        status = HTTPStatus.SERVICE_UNAVAILABLE
        exchange.answer(refusal_answer(refusal, status))

    def _record(self, request: HttpRequest, event: str) -> None:
        self.journal.add(
            ServiceEntry(
                request_id=_request_id(request),
                attempt=_attempt(request),
                event=event,
                method=request.method,
                path=request.path,
                at_s=self.journal.at_s(),
            )
        )

    def _get_load(self, call: Call) -> HttpAnswer:
        self.reports += 1
        return HttpAnswer.json(
            ServiceLoad(
                endpoint=self.settings.endpoint,
                incarnation=self.lives,
                sequence=self.reports,
                lag_s=0.0,
                role=ROLE,
                running=self.running,
                models=(),
                draining=self.draining,
            )
        )

    def _get_state(self, call: Call) -> HttpAnswer:
        return HttpAnswer.json(ServiceState(self.lives, ROLE, (), self.draining))


def _request_id(request: HttpRequest) -> str:
    return request.headers.get("x-request-id", "")


def _attempt(request: HttpRequest) -> int:
    value = request.headers.get("x-attempt", "0")
    return int(value) if value.isdecimal() else 0
