"""Tests of endpoint rows: draining, outages, stale reads and peers."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.listing_changes import (
    listing_changed,
    listing_or_coldness_changed,
)
from mimosafork.directory.messages import EndpointState
from mimosafork.ids import EndpointId

from ...support.directories import directory_world, listed, page, removed
from ...support.functions import function_tests
from ...support.versions import version

case = TestCase()

DOWN = StoreUnavailableError("down")
CUT = HistoryExpiredError("cut")
READY = EndpointState.READY
DRAINING = EndpointState.DRAINING


def test_endpoints_are_read_whole_and_then_followed() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, listed("b", 11)), page(15))
        case.assertEqual([None, 9, 12], world.listing.asked)
        case.assertEqual(["a ready", "b ready"], world.summaries())


def test_reports_without_a_relevant_change_are_not_published() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, listed("a", 12)))
        case.assertEqual(["a ready"], world.summaries())
        entry = world.directory.endpoints[EndpointId("a")]
        case.assertEqual(12, entry.listed.sequence)
        world.endpoints(page(13, listed("a", 13, "ready 10.0.0.2:80")))
        case.assertEqual(["a ready", "a ready"], world.summaries())


def test_a_cold_endpoint_is_published_only_where_this_matters() -> None:
    """An endpoint that becomes cold, is cold again or is warm changes its listing.

    The remaining time counts down with each report, which must not be published.
    """
    for differs, published in ((listing_changed, 1), (listing_or_coldness_changed, 4)):
        with directory_world() as world:
            world.directory.endpoint_registry.differs = differs
            for number, cold_ms in enumerate((0, 3000, 1800, 600, 2500, 0, 0)):
                row = listed("a", 4 + number, f"ready 10.0.0.1:80 1 {cold_ms}")
                world.endpoints(page(9 + number, row))
            case.assertEqual(["a ready"] * published, world.summaries())


def test_draining_and_removal_take_effect_at_once() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.endpoints(page(12, listed("a", 11, "draining"), removed("b", 12)))
        case.assertEqual(DRAINING, world.state("a"))
        case.assertFalse(world.directory.endpoints[EndpointId("a")].takes_new_work)
        case.assertIsNone(world.state("b"))
        case.assertEqual(["a draining", "b gone"], world.summaries()[2:])


def test_a_draining_state_is_never_reverted() -> None:
    """A ready report is delivered after the draining report that followed it.

    Applying it would send calls to an endpoint that is about to exit. Neither the store
    nor a peer may revert the state, with whatever version; nor may an older draining
    report be lost behind a newer ready one.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 9)))
        world.endpoints(page(12, listed("a", 11, "draining")))
        world.endpoints(page(14, listed("a", 13)))
        world.directory.offer_endpoint(listed("a", 20))
        case.assertEqual(DRAINING, world.state("a"))
        world.directory.offer_endpoint(listed("b", 7, "draining"))
        case.assertEqual(DRAINING, world.state("b"))


def test_an_endpoint_that_is_gone_stays_gone() -> None:
    """A peer that is behind sends a ready row of an endpoint that was removed.

    Its address may belong to another service by then.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.directory.offer_endpoint(listed("a", 4))
        world.directory.offer_endpoint(listed("a", 30))
        case.assertIsNone(world.state("a"))


def test_a_late_peer_does_not_bring_back_what_the_store_no_longer_lists() -> None:
    """An instance starts after an endpoint was removed, and reads the list without it.

    A peer that is behind sends the old row. If applied, it would stay forever: the
    store reports no removal after the read, and the address may be reused by then.
    """
    with directory_world() as world:
        world.endpoints(page(20, listed("b", 15)))
        world.directory.offer_endpoint(listed("a", 10))
        case.assertIsNone(world.state("a"))
        world.directory.offer_endpoint(listed("c", 21))
        case.assertEqual(READY, world.state("c"))


def test_an_endpoint_that_was_cut_off_from_the_store_is_used_again() -> None:
    """A zone is partitioned from the store, its rows expire, the partition heals.

    The endpoints serve all the while and report again under the same ids. If they
    stayed removed, each partition would cost a zone of endpoints until they restart.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(20, listed("a", 20)))
        case.assertIsNone(world.state("a"))
        world.pass_time(4)
        world.endpoints(page(25))
        case.assertEqual(READY, world.state("a"))
        case.assertEqual("a ready", world.summaries()[-1])


def test_an_endpoint_that_is_back_and_then_leaves_is_not_used_again() -> None:
    """An endpoint was cut off from the store, reports again, and then drains.

    Its row persists, so after some seconds it seems to have returned. If the report
    before its last one were applied, it would get new work until it exits.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(20, listed("a", 20)))
        world.pass_time(1)
        world.endpoints(page(22, listed("a", 22, "draining")))
        world.pass_time(4)
        world.endpoints(page(25))
        case.assertNotEqual(READY, world.state("a"))


def test_a_row_that_came_back_and_went_while_the_feed_was_cut_is_gone() -> None:
    """An endpoint exits and must get no calls some seconds after its row expired.

    A last report is written after the removal and is read; the store then drops its
    history, and the row expires unseen. The whole read that follows lacks it.
    """
    with directory_world() as world:
        world.endpoints(page(1, listed("a", 1)), page(2, removed("a", 2)))
        world.endpoints(page(3, listed("a", 3)), HistoryExpiredError("cut"), page(4))
        world.pass_time(4)
        world.endpoints(page(4))
        case.assertIsNone(world.state("a"))


def test_a_late_word_that_one_is_gone_does_not_end_its_return() -> None:
    """An endpoint that was cut off from the store returns and must get calls again.

    Its row exists again but has not yet persisted for long enough. A peer that is
    behind sends its list with the earlier removal; the store sends an unchanged row
    only once.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(20, listed("a", 20)))
        world.directory.offer_endpoint(removed("a", 12))
        world.pass_time(4)
        world.endpoints(page(25))
        case.assertEqual(READY, world.state("a"))


def test_one_that_drained_while_its_row_was_missing_is_not_used_again() -> None:
    """An endpoint drains around an outage and must get no new work afterwards.

    Its row expires in the outage, and a peer reports both that and the draining. The
    answers of the store then begin with the removal and the ready row that followed it.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.directory.offer_endpoint(removed("a", 12))
        world.directory.offer_draining(EndpointId("a"))
        published_before = len(world.published)
        rows = (removed("a", 12), listed("a", 13), listed("a", 14, "draining"))
        world.endpoints(page(14, *rows))
        case.assertNotIn("a ready", world.summaries()[published_before:])
        case.assertNotEqual(READY, world.state("a"))


def test_one_late_report_does_not_restore_an_endpoint() -> None:
    """An endpoint exits without draining; its last report is written after its removal.

    No further report follows and the row expires again, so nothing is sent to an
    address that may belong to another service by then.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(14, listed("a", 13)))
        world.pass_time(3.7)
        world.endpoints(page(25, removed("a", 24)))
        world.pass_time(10)
        world.endpoints(page(26))
        case.assertIsNone(world.state("a"))


def test_peer_reports_of_draining_endpoints_are_applied() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.directory.offer_draining(EndpointId("a"))
        world.directory.offer_removal(EndpointId("b"), version(7))
        case.assertEqual(["a draining", "b gone"], world.summaries()[2:])


def test_an_old_removal_does_not_remove_a_newer_row() -> None:
    with directory_world() as world:
        world.endpoints(page(30, listed("a", 25)))
        world.directory.offer_endpoint(removed("a", 20))
        case.assertEqual(READY, world.state("a"))


def test_a_row_that_vanished_while_the_store_was_down_comes_back() -> None:
    """The store goes down, and rows expire because no endpoint can report.

    After recovery the feed sends the removals first, and the endpoints report again
    within two seconds. If removals were applied at once, all endpoints would be lost.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        case.assertEqual(READY, world.state("a"))
        world.pass_time(1.5)
        world.endpoints(page(14, listed("a", 14)))
        world.pass_time(1)
        world.endpoints(page(15))
        case.assertEqual(READY, world.state("a"))
        case.assertEqual(["a ready", "a ready held", "a ready"], world.summaries())


def test_rows_still_missing_two_seconds_after_recovery_are_removed() -> None:
    """An endpoint crashes while the store is down, and never reports again.

    Its row expires like the other rows. Two seconds after the recovery of the store it
    is removed; a late report of its own may still restore it, an old one may not.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        world.pass_time(1.9)
        world.endpoints(page(13))
        case.assertEqual(READY, world.state("a"))
        world.pass_time(0.1)
        world.endpoints(page(14))
        case.assertIsNone(world.state("a"))
        case.assertEqual("a gone", world.summaries()[-1])
        case.assertEqual((), world.directory.raw_endpoints)
        world.directory.offer_endpoint(listed("a", 11))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(20, listed("a", 19)))
        case.assertEqual(READY, world.state("a"))


def test_a_removal_within_two_seconds_of_the_return_is_held_too() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(10))
        world.pass_time(1)
        world.endpoints(page(12, removed("a", 12)))
        case.assertEqual(READY, world.state("a"))
        world.pass_time(1)
        world.endpoints(page(13))
        case.assertIsNone(world.state("a"))


def test_no_call_waits_past_the_judgement_of_what_is_missing() -> None:
    """An endpoint exits without draining just as the store recovers for an instance.

    Its removal is held for two seconds. A long poll begun shortly before they were over
    waited on for its own 1.6 s: the instance still sent calls 2.8 s after the store had
    taken the removal, to an endpoint that was about to exit.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        world.pass_time(1.5)
        world.endpoints(page(13))
        case.assertEqual(timedelta(seconds=0.5), world.listing.waits[-1])
        # The pause between two calls may end after the hold: the next polls at once.
        world.pass_time(0.7)
        world.endpoints(page(14))
        case.assertEqual(timedelta(0), world.listing.waits[-1])
        case.assertIsNone(world.state("a"))
        world.endpoints(page(15))
        case.assertEqual(timedelta(seconds=1.6), world.listing.waits[-1])


def test_recovery_and_the_removal_hold_fit_into_three_seconds() -> None:
    """A store that refuses an instance recovers between two of its retries.

    Three seconds later the instance counts as up to date. A pause of a second before
    the retry that detects recovery, plus the two-second hold, left no margin.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        longest = max(world.endpoints(DOWN) for _ in range(20))
        grace = world.directory.health.grace
        case.assertLess(longest + grace, timedelta(seconds=2.8))


def test_an_endpoint_removed_by_a_whole_read_may_return_too() -> None:
    """The feed is interrupted after an outage, and the whole read comes late.

    It still lacks the held endpoint. This is the same uncertain removal as before, and
    a report of the endpoint itself must override it.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        world.pass_time(3)
        world.endpoints(CUT, page(14))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(20, listed("a", 19)))
        case.assertEqual(READY, world.state("a"))


def test_a_second_outage_postpones_the_removal() -> None:
    """The store recovers, and fails again before two seconds have passed.

    The endpoints had no time to report, so a missing row is no evidence yet.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)), DOWN)
        world.pass_time(5)
        world.endpoints(page(13))
        case.assertEqual(READY, world.state("a"))
        world.pass_time(2)
        world.endpoints(page(14))
        case.assertIsNone(world.state("a"))


def test_a_draining_endpoint_is_not_held_by_an_outage() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, "draining")))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))


def test_an_outage_of_the_configuration_feed_does_not_hold_a_removal() -> None:
    with directory_world() as world:
        world.configuration(page(9))
        world.endpoints(page(9, listed("a", 4)))
        world.pass_time(5)
        world.configuration(DOWN)
        world.endpoints(page(10))
        world.endpoints(page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))


def test_a_silent_connection_does_not_hold_a_removal() -> None:
    """An endpoint exits without draining as the connection of the feed falls silent.

    The silence is detected within two seconds. No row expires wrongly in so short a
    time; if the removal were held, the endpoint would get work after its exit.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.pass_time(1.7)
        world.endpoints(DOWN, page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))


def test_many_short_outages_count_as_one_long_outage() -> None:
    """The store answers briefly, again and again, for seconds.

    No single outage is long, but an endpoint that reports seldom misses every such
    moment, and its row expires.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        for version in (10, 11):
            world.pass_time(1.5)
            world.endpoints(DOWN, page(version))
        world.endpoints(page(12, removed("a", 12)))
        case.assertEqual(READY, world.state("a"))


def test_a_peers_removal_is_held_while_the_store_is_lost_here() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.directory.offer_endpoint(removed("a", 12))
        case.assertEqual(READY, world.state("a"))
        world.endpoints(page(13))
        world.pass_time(2)
        world.endpoints(page(14))
        case.assertIsNone(world.state("a"))


def test_differences_are_computed_after_a_feed_gap() -> None:
    """An endpoint leaves and another starts while the feed is interrupted.

    Then the history is dropped. Only a whole read shows the removal, as an absent row.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)), CUT)
        world.endpoints(page(30, listed("b", 28), listed("c", 29)))
        case.assertEqual([None, 9, None], world.listing.asked)
        case.assertEqual(["a gone", "c ready"], sorted(world.summaries()[2:]))


def test_a_stale_whole_read_after_a_cut_changes_nothing() -> None:
    """Reads are some seconds behind when the history is dropped.

    An endpoint left at version 20, which the feed has delivered. The whole read is as
    of version 12: it still lists that endpoint and lacks one added at version 18. If it
    were applied, the former would be used and the latter lost.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.endpoints(page(20, listed("b", 18), removed("a", 20)), CUT)
        world.endpoints(page(12, listed("a", 11), listed("c", 12)))
        case.assertIsNone(world.state("a"))
        case.assertEqual(READY, world.state("b"))
        case.assertIsNone(world.state("c"))
        world.endpoints(page(21, listed("b", 18)), page(21))
        case.assertEqual([None, 9, 20, None, None, 21], world.listing.asked)
        case.assertEqual(READY, world.state("b"))


def test_a_whole_read_with_an_older_row_than_known_changes_nothing() -> None:
    """A stale read claims the newest version, but its rows are older."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 9), listed("b", 8)), CUT)
        world.endpoints(page(30, listed("a", 3)))
        case.assertEqual(READY, world.state("b"))


def test_a_read_older_than_a_peers_row_changes_nothing() -> None:
    with directory_world() as world:
        world.directory.offer_endpoint(listed("a", 20))
        world.endpoints(page(12))
        case.assertEqual(READY, world.state("a"))
        world.endpoints(page(22))
        case.assertIsNone(world.state("a"))


def test_rows_newer_than_a_whole_read_are_kept() -> None:
    """A row from a peer arrives while a whole read is in flight.

    The read does not include the row yet; its absence is no evidence of removal.
    """
    with directory_world() as world:
        world.endpoints(page(9))
        world.directory.offer_endpoint(listed("a", 20))
        missing = world.directory.endpoint_registry.missing_from((), version(12))
        case.assertEqual((), missing)


def test_an_unreadable_row_suspends_its_endpoint_only() -> None:
    """The content of a row before it was overwritten is no longer valid."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.endpoints(page(12, listed("a", 11, "odd"), listed("b", 12)))
        case.assertEqual(EndpointState.UNREADABLE, world.state("a"))
        case.assertFalse(world.directory.endpoints[EndpointId("a")].takes_new_work)
        case.assertEqual(READY, world.state("b"))
        world.endpoints(page(13, listed("a", 13)))
        case.assertEqual(READY, world.state("a"))


def test_raw_rows_reproduce_the_state_at_another_instance() -> None:
    """An instance starts while the store cannot be reached.

    A peer sends the rows that it holds; endpoints that are draining or removed must not
    be used by the new instance.
    """
    with directory_world() as first, directory_world() as second:
        first.endpoints(
            page(9, listed("a", 4), listed("b", 5, "draining"), listed("c", 6)),
            page(12, removed("c", 12)),
        )
        second.directory.offer_endpoint(listed("c", 6))
        for row in first.directory.raw_endpoints:
            second.directory.offer_endpoint(row)
        case.assertEqual(READY, second.state("a"))
        case.assertEqual(DRAINING, second.state("b"))
        case.assertIsNone(second.state("c"))


def test_rows_of_long_removed_endpoints_are_dropped() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        case.assertEqual(1, len(world.directory.endpoint_registry.removed.removals))
        world.pass_time(601)
        world.endpoints(page(13))
        case.assertEqual({}, world.directory.endpoint_registry.removed.removals)


def started_value(ms: int, state: str = "ready", address: str = "10.0.0.1:80") -> str:
    return f"{state} {address} {ms}"


def test_an_endpoint_that_drained_and_started_again_under_its_id_is_used() -> None:
    """An endpoint drains and restarts under its id, before its row is removed.

    A draining id never takes work again, so it would stay excluded forever. A delayed
    row of its former incarnation must not exclude it either.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, started_value(1000))))
        world.endpoints(page(11, listed("a", 11, started_value(1000, "draining"))))
        world.endpoints(page(13, listed("a", 13, started_value(2000))))
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_endpoint(listed("a", 14, started_value(1000, "draining")))
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_draining(EndpointId("a"), version(11))
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_draining(EndpointId("a"), version(13))
        case.assertEqual(DRAINING, world.state("a"))


def test_an_endpoint_that_crashed_and_started_again_is_used_at_once() -> None:
    """A crash removes the row of an endpoint, and it restarts under the same id.

    A row that reappears counts only once it has persisted, as it may be a late report.
    One with a later start time cannot come from the former incarnation.
    """
    with directory_world() as world:
        world.endpoints(
            page(9, listed("a", 4, started_value(1000))), page(11, removed("a", 11))
        )
        case.assertIsNone(world.state("a"))
        world.endpoints(page(13, listed("a", 13, started_value(1000))))
        case.assertIsNone(world.state("a"))
        world.endpoints(
            page(15, listed("a", 15, started_value(2000, address="10.0.0.7:80")))
        )
        case.assertEqual(READY, world.state("a"))
        known = world.directory.endpoints[EndpointId("a")]
        case.assertEqual("10.0.0.7:80", known.listed.address)


def test_an_earlier_start_never_replaces_a_later_one() -> None:
    """A row of the former incarnation is written last, or a clock was set back.

    The two cannot be distinguished; the earlier address may have been reused by now.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, started_value(2000))))
        world.endpoints(
            page(12, listed("a", 12, started_value(1000, address="10.0.0.9:80")))
        )
        known = world.directory.endpoints[EndpointId("a")]
        case.assertEqual("10.0.0.1:80", known.listed.address)


def test_a_missing_start_time_changes_nothing() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, started_value(2000))))
        world.endpoints(page(12, listed("a", 12, "draining")))
        world.endpoints(page(14, listed("a", 14)))
        case.assertEqual(DRAINING, world.state("a"))


def test_two_incarnations_in_one_page_leave_the_later_one() -> None:
    with directory_world() as world:
        world.endpoints(
            page(9, listed("a", 4, started_value(1000))),
            page(
                16,
                listed("a", 11, started_value(1000, "draining")),
                removed("a", 12),
                listed("a", 13, started_value(2000)),
            ),
        )
        case.assertEqual(READY, world.state("a"))


load_tests = function_tests(__name__)
