"""A model engine: event streams, resuming, memory that is set aside, and helpers."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgspec

from .admission import Admission
from .background import LoopThread
from .endpoint import Endpoint
from .endpoint_settings import EndpointSettings
from .http import Answer, Header, Request, whichever
from .job import Job
from .refusals import misdirected, not_run
from .reservations import Reservations, Ticket
from .runs import Run, RunEnd, RunLog, digest_of
from .sending import Sending
from .words import (
    EXPECT_VERSION,
    HELPERS,
    LAST_EVENT_ID,
    ORDER_PATH,
    REPORT_PATH,
    TOKEN_USAGE,
    WEIGHT_VERSIONS,
)

TEXT_DIGITS = 16
MAX_HELPERS = 16
EXPIRY_SLACK_S = 0.001


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """How an engine writes, and what fits into it.

    Attributes
    ----------
    memory : int
        Tokens that fit.
    events : int
        Length of an answer whose request does not say how many tokens it wants.
    tokens_per_event : int
        Tokens in one event.
    gap : timedelta
        Pause between events; the endpoint's `speed` divides it.
    model : str
        The model that is loaded.
    hold_max : timedelta
        Longest time for which memory is set aside at once.
    stall : timedelta
        Work whose helper is gone stalls for so long before it is broken off.
    """

    memory: int = 400_000
    events: int = 4
    tokens_per_event: int = 20
    gap: timedelta = timedelta(0)
    model: str = "m"
    hold_max: timedelta = timedelta(seconds=20)
    stall: timedelta = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of a prompt, and at most of its answer."""

    prompt: int = 0
    answer: int = 0


@dataclass(frozen=True, slots=True)
class HelperEntry:
    """A helper that a request names, and the ticket there if it names one."""

    address: str
    ticket: str = ""


@dataclass(slots=True)
class HeldTicket:
    """A ticket, and the engine at which it is."""

    engine: "Engine"
    ticket: Ticket


@dataclass(slots=True)
class Fellows:
    """The helpers of one request."""

    engines: list["Engine"] = field(default_factory=list)
    held: list[HeldTicket] = field(default_factory=list)
    lives: list[asyncio.Event] = field(default_factory=list)
    ids: list[str] = field(default_factory=list)

    @property
    def losses(self) -> list[asyncio.Event]:
        """Events of which each one takes away what the request relies on."""
        return [*self.lives, *(each.ticket.lost for each in self.held)]

    def helper_lost(self) -> bool:
        """Say whether the life of a helper has ended."""
        return any(life.is_set() for life in self.lives)

    def lost_helper(self) -> str:
        """Return the id of the first helper whose life has ended."""
        return next(
            name
            for name, life in zip(self.ids, self.lives, strict=True)
            if life.is_set()
        )

    def enter(self) -> None:
        """Take their help and tickets, for as long as these lives last."""
        self.lives = [engine.ended for engine in self.engines]
        self.ids = [engine.id for engine in self.engines]
        for engine in self.engines:
            engine.helping += 1
        for each in self.held:
            each.engine.reservations.use(each.ticket)

    def leave(self) -> None:
        """Give their help and tickets back."""
        for engine in self.engines:
            engine.helping -= 1
        for each in self.held:
            each.engine.reservations.unuse(each.ticket)


class Engine(Endpoint):
    """Answers each request with events that depend on the request alone.

    Parameters
    ----------
    neighbours : dict of str to Engine
        All engines of the deployment by their address, to find helpers.
    """

    def __init__(
        self,
        thread: LoopThread,
        settings: EndpointSettings,
        log: RunLog,
        figures: EngineFigures | None = None,
        neighbours: "dict[str, Engine] | None" = None,
    ) -> None:
        self.figures = EngineFigures() if figures is None else figures
        super().__init__(thread, settings, log)
        self.neighbours = {} if neighbours is None else neighbours
        self.weights = 1
        self.helping = 0

    def set_weights(self, version: int) -> None:
        """Change the version of the weights, also amid streams."""
        self.thread.call(lambda: setattr(self, "weights", version))

    def shared_tickets(self) -> list[str]:
        """Return the tickets that two requests used at the same time."""
        return self.thread.call(lambda: list(self.reservations.shared))

    # From here on in the loop's thread.

    def new_admission(self) -> Admission:
        """Return the empty slots and memory of a new life."""
        settings = self.settings
        admission = Admission(settings.slots, settings.queue, self.figures.memory)
        self.reservations = Reservations(admission)
        self.helping = 0
        return admission

    def cost_of(self, request: Request) -> int:
        """Return the tokens that its tickets don't hold, all taken at the start."""
        usage = usage_of(request)
        held = sum(each.ticket.tokens for each in self._fellows(request).held)
        return max(0, usage.prompt + usage.answer - held)

    def own_call(self, request: Request) -> Answer | None:
        """Answer the report and orders."""
        if request.path == REPORT_PATH:
            return Answer.json(HTTPStatus.OK, self._report())
        if request.path == ORDER_PATH and request.method == "POST":
            return self._order(bytes(request.body))
        return None

    def refusal(self, request: Request) -> Answer | None:
        """Refuse other weights, and helpers that can't help."""
        expected = request.header(EXPECT_VERSION, str(self.weights))
        if expected != str(self.weights):
            return misdirected(self.id)
        for entry in helpers_of(request):
            engine = self.neighbours.get(entry.address)
            if engine is None or not engine.helps(entry, self):
                at_server = entry.address if engine is None else engine.id
                return not_run(HTTPStatus.SERVICE_UNAVAILABLE, at_server)
        return None

    def helps(self, entry: HelperEntry, asking: "Engine") -> bool:
        """Say whether it is there and can take a part of a prompt."""
        if not self.alive or self.draining and self is not asking:
            return False
        if entry.ticket and self._granted(entry.ticket) is None:
            return False
        return self is asking or self.helping < self.settings.slots

    async def work(self, job: Job) -> RunEnd:
        """Read the prompt and write the events that are still due."""
        fellows = self._fellows(job.request)
        fellows.enter()
        try:
            return await self._stream(job, fellows)
        finally:
            fellows.leave()

    async def _stream(self, job: Job, fellows: Fellows) -> RunEnd:
        assert job.run is not None
        settings = self.settings
        sending: Sending | None = None
        weights = self.weights
        digest = job.run.body_digest
        first = int(job.request.header(LAST_EVENT_ID, "0")) + 1
        span_s = settings.work.total_seconds() / settings.speed
        for number in range(first, self.event_count(job.request) + 1):
            broken_off = await self._step(job, fellows, span_s)
            if broken_off is not None:
                return self._break_off(job, fellows, sending, broken_off)
            span_s = self.figures.gap.total_seconds() / settings.speed
            if sending is None:
                sending = self._begin(job)
            changed = self.weights if self.weights != weights else None
            weights = self.weights
            if not sending.event(event_of(job.run, digest, number, changed)):
                return RunEnd.CUT
        (sending or self._begin(job)).end()
        return RunEnd.DONE

    def event_count(self, request: Request) -> int:
        """Return how many events the whole answer to a request has."""
        tokens, each = usage_of(request).answer, self.figures.tokens_per_event
        return -(-tokens // each) if tokens else self.figures.events

    async def _step(self, job: Job, fellows: Fellows, span_s: float) -> RunEnd | None:
        async def step() -> None:
            await self.gate.passed()
            await asyncio.sleep(span_s)

        losses = fellows.losses
        if not losses:
            return await job.until(step())
        waits = (event.wait() for event in losses)
        broken_off = await job.until(whichever(step(), *waits))
        if broken_off is None and fellows.helper_lost():
            broken_off = await job.pause(self.figures.stall.total_seconds())
        if broken_off is None and any(event.is_set() for event in losses):
            return RunEnd.CUT
        return broken_off

    def _begin(self, job: Job) -> Sending:
        sending = job.sending((Header(WEIGHT_VERSIONS, str(self.weights)),))
        sending.begin(HTTPStatus.OK)
        return sending

    def _break_off(
        self, job: Job, fellows: Fellows, sending: Sending | None, end: RunEnd
    ) -> RunEnd:
        if sending is not None:
            job.connection.reset()
        elif end is RunEnd.EXPIRED:
            job.whole(Answer(HTTPStatus.GATEWAY_TIMEOUT))
        elif end is RunEnd.CUT and fellows.helper_lost():
            at_fault = fellows.lost_helper()
            job.refuse(not_run(HTTPStatus.SERVICE_UNAVAILABLE, at_fault))
            return RunEnd.NOT_BEGUN
        elif end is RunEnd.CUT:
            job.connection.reset()
        return end

    def _fellows(self, request: Request) -> Fellows:
        fellows = Fellows()
        for entry in helpers_of(request):
            engine = self.neighbours.get(entry.address)
            if engine is None:
                continue
            if engine is not self:
                fellows.engines.append(engine)
            ticket = engine._granted(entry.ticket)
            if ticket is not None:
                fellows.held.append(HeldTicket(engine, ticket))
        return fellows

    def _granted(self, name: str) -> Ticket | None:
        ticket = self.reservations.tickets.get(name)
        return ticket if ticket is not None and ticket.granted else None

    def _report(self) -> dict[str, Any]:
        admission = self.admission
        return {
            "stage": "both",
            "models": self.models(),
            "busy": False,
            "seq": 0,
            "waiting": len(admission.waiting),
            "running": len(admission.running),
            "kv-used": admission.used,
            "kv-total": self.figures.memory,
            "handles": 0,
            "pace": 1.0,
            "tickets": self.reservations.report(self.now_s()),
        }

    def models(self) -> list[dict[str, Any]]:
        """Return the loaded models as the list of endpoints has them."""
        model = self.figures.model
        return [{"name": model, "version": self.weights, "adapters": []}]

    def _order(self, body: bytes) -> Answer:
        try:
            order = msgspec.json.decode(body)
            match order["op"]:
                case "reserve":
                    return self._reserve(order)
                case "release":
                    self.reservations.release(str(order["id"]))
                    return self._order_answer(HTTPStatus.OK)
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            pass
        return self._order_answer(HTTPStatus.BAD_REQUEST)

    def _reserve(self, order: dict[str, Any]) -> Answer:
        longest_s = self.figures.hold_max.total_seconds()
        hold_s = min(float(order["hold-ms"]) / 1000.0, longest_s)
        wait = bool(order.get("wait", False))
        now_s = self.now_s()
        status = self.reservations.reserve(
            str(order["id"]), int(order["tokens"]), hold_s, wait, now_s
        )
        self.thread.loop.call_later(hold_s + EXPIRY_SLACK_S, self._expire)
        return self._order_answer(status)

    def _expire(self) -> None:
        self.reservations.expire(self.now_s())

    def _order_answer(self, status: int) -> Answer:
        return Answer.json(status, {"free": self.reservations.free})


def usage_of(request: Request) -> Usage:
    """Return the sizes that a request states; none stated are 0."""
    prompt, _, answer = request.header(TOKEN_USAGE).partition(",")
    return Usage(int(prompt or 0), int(answer or 0))


def helpers_of(request: Request) -> list[HelperEntry]:
    """Return the helpers that a request names, at most `MAX_HELPERS`."""
    named = [each.strip() for each in request.header(HELPERS).split(",")]
    entries = [each.partition("/") for each in named if each]
    found = [HelperEntry(address, ticket) for address, _, ticket in entries]
    return found[:MAX_HELPERS]


def text_of(body_digest: str, number: int) -> str:
    """Return the text of an event, the same at whichever engine it is made."""
    return digest_of(f"{body_digest}/{number}".encode())[:TEXT_DIGITS]


def expected_texts(body: bytes, events: int, after: int = 0) -> list[str]:
    """Return the texts of the events that follow `after`."""
    digest = digest_of(body)
    return [text_of(digest, number) for number in range(after + 1, events + 1)]


def event_of(run: Run, digest: str, number: int, weights: int | None) -> bytes:
    """Return the bytes of an event; its data names the run and the text.

    Parameters
    ----------
    weights : int or None
        The new version of the weights, at the event at which it changes.
    """
    line = "" if weights is None else f"{WEIGHT_VERSIONS.lower()}: {weights}\n"
    data = f"{run.instance}/{run.number} {text_of(digest, number)}"
    return f"{line}id: {number}\ndata: {data}\n\n".encode()
