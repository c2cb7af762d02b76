"""Tests of gangs on engine stand-ins, over HTTP."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.endpoints.calls import ModelCall
from mimosafork.endpoints.reservations import ReservationAdapter
from mimosafork.endpoints.segments import prompt_part
from mimosafork.endpoints.wire import STREAMS_PATH, wire_request
from mimosafork.ids import EndpointId, Incarnation, InstanceId, ModelId, RequestId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.attempts import AttemptFinished, Exposure
from mimosafork.kernel.messages.base import Effect, Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ImportKv,
    PrefillSegment,
    ReservationFailed,
    ReserveMemory,
    SegmentFailed,
    SegmentPrefilled,
)
from mimosafork.kernel.messages.recovery import HoldingKind
from mimosafork.kernel.messages.requests import CallerGone
from mimosafork.network.http import HttpClient
from mimosafork.standins import EngineSettings
from tests.support.functions import function_tests
from tests.support.kernels import Bench, engine_entry, model_request
from tests.support.policies import ADMITTED, policy_kernel
from tests.support.standins import Caller, running_engine, whole

CAPACITY = 4_000
PROMPT = "".join(f"Objection {number} of the páramo. " for number in range(800))
PROMPT_TOKENS = -(-len(PROMPT.encode()) // 4)
IDENTITY = InstanceIdentity(
    InstanceId("i1"), Incarnation(1), engine_entry("x").availability_zone
)
MINUTE = timedelta(minutes=1)


@dataclass
class GangZone:
    """Three small engines, a kernel that knows them, and the adapter between."""

    bench: Bench
    callers: dict[str, Caller]
    adapter: ReservationAdapter
    messages: list[Message] = field(default_factory=list)
    dispatch: Dispatch | None = None
    stop_before: type[Effect] | None = None

    def call(self) -> ModelCall:
        """Return the call of the client."""
        return ModelCall(ModelId("demo"), None, PROMPT, 20)

    def serve(self, effects: list[Effect]) -> None:
        """Execute effects and send their results to the kernel."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if self.stop_before is not None and isinstance(effect, self.stop_before):
                return
            if isinstance(effect, PrefillSegment):
                self.adapter.send_to_kernel(
                    self.adapter.run_prefill(effect, self.call())
                )
            elif isinstance(effect, ReserveMemory | ImportKv | FreeOwnHolding):
                self.adapter.execute(effect)
            elif isinstance(effect, Dispatch):
                self.dispatch = effect
            while self.messages:
                waiting += self.bench.handle(self.messages.pop(0))

    def holdings(self) -> dict[str, list[str]]:
        """Return the holdings of each engine."""
        return {
            name: [each["id"] for each in caller.get("/v1/holdings")["holdings"]]
            for name, caller in self.callers.items()
        }


@contextmanager
def gang_zone() -> Iterator[GangZone]:
    """Run the engines; the prompt fits on no single one of them."""
    clock = ManualClock()
    with ExitStack() as stack:
        callers = {}
        entries = []
        for name in ("e1", "e2", "e3"):
            settings = EngineSettings(endpoint=name, kv_capacity=CAPACITY)
            _, caller = stack.enter_context(running_engine(settings))
            callers[name] = caller
            entries.append(replace(engine_entry(name), address=caller.address))
        bench = stack.enter_context(policy_kernel((*ADMITTED, "gangs"), entries))
        for name in callers:
            bench.report(name, kv_capacity=CAPACITY)
        http = HttpClient(IDENTITY.instance)
        zone = GangZone(bench, callers, None)  # type: ignore[arg-type]
        zone.adapter = ReservationAdapter(IDENTITY, http, clock, zone.messages.append)
        yield zone


def request(zone: GangZone) -> None:
    """Submit the prompt."""
    assert PROMPT_TOKENS > CAPACITY
    long = model_request("r", PROMPT_TOKENS, MINUTE, max_tokens=20)
    zone.serve(zone.bench.submit(long))


def test_a_split_prompt_gets_the_answer_of_the_whole_one() -> None:
    """Guards against an answer to another prompt than was sent.

    The parts could be cut inside a character, or joined in the wrong order. An engine
    that holds the whole prompt gives the expected answer.
    """
    with gang_zone() as zone:
        request(zone)
        assert zone.dispatch is not None
        assert zone.dispatch.imported_tokens > 0
        wire = wire_request(zone.call(), zone.dispatch, IDENTITY, MINUTE)
        caller = next(
            each
            for each in zone.callers.values()
            if each.address == zone.dispatch.address
        )
        answer = caller.call(
            "POST",
            STREAMS_PATH,
            body=wire.body,
            headers=wire.headers,
            preload_content=False,
        )
        text, finish = whole(answer)
        assert finish["usage"]["prompt_tokens"] >= PROMPT_TOKENS
        large = EngineSettings(kv_capacity=100_000)
        with running_engine(large) as (_, alone):
            expected, _ = whole(alone.start("whole", PROMPT, max_tokens=20))
        assert text == expected
        finished = AttemptFinished(RequestId("r"), zone.dispatch.attempt)
        zone.serve(zone.bench.handle(finished))
        assert not any(zone.holdings().values()), zone.holdings()


def test_a_client_disconnect_leaves_no_holdings() -> None:
    with gang_zone() as zone:
        zone.stop_before = ImportKv
        request(zone)
        assert any(zone.holdings().values())
        zone.stop_before = None
        zone.serve(zone.bench.handle(CallerGone(RequestId("r"))))
        assert not any(zone.holdings().values()), zone.holdings()


def test_a_refused_reservation_frees_the_others() -> None:
    with gang_zone() as zone:
        reservation = {"id": "x", "owner": {"instance": "i2", "incarnation": 1}}
        body = {**reservation, "tokens": CAPACITY - 10, "ttl_s": 60}
        answer = zone.callers["e2"].call("POST", "/v1/reservations", json=body)
        assert answer.status == 201
        request(zone)
        failures = zone.bench.emitted(FreeOwnHolding)
        assert failures
        assert zone.holdings() == {"e1": [], "e2": ["x"], "e3": []}
        assert zone.bench.conclusion("r") is None


def test_an_unreachable_engine_is_distinguished_from_a_lost_answer() -> None:
    with gang_zone() as zone:
        reserve = ReserveMemory(
            RequestId("r"),
            "r.g1.r0",  # type: ignore[arg-type]
            EndpointId("e1"),
            zone.callers["e1"].address,
            10,
            MINUTE,
        )
        zone.callers["e1"].fault(kind="outage", reset=True)
        zone.adapter.execute(reserve)
        zone.adapter.execute(replace(reserve, address="127.0.0.1:1"))
        lost, unreached = zone.messages
        assert isinstance(lost, ReservationFailed)
        assert lost.failure is GangStepFailure.LOST
        assert isinstance(unreached, ReservationFailed)
        assert unreached.failure is GangStepFailure.UNREACHED


def test_a_prefill_without_its_reservation_is_refused() -> None:
    """The reservation has expired at the engine, so the part has certainly not run."""
    with gang_zone() as zone:
        zone.stop_before = PrefillSegment
        request(zone)
        (prefill,) = zone.bench.emitted(PrefillSegment)
        free = FreeOwnHolding(
            prefill.endpoint,
            prefill.address,
            HoldingKind.RESERVATION,
            prefill.reservation,
        )
        zone.adapter.execute(free)
        message = zone.adapter.run_prefill(prefill, zone.call())
        assert isinstance(message, SegmentFailed)
        assert message.failure is GangStepFailure.NO_MEMORY
        assert message.exposure is Exposure.REFUSED


def test_a_prefill_with_a_broken_connection_is_reattached() -> None:
    """Guards against an export that stays on an engine because its handle was lost.

    The engine finishes the part; only the connection is broken.
    """
    with gang_zone() as zone:
        zone.stop_before = PrefillSegment
        request(zone)
        (prefill,) = zone.bench.emitted(PrefillSegment)
        done = zone.adapter.run_prefill(prefill, zone.call())
        assert isinstance(done, SegmentPrefilled)
        found = zone.adapter.reattach(prefill)
        assert found == done


def test_slices_join_to_the_prompt_wherever_it_is_cut() -> None:
    text = "añó€𝄞 " * 50
    tokens = -(-len(text.encode()) // 4)
    for cut in range(tokens + 2):
        assert prompt_part(text, 0, cut) + prompt_part(text, cut) == text
    thirds = [prompt_part(text, first, 7) for first in range(0, tokens, 7)]
    assert "".join(thirds) == text


def test_a_prefill_past_its_deadline_is_not_sent() -> None:
    with gang_zone() as zone:
        zone.stop_before = PrefillSegment
        request(zone)
        (prefill,) = zone.bench.emitted(PrefillSegment)
        late = replace(prefill, deadline=timedelta(0))
        message = zone.adapter.run_prefill(late, zone.call())
        assert isinstance(message, SegmentFailed)
        assert message.exposure is Exposure.NEVER_SENT


load_tests = function_tests(__name__)
