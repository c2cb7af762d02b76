"""Tests of the quarantine of prompt parts in one instance."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.intake import MAX_PART_KEY, part_digests
from mimosafork.gateway.policies.quarantining import STAGGER, CrashQuarantine
from mimosafork.gateway.policies.success_reports import MAX_DELAY, SuccessReportDue
from mimosafork.ids import AccountId, Digest, EndpointId, ServiceId
from mimosafork.kernel.messages.attempts import FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.crashes import (
    PeerRunInterrupted,
    PeerSuccessReported,
    PublishQuarantine,
    PublishRefutation,
    PublishSuccess,
    Quarantine,
    QuarantineReceived,
    RunPhase,
)
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import Request
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.quarantine.judgement import PART_CRASHES, UNLIKELY_PART_CRASHES

from ...support.crash_messages import ACCOUNT, interrupted
from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, gateway_bench, request_of

case = TestCase()

SECOND = timedelta(seconds=1)
SYSTEM, POISON, TOPIC = Digest("s/system"), Digest("s/poison"), Digest("s/topic")


def call(bench: GatewayBench, name: str, *parts: Digest) -> Request:
    """Return a call with a body of its own and some parts."""
    request = request_of(bench, name)
    return replace(request, body_digest=Digest(f"body-{name}"), prompt_parts=parts)


def report(
    bench: GatewayBench,
    number: int,
    parts: tuple[Digest, ...] = (SYSTEM, POISON, TOPIC),
    account: AccountId = ACCOUNT,
) -> None:
    """Receive a peer's report of a crash under a call that had begun."""
    bench.clock.advance(SECOND)
    now = bench.clock.monotonic()
    run = interrupted(Digest(f"peer-{number}"), now, parts, RunPhase.BEGUN, account)
    bench.handle(PeerRunInterrupted(EndpointId(f"gone-{number}"), run))


def is_sent(bench: GatewayBench, request: Request) -> Dispatch | None:
    """Submit a call; return its attempt if it is sent."""
    bench.submit(request)
    sent = bench.dispatches(request.request_id)
    return sent[-1] if sent else None


def test_calls_with_the_common_part_are_refused_and_others_sent() -> None:
    """Sound calls that share all other parts are refused with the poisoned ones."""
    bench = gateway_bench(endpoints=6)
    for number in range(PART_CRASHES):
        first = is_sent(bench, call(bench, f"sound{number}-a", SYSTEM, TOPIC))
        assert first is not None
        bench.finish(first)
        report(bench, number)
    case.assertIsNone(is_sent(bench, call(bench, "bad-1", SYSTEM, POISON, TOPIC)))
    case.assertIsNotNone(is_sent(bench, call(bench, "good-1", SYSTEM, TOPIC)))
    other = replace(call(bench, "other-1", POISON), account=AccountId("account-b"))
    case.assertIsNotNone(is_sent(bench, other))


def test_calls_of_all_accounts_are_refused_after_crashes_of_two() -> None:
    bench = gateway_bench(endpoints=6)
    for number in range(PART_CRASHES):
        account = AccountId(f"account-{number % 2}")
        report(bench, number, (POISON,), account)
    for name in ("account-0", "account-1", "account-2"):
        request = replace(call(bench, f"{name}-1", POISON), account=AccountId(name))
        case.assertIsNone(is_sent(bench, request))


def test_a_part_with_which_peers_had_success_needs_more_crashes() -> None:
    """An instance that never ran a part condemns it although its peers serve it."""
    bench = gateway_bench(endpoints=6)
    bench.handle(PeerSuccessReported(SYSTEM, bench.clock.monotonic()))
    for number in range(UNLIKELY_PART_CRASHES):
        case.assertIsNotNone(is_sent(bench, call(bench, f"a{number}-a", SYSTEM)))
        report(bench, number, (SYSTEM,))
    case.assertIsNone(is_sent(bench, call(bench, "last-1", SYSTEM)))


def test_a_success_that_is_received_late_lifts_a_quarantine() -> None:
    """A sound part stays refused as a peer's success overtook nothing."""
    bench = gateway_bench(endpoints=6)
    before = bench.clock.monotonic()
    for number in range(PART_CRASHES):
        report(bench, number, (SYSTEM,))
    case.assertIsNone(is_sent(bench, call(bench, "a-1", SYSTEM)))
    bench.handle(PeerSuccessReported(SYSTEM, before))
    case.assertIsNotNone(is_sent(bench, call(bench, "b-1", SYSTEM)))


def test_an_earlier_success_is_published_when_peers_suspect_the_part() -> None:
    """Peers condemn a part because the successes of one instance are unknown."""
    bench = gateway_bench(endpoints=6)
    first = bench.begin(call(bench, "a-1", SYSTEM))
    bench.finish(first)
    case.assertEqual([], bench.emitted(PublishSuccess))
    report(bench, 0, (SYSTEM,))
    (due,) = [e for e in bench.emitted(WakeAt) if e.message == SuccessReportDue(SYSTEM)]
    case.assertLessEqual(due.at - bench.clock.monotonic(), MAX_DELAY)
    bench.handle_after(MAX_DELAY, due.message)
    case.assertEqual([SYSTEM], [e.content for e in bench.emitted(PublishSuccess)])
    report(bench, 1, (SYSTEM,))
    case.assertEqual(1, len(bench.emitted(PublishSuccess)))


def test_a_success_that_a_peer_has_published_is_not_published_again() -> None:
    """The answers to one suspicion grow with the fleet."""
    bench = gateway_bench(endpoints=6)
    bench.finish(bench.begin(call(bench, "a-1", SYSTEM)))
    report(bench, 0, (SYSTEM,))
    bench.handle(PeerSuccessReported(SYSTEM, bench.clock.monotonic()))
    bench.handle_after(MAX_DELAY, SuccessReportDue(SYSTEM))
    case.assertEqual([], bench.emitted(PublishSuccess))


def test_an_endpoint_that_answers_again_refutes_its_crash() -> None:
    """A reset of connections counts as a crash for all instances."""
    bench = gateway_bench(endpoints=1)
    bench.fail(bench.begin(call(bench, "a-1", SYSTEM)))
    bench.clock.advance(SECOND)
    bench.handle_after(10 * SECOND, Tick())
    later = bench.begin(call(bench, "b-1", SYSTEM))
    bench.clock.advance(SECOND)
    bench.finish(later)
    (refuted,) = bench.emitted(PublishRefutation)
    case.assertEqual(later.endpoint, refuted.endpoint)


def test_a_received_decision_is_published_again_and_not_stored() -> None:
    """A decision is lost with the instance that took it."""
    bench = gateway_bench(endpoints=1)
    now = bench.clock.monotonic()
    decision = Quarantine(POISON, (ACCOUNT,), now, now + 60 * SECOND, crashes=3)
    bench.handle(QuarantineReceived(decision))
    bench.handle(QuarantineReceived(decision))
    (published,) = bench.emitted(PublishQuarantine)
    case.assertFalse(published.is_own)
    case.assertIsNone(is_sent(bench, call(bench, "bad-1", POISON)))


def test_a_decision_without_its_evidence_is_not_reviewed() -> None:
    """An instance that has just started lifts what its peers have quarantined."""
    bench = gateway_bench(endpoints=3)
    now = bench.clock.monotonic()
    decision = Quarantine(POISON, (ACCOUNT,), now, now + 60 * SECOND, crashes=3)
    bench.handle(QuarantineReceived(decision))
    bench.fail(bench.begin(call(bench, "a-1", SYSTEM)))
    report(bench, 0, (TOPIC,))
    bench.handle(PeerSuccessReported(POISON, now - SECOND))
    case.assertIsNone(is_sent(bench, call(bench, "bad-1", POISON)))


def test_calls_that_wait_are_refused_once_a_part_is_quarantined() -> None:
    """Waiting calls with the part crash the next endpoints that are listed."""
    bench = gateway_bench(endpoints=0)
    bench.submit(call(bench, "bad-1", POISON))
    bench.submit(call(bench, "good-1", SYSTEM))
    for number in range(PART_CRASHES):
        report(bench, number, (POISON,))
    bench.list_endpoint("desk-0")
    bench.handle_after(SECOND, Tick())
    case.assertEqual([], bench.dispatches("bad-1"))
    case.assertEqual(1, len(bench.dispatches("good-1")))


def test_calls_with_a_suspected_part_run_one_at_a_time_and_hold_up_no_others() -> None:
    """Calls that wait for the verdict on their part block the queue for sound ones."""
    bench = gateway_bench(endpoints=6)
    report(bench, 0, (POISON,))
    for number in range(8):
        bench.submit(call(bench, f"s{number}-1", POISON))
    sent = [n for n in range(8) if bench.dispatches(f"s{n}-1")]
    case.assertEqual([0], sent)
    for number in range(4):
        sound = is_sent(bench, call(bench, f"good{number}-1", SYSTEM))
        case.assertIsNotNone(sound)
    bench.finish(bench.dispatches("s0-1")[-1])
    bench.handle_after(SECOND, Tick())
    case.assertTrue(all(bench.dispatches(f"s{number}-1") for number in range(8)))


def test_instances_try_a_suspected_part_in_turn() -> None:
    """All instances of a fleet send their next call with a part at the same moment."""
    bench = gateway_bench(endpoints=6)
    quarantine = bench.kernel.plugin(CrashQuarantine)
    quarantine.register.rank = lambda content: 2
    report(bench, 0, (POISON,))
    bench.submit(call(bench, "a-1", POISON))
    case.assertEqual([], bench.dispatches("a-1"))
    bench.handle_after(2 * STAGGER, Tick())
    case.assertEqual(1, len(bench.dispatches("a-1")))


def test_failures_that_are_no_crashes_leave_no_evidence() -> None:
    """Grey endpoints that garble or reject answers condemn sound parts."""
    bench = gateway_bench(endpoints=6)
    for number, kind in enumerate((FailureKind.INVALID, FailureKind.STALLED)):
        bench.fail(bench.begin(call(bench, f"a{number}-1", SYSTEM)), kind)
    ledger = bench.kernel.plugin(CrashQuarantine).ledger
    case.assertEqual({}, ledger.by_content)


def test_long_keys_of_parts_are_shortened() -> None:
    """Part ids of any length travel in each datagram."""
    short, long = part_digests(ServiceId("s"), ("ab", "cd" * 60))
    case.assertEqual("s/ab", short)
    case.assertLessEqual(len(long), MAX_PART_KEY)


load_tests = function_tests(__name__)
