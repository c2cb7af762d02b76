"""A recorded history of racing operators and followers, checked against a model.

All calls go over HTTP to a table stand-in that loses answers, serves stale reads, is
slow and is out, at times that differ from run to run; what is checked holds for each.
"""

import itertools
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import SystemClock
from mimosafork.configuration.apply import Applier
from mimosafork.configuration.errors import ApplyUnknownError, ConfigurationError
from mimosafork.configuration.follower import ConfigurationFollower
from mimosafork.configuration.messages import AcceptedConfiguration
from mimosafork.configuration.proposal import Accepted, Proposal
from mimosafork.configuration.rows import HistoryRow
from mimosafork.configuration.store import ConfigurationStore
from mimosafork.ids import ApplyId, InstanceId, Revision
from mimosafork.network.http import HttpClient
from mimosafork.standins import TableStandin
from mimosafork.standins.faults import Latency, LoseAnswers, Outage, StaleReads
from mimosafork.storage.breaker import CircuitBreaker
from mimosafork.storage.table import TableClient

from ..support.functions import function_tests
from ..support.manifests import manifest_with
from ..support.waiting import eventually

case = TestCase()

OPERATORS = 4
APPLIES = 12
FOLLOWERS = 3
FAULT_LASTS_S = 0.15
ANSWER_TIMEOUT = timedelta(milliseconds=300)
PERIOD = timedelta(milliseconds=40)
CLOCK = SystemClock()


@dataclass(frozen=True, slots=True)
class Call:
    """One apply as its operator saw it; `revision` is None unless accepted."""

    apply_id: ApplyId
    began: timedelta
    ended: timedelta
    revision: Revision | None
    unknown: bool = False


@dataclass
class History:
    """What all operators and followers saw, in the order of each."""

    calls: list[Call] = field(default_factory=list)
    in_force: list[list[AcceptedConfiguration]] = field(default_factory=list)


def table_client(address: str, seed: int) -> TableClient:
    breaker = CircuitBreaker("table service", CLOCK, Random(seed))
    http = HttpClient(InstanceId(f"client-{seed}"), answer_timeout=ANSWER_TIMEOUT)
    return TableClient(http, address, breaker)


def pause(step: timedelta) -> None:
    time.sleep(step.total_seconds())


def operate(number: int, address: str, history: History) -> None:
    """Apply changes on whatever revision is read, perhaps a stale one.

    Calls that an outage ends do not count: they are over at once, and the operator
    would be done before the store is back.
    """
    table = table_client(address, number)
    applier = Applier(table, CLOCK, pause, timedelta(seconds=2))
    settled = 0
    for count in itertools.count():
        if settled == APPLIES:
            return
        apply_id = ApplyId(f"{number}-{count}")
        manifest = manifest_with((1 + number + OPERATORS * (count % 20)) / 100)
        began = CLOCK.monotonic()
        revision, unknown = None, False
        try:
            current = ConfigurationStore(table).current()
            base = Revision(0) if current is None else current.revision
            proposal = Proposal(manifest, base, f"operator-{number}", apply_id)
            result = applier.apply(proposal)
            revision = result.revision if isinstance(result, Accepted) else None
            settled += 1
        except ApplyUnknownError:
            unknown = True
        except ConfigurationError:
            pause(timedelta(milliseconds=50))
        call = Call(apply_id, began, CLOCK.monotonic(), revision, unknown)
        history.calls.append(call)


def disturb(standin: TableStandin, over: threading.Event) -> None:
    """Bring about one fault after the other until the operators are done."""
    random = Random(7)
    faults = [
        LoseAnswers(count=3),
        StaleReads(seconds=0.3),
        Outage(),
        Latency(seconds=0.05),
        Latency(seconds=0.4),
    ]
    while not over.wait(FAULT_LASTS_S):
        standin.end_faults()
        standin.inject(random.choice(faults))
    standin.end_faults()


@contextmanager
def followers(address: str, history: History) -> Iterator[list[ConfigurationFollower]]:
    running = []
    for number in range(FOLLOWERS):
        seen: list[AcceptedConfiguration] = []
        history.in_force.append(seen)
        store = ConfigurationStore(table_client(address, 100 + number))
        running.append(
            ConfigurationFollower(
                store, CLOCK, Random(number), PERIOD, lambda message: None, seen.append
            )
        )
    for each in running:
        each.start()
    try:
        yield running
    finally:
        for each in running:
            each.stop()


def check_operators(history: History, steps: list[HistoryRow]) -> None:
    """Check that each was told the truth, and in an order that time allows."""
    made = {step.apply_id: step.revision for step in steps}
    for call in history.calls:
        if call.revision is not None:
            case.assertEqual(call.revision, made[call.apply_id], call)
        elif not call.unknown:
            case.assertNotIn(call.apply_id, made)
    accepted = [call for call in history.calls if call.revision is not None]
    for first in accepted:
        for second in accepted:
            if first.ended < second.began:
                case.assertLess(first.revision or 0, second.revision or 0)


def check_followers(history: History, steps: list[HistoryRow]) -> None:
    """Check that each only moved forward, to what was accepted."""
    digests = {step.revision: step.digest for step in steps}
    for seen in history.in_force:
        revisions = [each.revision for each in seen]
        case.assertEqual(sorted(set(revisions)), revisions)
        for each in seen:
            case.assertEqual(digests[each.revision], each.digest)


def test_a_history_under_faults_fits_the_model() -> None:
    """Operators race for half a hundred changes while the store misbehaves.

    A caller would see limits come and go, an operator a change that was "not done"
    in force, or one that was "accepted" gone.
    """
    standin = TableStandin(CLOCK)
    address = standin.start()
    history = History()
    over = threading.Event()
    try:
        with followers(address, history) as running:
            operators = [
                threading.Thread(target=operate, args=(number, address, history))
                for number in range(OPERATORS)
            ]
            disturber = threading.Thread(target=disturb, args=(standin, over))
            for thread in (*operators, disturber):
                thread.start()
            for operator in operators:
                operator.join()
            over.set()
            disturber.join()
            store = ConfigurationStore(table_client(address, 0))
            steps = store.history(1000)
            newest = steps[0].revision
            eventually(
                lambda: all(each.revisions.revision == newest for each in running)
            )
    finally:
        standin.stop()
    revisions = [step.revision for step in steps]
    case.assertEqual(list(range(len(steps), 0, -1)), revisions)
    case.assertGreaterEqual(len(history.calls), OPERATORS * APPLIES)
    case.assertGreaterEqual(len(steps), APPLIES // 2)
    print(f"{len(history.calls)} applies, {len(steps)} accepted")
    check_operators(history, steps)
    check_followers(history, steps)


load_tests = function_tests(__name__)
