"""What engines and desks share: lives, slots, refusals, health and the record."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from secrets import token_hex
from typing import Any

from .admission import Admission, Place
from .background import LoopThread
from .faults import (
    CrashOnRun,
    EarlyAnswer,
    Fault,
    Hang,
    Mute,
    OwnError,
    Script,
    Scripted,
    Shed,
    Slow,
)
from .http import Answer, Connection, Header, Listener, Request, whichever
from .pace import Gate
from .runs import Run, RunEnd, RunLog, Visit, digest_of
from .sending import CLOSE, Sending
from .words import (
    AT_SERVER,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    NOT_RUN,
    PRIORITY,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
)

USUAL_PRIORITY = 5
ID_BYTES = 4
SEAL_DIGITS = 12


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """How an endpoint serves.

    Attributes
    ----------
    slots, queue : int
        Requests that run, and that wait.
    work : timedelta
        Length of a plain run; of an engine's run up to its first event.
    speed : float
        Divides all lengths of time of its work.
    idle : timedelta or None
        Channels that are idle for so long are closed.
    keep_alive_s : int or None
        Whole seconds that the `Keep-Alive` header states.
    max_connections : int or None
        Channels beyond are reset.
    close_every : int
        Each n-th answer says `Connection: close`; 0 for none.
    software : str
        Version of its software.
    """

    service: str
    zone: str = "zone-a"
    slots: int = 8
    queue: int = 4
    work: timedelta = timedelta(0)
    speed: float = 1.0
    health_path: str = "/healthz"
    idle: timedelta | None = None
    keep_alive_s: int | None = None
    max_connections: int | None = None
    close_every: int = 0
    software: str = "v1"


class Endpoint:
    """One address at which lives of an endpoint follow each other.

    Public methods may be called from any thread. The rest belongs to the loop.

    Parameters
    ----------
    log : RunLog
        Shared by a deployment; outlives crashes, as it belongs to the test.
    """

    def __init__(
        self, thread: LoopThread, settings: EndpointSettings, log: RunLog
    ) -> None:
        self.thread = thread
        self.settings = settings
        self.log = log
        self.script = Script()
        self.gate = Gate()
        self.id = new_id()
        self.alive = False
        self.ended = asyncio.Event()
        self.revival: asyncio.Task[None] | None = None
        self.draining = False
        self.healthy = True
        self.answers = 0
        self.on_life: Callable[[Endpoint], None] = ignore_life
        self.admission = self.new_admission()
        self.listener = Listener(self._serve)

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:PORT``, in all its lives."""
        return self.listener.address

    def start(self) -> None:
        """Begin the first life, or the next one after `stop` or `crash`."""
        self.thread.run(self.live())

    def stop(self) -> None:
        """End this life: channels are reset and work is lost."""
        self.thread.call(self.die)

    def crash(self, down: timedelta | None = None) -> None:
        """Crash; back with a new id after `down`, or at `start` if None."""
        self.thread.call(lambda: self.fall(down))

    def drain(self, draining: bool = True) -> None:
        """Say in health and answers that it is leaving; it serves on."""
        self.thread.call(lambda: setattr(self, "draining", draining))

    def set_healthy(self, healthy: bool) -> None:
        """Let the health path answer 200 or 503."""
        self.thread.call(lambda: setattr(self, "healthy", healthy))

    def play(self, fault: Fault, times: int | None = 1) -> None:
        """Let the next requests meet a fault; all of them if `times` is None."""
        self.play_scripted(Scripted(fault, times))

    def play_scripted(self, entry: Scripted) -> None:
        """Add an entry to the script."""
        self.thread.call(lambda: self.script.entries.append(entry))

    def end_faults(self) -> None:
        """Empty the script."""
        self.thread.call(self.script.entries.clear)

    def hold(self) -> None:
        """Stop work before its next piece, until `release` or `let_go`."""
        self.thread.call(self.gate.hold)

    def release(self, pieces: int = 1) -> None:
        """Let so many pieces pass, each of any request."""
        self.thread.call(lambda: self.gate.release(pieces))

    def let_go(self) -> None:
        """Let all pieces pass from now on."""
        self.thread.call(self.gate.let_go)

    def silence_connections(self) -> None:
        """Let open channels deliver nothing further; new ones work."""
        self.thread.call(self.listener.silence)

    def cut_off(self, cut_off: bool = True) -> None:
        """Be unreachable without a reset; open channels stay silent for good."""
        self.thread.call(lambda: self.listener.set_cut_off(cut_off))

    @property
    def open_connections(self) -> int:
        """Channels that are open."""
        return self.thread.call(lambda: len(self.listener.connections))

    # From here on in the loop's thread.

    def new_admission(self) -> Admission:
        """Return the empty slots of a new life."""
        return Admission(self.settings.slots, self.settings.queue)

    def cost_of(self, request: Request) -> int:
        """Return the memory that a request takes, in tokens."""
        return 0

    def own_call(self, request: Request) -> Answer | None:
        """Answer a call of the platform's own that needs no slot."""
        return None

    def refusal(self, request: Request) -> Answer | None:
        """Return why a request may not run here, beyond what all endpoints check."""
        return None

    async def work(self, job: "Job") -> RunEnd:
        """Run a request and answer it; return how that ended."""
        raise NotImplementedError

    async def live(self) -> None:
        """Begin a life with a new id."""
        if self.alive:
            return
        if self.listener.port:
            self.id = new_id()
        self.draining = False
        self.admission = self.new_admission()
        settings = self.settings
        self.listener.max_connections = settings.max_connections
        self.listener.idle_s = None if settings.idle is None else seconds(settings.idle)
        await self.listener.open()
        self.ended = asyncio.Event()
        self.alive = True
        self.on_life(self)

    def die(self) -> None:
        """End this life."""
        self.alive = False
        self.ended.set()
        if self.revival is not None:
            self.revival.cancel()
        now_s = self.now_s()
        for run in self.log.at_work():
            if run.instance == self.id:
                self.log.finish(run, RunEnd.CRASHED, now_s)
        self.listener.shut()

    def fall(self, down: timedelta | None) -> None:
        """Crash, and come back after some time if one is given."""
        self.die()
        self.on_life(self)
        if down is not None:
            # Not a task of the listener, whose tasks have just been ended.
            self.revival = asyncio.ensure_future(self._revive(seconds(down)))

    async def _revive(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.live()

    def now_s(self) -> float:
        """Return the loop's steady clock, in seconds."""
        return self.thread.loop.time()

    async def _serve(self, request: Request, connection: Connection) -> None:
        fault = self._fault_of(request)
        if isinstance(fault, Mute):
            await connection.gone.wait()
            return
        early = isinstance(fault, EarlyAnswer)
        if not early and not await connection.body_arrived(request):
            return
        answer = self.own_call(request)
        if answer is not None:
            connection.write(answer.encode())
            return
        job = Job(self, request, connection, fault)
        if isinstance(fault, Shed):
            job.refuse(shed_answer(fault))
            return
        await self._admit(job)

    def _fault_of(self, request: Request) -> Fault | None:
        if request.path.startswith("/-/") or request.path == self.settings.health_path:
            return None
        return self.script.take(request, request.header(REQUEST_ID))

    async def _admit(self, job: "Job") -> None:
        answer = self._refusal(job.request)
        if answer is not None:
            job.refuse(answer)
            return
        request = job.request
        priority = int(request.header(PRIORITY, str(USUAL_PRIORITY)))
        place = self.admission.offer(priority, self.cost_of(request))
        if place is None:
            job.refuse(not_run(HTTPStatus.SERVICE_UNAVAILABLE, self.id))
            return
        admission = self.admission
        try:
            await self._run_when_admitted(job, place)
        finally:
            admission.leave(place)

    async def _run_when_admitted(self, job: "Job", place: Place) -> None:
        waits = (place.admitted.wait(), job.connection.gone.wait())
        await whichever(*waits, timeout_s=job.left_s())
        if job.connection.gone.is_set():
            job.visited(None)
        elif not place.admitted.is_set():
            job.refuse(not_run(HTTPStatus.SERVICE_UNAVAILABLE, self.id))
        elif job.request.path == self.settings.health_path:
            job.connection.write(self._health().encode())
        else:
            await self._run(job)

    async def _run(self, job: "Job") -> None:
        answer = self.refusal(job.request)
        if answer is not None:
            job.refuse(answer)
            return
        job.visited(None)
        job.run = self.log.begin(
            job.request, self.id, self.settings.service, self.now_s()
        )
        end = RunEnd.CUT
        try:
            end = await self._work(job)
        finally:
            self.log.finish(job.run, end, self.now_s())

    async def _work(self, job: "Job") -> RunEnd:
        match job.fault:
            case CrashOnRun(down=down):
                self.fall(down)
                return RunEnd.CRASHED
            case Hang():
                await job.connection.gone.wait()
                return RunEnd.CANCELLED
            case OwnError(status=status):
                job.whole(Answer(status, b"own failure"))
                return RunEnd.DONE
            case EarlyAnswer(later=later):
                return await self._answer_early(job, later)
            case Slow(delay=delay):
                interrupted = await job.pause(seconds(delay))
                if interrupted is not None:
                    return interrupted
        return await self.work(job)

    async def _answer_early(self, job: "Job", later: timedelta) -> RunEnd:
        assert job.run is not None
        job.connection.transport.pause_reading()
        job.whole(Answer(HTTPStatus.OK, self.early_body(job)))
        await asyncio.sleep(seconds(later))
        if job.connection.transport.is_closing():
            return RunEnd.DONE
        job.connection.transport.resume_reading()
        await job.connection.body_arrived(job.request)
        job.run.body_digest = digest_of(bytes(job.request.body))
        return RunEnd.DONE

    def early_body(self, job: "Job") -> bytes:
        """Return the body of an answer that does not wait for the request's."""
        return f"early {job.request.header(REQUEST_ID)}".encode()

    def _refusal(self, request: Request) -> Answer | None:
        if request.path == self.settings.health_path:
            return None
        if not request.header(REQUEST_ID):
            return not_run(HTTPStatus.BAD_REQUEST, self.id)
        if request.header(EXPECT_INSTANCE, self.id) != self.id:
            return misdirected(self.id)
        return None

    def _health(self) -> Answer:
        good = self.healthy and not self.draining
        status = HTTPStatus.OK if good else HTTPStatus.SERVICE_UNAVAILABLE
        return Answer(status, b"", (Header(INSTANCE_ID, self.id),))


@dataclass(slots=True)
class Job:
    """One request at an endpoint, from its arrival to its answer."""

    endpoint: Endpoint
    request: Request
    connection: Connection
    fault: Fault | None
    run: Run | None = None
    arrived_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Note when it arrived."""
        self.arrived_s = self.endpoint.now_s()

    def left_s(self) -> float | None:
        """Return the seconds left to its deadline; None without one."""
        stated = self.request.header(DEADLINE_MS)
        if not stated:
            return None
        end_s = self.arrived_s + float(stated) / 1000.0
        return max(0.0, end_s - self.endpoint.now_s())

    def sending(self, more: tuple[Header, ...] = ()) -> Sending:
        """Begin the answer of its run, with the proof."""
        assert self.run is not None
        endpoint, settings = self.endpoint, self.endpoint.settings
        endpoint.answers += 1
        every = settings.close_every
        closing = endpoint.draining or bool(every and endpoint.answers % every == 0)
        headers = [
            Header(REQUEST_ID, self.run.request_id),
            Header(SEAL, seal_of(self.run)),
            *more,
        ]
        if settings.keep_alive_s is not None:
            headers.append(Header("Keep-Alive", f"timeout={settings.keep_alive_s}"))
        return Sending(self.connection, self.fault, tuple(headers), closing)

    def whole(self, answer: Answer) -> None:
        """Write the whole answer of its run."""
        self.sending().whole(answer)

    def refuse(self, answer: Answer) -> None:
        """Write an answer that says that it has not run."""
        self.visited(answer.status)
        echo = Header(REQUEST_ID, self.request.header(REQUEST_ID))
        headers = [*answer.headers, echo]
        if self.endpoint.draining:
            headers.append(CLOSE)
        wire = Answer(answer.status, answer.body, tuple(headers))
        self.connection.write(wire.encode())
        if self.endpoint.draining:
            self.connection.close()

    def visited(self, status: int | None) -> None:
        """Record its arrival and what became of it."""
        if self.request.path != self.endpoint.settings.health_path:
            request_id = self.request.header(REQUEST_ID)
            service = self.endpoint.settings.service
            self.endpoint.log.visit(
                Visit(self.endpoint.id, service, request_id, status)
            )

    async def pause(self, pause_s: float) -> RunEnd | None:
        """Work for some seconds; return what broke it off, if anything did."""
        return await self.until(asyncio.sleep(pause_s))

    async def until(self, wait: Coroutine[Any, Any, object]) -> RunEnd | None:
        """Wait for a step of the work; return what broke it off, if anything did."""
        done = await whichever(
            wait, self.connection.gone.wait(), timeout_s=self.left_s()
        )
        if self.connection.gone.is_set():
            return RunEnd.CANCELLED
        return None if done else RunEnd.EXPIRED


def seconds(span: timedelta) -> float:
    """Return a span in seconds."""
    return span.total_seconds()


def new_id() -> str:
    """Return the id of a new life."""
    return f"i-{token_hex(ID_BYTES)}"


def ignore_life(endpoint: Endpoint) -> None:
    """Nobody wants to hear that a life began or ended."""


def seal_of(run: Run) -> str:
    """Return the proof that an answer belongs to a run."""
    return f"{run.instance}.{run.number}.{run.body_digest[:SEAL_DIGITS]}"


def not_run(status: int, at_server: str) -> Answer:
    """Return an answer that says that the request has not run."""
    return Answer(status, b"", (Header(NOT_RUN, "1"), Header(AT_SERVER, at_server)))


def misdirected(instance: str) -> Answer:
    """Return the answer of an endpoint that is not the one expected."""
    headers = (
        Header(INSTANCE_ID, instance),
        Header(AT_SERVER, instance),
        Header(NOT_RUN, "1"),
    )
    return Answer(HTTPStatus.MISDIRECTED_REQUEST, b"", headers)


def shed_answer(fault: Shed) -> Answer:
    """Return the answer of an endpoint that sheds a request."""
    headers: tuple[Header, ...] = (Header(NOT_RUN, "1"),)
    if fault.retry_after is not None:
        headers = (*headers, Header(RETRY_AFTER, f"{seconds(fault.retry_after):g}"))
    return Answer(fault.status, b"", headers)
