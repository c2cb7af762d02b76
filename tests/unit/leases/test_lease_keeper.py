"""One lease has one holder, whatever the store and the clocks do."""

from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.ids import AvailabilityZoneId, FencingNumber, Incarnation, InstanceId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.leases import Duty
from mimosafork.leases.keeper import TTL, LeaseKeeper
from mimosafork.leases.row import TABLE, key_of
from mimosafork.storage.table import Write
from tests.support.fake_table import FakeTable, Fault
from tests.support.functions import function_tests

ZONE = AvailabilityZoneId("az-1")
SECOND = timedelta(seconds=1)


class Pair:
    """Two instances that want the same lease, on one store and one clock."""

    def __init__(self) -> None:
        self.table = FakeTable()
        self.clock = ManualClock()
        self.first = self.keeper("i1")
        self.second = self.keeper("i2")

    def keeper(self, name: str, incarnation: int = 1) -> LeaseKeeper:
        """Return a keeper of an instance that has just started."""
        identity = InstanceIdentity(InstanceId(name), Incarnation(incarnation), ZONE)
        return LeaseKeeper(identity, Duty.ORDERS, self.table, self.clock, Random(name))

    def run(self, span: timedelta, *keepers: LeaseKeeper, eager: bool = False) -> None:
        """Let time pass; only the keepers given run, if eager more than is due."""
        end = self.clock.monotonic() + span
        while self.clock.monotonic() < end:
            self.clock.advance(SECOND / 4)
            for keeper in keepers:
                if eager or keeper.due <= self.clock.monotonic():
                    keeper.step()

    def holds(self, keeper: LeaseKeeper) -> bool:
        """Return whether a keeper may act now."""
        lease = keeper.lease
        return lease is not None and lease.covers(self.clock.monotonic())


def number_of(keeper: LeaseKeeper) -> FencingNumber:
    assert keeper.lease is not None
    return keeper.lease.fencing


def test_first_come_holds_and_renews() -> None:
    pair = Pair()
    pair.first.step()
    pair.run(5 * TTL, pair.first, pair.second)
    assert pair.holds(pair.first)
    assert pair.second.lease is None


def test_dead_holder_is_followed_with_a_larger_number() -> None:
    """The holder dies; nobody hears from it, the row just stays as it is."""
    pair = Pair()
    pair.first.step()
    old = number_of(pair.first)
    pair.run(3 * TTL, pair.second)
    assert pair.holds(pair.second)
    assert number_of(pair.second) > old
    assert pair.second.lease is not None and pair.second.lease.taken_over


def test_two_never_hold_at_once_whatever_is_paused() -> None:
    """Holders are frozen at random and wake up unaware of it.

    A frozen holder's lease passes to the other one; were it counted from the
    answer, or by wall time, both would act for a moment.
    """
    random = Random(5)
    pair = Pair()
    numbers: list[FencingNumber] = []
    for _ in range(400):
        awake = [
            keeper for keeper in (pair.first, pair.second) if random.random() < 0.6
        ]
        pair.run(random.random() * TTL, *awake, eager=random.random() < 0.3)
        holding = [keeper for keeper in (pair.first, pair.second) if pair.holds(keeper)]
        assert len(holding) <= 1
        if holding and (not numbers or numbers[-1] != number_of(holding[0])):
            numbers.append(number_of(holding[0]))
    assert numbers == sorted(numbers)
    assert len(numbers) > 10


def test_woken_holder_does_not_trust_its_lease() -> None:
    """A holder sleeps past its lease; at waking it still has the lease object."""
    pair = Pair()
    pair.first.step()
    pair.clock.advance(TTL)
    assert pair.first.lease is not None
    assert not pair.holds(pair.first)
    pair.run(SECOND, pair.second)
    pair.first.step()
    pair.run(TTL + SECOND, pair.second)
    assert not (pair.holds(pair.first) and pair.holds(pair.second))


def test_lost_answer_is_settled_by_reading_back() -> None:
    """The store takes the lease for us and its answer is lost on the way.

    Taking that for a failure leaves the duty undone for a whole ttl, each time.
    """
    pair = Pair()
    pair.table.faults = [Fault.LOSE_ANSWER]
    pair.first.step()
    assert pair.holds(pair.first)
    pair.table.faults = [Fault.LOSE_ANSWER] * 3
    pair.run(3 * TTL, pair.first, pair.second)
    assert pair.holds(pair.first)


def test_lost_call_is_made_again() -> None:
    pair = Pair()
    pair.table.faults = [Fault.LOSE_CALL]
    pair.first.step()
    assert pair.first.lease is None
    pair.run(2 * SECOND, pair.first)
    assert pair.holds(pair.first)


def test_late_write_of_an_earlier_holder_changes_nothing() -> None:
    """A renewal hangs in the network, its sender sleeps, another one takes over.

    Then the renewal arrives. It must neither take the lease back nor be counted.
    """
    pair = Pair()
    pair.first.step()
    pair.table.faults = [Fault.DELAY]
    pair.run(TTL / 2, pair.first)
    pair.table.faults = []
    pair.run(3 * TTL, pair.second)
    taken = number_of(pair.second)
    pair.table.deliver()
    pair.run(TTL, pair.first, pair.second)
    assert pair.holds(pair.second) and number_of(pair.second) == taken
    assert not pair.holds(pair.first)


def test_late_own_write_counts_from_when_it_was_sent() -> None:
    """A renewal arrives four seconds late and stands in the way of the next one.

    Counted from when it was found, it would be trusted longer than others wait.
    """
    pair = Pair()
    pair.first.step()
    pair.table.faults = [Fault.DELAY]
    pair.clock.instant = pair.first.due
    sent_at = pair.clock.monotonic()
    pair.first.step()
    pair.clock.advance(4 * SECOND)
    pair.table.deliver()
    pair.first.step()
    assert pair.first.lease is not None
    assert pair.first.lease.valid_until <= sent_at + TTL


def test_holder_stops_when_the_store_is_out() -> None:
    """The store is down for a minute: the holder stops in time, then goes on."""
    pair = Pair()
    pair.first.step()
    pair.table.down = True
    pair.run(TTL / 2, pair.first, pair.second)
    assert pair.holds(pair.first)
    pair.run(TTL, pair.first, pair.second)
    assert pair.first.lease is None and pair.second.lease is None
    pair.table.down = False
    pair.run(3 * TTL, pair.first, pair.second)
    assert pair.holds(pair.first) != pair.holds(pair.second)


def test_stale_read_neither_takes_nor_loses_a_lease() -> None:
    """Reads show the store as it was long ago, with the row of a dead holder."""
    pair = Pair()
    pair.first.step()
    pair.table.freeze_reads()
    pair.run(4 * TTL, pair.first, pair.second)
    assert pair.holds(pair.first)
    assert pair.second.lease is None


def test_released_lease_is_taken_without_waiting() -> None:
    pair = Pair()
    pair.first.step()
    old = number_of(pair.first)
    pair.first.release()
    pair.second.step()
    assert pair.holds(pair.second)
    assert number_of(pair.second) > old
    assert pair.second.lease is not None and not pair.second.lease.taken_over


def test_new_incarnation_of_the_holder_waits_like_anybody() -> None:
    """An instance is replaced under its own name while its former self is frozen."""
    pair = Pair()
    pair.first.step()
    successor = pair.keeper("i1", incarnation=2)
    successor.step()
    assert successor.lease is None
    pair.run(2 * TTL + SECOND, successor)
    assert pair.holds(successor)


def test_numbers_go_on_when_the_row_has_been_deleted() -> None:
    """An operator deletes the row by hand.

    Numbers that began at one again would be refused by every engine that checks
    them, until somebody restarts the engines.
    """
    pair = Pair()
    pair.first.step()
    pair.run(2 * TTL, pair.first)
    old = number_of(pair.first)
    pair.table.transact((), (Write(TABLE, key_of(ZONE, Duty.ORDERS), None),))
    pair.run(3 * TTL, pair.first, pair.second)
    holder = pair.first if pair.holds(pair.first) else pair.second
    assert number_of(holder) > old


def test_unreadable_row_is_waited_out() -> None:
    pair = Pair()
    key = key_of(ZONE, Duty.ORDERS)
    pair.table.transact((), (Write(TABLE, key, {"holder": 7}),))
    pair.first.step()
    assert pair.first.lease is None
    pair.run(2 * TTL, pair.first)
    assert pair.holds(pair.first)
    assert number_of(pair.first) > 1


load_tests = function_tests(__name__)
