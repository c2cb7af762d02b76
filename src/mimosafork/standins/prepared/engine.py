"""A model engine: event streams, resuming, memory that is set aside, and helpers."""

import asyncio
from http import HTTPStatus
from typing import Any

import msgspec

from .admission import Admission
from .background import LoopThread
from .endpoint import Endpoint
from .endpoint_settings import EndpointSettings
from .engine_figures import EngineFigures
from .faults import CrashOnAnswer, WrittenIds
from .helping import Fellows, HeldTicket, HelperEntry, helpers_of
from .http import Answer, Header, Request, whichever
from .job import Job
from .refusals import misdirected, not_run
from .reservations import Reservations
from .runs import RunEnd, RunLog
from .sending import Sending
from .stream_events import event_of, usage_of
from .words import (
    EXPECT_VERSION,
    LAST_EVENT_ID,
    ORDER_PATH,
    REPORT_PATH,
    WEIGHT_VERSIONS,
)

EXPIRY_SLACK_S = 0.001


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
        if entry.ticket and self.reservations.granted(entry.ticket) is None:
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
        first = first_event(job)
        span_s = settings.work.total_seconds() / settings.speed
        for number in range(first, self.event_count(job.request) + 1):
            broken_off = await self._step(job, fellows, span_s)
            if broken_off is not None:
                return self._break_off(job, fellows, sending, broken_off)
            span_s = self.figures.gap.total_seconds() / settings.speed
            if sending is None:
                sending = self._begin(job)
                if isinstance(job.fault, CrashOnAnswer):
                    return await self._crash_on_answer(job, job.fault)
            changed = self.weights if self.weights != weights else None
            weights = self.weights
            if not sending.event(event_of(job.run, digest, number, changed)):
                return RunEnd.CUT
        (sending or self._begin(job)).end()
        return RunEnd.DONE

    async def _crash_on_answer(self, job: Job, fault: CrashOnAnswer) -> RunEnd:
        broken_off = await job.pause(fault.delay.total_seconds())
        if broken_off is not None:
            return broken_off
        self.fall(fault.down)
        return RunEnd.CRASHED

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
            ticket = engine.reservations.granted(entry.ticket)
            if ticket is not None:
                fellows.held.append(HeldTicket(engine, ticket))
        return fellows

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


def first_event(job: Job) -> int:
    """Return the number of the first event that a request asks for."""
    ids = job.fault if isinstance(job.fault, WrittenIds) else WrittenIds()
    return ids.first(job.request.header(LAST_EVENT_ID))
