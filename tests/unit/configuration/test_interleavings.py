"""A stateful machine over applying, following, lost answers and stale reads."""

from datetime import timedelta
from unittest import TestCase

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from mimosafork.audit.trail import newest_entries
from mimosafork.clock import ManualClock
from mimosafork.configuration.errors import (
    ApplyUnknownError,
    ConfigurationUnavailableError,
    StaleBaseError,
)
from mimosafork.configuration.proposal import Accepted, Overtaken
from mimosafork.configuration.rows import HISTORY_TABLE, HistoryRow, read_row
from mimosafork.configuration.store import ConfigurationStore
from mimosafork.ids import ApplyId
from mimosafork.storage.table import TableRow

from ...support.fake_table import FakeTable, Fault, Place
from ...support.followers import FollowingInstance
from ...support.functions import function_tests
from ...support.machines import explore
from ...support.manifests import manifest_with
from ...support.operators import apply

case = TestCase()

INSTANCES = 3
SHARES = tuple(number / 10 for number in range(1, 10))
MANIFESTS = {share: manifest_with(share) for share in SHARES}


class Interleavings(RuleBasedStateMachine):
    """Operators, instances and a store that fails, in any order.

    Checked after each step: no instance goes back in its life, no revision has two
    digests, what was told accepted is in the history, what was told not changed is
    not and never will be, and the trail has one entry for each revision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.table = FakeTable()
        self.instances = [
            FollowingInstance(self.table, self.clock) for _ in range(INSTANCES)
        ]
        self.seen = [0] * INSTANCES
        self.accepted: dict[ApplyId, int] = {}
        self.refused: set[ApplyId] = set()
        self.applies = 0
        self.past: list[dict[Place, TableRow]] = []
        self._begin()

    @rule(
        share=st.sampled_from(SHARES),
        back=st.integers(0, 2),
        faults=st.lists(st.sampled_from(list(Fault)), max_size=3),
        outage=st.booleans(),
        raced=st.booleans(),
    )
    def operator_applies(
        self, share: float, back: int, faults: list[Fault], outage: bool, raced: bool
    ) -> None:
        """Have one operator apply, perhaps from an old base, amid faults."""
        self.applies += 1
        apply_id = ApplyId(f"apply-{self.applies}")
        base = max(0, self._newest() - back)
        self.table.faults = list(faults)

        def between() -> None:
            self.table.down = outage
            if raced and not self.table.down:
                self._other_operator()

        try:
            result = apply(self.table, MANIFESTS[share], base, apply_id, "ana", between)
        except (ConfigurationUnavailableError, StaleBaseError):
            self.refused.add(apply_id)
            return
        except ApplyUnknownError:
            return
        finally:
            self.table.faults = []
            self.table.down = False
        if isinstance(result, Accepted):
            self.accepted[apply_id] = result.revision
        elif isinstance(result, Overtaken):
            self.refused.add(apply_id)

    @rule(number=st.integers(0, INSTANCES - 1))
    def instance_reads(self, number: int) -> None:
        """Let an instance look at the store."""
        self.instances[number].poll()

    @rule(source=st.integers(0, INSTANCES - 1), receiver=st.integers(0, INSTANCES - 1))
    def peer_offers(self, source: int, receiver: int) -> None:
        """Let an instance send what it has to another."""
        self.instances[source].offer_to(self.instances[receiver])

    @rule(number=st.integers(0, INSTANCES - 1))
    def instance_is_replaced(self, number: int) -> None:
        """Start an instance anew: it may know less than in its former life."""
        self.instances[number].boot()
        self.seen[number] = 0

    @rule()
    def late_writes_arrive(self) -> None:
        """Have all writes that were held up take effect, if they still can."""
        self.table.deliver()

    @rule(age=st.integers(0, 3))
    def reads_go_stale_or_fresh(self, age: int) -> None:
        """Have reads see the store as it was some changes ago; 0 ends that."""
        self.past.append(dict(self.table.rows))
        self.table.frozen = self.past[-age:][0] if age else None

    @rule(number=st.integers(0, INSTANCES - 1))
    def an_outage_passes(self, number: int) -> None:
        """Let an instance read, and an operator apply, while the store is down."""
        self.table.down = True
        self.instances[number].poll()
        self.operator_applies(0.1, 0, [], True, False)
        self.table.down = False

    @invariant()
    def no_instance_goes_back(self) -> None:
        """Check each instance's life."""
        for number, instance in enumerate(self.instances):
            case.assertGreaterEqual(instance.revision, self.seen[number])
            self.seen[number] = instance.revision

    @invariant()
    def no_revision_has_two_digests(self) -> None:
        """Check what is in force against the store's history."""
        digests = {step.revision: step.digest for step in self._history()}
        for instance in self.instances:
            held = instance.follower.accepted
            if held is not None:
                case.assertEqual(digests[held.revision], held.digest)
                case.assertEqual(held.configuration.digest, held.digest)

    @invariant()
    def answers_were_honest(self) -> None:
        """Check what operators were told, now and after late writes."""
        made = {step.apply_id: step.revision for step in self._history()}
        for apply_id, revision in self.accepted.items():
            case.assertEqual(revision, made.get(apply_id))
        case.assertFalse(self.refused & set(made))

    @invariant()
    def the_trail_is_whole(self) -> None:
        """Check that revisions are gapless and each has its audit entry."""
        steps = self._history()
        revisions = [step.revision for step in steps]
        case.assertEqual(list(range(len(steps), 0, -1)), revisions)
        told = {each.entry_id for each in newest_entries(self._truth(), 999)}
        case.assertEqual({step.apply_id for step in steps}, told)

    def teardown(self) -> None:
        """Heal everything: all instances end on the newest revision."""
        self.table.down = False
        self.table.thaw_reads()
        self.table.deliver()
        self.clock.advance(timedelta(seconds=11))
        for instance in self.instances:
            instance.poll()
            case.assertEqual(self._newest(), instance.revision)

    def _begin(self) -> None:
        """Start with instances that differ, so that few steps tell much."""
        for number in range(INSTANCES):
            self.past.append(dict(self.table.rows))
            self._other_operator()
            self.instances[number].poll()

    def _other_operator(self) -> None:
        """Apply something else on top of whatever is newest, without faults."""
        kept, self.table.faults = self.table.faults, []
        self.applies += 1
        apply_id = ApplyId(f"apply-{self.applies}")
        share = SHARES[self.applies % len(SHARES)]
        try:
            result = apply(self.table, MANIFESTS[share], self._newest(), apply_id)
        except (ConfigurationUnavailableError, StaleBaseError):
            self.refused.add(apply_id)
            return
        finally:
            self.table.faults = kept
        if isinstance(result, Accepted):
            self.accepted[apply_id] = result.revision

    def _truth(self) -> FakeTable:
        """Return a store with the true rows that neither fails nor is stale."""
        truth = FakeTable()
        truth.rows = self.table.rows
        return truth

    def _history(self) -> list[HistoryRow]:
        return [
            read_row(row, HistoryRow)
            for (table, _), row in sorted(self.table.rows.items())
            if table == HISTORY_TABLE
        ]

    def _newest(self) -> int:
        current = ConfigurationStore(self._truth()).current()
        return 0 if current is None else current.revision


def test_no_interleaving_forks_reverts_or_lies() -> None:
    """Any order of racing operators, lost answers, stale reads and restarts."""
    explore(Interleavings, examples=120, steps=30)


load_tests = function_tests(__name__)
