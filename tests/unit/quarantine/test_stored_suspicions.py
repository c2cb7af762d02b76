"""Suspicions are stored beyond the run of the instances that raised them."""

from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.ids import Digest, EndpointId, Incarnation
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.quarantine import (
    CrashEvidence,
    DropSuspicion,
    StoreSuspicion,
    SuspicionsRead,
)
from mimosafork.quarantine.task import SUSPICION_TTL, TABLE, SuspicionTask
from mimosafork.storage.table import Write
from tests.support.fake_table import FakeTable, Fault
from tests.support.functions import function_tests

BODY = Digest("b0d1")


class TaskFixture:
    """A suspicion task that the test calls directly."""

    def __init__(self, table: FakeTable, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.messages: list[Message] = []
        self.task = SuspicionTask(table, self.clock, Random(1), self.messages.append)

    def read(self) -> list[CrashEvidence]:
        """Have the task read all suspicions now; return the evidence."""
        self.messages.clear()
        self.task.read_at = self.clock.monotonic()
        self.task.idle()
        return [
            evidence
            for message in self.messages
            if isinstance(message, SuspicionsRead)
            for stored in message.suspicions
            for evidence in stored.evidence
        ]


def crash(endpoint: str, is_sole: bool = True) -> CrashEvidence:
    return CrashEvidence(EndpointId(endpoint), Incarnation(1), 1.0, is_sole, True)


def test_new_instance_reads_stored_suspicions() -> None:
    table = FakeTable()
    TaskFixture(table).task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    assert TaskFixture(table).read() == [crash("e1")]


def test_evidence_of_two_instances_is_merged() -> None:
    """Each of two zones has seen one crash; together they condemn the body."""
    table = FakeTable()
    TaskFixture(table).task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    TaskFixture(table).task.receive(StoreSuspicion(BODY, (crash("e2"), crash("e1"))))
    assert TaskFixture(table).read() == [crash("e1"), crash("e2")]


def test_lost_answer_neither_repeats_nor_stops_the_task() -> None:
    table = FakeTable()
    table.faults = [Fault.LOSE_ANSWER]
    fixture = TaskFixture(table)
    fixture.task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    fixture.task.receive(StoreSuspicion(BODY, (crash("e2"),)))
    assert fixture.read() == [crash("e1"), crash("e2")]


def test_store_outage_is_tolerated() -> None:
    table = FakeTable()
    table.down = True
    fixture = TaskFixture(table)
    fixture.task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    assert fixture.read() == []
    table.down = False
    assert fixture.read() == []


def test_dropped_suspicion_is_gone() -> None:
    table = FakeTable()
    fixture = TaskFixture(table)
    fixture.task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    fixture.task.receive(DropSuspicion(BODY))
    fixture.task.receive(DropSuspicion(BODY))
    assert fixture.read() == []


def test_expired_rows_are_ignored_and_eventually_deleted() -> None:
    table = FakeTable()
    clock = ManualClock()
    fixture = TaskFixture(table, clock)
    fixture.task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    clock.advance(SUSPICION_TTL + timedelta(seconds=1))
    for _ in range(200):
        assert fixture.read() == []
    assert not table.rows


def test_unreadable_row_does_not_hide_others() -> None:
    table = FakeTable()
    table.transact((), (Write(TABLE, "a", {"evidence": 7}),))
    fixture = TaskFixture(table)
    fixture.task.receive(StoreSuspicion(BODY, (crash("e1"),)))
    fixture.task.receive(StoreSuspicion(Digest("a"), (crash("e3"),)))
    assert fixture.read() == [crash("e3"), crash("e1")]


load_tests = function_tests(__name__)
