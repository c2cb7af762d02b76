"""Tests of stalled attempts: when another endpoint is tried, and when not."""

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
from mimosafork.placement.load_tracker import InFlightRequest, PrefillPart
from mimosafork.placement.prefill_time import OVERRUN_SHARE

from ...support.crash_messages import peer_crashes
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
"""Number of streams that take more than half of three engines' slots."""
SHORT_PROMPT = 1_000
LONG_PROMPT = 100_000
"""Prefill takes three engines about 0.5 s, and one more than a second."""


def end_requests(bench: GatewayBench) -> list[EndSilentAttempt]:
    return list(bench.emitted(EndSilentAttempt))


def stall(bench: GatewayBench, dispatch: Dispatch) -> None:
    bench.handle(AttemptSilent(dispatch.request_id, dispatch.attempt, SILENCE))


def test_a_stalled_idempotent_call_is_tried_elsewhere() -> None:
    """An endpoint that loses power does not close its connections.

    Only the stall reveals the failure, so the call is moved before its caller leaves.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    stall(bench, first)
    failure = end_requests(bench)[-1].failure
    bench.handle(failure)
    second = bench.retried(first)
    assert second is not None
    case.assertNotEqual(first.endpoint, second.endpoint)


def test_a_stalled_non_idempotent_call_continues() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", non_idempotent=True))
    case.assertIsNone(first.silence_timeouts)
    stall(bench, first)
    case.assertEqual([], end_requests(bench))


def test_a_stalled_call_continues_without_an_alternative() -> None:
    """The only endpoint is slow; ending the attempt would lose the response."""
    bench = gateway_bench(endpoints=1)
    first = bench.begin(request_of(bench, "a"))
    stall(bench, first)
    case.assertEqual([], end_requests(bench))
    bench.finish(first)
    case.assertIsNone(bench.concluded("a").problem)


def test_a_stalled_call_continues_when_its_attempts_are_used() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", max_attempts=1))
    stall(bench, first)
    case.assertEqual([], end_requests(bench))


def start_peer_prefill(bench: GatewayBench, endpoint: EndpointId) -> None:
    """Let a peer publish that an endpoint has started a prefill for its call."""
    part = PrefillPart(endpoint, 100_000, READING / MILLISECOND)
    work = InFlightRequest(
        RequestId(f"{PEER}/1"), endpoint, (part,), started_at=bench.clock.monotonic()
    )
    bench.handle(PeerWorkReplaced(PEER, (work,)))


def answer_from_zone(bench: GatewayBench, name: str) -> None:
    """Let an endpoint of the only zone start a response."""
    other = bench.begin(request_of(bench, name))
    bench.handle(FirstToken(other.request_id, other.attempt))


def test_a_stalled_call_continues_during_pending_prefill() -> None:
    """A stall that is explained by pending prefill does not end the attempt.

    Otherwise the prefill is repeated elsewhere, which stalls the streams there and
    delayed responses by eight seconds.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    start_peer_prefill(bench, first.endpoint)
    answer_from_zone(bench, "b")
    stall(bench, first)
    case.assertEqual([], end_requests(bench))
    bench.handle_after(READING * (1 + OVERRUN_SHARE), Tick())
    answer_from_zone(bench, "c")
    stall(bench, first)
    case.assertEqual(1, len(end_requests(bench)))


def test_a_stalled_call_in_a_silent_zone_is_moved() -> None:
    """Behind a network partition, pending prefill does not excuse a stall."""
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    start_peer_prefill(bench, first.endpoint)
    stall(bench, first)
    case.assertEqual(1, len(end_requests(bench)))


def test_a_stalled_call_continues_if_other_endpoints_are_full() -> None:
    """Stalled calls are not moved from one full engine to another.

    Each would lose its prefill and repeat it on an engine with a queue, which prolonged
    a flood by eight seconds.
    """
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    for name in (f"b{n}" for n in range(2 * SLOTS - 1)):
        bench.begin(request_of(bench, name))
    stall(bench, first)
    case.assertEqual([], end_requests(bench))


def test_a_stalled_call_continues_if_others_have_a_long_prefill_backlog() -> None:
    bench = gateway_bench(endpoints=2)
    first = bench.begin(request_of(bench, "a"))
    other = bench.begin(request_of(bench, "b"))
    case.assertNotEqual(first.endpoint, other.endpoint)
    start_peer_prefill(bench, other.endpoint)
    stall(bench, first)
    case.assertEqual([], end_requests(bench))


def started_stream(bench: ReservingBench, time: timedelta) -> Dispatch:
    """Start the response of a long prompt among others, and let time pass."""
    for number in range(OTHERS):
        bench.serve(Submit(huge_request(f"b{number}", prompt=SHORT_PROMPT)))
    bench.serve(Submit(huge_request("a", prompt=LONG_PROMPT, time=time)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    return first


def test_a_started_response_continues_if_it_cannot_be_repeated_in_time() -> None:
    """A started stream is not ended if its prefill cannot be repeated in time.

    Another endpoint has a free slot, but the placer would reject the call, and the
    stall of the healthy endpoint ends by itself.
    """
    bench = reserving_bench(engines=3)
    first = started_stream(bench, SILENCE * 1.5)
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def test_a_started_response_continues_if_it_would_queue() -> None:
    """A started stream is not ended if it would wait behind older calls.

    Its deadline would pass in the queue.
    """
    bench = reserving_bench(engines=3)
    first = started_stream(bench, SILENCE * 9)
    for engine in bench.engines.values():
        engine.taken = MEMORY
    for number in range(QUEUE_MISSES):
        now = bench.clock.monotonic()
        bench.serve(Submit(huge_request(f"w{number}", now, time=SILENCE * 60)))
    case.assertEqual(QUEUE_MISSES, len(bench.kernel.state.waiting))
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def assert_not_ended(bench: ReservingBench, first: Dispatch) -> None:
    """Check that a stalled attempt continues though another engine has a slot."""
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    case.assertEqual([], list(bench.emitted(EndSilentAttempt)))


def test_a_started_response_continues_if_its_engine_would_be_the_same() -> None:
    """A started stream is not ended if it would be placed on the same engine.

    The only free slot is on an engine outside this instance's subset.
    """
    bench = reserving_bench(engines=3)
    first = started_stream(bench, SILENCE * 9)
    placer = bench.kernel.plugin(WorkPlacer)
    placer.engine_subset = lambda views: [
        v for v in views if v.endpoint == first.endpoint
    ]
    assert_not_ended(bench, first)


def test_a_started_response_continues_if_its_memory_may_be_denied() -> None:
    """A started stream is not ended if its next placement needs reservations.

    Its prompt is larger than one engine, and memory that seems free may be denied.
    """
    bench = reserving_bench(engines=6)
    now = bench.clock.monotonic()
    bench.serve(Submit(huge_request("a", now, time=SILENCE * 300)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    assert_not_ended(bench, first)


def test_a_started_response_continues_if_its_content_is_quarantined() -> None:
    """A started stream is not ended if its content has been quarantined.

    The placer would reject its next attempt.
    """
    bench = reserving_bench(engines=3)
    first = started_stream(bench, SILENCE * 9)
    record = bench.kernel.state.requests[first.request_id]
    crashed = [f"gone-{number}" for number in range(9)]
    now = bench.clock.monotonic()
    for report in peer_crashes(record.request.body_digest, crashed, now):
        bench.serve(report)
    assert_not_ended(bench, first)


def test_a_started_response_continues_if_its_prefill_is_expensive() -> None:
    """A started stream is not ended if repeating its prefill takes too long.

    A new call of its size would be tried even if time seems too short, but a call whose
    prefill has already run is rejected.
    """
    bench = reserving_bench(engines=3)
    prompt, now = 2 * LONG_PROMPT, bench.clock.monotonic()
    bench.serve(Submit(huge_request("a", now, prompt=prompt, time=SILENCE * 2)))
    first = bench.last_dispatch("a")
    bench.serve(FirstToken(first.request_id, first.attempt))
    bench.run(SILENCE)
    assert_not_ended(bench, first)


def test_a_started_response_is_repeated_if_capacity_and_time_allow() -> None:
    bench = reserving_bench(engines=3)
    first = started_stream(bench, SILENCE * 9)
    bench.serve(AttemptSilent(first.request_id, first.attempt, SILENCE))
    (effect,) = bench.emitted(EndSilentAttempt)
    bench.serve(effect.failure)
    bench.run(MILLISECOND * 50)
    second = bench.last_dispatch("a")
    case.assertNotEqual(first.endpoint, second.endpoint)


def test_a_stall_of_an_earlier_attempt_is_ignored() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    stall(bench, first)
    bench.handle(end_requests(bench)[-1].failure)
    second = bench.retried(first)
    assert second is not None
    stall(bench, first)
    case.assertEqual(1, len(end_requests(bench)))


def test_a_stream_stalls_before_its_caller_times_out() -> None:
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
    timeouts = stall_timeouts_for(request)
    assert timeouts is not None
    case.assertLess(timeouts.first_event, timedelta(seconds=1))
    case.assertGreater(timeouts.between_events, timedelta(milliseconds=500))


load_tests = function_tests(__name__)
