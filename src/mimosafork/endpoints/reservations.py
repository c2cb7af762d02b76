"""Memory reservations, prefills of prompt parts and KV imports of gangs, over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any
from urllib.parse import quote

import msgspec

from ..clock import Clock
from ..kernel.context import InstanceIdentity
from ..kernel.messages.attempts import Exposure
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.placement import (
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
from ..network.decoding import UNDECODABLE
from ..network.errors import NetworkError, NeverSentError
from ..network.http import Answer, HttpClient
from ..runtime.kernel_task import KernelTask
from .calls import EndpointCall, ModelCall
from .connector import WorkerPool
from .segments import prompt_part
from .wire import STREAMS_PATH, OwnerMember, StreamMember, milliseconds, stream_path

STEP_THREADS = 4
PREFILL_THREADS = 4
"""Concurrent prefills of this instance for gangs; each takes an engine many seconds, so
the limit bounds the load that a small entry instance can cause."""

STEP_TIMEOUT = timedelta(seconds=2)
IMPORT_TIMEOUT = timedelta(seconds=10)
REATTACH_ATTEMPTS = 2
"""Attempts to reattach to a prefill whose connection broke: it continues to run, and
without its handle its export can't be freed before the deadline."""

CREATED = 201
OK = 200
REFUSALS = frozenset({409, 429, 503})
NO_MEMORY = "memory"
COMPLETE_FINISHES = frozenset({"length", "stop"})
EVENT_PREFIX = b"data: "


class RefusalMember(msgspec.Struct):
    """An engine's refusal."""

    refused: str = ""


class LastEventMember(msgspec.Struct):
    """The event that ends a stream; others have no `finish`."""

    finish: str | None = None
    kv_handle: str | None = None


class ReservationAdapter:
    """Executes the steps of gangs in threads of its own.

    Parameters
    ----------
    identity : InstanceIdentity
        Owner of all holdings.
    http : HttpClient
    clock : Clock
    send_to_kernel : Callable
        Takes messages for the kernel; never blocks.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        http: HttpClient,
        clock: Clock,
        send_to_kernel: Callable[[Message], None],
    ) -> None:
        self.identity = identity
        self.http = http
        self.clock = clock
        self.send_to_kernel = send_to_kernel
        self.steps = WorkerPool("gang-step", STEP_THREADS)
        self.prefills = WorkerPool("gang-prefill", PREFILL_THREADS)

    def register(self, kernel_task: KernelTask) -> None:
        """Register for all steps but the prefill, which comes with its prompt."""
        for effect in (ReserveMemory, ImportKv, FreeOwnHolding):
            kernel_task.register(effect, self._queue)

    def start(self) -> None:
        """Start the threads."""
        self.steps.start()
        self.prefills.start()

    def stop(self) -> None:
        """Stop the threads; remaining holdings expire at the engines."""
        self.steps.stop(STEP_TIMEOUT)
        self.prefills.stop(timedelta(0))

    def _queue(self, effect: Effect) -> None:
        self.steps.put(lambda: self.execute(effect))

    def prefill(self, effect: PrefillSegment, call: EndpointCall) -> None:
        """Queue the prefill of a part of a call's prompt."""
        self.prefills.put(lambda: self._prefill(effect, call))

    @singledispatchmethod
    def execute(self, effect: Effect) -> None:
        """Make the call and send its result to the kernel."""
        raise NotImplementedError(type(effect).__name__)

    @execute.register
    def _(self, effect: ReserveMemory) -> None:
        body = {
            "id": effect.reservation,
            "owner": self._owner(),
            "tokens": effect.tokens,
            "ttl_s": effect.time_to_live.total_seconds(),
        }
        failure = self._create(effect.address, "/v1/reservations", body, STEP_TIMEOUT)
        result: Message = MemoryReserved(effect.request_id, effect.reservation)
        if failure is not None:
            result = ReservationFailed(effect.request_id, effect.reservation, failure)
        self.send_to_kernel(result)

    @execute.register
    def _(self, effect: ImportKv) -> None:
        body = {
            "id": effect.import_id,
            "owner": self._owner(),
            "source": effect.source,
            "handle": effect.handle,
            "ttl_s": effect.time_to_live.total_seconds(),
        }
        failure = self._create(effect.address, "/v1/kv/imports", body, IMPORT_TIMEOUT)
        result: Message = KvImported(effect.request_id, effect.import_id)
        if failure is not None:
            result = ImportFailed(effect.request_id, effect.import_id, failure)
        self.send_to_kernel(result)

    @execute.register
    def _(self, effect: FreeOwnHolding) -> None:
        path = f"/v1/holdings/{effect.kind.value}/{quote(effect.holding_id, safe='')}"
        for _ in range(2):
            try:
                self.http.call("DELETE", effect.address, path, timeout=STEP_TIMEOUT)
            except NetworkError:
                # Retried once; otherwise the engine frees it when it expires.
                continue
            return

    def _owner(self) -> OwnerMember:
        return OwnerMember(self.identity.instance, self.identity.incarnation)

    def _create(
        self, address: str, path: str, body: Any, timeout: timedelta
    ) -> GangStepFailure | None:
        """Post and return the failure; None if it succeeded."""
        try:
            answer = self.http.call("POST", address, path, body, timeout=timeout)
        except NeverSentError:
            return GangStepFailure.UNREACHED
        except NetworkError:
            return GangStepFailure.LOST
        if answer.status == CREATED:
            return None
        return _refusal(answer)

    def _prefill(self, effect: PrefillSegment, call: EndpointCall) -> None:
        self.send_to_kernel(self.run_prefill(effect, call))

    def run_prefill(self, effect: PrefillSegment, call: EndpointCall) -> Message:
        """Prefill a part and return the result; blocks until it ends."""
        time_left = effect.deadline - self.clock.monotonic()
        if not isinstance(call, ModelCall) or time_left <= timedelta(0):
            failure = GangStepFailure.UNREACHED
            return _failed(effect, failure, Exposure.NEVER_SENT)
        member = self._stream(effect, call, time_left)
        try:
            answer = self.http.call(
                "POST", effect.address, STREAMS_PATH, member, timeout=time_left
            )
        except NeverSentError:
            return _failed(effect, GangStepFailure.UNREACHED, Exposure.NEVER_SENT)
        except NetworkError:
            return self.reattach(effect)
        if answer.status in REFUSALS:
            return _failed(effect, _refusal(answer), Exposure.REFUSED)
        return _prefill_result(effect, answer)

    def _stream(
        self, effect: PrefillSegment, call: ModelCall, time_left: timedelta
    ) -> StreamMember:
        return StreamMember(
            stream_id=effect.stream_id,
            attempt=1,
            owner=self._owner(),
            model=call.model,
            adapter=call.adapter,
            prompt=prompt_part(call.prompt, effect.first, effect.tokens),
            max_tokens=1,
            priority=effect.priority,
            deadline_ms=milliseconds(time_left),
            offset=0,
            imports=tuple(effect.imports),
            imported_tokens=effect.first,
            export_kv=True,
            reservation=effect.reservation,
        )

    def reattach(self, effect: PrefillSegment) -> Message:
        """Wait for the end of a prefill whose connection broke."""
        path = f"{stream_path(effect.stream_id)}?offset=0"
        for _ in range(REATTACH_ATTEMPTS):
            time_left = effect.deadline - self.clock.monotonic()
            if time_left <= timedelta(0):
                break
            try:
                answer = self.http.call("GET", effect.address, path, timeout=time_left)
            except NetworkError:
                continue
            return _prefill_result(effect, answer)
        return _failed(effect, GangStepFailure.LOST, Exposure.POSSIBLE)


def _refusal(answer: Answer) -> GangStepFailure:
    """Return the failure that an error answer stands for."""
    if answer.status not in REFUSALS:
        return GangStepFailure.FAILED
    try:
        reason = msgspec.json.decode(answer.body, type=RefusalMember).refused
    except UNDECODABLE:
        return GangStepFailure.FAILED
    return GangStepFailure.NO_MEMORY if reason == NO_MEMORY else GangStepFailure.REFUSED


def _prefill_result(effect: PrefillSegment, answer: Answer) -> Message:
    """Return the result of a stream; without a KV handle it has failed."""
    if answer.status == OK:
        for line in answer.body.splitlines():
            event = _event(line)
            if (
                event is not None
                and event.finish in COMPLETE_FINISHES
                and event.kv_handle
            ):
                return SegmentPrefilled(
                    effect.request_id,
                    effect.stream_id,
                    effect.endpoint,
                    effect.address,
                    event.kv_handle,
                )
    return _failed(effect, GangStepFailure.FAILED, Exposure.POSSIBLE)


def _event(line: bytes) -> LastEventMember | None:
    if not line.startswith(EVENT_PREFIX):
        return None
    try:
        return msgspec.json.decode(line[len(EVENT_PREFIX) :], type=LastEventMember)
    except UNDECODABLE:
        return None


def _failed(
    effect: PrefillSegment, failure: GangStepFailure, exposure: Exposure
) -> SegmentFailed:
    return SegmentFailed(effect.request_id, effect.stream_id, failure, exposure)
