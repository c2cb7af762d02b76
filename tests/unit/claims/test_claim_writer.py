"""Claims in the table: batches, conflicts, lost answers and outages."""

from dataclasses import dataclass, replace
from datetime import timedelta

from msgspec import structs

from mimosafork.claims.book import MOST_ANSWER_BYTES
from mimosafork.claims.rows import RETENTION, TABLE, ClaimRow, decoded
from mimosafork.claims.writer import (
    CLOSING_TIME,
    FLEET_TRANSACTIONS_PER_S,
    LARGEST_BATCH,
    ClaimWriter,
    StoreAnswer,
    WriterMessage,
)
from mimosafork.clock import Clock, ManualClock, SystemClock
from mimosafork.ids import ClaimId, ClaimKey, Digest, Incarnation, InstanceId, RequestId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.claims import (
    AnswerKept,
    Claim,
    ClaimLost,
    ClaimState,
    ClaimUnavailable,
    ClaimWon,
    EndClaim,
    PaceClaims,
    ReleaseClaim,
    WriteClaim,
)
from mimosafork.kernel.messages.outcomes import Outcome
from tests.support.fake_table import FakeTable, Fault
from tests.support.functions import function_tests

MINUTE = timedelta(minutes=1)
SETTLING = timedelta(seconds=3)


@dataclass
class Instance:
    """A claim writer of one instance, driven by hand."""

    name: str
    table: FakeTable
    clock: Clock

    def __post_init__(self) -> None:
        self.told: list[Message] = []
        self.writer = ClaimWriter(self.table, self.clock, self.told.append)

    def claim(self, key: str, serial: int = 1, **changes: object) -> ClaimId:
        """Want a claim on a key, without writing it yet."""
        claim = Claim(
            claim_id=ClaimId(f"{self.name}.1.{serial}"),
            body_digest=Digest("body"),
            owner=InstanceId(self.name),
            incarnation=Incarnation(1),
            generation=0,
            time_left=MINUTE,
        )
        name = RequestId(f"{self.name}-{serial}")
        effect = WriteClaim(name, ClaimKey(key), claim, required=True)
        self.send(structs.replace(effect, **changes))
        return claim.claim_id

    def send(self, message: WriterMessage) -> None:
        """Give the writer a message."""
        self.writer.receive(message)

    def advance(self, step: timedelta) -> None:
        """Let time pass."""
        assert isinstance(self.clock, ManualClock)
        self.clock.advance(step)

    def write(self) -> list[Message]:
        """Let time pass until nothing is left to write, or the store won't take it.

        Returns what the kernel was told.
        """
        end = self.clock.monotonic() + SETTLING
        while self.writer.book.dirty and self.clock.monotonic() < end:
            self.advance(self.writer.wait_time() or timedelta(0))
            self.writer.idle()
        told, self.told[:] = list(self.told), []
        return told

    def row(self, key: str) -> ClaimRow:
        """Return the row of a key."""
        row = self.table.rows[TABLE, key]
        return decoded(row.value)


def two_instances() -> tuple[Instance, Instance]:
    """Return two instances before one table."""
    table, clock = FakeTable(), ManualClock()
    return Instance("i1", table, clock), Instance("i2", table, clock)


def one_instance() -> Instance:
    """Return an instance with a table of its own."""
    return two_instances()[0]


def release(instance: Instance, claim: ClaimId, key: str) -> None:
    """Free a key."""
    instance.send(ReleaseClaim(ClaimKey(key), claim))


def test_one_of_two_instances_wins_the_key() -> None:
    first, second = two_instances()
    first.claim("k")
    second.claim("k")
    (won,) = first.write()
    (lost,) = second.write()
    assert isinstance(won, ClaimWon)
    assert isinstance(lost, ClaimLost)
    assert lost.existing.owner == "i1"
    assert lost.existing.state is ClaimState.CLAIMED


def test_claims_go_out_together_and_a_conflict_of_one_fails_no_other() -> None:
    """A flood of calls is refused because one of them was a resend.

    The store does all writes of a transaction or none. The one that conflicts is
    settled by the conflict itself, and the rest goes out again.
    """
    first, second = two_instances()
    first.claim("k7")
    first.write()
    before = first.table.transactions
    for number in range(20):
        second.claim(f"k{number}", number)
    told = second.write()
    assert sum(isinstance(each, ClaimWon) for each in told) == 19
    assert sum(isinstance(each, ClaimLost) for each in told) == 1
    assert first.table.transactions - before == 2


def test_large_batches_are_split() -> None:
    instance = one_instance()
    for number in range(LARGEST_BATCH * 2 + 1):
        instance.claim(f"k{number}", number)
    told = instance.write()
    assert len(told) == LARGEST_BATCH * 2 + 1
    assert instance.table.transactions == 3


def test_two_calls_of_one_instance_with_one_key_are_told_apart() -> None:
    instance = one_instance()
    instance.claim("k", 1)
    instance.claim("k", 2)
    won, lost = instance.write()
    assert isinstance(won, ClaimWon)
    assert isinstance(lost, ClaimLost)
    assert lost.existing.claim_id == won.claim_id


def test_lost_answer_is_settled_by_the_row_itself() -> None:
    """A draft is refused because of its own claim, or runs beside another's.

    The write took effect, had no effect, or takes effect after a second one; the
    answer is lost each time. Reads are stale too, so that a look would lie.
    """
    for fault in Fault:
        first, second = two_instances()
        first.table.freeze_reads()
        first.table.faults = [fault]
        first.claim("k")
        (won,) = first.write()
        assert isinstance(won, ClaimWon), fault
        first.table.deliver()
        second.claim("k")
        (lost,) = second.write()
        assert isinstance(lost, ClaimLost), fault
        assert first.row("k").owner == "i1"


def test_claim_of_unknown_fate_is_freed_even_if_it_lands_late() -> None:
    """A draft was refused as not run, and its resend as perhaps run, for good.

    The claim's write is on its way when its request is given up, and reaches the
    store after the release. The released row shuts it out.
    """
    for fault in Fault:
        first, second = two_instances()
        first.table.faults = [fault]
        claim = first.claim("k")
        first.writer.idle()
        release(first, claim, "k")
        first.write()
        first.table.deliver()
        second.claim("k")
        (won,) = second.write()
        assert isinstance(won, ClaimWon), fault
        assert won.generation == 1


def test_lost_answer_of_a_release_does_not_keep_the_key_taken() -> None:
    for fault in Fault:
        first, second = two_instances()
        claim = first.claim("k")
        first.write()
        first.table.faults = [fault]
        release(first, claim, "k")
        first.write()
        first.table.deliver()
        second.claim("k")
        (won,) = second.write()
        assert isinstance(won, ClaimWon), fault


def test_claim_that_never_left_needs_no_release() -> None:
    instance = one_instance()
    claim = instance.claim("k")
    release(instance, claim, "k")
    assert instance.write() == []
    assert instance.table.transactions == 0


def test_store_down_is_told_at_once_and_ends_are_written_when_it_is_back() -> None:
    """After an outage the keys of refused drafts stay taken.

    New claims are answered at once while the store is down; releases and ends wait.
    """
    first, second = two_instances()
    claim = first.claim("k")
    first.write()
    first.table.down = True
    release(first, claim, "k")
    first.write()
    new = first.claim("other", 2)
    before = first.clock.monotonic()
    first.writer.idle()
    assert first.told == [ClaimUnavailable(RequestId("i1-2"), new)]
    assert first.clock.monotonic() == before
    first.table.down = False
    first.write()
    second.claim("k")
    (won,) = second.write()
    assert isinstance(won, ClaimWon)


def test_takeover_needs_the_named_claim_and_no_answer() -> None:
    first, second = two_instances()
    claim = first.claim("k")
    first.write()
    second.claim("k", 1, replaces=ClaimId("another"))
    assert isinstance(second.write()[0], ClaimLost)
    second.claim("k", 2, replaces=claim)
    (won,) = second.write()
    assert isinstance(won, ClaimWon)
    assert won.generation == 1
    first.send(EndClaim(ClaimKey("k"), claim, Outcome.COMPLETED))
    first.write()
    assert first.row("k").owner == "i2"
    assert not first.writer.book.claims


def test_takeover_yields_to_an_answer_that_came_meanwhile() -> None:
    first, second = two_instances()
    claim = first.claim("k")
    first.write()
    first.send(StoreAnswer(RequestId("i1-1"), claim, answer=b"whole"))
    assert first.write() == [AnswerKept(RequestId("i1-1"), True)]
    second.claim("k", replaces=claim)
    (lost,) = second.write()
    assert isinstance(lost, ClaimLost)
    assert lost.existing.answer_kept


def test_end_is_kept_with_its_answer_and_forgotten_here() -> None:
    instance = one_instance()
    claim = instance.claim("k")
    instance.write()
    instance.table.faults = [Fault.LOSE_ANSWER]
    instance.send(StoreAnswer(RequestId("i1-1"), claim, answer=b"whole"))
    assert instance.write() == [AnswerKept(RequestId("i1-1"), True)]
    assert instance.row("k").answer == b"whole"
    assert instance.row("k").outcome is Outcome.COMPLETED
    assert not instance.writer.book.claims
    assert instance.writer.book.answer_bytes == 0


def test_answers_that_wait_for_the_store_are_bounded() -> None:
    """An outage at full load fills an instance's memory with answers."""
    instance = one_instance()
    large = bytes(MOST_ANSWER_BYTES // 2 + 1)
    claims = [instance.claim(f"k{number}", number) for number in (1, 2)]
    instance.write()
    instance.table.down = True
    for number, claim in enumerate(claims, start=1):
        answer = StoreAnswer(RequestId(f"i1-{number}"), claim, answer=large)
        instance.send(answer)
    assert instance.told == [AnswerKept(RequestId("i1-2"), False)]
    instance.table.down = False
    instance.write()
    assert instance.row("k2").state is ClaimState.DONE
    assert instance.row("k2").answer is None


def test_answer_for_a_claim_that_was_never_written_is_not_kept() -> None:
    instance = one_instance()
    instance.send(StoreAnswer(RequestId("r"), ClaimId("none"), answer=b"whole"))
    assert instance.told == [AnswerKept(RequestId("r"), False)]


def test_planned_stop_writes_what_is_left() -> None:
    """A draft is refused during a planned stop, and its key stays taken for a day.

    The release has just been handed to the writer, and the store loses the answers
    of its next writes, when the instance stops.
    """
    table = FakeTable()
    instance = Instance("i1", table, SystemClock())
    claim = instance.claim("k")
    instance.writer.idle()
    assert instance.row("k").state is ClaimState.CLAIMED
    table.faults = [Fault.LOSE_CALL, Fault.LOSE_CALL]
    instance.writer.start()
    instance.writer.send(ReleaseClaim(ClaimKey("k"), claim))
    instance.writer.stop()
    assert instance.row("k").state is ClaimState.RELEASED


def test_planned_stop_does_not_wait_for_a_dead_store() -> None:
    table = FakeTable()
    instance = Instance("i1", table, SystemClock())
    claim = instance.claim("k")
    instance.writer.idle()
    table.down = True
    instance.writer.start()
    instance.writer.send(ReleaseClaim(ClaimKey("k"), claim))
    began = instance.clock.monotonic()
    instance.writer.stop()
    assert not instance.writer.thread.is_alive()
    assert instance.clock.monotonic() - began < 2 * CLOSING_TIME


def test_row_that_expired_may_be_taken() -> None:
    first, second = two_instances()
    first.claim("k")
    first.write()
    first.advance(MINUTE + RETENTION)
    second.claim("k")
    (won,) = second.write()
    assert isinstance(won, ClaimWon)


def test_row_of_a_newer_version_is_left_alone() -> None:
    instance = one_instance()
    instance.claim("k")
    instance.write()
    place = (TABLE, "k")
    row = instance.table.rows[place]
    instance.table.rows[place] = replace(row, value={"shape": "new"})
    claim = instance.claim("k", 2)
    assert instance.write() == [ClaimUnavailable(RequestId("i1-2"), claim)]
    assert instance.table.rows[place].value == {"shape": "new"}


def test_instances_share_what_the_store_takes() -> None:
    """Three hundred instances write claims one by one, and the store gives in."""
    instance = one_instance()
    instance.send(PaceClaims(instances=300))
    seconds = 30
    end = timedelta(seconds=seconds)
    serial = 0
    while instance.clock.monotonic() < end:
        serial += 1
        instance.claim(f"k{serial}", serial)
        instance.writer.idle()
        instance.advance(timedelta(milliseconds=50))
    share = FLEET_TRANSACTIONS_PER_S / 300 * seconds
    assert instance.table.transactions <= share + 10
    instance.write()
    assert not instance.writer.book.dirty


load_tests = function_tests(__name__)
