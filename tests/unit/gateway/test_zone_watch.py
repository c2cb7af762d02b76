"""Tests of zones whose instances are all silent."""

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
class FakeAttempt:
    """An open attempt."""

    endpoint: EndpointId
    event_received_at: timedelta | None


@dataclass
class WatchHarness:
    """A zone watch with its inputs and its posted messages."""

    now: timedelta = timedelta(seconds=100)
    silent: dict[AvailabilityZoneId, timedelta] = field(default_factory=dict)
    attempts: list[FakeAttempt] = field(default_factory=list)
    posted: list[Message] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.watch = ZoneWatch(self.posted.append, lambda endpoint: FAR)
        self.watch.silent_zones = lambda: self.silent

    def run(self, span: timedelta) -> None:
        """Check at each tick while nothing else is received."""
        end = self.now + span
        while self.now < end:
            self.watch.check(self.attempts, self.now)
            self.now += TICK
            self.silent = {zone: t + TICK for zone, t in self.silent.items()}


def test_a_silent_zone_is_reported_until_it_is_received() -> None:
    harness = WatchHarness(silent={FAR: HALF})
    harness.run(3 * RENEWAL_INTERVAL)
    since = timedelta(seconds=100) - HALF
    case.assertEqual([ZoneUnreachable(FAR, since)] * 3, harness.posted)
    case.assertLess(RENEWAL_INTERVAL, SUSPICION_PERIOD)
    harness.silent = {}
    harness.run(TICK)
    case.assertEqual(ZoneReachable(FAR), harness.posted[-1])


def test_zone_with_answering_endpoint_is_not_reported() -> None:
    """Endpoints must stay usable if only the zone's instances were killed."""
    harness = WatchHarness(silent={FAR: HALF})
    harness.attempts = [FakeAttempt(EndpointId("e"), harness.now - HALF / 2)]
    harness.run(RENEWAL_INTERVAL)
    case.assertEqual([], harness.posted)


def test_attempt_without_recent_event_does_not_count() -> None:
    harness = WatchHarness(silent={FAR: HALF})
    harness.attempts = [
        FakeAttempt(EndpointId("e"), harness.now - HALF * 2),
        FakeAttempt(EndpointId("f"), None),
    ]
    harness.run(TICK)
    since = timedelta(seconds=100) - HALF
    case.assertEqual([ZoneUnreachable(FAR, since)], harness.posted)


def test_long_silent_zone_is_not_reported() -> None:
    """A zone that lost only its instances must not lose its endpoints permanently."""
    harness = WatchHarness(silent={FAR: MAX_SILENCE + TICK})
    harness.run(3 * RENEWAL_INTERVAL)
    case.assertEqual([], harness.posted)


def sent_to(bench: GatewayBench, name: str) -> list[str]:
    """Submit calls at the same instant; return the zones they are sent to."""
    for number in range(CALLS):
        bench.begin(request_of(bench, f"{name}{number}", time=LONG))
    sent = [d for d in bench.emitted(Dispatch) if d.request_id.startswith(name)]
    for dispatch in sent:
        bench.finish(dispatch)
    return [zone_of(dispatch) for dispatch in sent]


def test_calls_avoid_zone_whose_instances_are_silent() -> None:
    """Calls must not each detect a partition by their own timeout."""
    bench = bench_of_zones(FAR, OTHER)
    case.assertIn(FAR, sent_to(bench, "before"))
    bench.clock.advance(HALF)
    bench.handle(ZoneUnreachable(FAR, bench.clock.monotonic() - HALF / 2))
    case.assertNotIn(FAR, sent_to(bench, "cut"))
    bench.handle(ZoneReachable(FAR))
    case.assertIn(FAR, sent_to(bench, "healed"))


def test_zone_stays_usable_if_endpoint_answered_since() -> None:
    """An event received after the last datagram shows that the zone is reachable."""
    bench = bench_of_zones(FAR, OTHER)
    since = bench.clock.monotonic()
    bench.clock.advance(HALF)
    case.assertIn(FAR, sent_to(bench, "answered"))
    bench.handle(ZoneUnreachable(FAR, since))
    case.assertIn(FAR, sent_to(bench, "after"))


load_tests = function_tests(__name__)
