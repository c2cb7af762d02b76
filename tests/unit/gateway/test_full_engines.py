"""Tests of the reaction to rejections by full engines.

The engines run requests unknown to these instances, as load updates of peers are late,
are lost in a network partition, or have not reached an instance that just started.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.ids import EndpointId, InstanceId, RequestId
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.routing import PeerWorkReplaced
from mimosafork.placement.load_tracker import InFlightRequest, PrefillPart

from ...support.functions import function_tests
from ...support.reserving_engines import (
    FIGURES,
    ReservingBench,
    address_of,
    huge_request,
    reserving_bench,
)

case = TestCase()

SHORT = 2_000
"""Prompt tokens of a call that fits on one engine."""
STEP = timedelta(milliseconds=10)
AT_ONCE = timedelta(milliseconds=80)
"""Time within which three full engines rejected the same call."""
STAYS = timedelta(seconds=2.5)
"""Time within which usual responses end and a full engine has capacity again."""
PEER = InstanceId("entry-2")


@dataclass(frozen=True, slots=True)
class Rejection:
    """One rejection of a call by an engine."""

    at: timedelta
    instance: int
    call: RequestId
    engine: EndpointId


@dataclass(slots=True)
class FullFleet:
    """Instances in front of engines that reject all calls while they are full.

    Attributes
    ----------
    full : set of EndpointId
        Engines without capacity for another request.
    """

    benches: Sequence[ReservingBench]
    full: set[EndpointId]
    refused: list[Rejection] = field(default_factory=list)
    seen: set[tuple[int, RequestId, int]] = field(default_factory=set)

    def submit(self, call: str, instance: int = 0) -> None:
        """Submit a call with a short prompt to an instance."""
        bench = self.benches[instance]
        bench.serve(Submit(huge_request(call, bench.clock.monotonic(), SHORT)))
        self.answer()

    def run(self, time: timedelta) -> None:
        """Let time pass."""
        for _ in range(round(time / STEP)):
            for bench in self.benches:
                bench.run(STEP)
            self.answer()

    def answer(self) -> None:
        """Have full engines reject the calls that reached them."""
        for instance, bench in enumerate(self.benches):
            for sent in bench.emitted(Dispatch):
                key = (instance, sent.request_id, sent.attempt)
                if sent.endpoint in self.full and key not in self.seen:
                    self.seen.add(key)
                    self._reject(instance, sent)

    def _reject(self, instance: int, sent: Dispatch) -> None:
        bench = self.benches[instance]
        now = bench.clock.monotonic()
        self.refused.append(Rejection(now, instance, sent.request_id, sent.endpoint))
        bench.serve(full_rejection(sent))

    def sent_to(self, call: str, instance: int = 0) -> list[EndpointId]:
        """Return the engines that a call was sent to."""
        return [d.endpoint for d in self.benches[instance].dispatches(call)]


def full_rejection(sent: Dispatch, fault_at: str | None = None) -> AttemptFailed:
    """Return the rejection of a call by a full engine."""
    return AttemptFailed(
        sent.request_id,
        sent.attempt,
        FailureKind.REFUSED,
        Exposure.REFUSED,
        refusal="not-run",
        status=503,
        fault_at=fault_at,
        endpoint=sent.endpoint,
    )


def full_fleet(instances: int = 1, engines: int = 6) -> FullFleet:
    """Return instances in front of engines that are all full."""
    benches = [reserving_bench(engines, seed) for seed in range(1, instances + 1)]
    return FullFleet(benches, {EndpointId(f"e{n}") for n in range(engines)})


def peer_load(works: dict[str, int], now: timedelta) -> PeerWorkReplaced:
    """Return a peer's load update with a number of responses on each engine."""
    return PeerWorkReplaced(
        PEER,
        tuple(
            InFlightRequest(
                RequestId(f"{PEER}/{name}-{number}"),
                EndpointId(name),
                (PrefillPart(EndpointId(name), SHORT, 13.0),),
                prompt_tokens=SHORT,
                answer_tokens=1_000,
                longest_pause=timedelta(milliseconds=250),
                started_at=now - timedelta(seconds=1),
                first_token_at=now - timedelta(milliseconds=900),
            )
            for name, count in works.items()
            for number in range(count)
        ),
    )


def test_a_full_engine_gets_no_other_call_of_the_instance() -> None:
    """A rejection counts for all calls of the instance.

    The slots of an engine are taken by calls unknown to this instance, so it seems
    least loaded. Otherwise each call would be rejected there and cost a retry.
    """
    fleet = full_fleet()
    fleet.submit("first")
    [refused] = fleet.refused
    fleet.full = {refused.engine}
    for number in range(12):
        fleet.submit(f"later{number}")
    fleet.run(AT_ONCE)
    case.assertEqual([refused], fleet.refused)


def test_an_engine_that_was_full_gets_calls_again() -> None:
    """An engine that was full must not stay idle.

    The calls that filled it may never be published, and neither are their ends.
    """
    fleet = full_fleet(engines=1)
    fleet.submit("first")
    fleet.full.clear()
    fleet.run(STAYS)
    fleet.submit("second")
    case.assertEqual(1, len(fleet.sent_to("second")))


def test_a_call_is_not_rejected_by_one_engine_after_another() -> None:
    """A rejected call is not sent to other engines with the same known load.

    Their unknown load is likely the same; otherwise three full engines reject the call
    within 80 ms, and each attempt costs a retry of the budget.
    """
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    fleet.benches[0].serve(peer_load({f"e{n}": 4 for n in range(6)}, now))
    fleet.submit("call")
    fleet.run(AT_ONCE)
    case.assertEqual(1, len(fleet.sent_to("call")))
    fleet.full.clear()
    fleet.run(STAYS)
    case.assertEqual(2, len(fleet.sent_to("call")))


def test_a_rejected_call_goes_to_a_less_loaded_engine_at_once() -> None:
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    works = {f"e{n}": 5 for n in range(5)}
    fleet.full = {EndpointId(name) for name in works}
    # The free engine seems to be full when the call is first placed.
    fleet.benches[0].serve(peer_load({**works, "e5": FIGURES.slots}, now))
    fleet.submit("call")
    case.assertIn(fleet.sent_to("call")[0], fleet.full)
    fleet.benches[0].serve(peer_load(works, now))
    fleet.run(AT_ONCE)
    case.assertEqual("e5", fleet.sent_to("call")[-1])


def test_instances_rarely_send_to_a_full_engine() -> None:
    """Instances rarely send calls to an engine that rejected one.

    In an overload load updates are late and all instances consider the same engines
    idle; half of all calls were rejected.
    """
    fleet = full_fleet(instances=4, engines=4)
    for number in range(50):
        fleet.submit(f"call{number}", number % 4)
        fleet.run(2 * STEP)
    case.assertEqual([], repeated_within(fleet.refused, AT_ONCE))
    case.assertLessEqual(len(fleet.refused), 2 * 16)


def repeated_within(refused: Sequence[Rejection], time: timedelta) -> list[Rejection]:
    """Return repeated rejections by an engine of an instance within a time."""
    last: dict[tuple[int, EndpointId], timedelta] = {}
    found = []
    for each in refused:
        key = (each.instance, each.engine)
        if key in last and each.at - last[key] <= time:
            found.append(each)
        last[key] = each.at
    return found


def sent_after_rejection(fault_at: str) -> bool:
    """Return whether a call goes to the only engine after it rejected another."""
    fleet = full_fleet(engines=1)
    fleet.full.clear()
    fleet.submit("first")
    bench = fleet.benches[0]
    bench.serve(full_rejection(bench.last_dispatch("first"), fault_at))
    fleet.submit("second")
    return bool(fleet.sent_to("second"))


def test_an_engine_that_names_another_as_at_fault_is_not_full() -> None:
    """A failed helper must not make all of its hosts seem full."""
    case.assertTrue(sent_after_rejection("10.0.0.77:80"))


def test_rejected_calls_do_not_block_new_ones() -> None:
    """Rejected calls that wait for a less loaded engine do not block new calls.

    They are older than the new ones, and a lane is skipped once three of its calls
    cannot be placed.
    """
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    fleet.benches[0].serve(peer_load({f"e{n}": 4 for n in range(6)}, now))
    for number in range(4):
        fleet.submit(f"call{number}")
    fleet.full.clear()
    fleet.run(3 * STEP)
    case.assertEqual([1] * 4, [len(fleet.sent_to(f"call{n}")) for n in range(4)])
    fleet.submit("new")
    case.assertEqual(1, len(fleet.sent_to("new")))


def test_a_rejection_counts_though_its_call_ends() -> None:
    """A rejection counts for later calls even if its own call has no time left."""
    fleet = full_fleet(engines=1)
    bench = fleet.benches[0]
    now = bench.clock.monotonic()
    bench.serve(Submit(huge_request("first", now, SHORT)))
    bench.clock.advance(timedelta(seconds=14.95))
    fleet.answer()
    case.assertIsNotNone(bench.conclusion("first"))
    fleet.submit("second")
    case.assertEqual([], fleet.sent_to("second"))


def test_no_state_is_left_of_ended_calls() -> None:
    """Rejected calls of a flood must not leak memory."""
    fleet = full_fleet(engines=2)
    for number in range(20):
        fleet.submit(f"call{number}")
    fleet.run(timedelta(seconds=16))
    placer = fleet.benches[0].kernel.plugin(WorkPlacer)
    case.assertEqual({}, placer.full_rejections.by_request)
    case.assertLessEqual(len(placer.load_tracker.overloads.by_endpoint), 2)


def test_an_engine_that_names_itself_is_full() -> None:
    case.assertFalse(sent_after_rejection(address_of("e0")))
    case.assertFalse(sent_after_rejection("e0"))


load_tests = function_tests(__name__)
