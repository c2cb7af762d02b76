"""Tests of zones whose instances have all fallen silent."""

from dataclasses import dataclass, field
from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.zone_suspicion import SUSPICION_PERIOD
from mimosafork.gateway.zone_watch import MAX_SILENCE, RENEWAL_INTERVAL, ZoneWatch
from mimosafork.ids import AvailabilityZoneId, EndpointId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.routing import ZoneReachable, ZoneUnreachable

from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, request_of
from .test_zone_suspicion import FAR, OTHER, bench_of_zones, zone_of

case = TestCase()

TICK = timedelta(milliseconds=50)
HALF = timedelta(milliseconds=500)
CALLS = 12
LONG = timedelta(seconds=60)


@dataclass(frozen=True)
class Answering:
    """An open attempt."""

    endpoint: EndpointId
    event_received_at: timedelta | None


@dataclass
class Watched:
    """A watch, and what it is told and reports."""

    now: timedelta = timedelta(seconds=100)
    silent: dict[AvailabilityZoneId, timedelta] = field(default_factory=dict)
    attempts: list[Answering] = field(default_factory=list)
    posted: list[Message] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.watch = ZoneWatch(self.posted.append, lambda endpoint: FAR)
        self.watch.silent_zones = lambda: self.silent

    def run(self, span: timedelta) -> None:
        """Look at each tick of a time in which nothing else is received."""
        end = self.now + span
        while self.now < end:
            self.watch.check(self.attempts, self.now)
            self.now += TICK
            self.silent = {zone: t + TICK for zone, t in self.silent.items()}


def test_a_silent_zone_is_reported_until_it_is_received() -> None:
    watched = Watched(silent={FAR: HALF})
    watched.run(3 * RENEWAL_INTERVAL)
    since = timedelta(seconds=100) - HALF
    case.assertEqual([ZoneUnreachable(FAR, since)] * 3, watched.posted)
    case.assertLess(RENEWAL_INTERVAL, SUSPICION_PERIOD)
    watched.silent = {}
    watched.run(TICK)
    case.assertEqual(ZoneReachable(FAR), watched.posted[-1])


def test_an_answer_from_a_zone_speaks_against_its_silence() -> None:
    """Endpoints must not be avoided where all instances beside them were killed."""
    watched = Watched(silent={FAR: HALF})
    watched.attempts = [Answering(EndpointId("e"), watched.now - HALF / 2)]
    watched.run(RENEWAL_INTERVAL)
    case.assertEqual([], watched.posted)


def test_an_attempt_that_was_silent_before_says_nothing() -> None:
    watched = Watched(silent={FAR: HALF})
    watched.attempts = [
        Answering(EndpointId("e"), watched.now - HALF * 2),
        Answering(EndpointId("f"), None),
    ]
    watched.run(TICK)
    since = timedelta(seconds=100) - HALF
    case.assertEqual([ZoneUnreachable(FAR, since)], watched.posted)


def test_a_zone_without_instances_is_tried_again_after_a_while() -> None:
    """A zone that lost its instances alone must not lose its endpoints for good."""
    watched = Watched(silent={FAR: MAX_SILENCE + TICK})
    watched.run(3 * RENEWAL_INTERVAL)
    case.assertEqual([], watched.posted)


def sent_to(bench: GatewayBench, name: str) -> list[str]:
    """Let calls come at the same moment; return the zones they go to."""
    for number in range(CALLS):
        bench.begin(request_of(bench, f"{name}{number}", time=LONG))
    sent = [d for d in bench.emitted(Dispatch) if d.request_id.startswith(name)]
    for dispatch in sent:
        bench.finish(dispatch)
    return [zone_of(dispatch) for dispatch in sent]


def test_no_call_is_sent_into_a_cut_zone_once_its_instances_are_silent() -> None:
    """Calls must not find out a partition one by one, each by its own time-out."""
    bench = bench_of_zones(FAR, OTHER)
    case.assertIn(FAR, sent_to(bench, "before"))
    bench.clock.advance(HALF)
    bench.handle(ZoneUnreachable(FAR, bench.clock.monotonic() - HALF / 2))
    case.assertNotIn(FAR, sent_to(bench, "cut"))
    bench.handle(ZoneReachable(FAR))
    case.assertIn(FAR, sent_to(bench, "healed"))


def test_an_endpoint_that_has_answered_since_keeps_its_zone() -> None:
    """A first event that came after the last datagram shows that the zone is there."""
    bench = bench_of_zones(FAR, OTHER)
    since = bench.clock.monotonic()
    bench.clock.advance(HALF)
    case.assertIn(FAR, sent_to(bench, "answered"))
    bench.handle(ZoneUnreachable(FAR, since))
    case.assertIn(FAR, sent_to(bench, "after"))


load_tests = function_tests(__name__)
