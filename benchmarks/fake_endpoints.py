"""The fake endpoints' side of a simulation: what goes over the network."""

from __future__ import annotations

from datetime import timedelta
from itertools import count
from math import exp
from random import Random
from typing import TYPE_CHECKING

from mimosafork.ids import EndpointId, Incarnation, ModelId, StreamId
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
    Usage,
)
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.fleet import EndpointKind, LoadReport, LoadReported
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ImportFailed,
    ImportKv,
    KvImported,
    MemoryReserved,
    PrefillSegment,
    ReservationFailed,
    ReserveMemory,
    SegmentFailed,
    SegmentPrefilled,
)
from mimosafork.kernel.messages.recovery import HoldingKind

from .fake_engine import FakeEngine, Stream, export_name
from .workload import Call

if TYPE_CHECKING:
    from .simulation import Instance, Simulation

SERVICE_WORKERS = 8
SERVICE_MEDIAN_S = 0.02


def _ignore(stream: Stream) -> None:
    """Take no notice of a first token that nobody waits for."""


class EngineEndpoint:
    """A fake engine at its place in the network."""

    kind = EndpointKind.MODEL_ENGINE

    def __init__(
        self, simulation: Simulation, name: EndpointId, zone: str, number: int
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.engine = FakeEngine(simulation.loop, simulation.deployment.engine)
        self.sequence = count(1)
        self.number = number

    def receive(self, effect: Dispatch, call: Call, instance: Instance) -> None:
        """Take an attempt, or refuse it."""

        def first_token(stream: Stream) -> None:
            pause_s = self.simulation.one_way_s(instance, self.zone)
            to_caller_s = pause_s + self.simulation.deployment.client_s
            if call.first_token_s is None:
                call.first_token_s = self.simulation.loop.now_s + to_caller_s
            self._answer(instance, FirstToken(effect.request_id, effect.attempt))

        def end(stream: Stream) -> None:
            usage = Usage(stream.prompt_tokens, stream.cached, stream.max_tokens)
            message = AttemptFinished(effect.request_id, effect.attempt, usage)
            self._answer(instance, message)

        stream = Stream(
            stream_id=effect.stream_id,
            prompt_tokens=call.prompt_tokens - effect.imported_tokens,
            max_tokens=call.max_tokens,
            priority=effect.priority,
            on_first_token=first_token,
            on_end=end,
            marks=() if effect.imported_tokens else call.marks,
            prior_tokens=effect.imported_tokens,
            reservation=effect.reservation,
            imports=effect.imports,
        )
        if not self.engine.start(stream):
            refusal = AttemptFailed(
                effect.request_id,
                effect.attempt,
                FailureKind.REFUSED,
                Exposure.REFUSED,
                refusal="memory",
            )
            self._answer(instance, refusal)

    def reserve(self, effect: ReserveMemory, instance: Instance) -> None:
        """Set memory aside, or refuse."""
        ttl_s = effect.time_to_live.total_seconds()
        if self.engine.reserve(effect.reservation, effect.tokens, ttl_s):
            reserved = MemoryReserved(effect.request_id, effect.reservation)
            self._answer(instance, reserved)
            return
        failure = GangStepFailure.NO_MEMORY
        failed = ReservationFailed(effect.request_id, effect.reservation, failure)
        self._answer(instance, failed)

    def prefill(self, effect: PrefillSegment, instance: Instance) -> None:
        """Prefill a part of a prompt and keep its KV."""

        def end(stream: Stream) -> None:
            message = SegmentPrefilled(
                effect.request_id,
                effect.stream_id,
                self.name,
                effect.address,
                export_name(stream),
            )
            self._answer(instance, message)

        stream = Stream(
            stream_id=effect.stream_id,
            prompt_tokens=effect.tokens,
            max_tokens=1,
            priority=effect.priority,
            on_first_token=_ignore,
            on_end=end,
            prior_tokens=effect.first,
            reservation=effect.reservation,
            imports=effect.imports,
            export=True,
        )
        if not self.engine.start(stream):
            refused = SegmentFailed(
                effect.request_id,
                effect.stream_id,
                GangStepFailure.NO_MEMORY,
                Exposure.REFUSED,
            )
            self._answer(instance, refused)

    def import_kv(self, effect: ImportKv, instance: Instance) -> None:
        """Take over another engine's export."""
        source = self.simulation.engine_at(effect.source).engine
        export = source.exports.get(effect.handle)
        ttl_s = effect.time_to_live.total_seconds()
        if export and self.engine.import_kv(effect.import_id, export, ttl_s):
            self._answer(instance, KvImported(effect.request_id, effect.import_id))
            return
        failure = GangStepFailure.NO_MEMORY
        self._answer(
            instance, ImportFailed(effect.request_id, effect.import_id, failure)
        )

    def free(self, effect: FreeOwnHolding) -> None:
        """Free a holding or cancel a stream."""
        if effect.kind is HoldingKind.STREAM:
            self.engine.cancel(effect.holding_id)
        else:
            self.engine.release(effect.holding_id)

    def cancel(self, stream_id: StreamId) -> None:
        """Stop a stream."""
        self.engine.cancel(stream_id)

    def load_report(self, lag: timedelta) -> LoadReported:
        """Return what the engine reports of itself, to be delivered after `lag`."""
        engine = self.engine
        report = LoadReport(
            endpoint=self.name,
            incarnation=Incarnation(1),
            sequence=next(self.sequence),
            lag=lag,
            running=len(engine.streams) - engine.waiting_count,
            waiting=engine.waiting_count,
            waiting_prefill_tokens=engine.pending_prefill,
            kv_used=engine.kv_used,
            kv_capacity=engine.model.kv_capacity,
            prefill_rate=engine.model.prefill_rate,
            models=(ModelId("reader"),),
            draining=False,
        )
        return LoadReported(report)

    def _answer(self, instance: Instance, message: Message) -> None:
        pause_s = self.simulation.one_way_s(instance, self.zone)
        self.simulation.tell_later(pause_s, instance, message)


class ServiceEndpoint:
    """A plain service: a few workers and a queue."""

    kind = EndpointKind.PLAIN_SERVICE

    def __init__(
        self, simulation: Simulation, name: EndpointId, zone: str, seed: int
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.random = Random(seed)
        self.free_at_s = [0.0] * SERVICE_WORKERS

    def receive(self, effect: Dispatch, call: Call, instance: Instance) -> None:
        """Serve a call when a worker is free."""
        loop = self.simulation.loop
        worker = min(range(SERVICE_WORKERS), key=self.free_at_s.__getitem__)
        taken_s = SERVICE_MEDIAN_S * exp(self.random.gauss(0, 0.5))
        end_s = max(loop.now_s, self.free_at_s[worker]) + taken_s
        self.free_at_s[worker] = end_s
        back_s = self.simulation.one_way_s(instance, self.zone)
        call.first_token_s = end_s + back_s + self.simulation.deployment.client_s
        first = FirstToken(effect.request_id, effect.attempt)
        loop.at(end_s + back_s, self.simulation.tell, instance, first)
        finished = AttemptFinished(effect.request_id, effect.attempt)
        loop.at(end_s + back_s, self.simulation.tell, instance, finished)

    def cancel(self, stream_id: StreamId) -> None:
        """Do nothing: a plain service goes on with what it has begun."""
