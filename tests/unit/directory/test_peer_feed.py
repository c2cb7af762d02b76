"""Tests of following endpoints by feed updates from peers."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.peer_feed import FEED_READERS, MAX_UPDATE_AGE, PeerFeed
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import RowPage
from mimosafork.ids import InstanceId

from ...support.directories import (
    DirectoryWorld,
    directory_world,
    listed,
    page,
    removed,
)
from ...support.functions import function_tests
from ...support.versions import version

case = TestCase()

DOWN = StoreUnavailableError("down")
FLEET = [InstanceId(f"front-{number}") for number in range(195)]
PEER = InstanceId("peer")
NOW = timedelta(0)
SECOND = timedelta(seconds=1)


@contextmanager
def receiving_world() -> Iterator[DirectoryWorld]:
    """Provide a directory at version 9 that relies on feed updates of peers."""
    with directory_world() as world:
        world.directory.peer_feed.is_reader = False
        world.endpoints(page(9, listed("a", 4)))
        yield world


@contextmanager
def reading_world() -> Iterator[tuple[DirectoryWorld, list[FeedUpdate]]]:
    """Provide a directory that reads for its peers, and its feed updates."""
    updates: list[FeedUpdate] = []
    with directory_world() as world:
        world.directory.peer_feed.has_followers = True
        world.directory.peer_feed.publish = updates.append
        world.endpoints(page(9, listed("a", 4)))
        yield world, updates


def update(since: int, followed: int) -> FeedUpdate:
    """Return an update of the first era."""
    return FeedUpdate(version(since), version(followed))


def receive_update(world: DirectoryWorld, since: int, followed: int) -> None:
    """Deliver a feed update: nothing has changed between two versions."""
    world.directory.peer_feed.receive(PEER, update(since, followed), NOW)


def covered_steps(world: DirectoryWorld, count: int = 1) -> None:
    """Run steps that need no call; the store has no scripted answer."""
    for _ in range(count):
        world.endpoints(page(0))
        world.listing.replies.clear()


def test_eight_of_a_large_fleet_read_and_all_agree_which() -> None:
    """195 instances, each polling the store twice a second, are most of its load.

    Each instance computes for itself whether it is one of the readers.
    """
    readers = []
    for own in FLEET:
        feed = PeerFeed(ManualClock())
        feed.select_readers(own, [each for each in FLEET if each != own])
        case.assertTrue(feed.has_followers)
        readers += [own] if feed.is_reader else []
    case.assertEqual(FEED_READERS, len(readers))


def test_another_takes_the_place_of_a_reader_that_is_silent() -> None:
    def readers_among(fleet: list[InstanceId]) -> set[InstanceId]:
        found = set()
        for own in fleet:
            feed = PeerFeed(ManualClock())
            feed.select_readers(own, [each for each in fleet if each != own])
            found |= {own} if feed.is_reader else set()
        return found

    before = readers_among(FLEET)
    silent = min(before)
    after = readers_among([each for each in FLEET if each != silent])
    case.assertEqual(before - {silent}, before & after)
    case.assertEqual(FEED_READERS, len(after))


def test_all_of_a_small_fleet_read_and_publish_no_updates() -> None:
    updates: list[FeedUpdate] = []
    feed = PeerFeed(ManualClock())
    feed.publish = updates.append
    feed.select_readers(FLEET[0], FLEET[1:FEED_READERS])
    case.assertTrue(feed.is_reader)
    feed.publish_answer(update(4, 9), feed.clock.monotonic(), SECOND)
    case.assertEqual([], updates)


def test_a_fresh_update_saves_the_call() -> None:
    with receiving_world() as world:
        receive_update(world, 4, 12)
        covered_steps(world, 3)
        case.assertEqual([None], world.listing.asked)
        case.assertEqual(version(12), world.directory.endpoint_follower.position)


def test_a_change_that_was_not_received_is_polled() -> None:
    with receiving_world() as world:
        receive_update(world, 11, 12)
        world.endpoints(page(12, listed("b", 11)))
        case.assertEqual([None, 9], world.listing.asked)
        covered_steps(world)
        case.assertEqual([None, 9], world.listing.asked)


def test_the_store_is_polled_when_updates_are_old() -> None:
    """All readers exit at once, and an endpoint leaves at the same time.

    An instance that waited for their next updates would send the endpoint calls for as
    long as it takes to detect their silence, some seconds.
    """
    with receiving_world() as world:
        receive_update(world, 4, 9)
        world.pass_time((MAX_UPDATE_AGE - SECOND / 10).total_seconds())
        pause = world.endpoints(page(0))
        case.assertLessEqual(pause, SECOND / 9)
        world.listing.replies.clear()
        world.pass_time(pause.total_seconds())
        world.endpoints(page(10, removed("a", 10)))
        case.assertEqual([None, 9], world.listing.asked)
        case.assertIsNone(world.state("a"))


def test_a_reader_publishes_that_the_store_was_restored() -> None:
    """Instances that rely on updates would go on by those of the era before."""
    with reading_world() as (world, updates):
        world.endpoints(HistoryExpiredError("cut"))
        world.endpoints(page(5, listed("a", 4, era=2), era=2))
        case.assertEqual(
            [FeedUpdate(version(5, era=2), version(5, era=2))], updates[-1:]
        )


def test_an_update_of_a_later_era_ends_the_reliance_on_all_others() -> None:
    """One peer has noticed a restore; the updates of the others are still fresh."""
    with receiving_world() as world:
        receive_update(world, 4, 9)
        later = FeedUpdate(version(5, era=2), version(5, era=2))
        world.directory.peer_feed.receive(InstanceId("other"), later, NOW)
        world.endpoints(HistoryExpiredError("cut"))
        world.endpoints(page(5, listed("a", 4, era=2), era=2))
        case.assertEqual([None, 9, None], world.listing.asked)


def test_a_frozen_readers_answer_is_not_published() -> None:
    """A reader freezes with an answer unread, and an endpoint leaves meanwhile.

    Published as fresh when it resumes, the old answer would keep the endpoint in use.
    """
    with reading_world() as (world, updates):
        world.endpoints(page(9))
        case.assertEqual([update(9, 9)], updates)
        stand_still_in_a_call(world, 5)
        world.endpoints(page(12))
        case.assertEqual([update(9, 9)], updates)
        world.endpoints(page(13))
        case.assertEqual(
            [update(9, 9), update(9, 13)],
            updates,
        )


def stand_still_in_a_call(world: DirectoryWorld, seconds: float) -> None:
    """Let time pass within the next call about the endpoints."""
    changes = world.listing.changes

    async def slowly(after: RowVersion, wait: timedelta) -> RowPage:
        """Answer with a delay."""
        world.listing.changes = changes  # type: ignore[method-assign]
        world.pass_time(seconds)
        return await changes(after, wait)

    world.listing.changes = slowly  # type: ignore[method-assign]


def test_a_reader_with_held_removals_publishes_nothing() -> None:
    """Rows expired during an outage of the store, and their endpoints still serve.

    A reader that holds the removals would signal to its peers that nothing has changed.
    """
    with reading_world() as (world, updates):
        world.outage()
        world.endpoints(page(11, removed("a", 10)))
        case.assertEqual([], updates)
        world.pass_time(2.5)
        world.endpoints(page(11), page(11))
        case.assertEqual([update(10, 11)] * 2, updates)


def test_an_instance_with_held_removals_polls_the_store() -> None:
    """A row expired in an outage; its endpoint left and must be removed after the hold.

    If feed updates of peers replaced the call, it would be held forever.
    """
    with receiving_world() as world:
        world.outage()
        world.endpoints(page(11, removed("a", 10)))
        receive_update(world, 10, 11)
        world.pass_time(1)
        world.endpoints(page(11))
        case.assertEqual([None, 9, 9, 9, 11], world.listing.asked)


def test_one_that_has_lost_the_store_is_not_told_that_it_answers() -> None:
    with receiving_world() as world:
        world.endpoints(DOWN)
        receive_update(world, 4, 9)
        world.endpoints(DOWN)
        case.assertEqual([None, 9, 9], world.listing.asked)


def test_an_outage_that_only_the_readers_met_costs_no_endpoint() -> None:
    """The store is down for four seconds, and the rows of healthy endpoints expire.

    An instance that relies on peers polls when their updates get old. Its call waits
    out the rest of the outage and is answered at its end, with removals, and no call
    has failed.
    """
    with receiving_world() as world:
        receive_update(world, 4, 9)
        covered_steps(world)
        world.pass_time(MAX_UPDATE_AGE.total_seconds())
        stand_still_in_a_call(world, 2)
        world.endpoints(page(11, removed("a", 10)))
        case.assertEqual(["a ready", "a ready held"], world.summaries())
        world.endpoints(page(13, listed("a", 12)))
        world.pass_time(3)
        world.endpoints(page(13))
        case.assertEqual("a ready", world.summaries()[-1])


load_tests = function_tests(__name__)
