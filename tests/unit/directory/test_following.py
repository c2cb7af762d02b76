"""Tests of the configuration, of retries, and of starting and stopping."""

import asyncio
from datetime import timedelta
from unittest import TestCase

from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.messages import DirectoryChange

from ...support.directories import configured, directory_world, listed, page
from ...support.functions import function_tests
from ...support.versions import version

case = TestCase()

DOWN = StoreUnavailableError("down")
CUT = HistoryExpiredError("cut")
SECOND = timedelta(seconds=1)


def test_a_newer_configuration_is_in_force_with_the_answer() -> None:
    with directory_world() as world:
        world.configuration(page(9, configured(3, 4)), page(12, configured(8, 12)))
        case.assertEqual(["table 3", "table 8"], world.summaries())
        case.assertEqual(version(12), world.directory.raw_configuration.version)  # type: ignore[union-attr]


def test_an_older_configuration_is_never_applied() -> None:
    """A slow peer and a stale read deliver the configuration before the newest.

    If applied, a route that was moved would go to its old service again.
    """
    with directory_world() as world:
        world.configuration(page(9, configured(8, 9)))
        world.directory.offer_configuration(configured(3, 4))
        world.directory.offer_configuration(configured(3, 20))
        world.configuration(page(21, configured(7, 21)), CUT)
        world.configuration(page(21, configured(3, 4)))
        case.assertEqual(8, world.version())
        case.assertEqual(["table 8"], world.summaries())


def test_a_peers_newer_configuration_is_taken_while_the_store_is_down() -> None:
    with directory_world() as world:
        world.configuration(DOWN)
        case.assertIsNone(world.version())
        world.directory.offer_configuration(configured(3, 4))
        case.assertEqual(3, world.version())
        case.assertFalse(world.directory.ready_to_serve)
        world.directory.offer_endpoint(listed("a", 5))
        case.assertTrue(world.directory.ready_to_serve)


def test_a_missing_or_unreadable_configuration_leaves_the_one_in_force() -> None:
    with directory_world() as world:
        world.configuration(page(9, configured(3, 4)), CUT, page(12))
        case.assertEqual(3, world.version())
        odd = configured(0, 13)
        odd = type(odd)(odd.table, odd.part, odd.key, b"odd", odd.version)
        world.configuration(page(13, odd), page(14, configured(5, 14)))
        case.assertEqual(5, world.version())


def test_not_ready_before_configuration_and_list_are_known() -> None:
    with directory_world() as world:
        world.endpoints(page(9))
        case.assertFalse(world.directory.ready_to_serve)
        world.configuration(page(9, configured(3, 4)))
        case.assertTrue(world.directory.ready_to_serve)


def test_failed_calls_are_retried_with_backoff() -> None:
    """The store is down for long, for all instances at once.

    With a short fixed retry pause, all would overload it on recovery; with a long one
    from the start, a connection that merely broke would cost a second.
    """
    with directory_world() as world:
        pauses = [world.endpoints(DOWN) for _ in range(12)]
        case.assertLessEqual(pauses[0], SECOND / 10)
        case.assertTrue(all(SECOND / 20 <= pause <= SECOND for pause in pauses))
        case.assertGreaterEqual(min(pauses[5:]), SECOND / 2)
        case.assertGreater(len(set(pauses[5:])), 1)
        usual = world.endpoints(page(9))
        case.assertEqual(timedelta(milliseconds=250), usual)
        case.assertLessEqual(world.endpoints(DOWN), SECOND / 10)


def test_a_failure_keeps_the_place_in_the_feed() -> None:
    with directory_world() as world:
        world.endpoints(page(9), page(12), DOWN, page(15))
        case.assertEqual([None, 9, 12, 12], world.listing.asked)


def test_an_answer_of_an_older_version_does_not_move_the_feed_back() -> None:
    with directory_world() as world:
        world.endpoints(page(9), page(12), page(10), page(15))
        case.assertEqual([None, 9, 12, 12], world.listing.asked)


def test_ages_count_from_the_last_answer_that_was_taken() -> None:
    with directory_world() as world:
        case.assertIsNone(world.directory.listing_age)
        world.endpoints(page(9))
        world.pass_time(2)
        world.endpoints(DOWN)
        case.assertEqual(2 * SECOND, world.directory.listing_age)
        case.assertIsNone(world.directory.table_age)


def test_a_listener_fault_does_not_end_the_follower() -> None:
    """A listener fails on one change.

    Its exception must not end the task: the instance would serve outdated state
    forever. The table is read whole again, so that no row of the page is missed.
    """
    with directory_world() as world:
        faults = [ValueError("a listener's fault")]

        def listener(change: DirectoryChange) -> None:
            if faults:
                raise faults.pop()

        world.directory.add_listener(listener)
        rows = (listed("a", 4), listed("b", 5))
        world.endpoints(page(9, *rows), page(9, *rows))
        case.assertEqual([None, None], world.listing.asked)
        case.assertEqual({"a", "b"}, set(world.directory.endpoints))


def test_start_follows_both_tables_until_stop() -> None:
    with directory_world() as world:
        world.listing.replies += [page(12, listed("a", 4)), page(13)]
        world.configurations.replies += [page(9, configured(3, 4)), page(12)]

        async def work() -> None:
            both_followed = asyncio.Event()
            pauses: list[timedelta] = []

            async def pause(duration: timedelta) -> None:
                pauses.append(duration)
                if len(pauses) == 4:
                    both_followed.set()
                if pauses.count(duration) == 2:  # each table has its own pause
                    await asyncio.Event().wait()

            world.directory.pause = pause
            world.directory.start()
            await both_followed.wait()
            await world.directory.stop()
            case.assertEqual([], world.directory.tasks)

        asyncio.run(work())
        case.assertEqual([None, 12], world.listing.asked)
        case.assertEqual([None, 9], world.configurations.asked)
        case.assertTrue(world.directory.ready_to_serve)


def test_many_instances_ask_seldom_for_a_configuration_that_does_not_change() -> None:
    """Calls to the store are most of the cost of 64 instances beside their machines.

    Each polled every 1.6 s, to detect a connection that has fallen silent. Among many,
    one detects that within this time, and sends its peers the rows that it reads.
    """
    usual = SECOND * 1.6
    with directory_world() as world:
        world.configuration(page(9), page(10))
        world.directory.peer_count = lambda: 6
        world.configuration(page(11))
        world.directory.peer_count = lambda: 63
        world.configuration(page(12))
    alone, seven, many = world.configurations.waits
    case.assertLessEqual(abs(alone - usual), SECOND / 100)
    case.assertTrue(usual * 1.5 < seven < usual * 1.7)
    case.assertEqual(SECOND * 10, many)
    for wait, instances in ((seven, 7), (many, 64)):
        none_finds_it = (1 - usual / wait) ** instances
        case.assertLess(none_finds_it, 0.0011)


def test_many_instances_ask_for_endpoints_as_often_as_one() -> None:
    """An outage that lies within one long poll would not be noticed.

    Rows that expired in it would be treated as endpoints that have left.
    """
    with directory_world() as world:
        world.directory.peer_count = lambda: 63
        world.endpoints(page(9), page(10))
        case.assertLess(world.listing.waits[-1], world.directory.health.min_outage)


load_tests = function_tests(__name__)
