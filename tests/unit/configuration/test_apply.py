"""Tests of accepting manifests while operators race and answers are lost."""

from unittest import TestCase

from mimosafork.audit.trail import newest_entries
from mimosafork.clock import ManualClock
from mimosafork.configuration.errors import (
    ApplyUnknownError,
    ConfigurationUnavailableError,
    StaleBaseError,
)
from mimosafork.configuration.proposal import Accepted, Overtaken, Unchanged
from mimosafork.configuration.rows import KEPT_MANIFESTS, MANIFEST_TABLE
from mimosafork.configuration.store import ConfigurationStore
from mimosafork.ids import Revision
from mimosafork.storage.table import all_rows

from ...support.fake_table import FakeTable, Fault
from ...support.followers import FollowingInstance
from ...support.functions import function_tests
from ...support.manifests import manifest_with
from ...support.operators import accept, apply

case = TestCase()


def revision_in(table: FakeTable) -> int:
    current = ConfigurationStore(table).current()
    return 0 if current is None else current.revision


def test_an_accepted_manifest_leaves_its_rows_and_its_audit_entry() -> None:
    table = FakeTable()
    first = accept(table, 0)
    second = accept(table, 1, 0.7)
    store = ConfigurationStore(table)
    text = store.text(Revision(2), second.digest)
    assert text is not None
    case.assertIn("long_share = 0.7", text)
    case.assertEqual([2, 1], [step.revision for step in store.history(9)])
    case.assertEqual(2, table.transactions)
    newest = newest_entries(table, 1)[0]
    case.assertEqual("ana", newest.actor)
    told = {(each.name, each.value) for each in newest.details}
    case.assertIn(("base", "1"), told)
    case.assertIn(("digest", second.digest), told)
    case.assertIn(("change", "[fleet] long_share: 0.5 -> 0.7"), told)
    case.assertNotEqual(first.digest, second.digest)


def test_of_two_racing_operators_one_wins_and_the_other_is_told_what_changed() -> None:
    """Both read revision 1, both apply a change of it, one after the other.

    What they see without the conditions: both are told "accepted", and the first
    one's change is gone a moment later.
    """
    table = FakeTable()
    accept(table, 0)
    won = apply(table, manifest_with(0.7), 1, "of-ana", "ana")
    lost = apply(table, manifest_with(0.6), 1, "of-ben", "ben")
    case.assertIsInstance(won, Accepted)
    assert isinstance(lost, Overtaken)
    case.assertEqual(2, lost.current)
    step = lost.steps[0]
    case.assertEqual("ana", step.operator)
    case.assertEqual("[fleet] long_share: 0.5 -> 0.7", str(step.changes[0]))
    case.assertEqual(2, revision_in(table))


def test_a_race_that_a_stale_read_hides_is_lost_all_the_same() -> None:
    """The loser's read is stale: it sees its base as the newest revision.

    Without the condition on the row's version it would put its own manifest over
    the winner's under the same revision number.
    """
    table = FakeTable()
    accept(table, 0)
    table.freeze_reads()
    won = apply(table, manifest_with(0.7), 1, "of-ana")
    lost = apply(table, manifest_with(0.6), 1, "of-ben")
    assert isinstance(won, Accepted)
    assert isinstance(lost, Overtaken)
    table.thaw_reads()
    case.assertEqual(2, revision_in(table))
    case.assertIsNotNone(ConfigurationStore(table).text(Revision(2), won.digest))


def test_a_lost_answer_is_settled_and_the_change_made_once() -> None:
    """The write takes effect and the connection ends without an answer.

    Without settling the operator is told "failed", applies again on top of it, or
    believes that a change is not in force which is.
    """
    table = FakeTable()
    accept(table, 0)
    table.faults = [Fault.LOSE_ANSWER, Fault.LOSE_CALL, Fault.LOSE_ANSWER]
    result = apply(table, manifest_with(0.7), 1)
    assert isinstance(result, Accepted)
    case.assertEqual(2, result.revision)
    case.assertEqual(2, revision_in(table))
    case.assertEqual(2, len(newest_entries(table, 9)))


def test_a_lost_answer_is_settled_by_what_is_true_and_not_by_a_stale_read() -> None:
    """The answer is lost, and reads lag behind the write.

    A plain read would show the old revision, and the operator would be told "not
    changed" about a change that is in force.
    """
    table = FakeTable()
    accept(table, 0)
    table.freeze_reads()
    table.faults = [Fault.LOSE_ANSWER]
    case.assertIsInstance(apply(table, manifest_with(0.7), 1), Accepted)


def test_a_lost_answer_is_settled_after_another_operator_went_on_from_it() -> None:
    """The write takes effect unheard, and another change is accepted on top.

    The current row then carries the other's apply id. Taken alone it would read as
    "somebody else won", though this change is in force beneath.
    """
    table = FakeTable()
    accept(table, 0)
    table.faults = [Fault.LOSE_ANSWER]

    def other() -> None:
        if revision_in(table) == 2:
            accept(table, 2, 0.9)

    result = apply(table, manifest_with(0.7), 1, between=other)
    assert isinstance(result, Accepted)
    case.assertEqual(2, result.revision)
    case.assertEqual(3, revision_in(table))


def test_a_write_that_arrives_late_does_no_harm() -> None:
    """The first try is held up on its way, the second is accepted.

    Then another change is accepted, and only now does the first try arrive. If it
    took effect the newer configuration would revert.
    """
    table = FakeTable()
    accept(table, 0)
    table.faults = [Fault.DELAY]
    case.assertIsInstance(apply(table, manifest_with(0.7), 1), Accepted)
    accept(table, 2, 0.9)
    table.deliver()
    case.assertEqual(3, revision_in(table))


def test_a_result_that_can_t_be_settled_is_called_unknown_and_can_be_later() -> None:
    """The answer is lost and the store then goes down for a long time.

    "Failed" would be a lie. The same apply id settles it once the store is back,
    without doing the change twice.
    """
    table = FakeTable()
    accept(table, 0)
    table.faults = [Fault.LOSE_ANSWER]

    def outage() -> None:
        table.down = True

    with case.assertRaises(ApplyUnknownError) as caught:
        apply(table, manifest_with(0.7), 1, "lasting", between=outage)
    case.assertEqual("lasting", caught.exception.apply_id)
    table.down = False
    again = apply(table, manifest_with(0.7), 1, "lasting")
    assert isinstance(again, Accepted)
    case.assertEqual((2, 2), (again.revision, revision_in(table)))


def test_an_outage_before_the_write_is_called_not_changed() -> None:
    table = FakeTable()
    accept(table, 0)
    table.down = True
    with case.assertRaisesRegex(ConfigurationUnavailableError, "nothing changed"):
        apply(table, manifest_with(0.7), 1)


def test_a_base_from_the_future_is_refused() -> None:
    table = FakeTable()
    accept(table, 0)
    with case.assertRaises(StaleBaseError):
        apply(table, manifest_with(0.7), 2)


def test_a_stale_read_of_the_version_alone_does_not_stop_a_change() -> None:
    """The current row was rewritten, with the same revision, since it was read."""
    table = FakeTable()
    accept(table, 0)
    table.freeze_reads()
    current = table.rows[("configuration", "current")]
    table.rows[("configuration", "current")] = type(current)(
        current.key, current.version + 5, current.value
    )
    case.assertIsInstance(apply(table, manifest_with(0.7), 1), Accepted)


def test_a_manifest_that_says_the_same_makes_no_revision() -> None:
    table = FakeTable()
    accept(table, 0)
    case.assertIsInstance(apply(table, manifest_with(), 1), Unchanged)
    case.assertEqual(1, revision_in(table))


def test_a_store_put_back_to_a_backup_gets_above_what_is_in_force() -> None:
    """The platform restores yesterday's rows; instances are three revisions ahead.

    Whatever is applied now has a revision that instances have left behind: it is
    accepted, and in force nowhere. Said to go above, it is in force everywhere.
    """
    table, clock = FakeTable(), ManualClock()
    accept(table, 0)
    backup, versions = dict(table.rows), dict(table.versions)
    for base in (1, 2, 3):
        accept(table, base, 0.1 + base / 10)
    instance = FollowingInstance(table, clock)
    instance.poll()
    table.rows, table.versions = backup, versions
    accept(table, 1, 0.9)
    instance.poll()
    case.assertEqual(0.4, instance.posted[-1].configuration.fleet.long_share)
    again = apply(table, manifest_with(0.9), 2, "above", above=4)
    assert isinstance(again, Accepted)
    case.assertEqual(5, again.revision)
    instance.poll()
    case.assertEqual(0.9, instance.posted[-1].configuration.fleet.long_share)
    case.assertEqual(
        again, apply(table, manifest_with(0.9), 2, "above", above=4), "asked again"
    )
    accept(table, 5, 0.8)
    instance.poll()
    case.assertEqual(6, instance.revision)


def test_whole_texts_are_kept_for_the_newest_revisions_only() -> None:
    table = FakeTable()
    revisions = KEPT_MANIFESTS + 3
    for base in range(revisions):
        accept(table, base, 0.1 + base / 100)
    kept = list(all_rows(table, MANIFEST_TABLE))
    case.assertEqual(KEPT_MANIFESTS, len(kept))
    case.assertEqual(revisions, len(ConfigurationStore(table).history(99)))


load_tests = function_tests(__name__)
