"""The engine stand-in: the engine's calls on HTTP, and its faults."""

from functools import singledispatchmethod
from http import HTTPStatus

from ...clock import Clock
from ..base import Standin
from ..errors import BadRequestError
from ..faults import CrashOnPrompt, Fault, Refuse, ResetStreams, Slow
from ..http import Call, Exchange, HttpAnswer, Router
from ..http.messages import error_answer
from ..refusals import Refusal, RefusalReason, RefusedError, refusal_answer
from .core import EngineCore
from .memory import HoldingKey
from .messages import (
    CancelAnswer,
    HoldingKind,
    ImportStart,
    Order,
    OrderAnswer,
    ReservationStart,
    StreamEntry,
    StreamStart,
)
from .puller import ImportPulled, KvPuller
from .readers import EventWriter
from .settings import EngineSettings
from .streams import Stream


class EngineStandin(Standin):
    """A model engine on HTTP.

    Parameters
    ----------
    settings : EngineSettings
        How the engine behaves.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self.settings = settings
        self.refusals: list[RefusalReason] = []
        self.crash_markers: list[CrashOnPrompt] = []
        self.slow_calls = 0
        super().__init__(clock, f"engine-standin-{settings.endpoint}")
        self.puller = KvPuller(self.loop.send, settings.endpoint)
        self.core = self._new_core(incarnation=1)

    def add_routes(self, router: Router) -> None:
        """Add the routes of this system."""
        router.add("POST", "/v1/streams", self._start_stream)
        router.add("GET", "/v1/streams/{stream_id}", self._attach)
        router.add("DELETE", "/v1/streams/{stream_id}", self._cancel)
        router.add("GET", "/v1/holdings", self._list_holdings)
        router.add("DELETE", "/v1/holdings/{kind}/{id}", self._free_holding)
        router.add("POST", "/v1/reservations", self._reserve)
        router.add("POST", "/v1/kv/imports", self._import_kv)
        router.add("GET", "/v1/kv/exports/{handle}", self._get_export)
        router.add("GET", "/v1/kv/exports/{handle}/content", self._get_content)
        router.add("GET", "/v1/load", self._get_load)
        router.add("GET", "/v1/cache-events", self._get_cache_events)
        router.add("GET", "/v1/cache-snapshot", self._get_cache_snapshot)
        router.add("POST", "/v1/orders", self._take_order)
        router.add("GET", "/v1/state", self._get_state)

    @property
    def incarnation(self) -> int:
        """Which life of the engine this is; any task may ask."""
        return self.core.incarnation

    def stop(self) -> None:
        """Close everything; harmless when repeated."""
        super().stop()
        self.puller.stop()

    def receive(self, message: object) -> None:
        """Take a message from another task."""
        if isinstance(message, ImportPulled):
            self._import_pulled(message)
        else:
            super().receive(message)

    def advance(self, now_s: float) -> float | None:
        """Do what is due and say when something is due next."""
        due_s = self.core.advance(now_s)
        if self.core.crash_is_due:
            self.loop.go_down(self._down_s(), self.restarted)
            self.crashed()
            due_s = now_s
        return due_s

    # Faults.

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        super().apply_fault(fault)

    @apply_fault.register
    def _(self, fault: Refuse) -> None:
        self.refusals = [RefusalReason.read(fault.reason)] * fault.count

    @apply_fault.register
    def _(self, fault: CrashOnPrompt) -> None:
        self.crash_markers.append(fault)
        self._arm(self.core)

    @apply_fault.register
    def _(self, fault: ResetStreams) -> None:
        for stream in self.core.running():
            for reader in list(stream.readers):
                if isinstance(reader, EventWriter):
                    reader.exchange.reset()

    @apply_fault.register
    def _(self, fault: Slow) -> None:
        self.slow_calls += 1
        call = self.slow_calls
        now_s = self.loop.now_s()
        self.core.batch.set_slow_factor(fault.factor, now_s)

        def end() -> None:
            # A later fault of this kind sets its own end.
            if call == self.slow_calls:
                self.core.batch.set_slow_factor(1.0, self.loop.now_s())

        self.loop.call_at(now_s + fault.seconds, end)

    def clear_faults(self) -> None:
        """End the faults that last."""
        super().clear_faults()
        self.refusals = []
        self.crash_markers = []
        self._arm(self.core)
        self.core.batch.set_slow_factor(1.0, self.loop.now_s())

    def crashed(self) -> None:
        """Forget what a crash takes away."""
        for stream in self.core.running():
            self._record(stream, "crashed", "")
        self.core = self._new_core(self.core.incarnation + 1)

    def _new_core(self, incarnation: int) -> EngineCore:
        core = EngineCore(self.settings, incarnation, self.loop.now_s(), self._record)
        self._arm(core)
        return core

    def _arm(self, core: EngineCore) -> None:
        markers = tuple(fault.marker for fault in self.crash_markers)
        core.maker.crash_markers = markers

    def _down_s(self) -> float:
        return max((fault.down_s for fault in self.crash_markers), default=0.0)

    def _record(self, stream: Stream, event: str, detail: str) -> None:
        self.journal.add(
            StreamEntry(
                stream_id=stream.id,
                attempt=stream.attempt,
                event=event,
                at_s=self.journal.at_s(),
                incarnation=self.core.incarnation,
                owner=stream.owner.instance,
                prompt_digest=stream.digest.hex(),
                detail=detail,
            )
        )

    # Streams.

    def _start_stream(self, call: Call) -> HttpAnswer | None:
        start = call.request.decode(StreamStart)
        try:
            self._refuse_on_demand(start)
            stream = self.core.start(start, self.loop.now_s())
        except RefusedError as error:
            self._record_refusal(start, error.refusal)
            raise
        self._show(stream, call.exchange, start.attempt, start.offset)
        return None

    def _attach(self, call: Call) -> HttpAnswer | None:
        stream = self.core.streams.get(call.values["stream_id"])
        if stream is None:
            return error_answer(HTTPStatus.NOT_FOUND, "no such stream")
        offset = call.request.number("offset", 0)
        attempt = call.request.number("attempt", stream.attempt)
        self._show(stream, call.exchange, attempt, offset)
        return None

    def _cancel(self, call: Call) -> HttpAnswer:
        ran = self.core.cancel(call.values["stream_id"], self.loop.now_s())
        return HttpAnswer.json(CancelAnswer(ran))

    def _show(
        self, stream: Stream, exchange: Exchange, attempt: int, offset: int
    ) -> None:
        exchange.start_events()
        EventWriter(stream, exchange, attempt, offset).attach()

    def _refuse_on_demand(self, start: StreamStart) -> None:
        if self.refusals and start.stream_id not in self.core.streams:
            raise RefusedError(self.refusals.pop(), "as a fault wants it")

    def _record_refusal(self, start: StreamStart, refusal: Refusal) -> None:
        self.journal.add(
            StreamEntry(
                stream_id=start.stream_id,
                attempt=start.attempt,
                event="refused",
                at_s=self.journal.at_s(),
                incarnation=self.core.incarnation,
                owner=start.owner.instance,
                prompt_digest="",
                detail=refusal.refused.value,
            )
        )

    # Holdings.

    def _list_holdings(self, call: Call) -> HttpAnswer:
        owner = call.request.query.get("owner")
        return HttpAnswer.json(self.core.list_holdings(owner, self.loop.now_s()))

    def _free_holding(self, call: Call) -> HttpAnswer:
        try:
            kind = HoldingKind(call.values["kind"])
        except ValueError as error:
            raise BadRequestError(str(error)) from error
        key = HoldingKey(kind, call.values["id"])
        if not self.core.free(key, self.loop.now_s()):
            return error_answer(HTTPStatus.NOT_FOUND, "no such holding")
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _reserve(self, call: Call) -> HttpAnswer:
        start = call.request.decode(ReservationStart)
        self.core.reserve(start, self.loop.now_s())
        return HttpAnswer(HTTPStatus.CREATED)

    def _import_kv(self, call: Call) -> HttpAnswer | None:
        start = call.request.decode(ImportStart)
        self.puller.pull(start, call.exchange, self.core.incarnation)
        return None

    def _import_pulled(self, pulled: ImportPulled) -> None:
        if pulled.incarnation != self.core.incarnation:
            # The engine crashed meanwhile, and the caller's connection with it.
            return
        exchange = pulled.exchange
        if pulled.content is None:
            exchange.answer(error_answer(HTTPStatus.BAD_GATEWAY, pulled.detail))
            return
        try:
            self.core.import_kv(pulled.start, pulled.content, self.loop.now_s())
        except RefusedError as error:
            exchange.answer(refusal_answer(error.refusal))
        else:
            exchange.answer(HttpAnswer(HTTPStatus.CREATED))

    def _get_export(self, call: Call) -> HttpAnswer:
        export = self.core.holdings.describe_export(call.values["handle"])
        if export is None:
            return error_answer(HTTPStatus.NOT_FOUND, "no such export")
        return HttpAnswer.json(export)

    def _get_content(self, call: Call) -> HttpAnswer:
        content = self.core.holdings.export_content(call.values["handle"])
        if content is None:
            return error_answer(HTTPStatus.NOT_FOUND, "no such export")
        return HttpAnswer.json(content)

    # Reports and orders.

    def _get_load(self, call: Call) -> HttpAnswer:
        return HttpAnswer.json(self.core.load(self.loop.now_s()))

    def _get_cache_events(self, call: Call) -> HttpAnswer:
        after = call.request.number("after", 0)
        return HttpAnswer.json(self.core.cache_events(after, self.loop.now_s()))

    def _get_cache_snapshot(self, call: Call) -> HttpAnswer:
        return HttpAnswer.json(self.core.cache_snapshot())

    def _take_order(self, call: Call) -> HttpAnswer:
        order = call.request.decode(Order)
        self.core.take_order(order, self.loop.now_s())
        return HttpAnswer.json(OrderAnswer())

    def _get_state(self, call: Call) -> HttpAnswer:
        return HttpAnswer.json(self.core.describe(self.loop.now_s()))
