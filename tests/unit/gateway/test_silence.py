"""Tests of silent attempts: when another endpoint is tried, and when not."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import force_setattr

from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.policies.stall_timeouts import stall_timeouts_for
from mimosafork.ids import EndpointId, InstanceId, RequestId
from mimosafork.kernel.lifecycle import QUEUE_MISSES
from mimosafork.kernel.messages.attempts import (
    AttemptSilent,
    EndSilentAttempt,
    FirstToken,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import CallTerms, Submit
from mimosafork.kernel.messages.routing import PeerWorkReplaced
from mimosafork.kernel.messages.sharing import CrashSuspicionUpdated
from mimosafork.placement.load_tracker import InFlightRequest, PrefillPart
from mimosafork.placement.prefill_time import OVERRUN_SHARE

from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, gateway_bench, request_of
from ...support.reserving_engines import (
    MEMORY,
    ReservingBench,
    huge_request,
    reserving_bench,
)

case = TestCase()

MILLISECOND = timedelta(milliseconds=1)
SILENCE = timedelta(seconds=1)
READING = timedelta(seconds=2)
SLOTS = 8
PEER = InstanceId("entry-2")
OTHERS = 14
"""Streams that take more than half of three engines' slots."""
SHORT_PROMPT = 1_000
LONG_PROMPT = 100_000
"""Three engines read it in some 0.5 s, and one in more than a second."""


def ended(bench: GatewayBench) -> list[EndSilentAttempt]:
    return list(bench.emitted(EndSilentAttempt))


def fall_silent(bench: GatewayBench, dispatch: Dispatch) -> None:
    bench.handle(AttemptSilent(dispatch.request_id, dispatch.attempt, SILENCE))


def test_a_silent_call_that_may_run_again_is_tried_elsewhere() -> None:
    """A clerk waits for an answer until she gives up.

    The endpoint has lost its power and sends nothing, not even an end of the
    connection; nothing short of its silence tells the instance so.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    failure = ended(bench)[-1].failure
    bench.handle(failure)
    second = bench.retried(first)
    assert second is not None
    case.assertNotEqual(first.endpoint, second.endpoint)


def test_a_silent_call_that_may_run_once_goes_on() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", non_idempotent=True))
    case.assertIsNone(first.silence_timeouts)
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def test_a_silent_call_goes_on_where_nothing_better_is_known() -> None:
    """The only endpoint is slow; ending its work would lose the answer for good."""
    bench = gateway_bench(endpoints=1)
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))
    bench.finish(first)
    case.assertIsNone(bench.concluded("a").problem)


def test_a_silent_call_goes_on_when_its_attempts_are_used() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", max_attempts=1))
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def read_for_a_peer(bench: GatewayBench, endpoint: EndpointId) -> None:
    """Let a peer tell that an endpoint has begun to read for a call of its own."""
    part = PrefillPart(endpoint, 100_000, READING / MILLISECOND)
    work = InFlightRequest(
        RequestId(f"{PEER}/1"), endpoint, (part,), started_at=bench.clock.monotonic()
    )
    bench.handle(PeerWorkReplaced(PEER, (work,)))


def hear_the_zone(bench: GatewayBench, name: str) -> None:
    """Let an endpoint of the only zone begin an answer."""
    other = bench.begin(request_of(bench, name))
    bench.handle(FirstToken(other.request_id, other.attempt))


def test_a_silent_call_goes_on_while_its_endpoint_reads() -> None:
    """A dossier's answer comes eight seconds late, and the desk's letters with it.

    Its engines were reading it as foretold when its silence ended the attempt; it was
    read again from its first word elsewhere, which silenced the streams there.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    read_for_a_peer(bench, first.endpoint)
    hear_the_zone(bench, "b")
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))
    bench.handle_after(READING * (1 + OVERRUN_SHARE), Tick())
    hear_the_zone(bench, "c")
    fall_silent(bench, first)
    case.assertEqual(1, len(ended(bench)))


def test_a_zone_that_is_not_heard_is_not_waited_for() -> None:
    """Behind a cut, calls waited for engines that seemed to read, and were lost."""
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    read_for_a_peer(bench, first.endpoint)
    fall_silent(bench, first)
    case.assertEqual(1, len(ended(bench)))


def test_a_silent_call_goes_on_where_the_others_are_full() -> None:
    """Letters go silent in a flood and are moved from one full engine to another.

    Each lost what had been read of it, was read again where others waited too, and
    the flood lasted eight seconds longer.
    """
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    for name in (f"b{n}" for n in range(2 * SLOTS - 1)):
        bench.begin(request_of(bench, name))
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def test_a_silent_call_goes_on_where_the_others_read_for_long() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    other = bench.begin(request_of(bench, "b"))
    case.assertNotEqual(first.endpoint, other.endpoint)
    read_for_a_peer(bench, other.endpoint)
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def begun_stream(bench: ReservingBench, time: timedelta) -> Dispatch:
    """Let a long prompt's answer begin among others, and time pass."""
    for number in range(OTHERS):
        bench.serve(Submit(huge_request(f"b{number}", prompt=SHORT_PROMPT)))
    bench.serve(Submit(huge_request("a", prompt=LONG_PROMPT, time=time)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    return first


def test_a_begun_answer_that_can_not_be_made_again_in_time_goes_on() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    Under load the endpoint paused for a second. The attempt was ended, as another
    endpoint had a slot, and then refused a place: the prompt could not be read once
    more in the time that was left. The pause would have ended by itself.
    """
    bench = reserving_bench(engines=3)
    first = begun_stream(bench, SILENCE * 1.5)
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def test_a_begun_answer_goes_on_where_it_would_queue_behind_others() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    It was ended for a pause, had to wait behind older calls of its service, and its
    time was over before their turn was.
    """
    bench = reserving_bench(engines=3)
    first = begun_stream(bench, SILENCE * 9)
    for engine in bench.engines.values():
        engine.taken = MEMORY
    for number in range(QUEUE_MISSES):
        now = bench.clock.monotonic()
        bench.serve(Submit(huge_request(f"w{number}", now, time=SILENCE * 60)))
    case.assertEqual(QUEUE_MISSES, len(bench.kernel.state.waiting))
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def stays_where_it_is(bench: ReservingBench, first: Dispatch) -> None:
    """Check that a silent attempt is not ended though another engine has room."""
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def test_a_begun_answer_goes_on_where_its_place_would_be_the_same() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    Of the engines that this instance uses, all others had gone: the free slot was at
    one that it doesn't use, and the answer would have been placed where it ran before.
    """
    bench = reserving_bench(engines=3)
    first = begun_stream(bench, SILENCE * 9)
    placer = bench.kernel.plugin(WorkPlacer)
    placer.engine_subset = lambda views: [
        v for v in views if v.endpoint == first.endpoint
    ]
    stays_where_it_is(bench, first)


def test_a_begun_answer_goes_on_where_its_memory_may_be_refused() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    Its prompt is larger than one engine. Memory was free by the book, and taken when
    it was to be reserved; the answer had been ended by then.
    """
    bench = reserving_bench(engines=6)
    now = bench.clock.monotonic()
    bench.serve(Submit(huge_request("a", now, time=SILENCE * 300)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    stays_where_it_is(bench, first)


def test_a_begun_answer_goes_on_where_its_content_is_poison() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    Its content had brought down others, as peers told meanwhile, and the placer sends
    such a content nowhere any more.
    """
    bench = reserving_bench(engines=3)
    first = begun_stream(bench, SILENCE * 9)
    record = bench.kernel.state.requests[first.request_id]
    crashed = frozenset(EndpointId(f"gone-{number}") for number in range(9))
    bench.serve(CrashSuspicionUpdated(record.request.body_digest, crashed, False))
    stays_where_it_is(bench, first)


def test_a_begun_answer_goes_on_where_its_prompt_is_dear_to_read_again() -> None:
    """A caller's stream is cut in the middle though its endpoint is sound.

    Engines had room for a new call of its size, which is tried even if the time seems
    too short. What was read once is not read for seconds again in vain, and refused.
    """
    bench = reserving_bench(engines=3)
    prompt, now = 2 * LONG_PROMPT, bench.clock.monotonic()
    bench.serve(Submit(huge_request("a", now, prompt=prompt, time=SILENCE * 2)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    stays_where_it_is(bench, first)


def test_a_begun_answer_is_made_again_where_there_is_room_and_time() -> None:
    bench = reserving_bench(engines=3)
    first = begun_stream(bench, SILENCE * 9)
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    (effect,) = bench.emitted(EndSilentAttempt)
    bench.serve(effect.failure)
    bench.run(MILLISECOND * 50)
    second = bench.last_dispatch("a")
    case.assertNotEqual(first.endpoint, second.endpoint)


def test_silence_of_an_earlier_attempt_is_no_news() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    bench.handle(ended(bench)[-1].failure)
    second = bench.retried(first)
    assert second is not None
    fall_silent(bench, first)
    case.assertEqual(1, len(ended(bench)))


def test_a_streams_patience_ends_before_its_callers() -> None:
    bench = gateway_bench()
    request = request_of(bench, "a")
    force_setattr(
        request,
        "terms",
        CallTerms(
            max_attempts=2,
            objective=timedelta(milliseconds=300),
            longest_pause=timedelta(milliseconds=250),
            streams=True,
            resumable=True,
        ),
    )
    patience = stall_timeouts_for(request)
    assert patience is not None
    case.assertLess(patience.first_event, timedelta(seconds=1))
    case.assertGreater(patience.between_events, timedelta(milliseconds=500))


load_tests = function_tests(__name__)
