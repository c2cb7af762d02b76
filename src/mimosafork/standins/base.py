"""What all stand-ins share: their task, common faults and the journal."""

from functools import singledispatchmethod
from http import HTTPStatus
from logging import getLogger
from queue import SimpleQueue

from ..clock import Clock
from .errors import BadRequestError, StandinError
from .faults import Crash, Cut, Fault, Freeze, Latency, Outage, decode_fault
from .http import Call, Exchange, HttpAnswer, HttpLoop, HttpRequest, Router
from .http.messages import error_answer
from .journal import Journal
from .refusals import RefusedError, refusal_answer

logger = getLogger(__name__)

CONTROL_PATHS = frozenset({"/faults", "/journal"})
FREE_ADDRESS = "127.0.0.1:0"
INJECT_TIMEOUT_S = 5.0
LISTEN_TIMEOUT_S = 60.0


class InjectedFault:
    """A fault from another task, and where to say that it is in force."""

    def __init__(self, fault: Fault | None) -> None:
        self.fault = fault
        self.outcome: SimpleQueue[Exception | None] = SimpleQueue()


class Standin:
    """A stand-in for one outside system, served by one task.

    Subclasses add their routes in `add_routes` and their faults in
    `apply_fault`. All state belongs to the task of `loop`; other tasks only use
    `start`, `stop`, `inject`, `wait_until_listening` and `end_faults`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    name : str
        Name of the task, for logs.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self.clock = clock
        self.loop = HttpLoop(self, clock, name)
        self.journal = Journal(clock)
        self.latency_s = 0.0
        self.outage: Outage | None = None
        self.cut_peers: frozenset[str] = frozenset()
        self.answers_to_lose = 0
        self.router = Router()
        self.router.add("POST", "/faults", self._post_fault)
        self.router.add("DELETE", "/faults", self._delete_faults)
        self.router.add("GET", "/journal", self._get_journal)
        self.add_routes(self.router)

    def add_routes(self, router: Router) -> None:
        """Add the routes of the system that is stood in for."""

    def start(self, address: str = FREE_ADDRESS) -> str:
        """Listen at `IP:PORT` and return the address in use."""
        return self.loop.start(address)

    def stop(self) -> None:
        """Close everything; harmless when repeated."""
        self.loop.stop()

    @property
    def address(self) -> str:
        """Where the stand-in listens, as `IP:PORT`."""
        return self.loop.address

    @property
    def incarnation(self) -> int:
        """Which life of the outside system this is; any task may ask."""
        return 1

    def inject(self, fault: Fault) -> None:
        """Bring about a fault and return once it is in force."""
        self._settle(InjectedFault(fault))

    def wait_until_listening(self) -> None:
        """Return once callers are let in, at once if they are already.

        Raises
        ------
        StandinError
            If the stand-in does not come back; it then hangs or has failed.
        """
        if not self.loop.listening.wait(LISTEN_TIMEOUT_S):
            raise StandinError(f"{self.loop.name} does not listen again")

    def end_faults(self) -> None:
        """End all faults that last."""
        self._settle(InjectedFault(None))

    # The application of the loop; runs in its task.

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer a request, unless a fault stands in its way."""
        if request.path in CONTROL_PATHS:
            self.dispatch(request, exchange)
        elif self._is_cut(request):
            exchange.reset()
        elif self.outage is not None:
            exchange.answer(error_answer(HTTPStatus.SERVICE_UNAVAILABLE, "outage"))
        elif self.latency_s > 0:
            due_s = self.loop.now_s() + self.latency_s
            self.loop.call_at(due_s, lambda: self.dispatch(request, exchange))
        else:
            self.dispatch(request, exchange)

    def dispatch(self, request: HttpRequest, exchange: Exchange) -> None:
        """Let the request's handler answer it."""
        try:
            answer = self.router.dispatch(request, exchange)
        except BadRequestError as error:
            answer = error_answer(HTTPStatus.BAD_REQUEST, str(error))
        except RefusedError as error:
            answer = refusal_answer(error.refusal)
        except Exception as error:
            logger.exception("%s %s failed", request.method, request.path)
            answer = error_answer(HTTPStatus.INTERNAL_SERVER_ERROR, repr(error))
        if answer is not None:
            exchange.answer(answer)

    def receive(self, message: object) -> None:
        """Take a message from another task."""
        if not isinstance(message, InjectedFault):
            raise StandinError(f"unexpected message {message!r}")
        try:
            if message.fault is None:
                self.clear_faults()
            else:
                self.apply_fault(message.fault)
        except Exception as error:
            message.outcome.put(error)
        else:
            message.outcome.put(None)

    def advance(self, now_s: float) -> float | None:
        """Do what is due; plain stand-ins have nothing that is."""
        return None

    # Faults.

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        raise BadRequestError(f"this stand-in does not play {type(fault).__name__}")

    @apply_fault.register
    def _(self, fault: Latency) -> None:
        self.latency_s = fault.seconds

    @apply_fault.register
    def _(self, fault: Outage) -> None:
        self.outage = fault

    @apply_fault.register
    def _(self, fault: Cut) -> None:
        self.cut_peers = frozenset(fault.peers)
        for connection in list(self.loop.connections.values()):
            if connection.instance in self.cut_peers:
                connection.reset()

    @apply_fault.register
    def _(self, fault: Freeze) -> None:
        self.loop.freeze(fault.seconds)

    @apply_fault.register
    def _(self, fault: Crash) -> None:
        self.loop.go_down(fault.down_s, self.restarted)
        self.crashed()

    def crashed(self) -> None:
        """Forget what a crash takes away."""

    def restarted(self) -> None:
        """Begin again after a crash, just before requests are taken."""

    def clear_faults(self) -> None:
        """End the faults that last."""
        self.latency_s = 0.0
        self.outage = None
        self.cut_peers = frozenset()
        self.answers_to_lose = 0

    def loses_answer(self) -> bool:
        """Say whether this answer is to be lost, and count it."""
        if self.answers_to_lose == 0:
            return False
        self.answers_to_lose -= 1
        return True

    def _is_cut(self, request: HttpRequest) -> bool:
        if self.outage is not None and self.outage.reset:
            return True
        return request.instance in self.cut_peers

    def _post_fault(self, call: Call) -> HttpAnswer:
        fault = decode_fault(call.request.body)
        if isinstance(fault, Crash | Freeze):
            # In the next turn: these two would hold back the answer to this call.
            self.loop.call_at(0.0, lambda: self.apply_fault(fault))
        else:
            self.apply_fault(fault)
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _delete_faults(self, call: Call) -> HttpAnswer:
        self.clear_faults()
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _get_journal(self, call: Call) -> HttpAnswer:
        return HttpAnswer.json(self.journal.body())

    def _settle(self, message: InjectedFault) -> None:
        self.loop.send(message)
        error = message.outcome.get(timeout=INJECT_TIMEOUT_S)
        if error is not None:
            raise error
