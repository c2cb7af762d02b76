"""Tests of the endpoints' rows: leaving, outages, stale reads and peers."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.messages import EndpointState
from mimosafork.ids import EndpointId

from ...support.directories import directory_world, listed, page, removed
from ...support.functions import function_tests

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


def test_reports_that_change_nothing_for_others_are_not_told() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, listed("a", 12)))
        case.assertEqual(["a ready"], world.summaries())
        entry = world.directory.endpoints[EndpointId("a")]
        case.assertEqual(12, entry.listed.sequence)
        world.endpoints(page(13, listed("a", 13, "ready 10.0.0.2:80")))
        case.assertEqual(["a ready", "a ready"], world.summaries())


def test_draining_and_removal_take_effect_at_once() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.endpoints(page(12, listed("a", 11, "draining"), removed("b", 12)))
        case.assertEqual(DRAINING, world.state("a"))
        case.assertFalse(world.directory.endpoints[EndpointId("a")].takes_new_work)
        case.assertIsNone(world.state("b"))
        case.assertEqual(["a draining", "b gone"], world.summaries()[2:])


def test_a_draining_word_is_never_taken_back() -> None:
    """A ready report crosses the draining one and is heard after it.

    Taken, calls would reach an endpoint that is about to exit. Neither the store
    nor a peer may bring it back, with whatever version; nor may an older draining
    word be lost behind a newer ready one.
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
    """A peer that heard late tells a ready word of an endpoint that is gone.

    Its address may belong to another service by then.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.directory.offer_endpoint(listed("a", 4))
        world.directory.offer_endpoint(listed("a", 30))
        case.assertIsNone(world.state("a"))


def test_a_late_peer_does_not_bring_back_what_the_store_no_longer_lists() -> None:
    """An instance starts after an endpoint has left, and reads the list without it.

    A peer that is behind hands over the row as it was. Taken, it stays for good: the
    store tells of no removal after the read, and its address is another's by then.
    """
    with directory_world() as world:
        world.endpoints(page(20, listed("b", 15)))
        world.directory.offer_endpoint(listed("a", 10))
        case.assertIsNone(world.state("a"))
        world.directory.offer_endpoint(listed("c", 21))
        case.assertEqual(READY, world.state("c"))


def test_an_endpoint_that_was_cut_off_from_the_store_is_used_again() -> None:
    """A zone is cut off from the store, its endpoints' rows expire, the cut heals.

    The endpoints serve all the while and report again under the same ids. Left out
    for good, each cut would cost the fleet a zone's endpoints until they restart.
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

    Its row lasts, so after some seconds it seems to be back for good; taken by the
    word before its last one, it gets new work until it exits.
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
    """Calls go to an endpoint that exited, some seconds after its row expired.

    A last report crosses the removal and is read; the store then drops its history, and
    the row expires unseen. The whole read that follows lacks it.
    """
    with directory_world() as world:
        world.endpoints(page(1, listed("a", 1)), page(2, removed("a", 2)))
        world.endpoints(page(3, listed("a", 3)), HistoryExpiredError("cut"), page(4))
        world.pass_time(4)
        world.endpoints(page(4))
        case.assertIsNone(world.state("a"))


def test_a_late_word_that_one_is_gone_does_not_end_its_return() -> None:
    """An endpoint that was cut off from the store is back, and gets no calls for good.

    Its row is there again and has yet to last. A peer that has not heard of it hands
    over its list, with the removal before; the store tells an unchanged row once only.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(20, listed("a", 20)))
        world.directory.offer_endpoint(removed("a", 12))
        world.pass_time(4)
        world.endpoints(page(25))
        case.assertEqual(READY, world.state("a"))


def test_one_that_drained_while_its_row_was_missing_is_not_used_again() -> None:
    """An endpoint drains around an outage, and gets new work for a moment afterwards.

    Its row lapses in the outage, and a peer tells that and that it drains. The store's
    answers then begin with the removal and with the ready row that followed it.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.directory.offer_endpoint(removed("a", 12))
        world.directory.offer_draining(EndpointId("a"))
        told = len(world.published)
        rows = (removed("a", 12), listed("a", 13), listed("a", 14, "draining"))
        world.endpoints(page(14, *rows))
        case.assertNotIn("a ready", world.summaries()[told:])
        case.assertNotEqual(READY, world.state("a"))


def test_one_late_report_does_not_bring_an_endpoint_back() -> None:
    """An endpoint leaves without a word; its last report crosses its removal.

    No further report follows and the row expires again, so that nothing is sent to
    an address that may be another service's by then.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(14, listed("a", 13)))
        world.pass_time(3.7)
        world.endpoints(page(25, removed("a", 24)))
        world.pass_time(10)
        world.endpoints(page(26))
        case.assertIsNone(world.state("a"))


def test_a_peers_words_about_leaving_endpoints_count() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.directory.offer_draining(EndpointId("a"))
        world.directory.offer_removal(EndpointId("b"), 7)
        case.assertEqual(["a draining", "b gone"], world.summaries()[2:])


def test_an_old_removal_does_not_end_a_newer_life_of_the_row() -> None:
    with directory_world() as world:
        world.endpoints(page(30, listed("a", 25)))
        world.directory.offer_endpoint(removed("a", 20))
        case.assertEqual(READY, world.state("a"))


def test_a_row_that_vanished_while_the_store_was_down_comes_back() -> None:
    """The store goes down, and rows expire as nobody can report.

    At its return the feed tells the removals first, and the endpoints report
    again within two seconds. Taken at once, all endpoints would be lost.
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


def test_what_is_still_missing_two_seconds_after_the_return_is_gone() -> None:
    """An endpoint crashes while the store is down, and never reports again.

    Its row vanishes like the others' rows. Two seconds after the store's return it
    is gone; a late report of its own may still bring it back, an old one may not.
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
    """An endpoint leaves without a word just as the store comes back to an instance.

    Its removal is held for two seconds. A long poll begun shortly before they were
    over waited on for its own 1.6 s: the instance still sent calls 2.8 s after the
    store had taken the word, to an endpoint that was about to exit.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        world.pass_time(1.5)
        world.endpoints(page(13))
        case.assertEqual(timedelta(seconds=0.5), world.listing.waits[-1])
        # The pause between two calls may end after the doubt: the next asks at once.
        world.pass_time(0.7)
        world.endpoints(page(14))
        case.assertEqual(timedelta(0), world.listing.waits[-1])
        case.assertIsNone(world.state("a"))
        world.endpoints(page(15))
        case.assertEqual(timedelta(seconds=1.6), world.listing.waits[-1])


def test_the_return_of_the_store_and_the_doubt_after_it_fit_into_three_seconds() -> (
    None
):
    """A store that turns an instance away comes back between two of its retries.

    Three seconds later the instance counts as well informed. A pause of a second
    before the retry that finds it, and the two seconds after that, left no room.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        longest = max(world.endpoints(DOWN) for _ in range(20))
        grace = world.directory.health.grace
        case.assertLess(longest + grace, timedelta(seconds=2.8))


def test_an_endpoint_judged_by_a_whole_read_may_come_back_too() -> None:
    """The feed is cut after an outage, and the whole read comes late.

    It shows the held endpoint as missing still. That is the same doubtful word as
    before, and a report of the endpoint's own must win over it.
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


def test_a_second_outage_puts_off_the_judgement() -> None:
    """The store returns, and goes down again before two seconds have passed.

    The endpoints had no time to report, so their absence says nothing yet.
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


def test_an_outage_of_the_configurations_feed_casts_no_doubt_on_a_removal() -> None:
    with directory_world() as world:
        world.configuration(page(9))
        world.endpoints(page(9, listed("a", 4)))
        world.pass_time(5)
        world.configuration(DOWN)
        world.endpoints(page(10))
        world.endpoints(page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))


def test_a_silent_connection_casts_no_doubt_on_a_removal() -> None:
    """An endpoint leaves without a word as the feed's connection falls silent.

    The silence is found within two seconds. No row expires wrongly in so short a
    time; held, the endpoint would get work after it has exited.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.pass_time(1.7)
        world.endpoints(DOWN, page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))


def test_many_short_outages_are_one_long_one() -> None:
    """The store answers for a moment, again and again, for seconds.

    No single outage is long, but an endpoint that reports seldom meets none of the
    moments, and its row expires.
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


def test_after_a_cut_feed_the_differences_are_worked_out() -> None:
    """An endpoint leaves and another comes while the feed hears nothing.

    Then the history is dropped. Only a whole read shows the removal, as a row that
    is not there.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)), CUT)
        world.endpoints(page(30, listed("b", 28), listed("c", 29)))
        case.assertEqual([None, 9, None], world.listing.asked)
        case.assertEqual(["a gone", "c ready"], sorted(world.summaries()[2:]))


def test_a_stale_whole_read_after_a_cut_changes_nothing() -> None:
    """Reads are some seconds behind as the history is dropped.

    An endpoint left at version 20, which the feed has told. The whole read is as
    of version 12 and still lists it, and lacks one that came at version 18. Taken,
    the one would be used and the other lost.
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
    """A stale read claims the newest version, and its rows give it away."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 9), listed("b", 8)), CUT)
        world.endpoints(page(30, listed("a", 3)))
        case.assertEqual(READY, world.state("b"))


def test_a_read_older_than_a_peers_word_changes_nothing() -> None:
    with directory_world() as world:
        world.directory.offer_endpoint(listed("a", 20))
        world.endpoints(page(12))
        case.assertEqual(READY, world.state("a"))
        world.endpoints(page(22))
        case.assertIsNone(world.state("a"))


def test_what_is_newer_than_a_whole_read_is_left_alone() -> None:
    """A peer's word overtakes a whole read that is under way.

    The read does not have the row yet; its absence says nothing.
    """
    with directory_world() as world:
        world.endpoints(page(9))
        world.directory.offer_endpoint(listed("a", 20))
        missing = world.directory.endpoint_registry.missing_from((), 12)
        case.assertEqual((), missing)


def test_an_unreadable_row_rests_its_endpoint_and_leaves_the_others() -> None:
    """What a row said before it was written over says nothing of now."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.endpoints(page(12, listed("a", 11, "odd"), listed("b", 12)))
        case.assertEqual(EndpointState.UNREADABLE, world.state("a"))
        case.assertFalse(world.directory.endpoints[EndpointId("a")].takes_new_work)
        case.assertEqual(READY, world.state("b"))
        world.endpoints(page(13, listed("a", 13)))
        case.assertEqual(READY, world.state("a"))


def test_raw_rows_make_another_instance_know_the_same() -> None:
    """An instance starts while the store cannot be reached.

    A peer hands it the rows that it holds; what is leaving or gone must not be in
    use at the new instance.
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


def test_words_about_endpoints_long_gone_are_dropped() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        case.assertEqual(1, len(world.directory.endpoint_registry.removals))
        world.pass_time(601)
        world.endpoints(page(13))
        case.assertEqual({}, world.directory.endpoint_registry.removals)


def born(ms: int, state: str = "ready", address: str = "10.0.0.1:80") -> str:
    return f"{state} {address} {ms}"


def test_an_endpoint_that_drained_and_started_again_under_its_id_is_used() -> None:
    """An endpoint drains and comes back under its id, before its row is removed.

    As an id that leaves takes no work again, it would stay out for good. A row of its
    former life that is heard late must not take it out either.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, born(1000))))
        world.endpoints(page(11, listed("a", 11, born(1000, "draining"))))
        world.endpoints(page(13, listed("a", 13, born(2000))))
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_endpoint(listed("a", 14, born(1000, "draining")))
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_draining(EndpointId("a"), 11)
        case.assertEqual(READY, world.state("a"))
        world.directory.offer_draining(EndpointId("a"), 13)
        case.assertEqual(DRAINING, world.state("a"))


def test_an_endpoint_that_crashed_and_started_again_is_used_at_once() -> None:
    """A crash removes an endpoint's row, and another life under its id comes.

    A row that is merely there again counts only once it has lasted, as it may be a late
    report. One with a later birth is no report of the life that is gone.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, born(1000))), page(11, removed("a", 11)))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(13, listed("a", 13, born(1000))))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(15, listed("a", 15, born(2000, address="10.0.0.7:80"))))
        case.assertEqual(READY, world.state("a"))
        known = world.directory.endpoints[EndpointId("a")]
        case.assertEqual("10.0.0.7:80", known.listed.address)


def test_an_earlier_birth_never_replaces_a_later_one() -> None:
    """A row of the former life is written last, or an endpoint's clock went back.

    Nobody can tell which; the address of the earlier birth may be another's by now.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, born(2000))))
        world.endpoints(page(12, listed("a", 12, born(1000, address="10.0.0.9:80"))))
        known = world.directory.endpoints[EndpointId("a")]
        case.assertEqual("10.0.0.1:80", known.listed.address)


def test_a_missing_birth_changes_nothing() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, born(2000))))
        world.endpoints(page(12, listed("a", 12, "draining")))
        world.endpoints(page(14, listed("a", 14)))
        case.assertEqual(DRAINING, world.state("a"))


def test_both_lives_in_one_page_leave_the_later_one() -> None:
    with directory_world() as world:
        world.endpoints(
            page(9, listed("a", 4, born(1000))),
            page(
                16,
                listed("a", 11, born(1000, "draining")),
                removed("a", 12),
                listed("a", 13, born(2000)),
            ),
        )
        case.assertEqual(READY, world.state("a"))


load_tests = function_tests(__name__)
