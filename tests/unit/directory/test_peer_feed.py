"""Tests of following the endpoints by peers' words that nothing has changed."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.errors import StoreUnavailableError
from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.peer_feed import FEED_READERS, MAX_UPDATE_AGE, PeerFeed
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

case = TestCase()

DOWN = StoreUnavailableError("down")
FLEET = [InstanceId(f"front-{number}") for number in range(195)]
PEER = InstanceId("peer")
NOW = timedelta(0)
SECOND = timedelta(seconds=1)


@contextmanager
def hearing_world() -> Iterator[DirectoryWorld]:
    """Give a directory that has read up to version 9 and goes by peers' words."""
    with directory_world() as world:
        world.directory.peer_feed.is_reader = False
        world.endpoints(page(9, listed("a", 4)))
        yield world


@contextmanager
def reading_world() -> Iterator[tuple[DirectoryWorld, list[FeedUpdate]]]:
    """Give a directory that reads for others, and what it tells them."""
    told: list[FeedUpdate] = []
    with directory_world() as world:
        world.directory.peer_feed.has_followers = True
        world.directory.peer_feed.publish = told.append
        world.endpoints(page(9, listed("a", 4)))
        yield world, told


def hear(world: DirectoryWorld, since: int, followed: int) -> None:
    """Let a peer tell that nothing has changed between two versions."""
    world.directory.peer_feed.receive(PEER, FeedUpdate(since, followed), NOW)


def covered_steps(world: DirectoryWorld, count: int = 1) -> None:
    """Make steps for which the store has no answer, as none is asked for."""
    for _ in range(count):
        world.endpoints(page(0))
        world.listing.replies.clear()


def test_eight_of_a_large_fleet_read_and_all_agree_which() -> None:
    """195 instances, each asking the store twice a second, are most of its calls.

    Each works out for itself whether it is one of those that ask for all.
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


def test_all_of_a_small_fleet_read_and_tell_nobody() -> None:
    told: list[FeedUpdate] = []
    feed = PeerFeed(ManualClock())
    feed.publish = told.append
    feed.select_readers(FLEET[0], FLEET[1:FEED_READERS])
    case.assertTrue(feed.is_reader)
    feed.publish_answer(FeedUpdate(4, 9), feed.clock.monotonic(), SECOND)
    case.assertEqual([], told)


def test_a_fresh_word_spares_the_call() -> None:
    with hearing_world() as world:
        hear(world, 4, 12)
        covered_steps(world, 3)
        case.assertEqual([None], world.listing.asked)
        case.assertEqual(12, world.directory.endpoint_follower.position)


def test_a_change_that_was_not_heard_is_asked_for() -> None:
    with hearing_world() as world:
        hear(world, 11, 12)
        world.endpoints(page(12, listed("b", 11)))
        case.assertEqual([None, 9], world.listing.asked)
        covered_steps(world)
        case.assertEqual([None, 9], world.listing.asked)


def test_the_store_is_asked_when_the_word_grows_old() -> None:
    """All readers die at once, and an endpoint leaves just then.

    An instance that waited for their next words would send it calls for as long as
    it takes to notice their silence, some seconds.
    """
    with hearing_world() as world:
        hear(world, 4, 9)
        world.pass_time((MAX_UPDATE_AGE - SECOND / 10).total_seconds())
        pause = world.endpoints(page(0))
        case.assertLessEqual(pause, SECOND / 9)
        world.listing.replies.clear()
        world.pass_time(pause.total_seconds())
        world.endpoints(page(10, removed("a", 10)))
        case.assertEqual([None, 9], world.listing.asked)
        case.assertIsNone(world.state("a"))


def test_a_frozen_readers_answer_is_not_told() -> None:
    """A reader stands still with an answer unread, and an endpoint leaves meanwhile.

    Told as fresh when it wakes, the old answer would have its peers use the endpoint.
    """
    with reading_world() as (world, told):
        world.endpoints(page(9))
        case.assertEqual([FeedUpdate(9, 9)], told)
        stand_still_in_a_call(world, 5)
        world.endpoints(page(12))
        case.assertEqual([FeedUpdate(9, 9)], told)
        world.endpoints(page(13))
        case.assertEqual([FeedUpdate(9, 9), FeedUpdate(9, 13)], told)


def stand_still_in_a_call(world: DirectoryWorld, seconds: float) -> None:
    """Let time pass within the next call about the endpoints."""
    changes = world.listing.changes

    async def slowly(after: int, wait: timedelta) -> RowPage:
        """Answer after a while."""
        world.listing.changes = changes  # type: ignore[method-assign]
        world.pass_time(seconds)
        return await changes(after, wait)

    world.listing.changes = slowly  # type: ignore[method-assign]


def test_a_reader_in_doubt_tells_nothing() -> None:
    """The store was out, rows expired in it, and their endpoints serve on.

    A reader that holds them would have its peers believe that all is as it was.
    """
    with reading_world() as (world, told):
        world.outage()
        world.endpoints(page(11, removed("a", 10)))
        case.assertEqual([], told)
        world.pass_time(2.5)
        world.endpoints(page(11), page(11))
        case.assertEqual([FeedUpdate(10, 11)] * 2, told)


def test_one_in_doubt_asks_the_store_whatever_peers_say() -> None:
    """A row vanished in an outage; the endpoint has left, and must go after the doubt.

    By a peer's word that nothing changed it would be held for ever.
    """
    with hearing_world() as world:
        world.outage()
        world.endpoints(page(11, removed("a", 10)))
        hear(world, 10, 11)
        world.pass_time(1)
        world.endpoints(page(11))
        case.assertEqual([None, 9, 9, 9, 11], world.listing.asked)


def test_one_that_has_lost_the_store_is_not_told_that_it_answers() -> None:
    with hearing_world() as world:
        world.endpoints(DOWN)
        hear(world, 4, 9)
        world.endpoints(DOWN)
        case.assertEqual([None, 9, 9], world.listing.asked)


def test_an_outage_that_only_the_readers_met_costs_no_endpoint() -> None:
    """The store is out for four seconds, and the rows of sound endpoints expire.

    One who goes by peers' words asks as these grow old. Its call waits out the rest of
    the outage and is answered at its end, with removals, and no call has failed.
    """
    with hearing_world() as world:
        hear(world, 4, 9)
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
