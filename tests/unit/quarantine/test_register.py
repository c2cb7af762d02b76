"""Tests of decisions on contents: their duration, trials, accounts and merging."""

from collections.abc import Iterable
from datetime import timedelta
from itertools import permutations
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.ids import AccountId, Digest, RequestId
from mimosafork.kernel.messages.crashes import Quarantine
from mimosafork.quarantine.register import (
    MAX_QUARANTINE_TIME,
    MAX_QUARANTINES,
    QUARANTINE_TIME,
    TRIAL_TIME,
    QuarantineRegister,
    QuarantineState,
)

from ...support.functions import function_tests

case = TestCase()

START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
PART = Digest("s/part")
ONE, OTHER, THIRD = AccountId("one"), AccountId("other"), AccountId("third")


def decided(
    register: QuarantineRegister, now: timedelta = START, *accounts: AccountId
) -> Quarantine | None:
    """Quarantine the part for some accounts."""
    return register.decide(PART, frozenset(accounts or (ONE,)), 3, now)


def is_refused(
    register: QuarantineRegister,
    now: timedelta,
    account: AccountId = ONE,
    request_id: str = "r",
) -> bool:
    """Return whether a request with the part is refused."""
    objection = register.objection(PART, account, RequestId(request_id), now)
    return objection is not None


def test_a_quarantine_ends_with_a_trial_that_succeeds() -> None:
    """A content stays refused for good after the endpoints were repaired."""
    register = QuarantineRegister()
    decided(register)
    case.assertTrue(is_refused(register, START + SECOND))
    over = START + QUARANTINE_TIME
    case.assertIs(QuarantineState.TRIAL, register.state(PART, over))
    case.assertFalse(is_refused(register, over))
    register.lift(PART, over)
    case.assertIs(QuarantineState.CLEAR, register.state(PART, over))


def test_one_request_at_a_time_is_admitted_as_a_trial() -> None:
    """All waiting requests with a content crash endpoints when its time is over."""
    register = QuarantineRegister()
    decided(register)
    over = START + QUARANTINE_TIME
    case.assertFalse(is_refused(register, over, request_id="first"))
    for number in range(20):
        case.assertTrue(is_refused(register, over, request_id=f"r{number}"))
    case.assertFalse(is_refused(register, over, request_id="first"))
    case.assertFalse(is_refused(register, over + TRIAL_TIME, request_id="next"))


def test_instances_that_hold_no_trials_admit_none() -> None:
    """Each instance of a fleet tries a content again at the same time."""
    register = QuarantineRegister()
    register.rank = lambda content: 1
    decided(register)
    case.assertTrue(is_refused(register, START + QUARANTINE_TIME))


def test_a_trial_that_crashes_doubles_the_time() -> None:
    """A content crashes an endpoint every ten minutes for good."""
    register = QuarantineRegister()
    now = START
    expected = QUARANTINE_TIME
    for _ in range(6):
        decision = decided(register, now)
        assert decision is not None
        case.assertEqual(expected, decision.until - now)
        now = decision.until
        expected = min(MAX_QUARANTINE_TIME, 2 * expected)


def test_a_quarantine_without_trials_is_forgotten() -> None:
    """A content that nobody sends any more is kept for good."""
    register = QuarantineRegister()
    decided(register)
    later = START + QUARANTINE_TIME + MAX_QUARANTINE_TIME
    case.assertIs(QuarantineState.CLEAR, register.state(PART, later))


def test_one_account_does_not_have_a_part_refused_to_others() -> None:
    """A caller crashes endpoints under a part that other accounts use."""
    register = QuarantineRegister()
    decided(register, START, ONE)
    case.assertTrue(is_refused(register, START, ONE))
    case.assertFalse(is_refused(register, START, OTHER))
    decided(register, START + SECOND, OTHER)
    for account in (ONE, OTHER, THIRD):
        case.assertTrue(is_refused(register, START + SECOND, account))


def received(decisions: Iterable[Quarantine]) -> QuarantineRegister:
    """Return a register that has received some decisions."""
    register = QuarantineRegister()
    for decision in decisions:
        register.receive(decision)
    return register


def test_decisions_merge_alike_in_any_order() -> None:
    """Instances disagree on a content because updates overtake each other."""
    first = Quarantine(PART, (ONE,), START, START + QUARANTINE_TIME, crashes=3)
    lifted = replace(first, decided_at=START + SECOND, lifted=True)
    again = replace(first, decided_at=START + 2 * SECOND)
    for order in permutations((first, lifted, again)):
        case.assertTrue(is_refused(received(order), START + 3 * SECOND))
    for decisions in ([first, lifted], [lifted, first, lifted]):
        case.assertFalse(is_refused(received(decisions), START + 3 * SECOND))


def test_a_decision_that_comes_back_changes_nothing() -> None:
    """Instances publish one decision to each other without end."""
    register = QuarantineRegister()
    decision = decided(register)
    assert decision is not None
    echo = replace(decision, decided_at=decision.decided_at + SECOND / 100)
    case.assertIsNone(register.receive(echo))
    more = replace(echo, accounts=(OTHER,))
    case.assertIsNotNone(register.receive(more))
    case.assertIsNone(register.receive(more))


def test_decisions_take_limited_memory() -> None:
    """One caller fills the memory with contents that crash endpoints."""
    register = QuarantineRegister()
    for number in range(3 * MAX_QUARANTINES):
        register.decide(Digest(f"p{number}"), frozenset({ONE}), 3, START)
    case.assertEqual(MAX_QUARANTINES, len(register.decisions))


load_tests = function_tests(__name__)
