"""Tests of which content the evidence of crashes points at."""

from datetime import timedelta
from itertools import permutations
from unittest import TestCase

from mimosafork.ids import AccountId, Digest, EndpointId
from mimosafork.kernel.messages.crashes import InterruptedRun, RunPhase
from mimosafork.quarantine.crash_ledger import (
    MAX_CONDEMNED,
    MAX_RECORDS,
    MAX_SUCCESSES,
    CrashLedger,
)
from mimosafork.quarantine.crash_record import MAX_RUNS
from mimosafork.quarantine.judgement import (
    BODY_CRASHES,
    BODY_CRASHES_WHILE_ANSWERING,
    EVIDENCE_RETENTION,
    PART_CRASHES,
    UNLIKELY_PART_CRASHES,
)

from ...support.crash_messages import interrupted
from ...support.functions import function_tests

case = TestCase()

SECOND = timedelta(seconds=1)
START = timedelta(seconds=100)
SYSTEM, POISON, TOPIC = Digest("s/system"), Digest("s/poison"), Digest("s/topic")
POISONED = (SYSTEM, POISON, TOPIC)


def at(number: float) -> timedelta:
    """Return the instant of a numbered crash."""
    return START + number * SECOND


def crash(
    ledger: CrashLedger,
    number: int,
    parts: tuple[Digest, ...] = POISONED,
    phase: RunPhase = RunPhase.BEGUN,
    body: str = "",
    account: str = "account-a",
) -> EndpointId:
    """Record that an endpoint has crashed under a request; return the endpoint."""
    endpoint = EndpointId(f"e{number}")
    content = Digest(body or f"body-{number}")
    run = interrupted(content, at(number), parts, phase, AccountId(account))
    ledger.add(endpoint, run)
    return endpoint


def ledger_with_successes() -> CrashLedger:
    """Return a ledger of a fleet that has answered prompts with the other parts."""
    ledger = CrashLedger()
    for part in (SYSTEM, TOPIC):
        ledger.succeed(part, START - SECOND)
    return ledger


def causes(ledger: CrashLedger, *contents: Digest) -> set[Digest]:
    """Return the contents against which the evidence is sufficient."""
    return {content for content in contents if ledger.is_cause(content)}


def test_a_part_is_the_cause_after_crashes_in_sequence_under_other_bodies() -> None:
    """Requests with one part crash endpoint after endpoint, no two alike."""
    ledger = CrashLedger()
    for number in range(PART_CRASHES):
        case.assertEqual(set(), causes(ledger, *POISONED))
        ledger.succeed(SYSTEM, at(number - 0.5))
        ledger.succeed(TOPIC, at(number - 0.5))
        crash(ledger, number)
    case.assertEqual({POISON}, causes(ledger, *POISONED))


def test_parts_that_succeed_between_crashes_are_not_the_cause() -> None:
    """Endpoints that crash by themselves condemn the part that all requests share."""
    ledger = CrashLedger()
    for number in range(40):
        crash(ledger, number, (SYSTEM,))
        ledger.succeed(SYSTEM, at(number + 0.5))
        case.assertFalse(ledger.is_cause(SYSTEM))


def test_endpoints_that_crash_together_condemn_no_part() -> None:
    """A zone loses power while all its endpoints begin requests with one part."""
    ledger = CrashLedger()
    for number in range(20):
        run = interrupted(Digest(f"body-{number}"), START, POISONED, RunPhase.BEGUN)
        ledger.add(EndpointId(f"e{number}"), run)
    case.assertEqual(set(), causes(ledger, *POISONED))


def test_a_part_that_was_answered_before_needs_more_crashes() -> None:
    """A part of most requests is refused after a few unrelated crashes."""
    ledger = CrashLedger()
    ledger.succeed(SYSTEM, START - SECOND)
    for number in range(UNLIKELY_PART_CRASHES):
        case.assertFalse(ledger.is_cause(SYSTEM))
        crash(ledger, number, (SYSTEM,))
    case.assertTrue(ledger.is_cause(SYSTEM))


def test_parts_that_explain_crashes_alike_need_more_of_them() -> None:
    """An instance that has just started refuses a sound part with the poisoned one.

    It knows no success of either, and the next one tells them apart.
    """
    ledger = CrashLedger()
    for number in range(UNLIKELY_PART_CRASHES - 1):
        crash(ledger, number)
        case.assertEqual(set(), causes(ledger, *POISONED))
    ledger.succeed(SYSTEM, at(-1))
    ledger.succeed(TOPIC, at(-1))
    case.assertEqual({POISON}, causes(ledger, *POISONED))


def test_a_body_that_is_sent_again_condemns_no_part_of_its_prompt() -> None:
    """All calls with a topic are refused as one caller repeats a poisoned body."""
    ledger = CrashLedger()
    for number in range(12):
        crash(ledger, number, body="body")
        if ledger.is_cause(Digest("body")):
            ledger.condemn(Digest("body"))
        case.assertEqual(set(), causes(ledger, *POISONED))
    case.assertTrue(ledger.is_cause(Digest("body")))


def test_a_part_is_found_although_its_first_body_was_condemned() -> None:
    """Each request with the part is retried until its body is condemned for itself."""
    ledger = ledger_with_successes()
    for number in range(BODY_CRASHES):
        crash(ledger, number, body="first")
    ledger.condemn(Digest("first"))
    case.assertFalse(ledger.is_cause(POISON))
    crash(ledger, BODY_CRASHES, body="second")
    case.assertTrue(ledger.is_cause(POISON))


def test_crashes_that_one_content_explains_count_against_no_other() -> None:
    """Bystanders of a condemned part are refused for the crashes that it caused."""
    ledger = CrashLedger()
    bystander = Digest("bystander")
    for number in range(BODY_CRASHES):
        crash(ledger, number, (POISON,))
        run = interrupted(bystander, at(number), (TOPIC,), RunPhase.PENDING)
        ledger.add(EndpointId(f"e{number}"), run)
    case.assertTrue(ledger.is_cause(bystander))
    ledger.condemn(POISON)
    case.assertFalse(ledger.is_cause(bystander))
    case.assertTrue(ledger.is_cause(POISON))


def test_requests_that_waited_are_no_suspects_beside_one_that_had_begun() -> None:
    """A part is refused because its requests queued at endpoints that crashed."""
    ledger = CrashLedger()
    for number in range(PART_CRASHES):
        run = interrupted(Digest(f"w{number}"), at(number), (TOPIC,), RunPhase.PENDING)
        ledger.add(EndpointId(f"e{number}"), run)
    case.assertTrue(ledger.is_cause(TOPIC))
    for number in range(PART_CRASHES):
        crash(ledger, number, (POISON,))
    case.assertEqual({POISON}, causes(ledger, TOPIC, POISON))


def test_a_body_that_had_been_answering_needs_more_crashes() -> None:
    """A long answer is refused as its endpoints crash under other requests."""
    ledger = CrashLedger()
    for number in range(BODY_CRASHES_WHILE_ANSWERING):
        case.assertFalse(ledger.is_cause(Digest("body")))
        crash(ledger, number, (), RunPhase.ANSWERING, "body")
    case.assertTrue(ledger.is_cause(Digest("body")))


def test_an_endpoint_that_answers_a_later_request_had_not_crashed() -> None:
    """A network partition that breaks connections condemns what ran behind it."""
    ledger = ledger_with_successes()
    for number in range(PART_CRASHES):
        crash(ledger, number)
    case.assertTrue(ledger.is_cause(POISON))
    case.assertEqual(0, ledger.refute(EndpointId("e0"), at(-1)))
    case.assertEqual(1, ledger.refute(EndpointId("e0"), at(0.5)))
    case.assertFalse(ledger.is_cause(POISON))
    crash(ledger, 0)
    case.assertFalse(ledger.is_cause(POISON))


def test_an_endpoint_may_crash_after_it_was_found_alive() -> None:
    """An endpoint whose connection was reset once never counts as crashed again."""
    ledger = CrashLedger()
    endpoint = EndpointId("e0")
    ledger.add(endpoint, interrupted(Digest("body"), at(0)))
    ledger.refute(endpoint, at(1))
    ledger.add(endpoint, interrupted(Digest("body"), at(2)))
    case.assertEqual({endpoint}, ledger.crashes(Digest("body")))


def test_evidence_counts_alike_in_whatever_order_it_is_received() -> None:
    """Instances that receive the same reports in another order refuse other requests.

    The verdict must not depend on the order of datagrams.
    """
    runs = [
        interrupted(Digest(f"body-{n}"), at(n), POISONED, RunPhase.BEGUN)
        for n in range(PART_CRASHES)
    ]

    steps: list[tuple[str, int]] = [("run", n) for n in range(PART_CRASHES)]
    steps += [("success", 0), ("success", 1)]
    for order in permutations(steps):
        ledger = CrashLedger()
        for kind, number in order:
            if kind == "run":
                ledger.add(EndpointId(f"e{number}"), runs[number])
            else:
                ledger.succeed((SYSTEM, TOPIC)[number], at(0.5 + number))
        case.assertEqual({POISON}, causes(ledger, *POISONED), order)


def test_old_evidence_is_forgotten() -> None:
    """Crashes of one day add up to a refusal on the next."""
    ledger = CrashLedger()
    for number in range(PART_CRASHES - 1):
        crash(ledger, number)
    late = at(PART_CRASHES) + EVIDENCE_RETENTION + SECOND
    run = interrupted(Digest("late"), late, POISONED, RunPhase.BEGUN)
    ledger.add(EndpointId("late"), run)
    case.assertFalse(ledger.is_cause(POISON))
    case.assertEqual([EndpointId("late")], list(ledger.records))


def test_made_up_parts_and_bodies_take_limited_memory() -> None:
    """One caller fills the memory of all instances with parts that it makes up."""
    ledger = CrashLedger()
    for number in range(4 * MAX_RECORDS):
        parts = tuple(Digest(f"p{number}-{each}") for each in range(4))
        for body in range(2 * MAX_RUNS):
            run = interrupted(Digest(f"b{number}-{body}"), START, parts)
            ledger.add(EndpointId(f"e{number}"), run)
    for number in range(2 * MAX_SUCCESSES):
        ledger.succeed(Digest(f"p{number}"), START)
    case.assertLessEqual(len(ledger.records), MAX_RECORDS)
    runs = MAX_RECORDS * MAX_RUNS
    case.assertLessEqual(len(ledger.by_content), runs + 4 * MAX_RECORDS)
    case.assertLessEqual(len(ledger.successes), MAX_SUCCESSES)
    for number in range(2 * MAX_CONDEMNED):
        ledger.condemn(Digest(f"p{number}"))
    case.assertEqual(MAX_CONDEMNED, len(ledger.condemned))


def runs_of(ledger: CrashLedger) -> list[InterruptedRun]:
    """Return all runs of a ledger."""
    return [run for record in ledger.records.values() for run in record.runs.values()]


def test_one_break_that_two_instances_report_counts_once() -> None:
    """Clocks that differ by some milliseconds double the evidence of one crash."""
    ledger = CrashLedger()
    for offset in (0.0, 0.004, -0.004):
        run = interrupted(Digest("body"), at(offset), POISONED, RunPhase.PENDING)
        ledger.add(EndpointId("e0"), run)
    case.assertEqual(1, len(runs_of(ledger)))
    run = interrupted(Digest("body"), at(0.004), POISONED, RunPhase.BEGUN)
    case.assertTrue(ledger.add(EndpointId("e0"), run))
    case.assertEqual([RunPhase.BEGUN], [each.phase for each in runs_of(ledger)])


load_tests = function_tests(__name__)
