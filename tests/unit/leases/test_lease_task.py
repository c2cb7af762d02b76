"""The task tells the kernel what it holds, and nothing twice."""

from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.ids import AvailabilityZoneId, Incarnation, InstanceId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.leases import Duty, LeaseChanged
from mimosafork.leases.keeper import TTL, LeaseKeeper
from mimosafork.leases.task import LeaseTask, Release
from mimosafork.leases.view import LeaseView
from tests.support.fake_table import FakeTable
from tests.support.functions import function_tests

ZONE = AvailabilityZoneId("az-1")


class Trial:
    """A task that is stepped by hand."""

    def __init__(self, table: FakeTable, name: str) -> None:
        self.clock = ManualClock()
        self.view = LeaseView()
        self.told: list[LeaseChanged] = []
        identity = InstanceIdentity(InstanceId(name), Incarnation(1), ZONE)
        keepers = [
            LeaseKeeper(identity, duty, table, self.clock, Random(name))
            for duty in Duty
        ]
        self.task = LeaseTask(keepers, self.clock, self.view, self.told.append)

    def run(self, span: timedelta) -> None:
        """Step the task whenever it wants to be stepped."""
        end = self.clock.monotonic() + span
        while True:
            wait = self.task.wait_time()
            if wait is None or self.clock.monotonic() + wait > end:
                return
            self.clock.advance(max(wait, timedelta(0)))
            self.task.idle()


def test_each_renewal_is_told_with_its_new_end() -> None:
    trial = Trial(FakeTable(), "i1")
    trial.run(TTL)
    ends = [
        change.lease.valid_until
        for change in trial.told
        if change.duty is Duty.ORDERS and change.lease is not None
    ]
    assert len(ends) >= 3
    assert ends == sorted(set(ends))


def test_released_lease_is_told_before_the_row_is_free() -> None:
    """At graceful shutdown the kernel must stop acting before others may begin."""
    table = FakeTable()
    trial = Trial(table, "i1")
    trial.run(timedelta(0))
    held = dict(table.rows)
    seen: list[bool] = []

    def tell(change: LeaseChanged) -> None:
        trial.told.append(change)
        seen.append(table.rows == held and trial.view.current(change.duty) is None)

    trial.task.tell = tell
    trial.task.receive(Release(Duty.CLEANING))
    assert seen == [True]
    assert trial.told[-1] == LeaseChanged(Duty.CLEANING, None)
    assert table.rows != held


def test_released_lease_is_not_taken_again() -> None:
    trial = Trial(FakeTable(), "i1")
    trial.run(timedelta(0))
    for duty in Duty:
        trial.task.receive(Release(duty))
    trial.run(3 * TTL)
    assert [change.lease for change in trial.told[-2:]] == [None, None]


load_tests = function_tests(__name__)
