"""Tests of what is learnt when an engine says that it is full.

The engines hold work that these instances have not heard of: words come late, or not
at all from behind a cut, and an instance that has just started knows none.
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
"""Tokens of a prompt that one engine reads."""
STEP = timedelta(milliseconds=10)
AT_ONCE = timedelta(milliseconds=80)
"""Within it three full engines turned one call away."""
STAYS = timedelta(seconds=2.5)
"""Within it usual answers end, so that an engine that was full has room again."""
PEER = InstanceId("entry-2")


@dataclass(frozen=True, slots=True)
class Refused:
    """One arrival that an engine turned away, and when."""

    at: timedelta
    instance: int
    call: RequestId
    engine: EndpointId


@dataclass(slots=True)
class FullFleet:
    """Instances before engines that turn away whatever comes, as long as they are full.

    Attributes
    ----------
    full : set of EndpointId
        Engines without room for a single request more.
    """

    benches: Sequence[ReservingBench]
    full: set[EndpointId]
    refused: list[Refused] = field(default_factory=list)
    seen: set[tuple[int, RequestId, int]] = field(default_factory=set)

    def submit(self, call: str, instance: int = 0) -> None:
        """Let a call with a short prompt come to an instance."""
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
        """Have full engines turn away what has reached them."""
        for instance, bench in enumerate(self.benches):
            for sent in bench.emitted(Dispatch):
                key = (instance, sent.request_id, sent.attempt)
                if sent.endpoint in self.full and key not in self.seen:
                    self.seen.add(key)
                    self._turn_away(instance, sent)

    def _turn_away(self, instance: int, sent: Dispatch) -> None:
        bench = self.benches[instance]
        now = bench.clock.monotonic()
        self.refused.append(Refused(now, instance, sent.request_id, sent.endpoint))
        bench.serve(turned_away(sent))

    def sent_to(self, call: str, instance: int = 0) -> list[EndpointId]:
        """Return the engines that a call was sent to."""
        return [d.endpoint for d in self.benches[instance].dispatches(call)]


def turned_away(sent: Dispatch, fault_at: str | None = None) -> AttemptFailed:
    """Return the word of an engine that it has not run a call as it is full."""
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
    """Return instances before engines that are all full."""
    benches = [reserving_bench(engines, seed) for seed in range(1, instances + 1)]
    return FullFleet(benches, {EndpointId(f"e{n}") for n in range(engines)})


def told(works: dict[str, int], now: timedelta) -> PeerWorkReplaced:
    """Return a peer's word of so many answers on each engine."""
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


def test_an_engine_that_says_full_gets_no_other_call_of_the_instance() -> None:
    """In a flood of short prompts call after call is turned away by the same engine.

    Its slots are taken by calls that this instance has not heard of, so that it seems
    to be the emptiest one. Each call learnt that for itself, and cost a repeat.
    """
    fleet = full_fleet()
    fleet.submit("first")
    [refused] = fleet.refused
    fleet.full = {refused.engine}
    for number in range(12):
        fleet.submit(f"later{number}")
    fleet.run(AT_ONCE)
    case.assertEqual([refused], fleet.refused)


def test_an_engine_that_said_full_gets_calls_again() -> None:
    """An engine that once was full must not stand idle for good.

    Of the calls that filled it nobody may ever hear, so their ends aren't heard either.
    """
    fleet = full_fleet(engines=1)
    fleet.submit("first")
    fleet.full.clear()
    fleet.run(STAYS)
    fleet.submit("second")
    case.assertEqual(1, len(fleet.sent_to("second")))


def test_a_call_is_not_turned_away_by_engine_after_engine() -> None:
    """One call is turned away by three full engines within 80 ms.

    It had been tried at a silent engine, and as it came from there all others were
    believed to have half of their slots free: what had filled the first had filled
    them all. Each try took a repeat from all instances, none had a chance.
    """
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    fleet.benches[0].serve(told({f"e{n}": 4 for n in range(6)}, now))
    fleet.submit("call")
    fleet.run(AT_ONCE)
    case.assertEqual(1, len(fleet.sent_to("call")))
    fleet.full.clear()
    fleet.run(STAYS)
    case.assertEqual(2, len(fleet.sent_to("call")))


def test_a_call_that_was_turned_away_goes_to_an_emptier_engine_at_once() -> None:
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    works = {f"e{n}": 5 for n in range(5)}
    fleet.full = {EndpointId(name) for name in works}
    # The free one seems to be as full as can be when the call is placed first.
    fleet.benches[0].serve(told({**works, "e5": FIGURES.slots}, now))
    fleet.submit("call")
    case.assertIn(fleet.sent_to("call")[0], fleet.full)
    fleet.benches[0].serve(told(works, now))
    fleet.run(AT_ONCE)
    case.assertEqual("e5", fleet.sent_to("call")[-1])


def test_instances_in_a_flood_ask_a_full_engine_seldom() -> None:
    """In an overload half of all arrivals at engines are turned away.

    Words of running work come late, so that all instances take the same engines for
    empty ones, and each sends one call after the other there.
    """
    fleet = full_fleet(instances=4, engines=4)
    for number in range(50):
        fleet.submit(f"call{number}", number % 4)
        fleet.run(2 * STEP)
    case.assertEqual([], again_within(fleet.refused, AT_ONCE))
    case.assertLessEqual(len(fleet.refused), 2 * 16)


def again_within(refused: Sequence[Refused], time: timedelta) -> list[Refused]:
    """Return what the same engine refused the same instance so soon again."""
    last: dict[tuple[int, EndpointId], timedelta] = {}
    found = []
    for each in refused:
        key = (each.instance, each.engine)
        if key in last and each.at - last[key] <= time:
            found.append(each)
        last[key] = each.at
    return found


def sent_beside(fault_at: str) -> bool:
    """Return whether a call goes to the only engine just after it refused another."""
    fleet = full_fleet(engines=1)
    fleet.full.clear()
    fleet.submit("first")
    bench = fleet.benches[0]
    bench.serve(turned_away(bench.last_dispatch("first"), fault_at))
    fleet.submit("second")
    return bool(fleet.sent_to("second"))


def test_an_engine_that_names_another_as_at_fault_is_not_full() -> None:
    """A helper that is gone must not make all of its hosts seem to be full."""
    case.assertTrue(sent_beside("10.0.0.77:80"))


def test_calls_that_were_turned_away_do_not_hold_up_new_ones() -> None:
    """Callers wait while engines are free.

    A few calls were turned away and wait for an emptier engine. They are older than
    all new ones, and when three of a lane find no place the rest of it is left waiting.
    """
    fleet = full_fleet()
    now = fleet.benches[0].clock.monotonic()
    fleet.benches[0].serve(told({f"e{n}": 4 for n in range(6)}, now))
    for number in range(4):
        fleet.submit(f"call{number}")
    fleet.full.clear()
    fleet.run(3 * STEP)
    case.assertEqual([1] * 4, [len(fleet.sent_to(f"call{n}")) for n in range(4)])
    fleet.submit("new")
    case.assertEqual(1, len(fleet.sent_to("new")))


def test_the_word_counts_though_its_call_ends_with_it() -> None:
    """A call has no time left for another engine; those that come next have."""
    fleet = full_fleet(engines=1)
    bench = fleet.benches[0]
    now = bench.clock.monotonic()
    bench.serve(Submit(huge_request("first", now, SHORT)))
    bench.clock.advance(timedelta(seconds=14.95))
    fleet.answer()
    case.assertIsNotNone(bench.conclusion("first"))
    fleet.submit("second")
    case.assertEqual([], fleet.sent_to("second"))


def test_nothing_is_kept_of_calls_that_have_ended() -> None:
    """Calls that were turned away in a flood must not fill the memory."""
    fleet = full_fleet(engines=2)
    for number in range(20):
        fleet.submit(f"call{number}")
    fleet.run(timedelta(seconds=16))
    placer = fleet.benches[0].kernel.plugin(WorkPlacer)
    case.assertEqual({}, placer.full_rejections.by_request)
    case.assertLessEqual(len(placer.load_tracker.overloads.by_endpoint), 2)


def test_an_engine_that_names_itself_is_full() -> None:
    case.assertFalse(sent_beside(address_of("e0")))
    case.assertFalse(sent_beside("e0"))


load_tests = function_tests(__name__)
