"""What is left behind by a silent attempt that stayed open beside another one."""

import asyncio
from contextlib import suppress
from datetime import timedelta
from unittest import TestCase

from msgspec.structs import astuple, replace

from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.ids import EndpointId, InstanceId
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptHedged,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
    RetryDue,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.routing import EndpointLeaving, EndpointUsable
from mimosafork.kernel.messages.sharing import PublishWork, PublishWorkEnd
from mimosafork.placement.load_tracker import LoadTracker, PrefillPart
from mimosafork.routing.listing import ListedEndpoint, ListedState

from ...support.functions import function_tests
from ...support.gateway_kernels import DEADLINE, GatewayBench, gateway_bench, request_of
from .test_moved_streams import (
    ENGINES,
    FULL,
    HEAD,
    LAST,
    SECOND,
    ZONE,
    Endpoints,
    engines,
    event,
)

case = TestCase()

MOMENT = timedelta(milliseconds=1)


def hedge(bench: GatewayBench, dispatch: Dispatch) -> None:
    """Let an attempt be silent, and stay open while another one is tried."""
    silent = AttemptFailed(
        dispatch.request_id,
        dispatch.attempt,
        FailureKind.STALLED,
        Exposure.POSSIBLE,
        endpoint=dispatch.endpoint,
    )
    bench.handle(AttemptHedged(*astuple(silent)))


def test_a_restored_stream_that_breaks_later_still_waits_for_a_place() -> None:
    """A stream is cut at once though its call has not waited.

    It was hedged while all other places were taken, so that its call waited for some
    time, and went on by itself. When it broke off seconds later, the wait was counted
    from back then.
    """
    bench = gateway_bench(endpoints=1)
    first = bench.begin(request_of(bench, "1"))
    bench.handle(FirstToken(first.request_id, first.attempt))
    bench.handle(EndpointLeaving(first.endpoint))
    hedge(bench, first)
    bench.handle_after(MOMENT * 30, RetryDue(first.request_id))
    bench.handle(HedgedAttemptResumed(first.request_id, first.attempt))
    bench.handle_after(DEADLINE / 2, Tick())
    bench.fail(first)
    bench.handle_after(MOMENT * 30, RetryDue(first.request_id))
    case.assertIsNone(bench.conclusion("1"))


def test_a_restored_attempt_is_in_the_book_where_both_had_one_host() -> None:
    """An engine gets more calls than it has slots for.

    All others had left, so that the second attempt went to the host of the first. Its
    end dropped the work of both.
    """
    bench = gateway_bench(endpoints=1)
    first = bench.begin(request_of(bench, "1"))
    bench.handle(FirstToken(first.request_id, first.attempt))
    hedge(bench, first)
    second = bench.retried(first)
    assert second is not None
    case.assertEqual(first.endpoint, second.endpoint)
    bench.fail(second, FailureKind.REFUSED, Exposure.REFUSED, 503, "not-run")
    bench.handle(HedgedAttemptResumed(first.request_id, first.attempt))
    book = bench.kernel.plugin(WorkPlacer).load_tracker
    case.assertEqual([first.request_id], list(book.own))


def test_a_restored_work_says_nothing_of_the_age_of_words() -> None:
    """Peers take words for late, and spread their calls, as one stream paused.

    They heard the end of its work at its first silence, and of its beginning anew when
    it went on: as of a work whose first word took seconds.
    """
    bench = gateway_bench(endpoints=2)
    peer_book = LoadTracker()
    first = bench.begin(request_of(bench, "1"))
    take_words(bench, peer_book)
    bench.handle(FirstToken(first.request_id, first.attempt))
    bench.handle_after(3 * SECOND, Tick())
    hedge(bench, first)
    take_words(bench, peer_book)
    bench.handle_after(MOMENT, Tick())
    bench.handle(HedgedAttemptResumed(first.request_id, first.attempt))
    take_words(bench, peer_book)
    case.assertEqual(0.0, peer_book.report_delay.mean_s)


def take_words(bench: GatewayBench, peer_book: LoadTracker) -> None:
    """Let a peer hear what was told of works, as of those of an engine."""
    now = bench.clock.monotonic()
    instance = InstanceId("entry-1")
    for effect in bench.effects:
        if isinstance(effect, PublishWork):
            parts = (PrefillPart(effect.work.host, 10, 1.0),)
            work = replace(effect.work, parts=parts)
            peer_book.update_peer(instance, (work,), (), now)
        elif isinstance(effect, PublishWorkEnd):
            peer_book.update_peer(instance, (), (effect.request_id,), now)
    bench.effects.clear()


class Breaking(Endpoints):
    """Break off the first silent stream, and let the second one pause too."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                self.arrivals += 1
                if self.arrivals == 1:
                    writer.write(HEAD + event(1))
                    await asyncio.sleep(1.1)
                    break
                if self.arrivals == 2:
                    writer.write(HEAD)
                    await asyncio.sleep(0.4)
                    writer.write(event(2))
                    await asyncio.sleep(1.5)
                    writer.write(event(3) + LAST)
                    continue
                writer.write(FULL)
        writer.close()


def test_a_second_silence_is_hedged_after_the_first_attempt_has_broken() -> None:
    """A caller is cut in the middle though the endpoint of its stream is sound.

    The first endpoint fell silent and its connection broke; the second one went on,
    and paused. The broken attempt was still noted as the hedged one.
    """
    served = Breaking(before=1)
    with engines(served) as door:
        gateway = door.front
        assert isinstance(gateway, Gateway)
        listed = ListedEndpoint(
            EndpointId("c"),
            ENGINES,
            _address(gateway),
            ZONE,
            8,
            ListedState.READY,
        )
        gateway.post(EndpointUsable(listed))
        caller = door.connect()
        headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "15000"}
        caller.send("/stream/1", b"", **headers)
        door.run(4 * SECOND)
        case.assertEqual([200], caller.statuses)
        case.assertEqual({}, gateway.hedged_attempts)
        case.assertTrue(caller.read().endswith(LAST), caller.read()[-80:])


def _address(gateway: Gateway) -> str:
    placer = gateway.kernel.plugin(WorkPlacer)
    assert placer.fleet is not None
    return next(iter(placer.fleet.endpoints.values())).listed.address


load_tests = function_tests(__name__)
