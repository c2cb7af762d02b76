"""Tests of the directory with a store that is restored from a copy."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.directory.errors import HistoryExpiredError
from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.messages import EndpointState
from mimosafork.directory.removed_endpoints import ROW_EXPIRY
from mimosafork.directory.rows import Row
from mimosafork.ids import EndpointId, InstanceId
from mimosafork.telemetry.catalogue.directory import (
    STALE_READ,
    STORE_RESTORED,
    TABLE_KEPT,
)

from ...support.directories import (
    DirectoryWorld,
    configured,
    directory_world,
    listed,
    page,
    removed,
)
from ...support.functions import function_tests
from ...support.log_lines import CaughtLines, caught_lines
from ...support.versions import version

case = TestCase()

CUT = HistoryExpiredError("gone")
GRACE_S = 2.0
PERSISTS_S = ROW_EXPIRY.total_seconds()
A = EndpointId("a")
PEER = InstanceId("peer")
RESTORED_FIELDS = ("era", "before", "version", "known")


def test_a_read_of_a_later_era_is_not_stale() -> None:
    """A lower version of a later era is newer than all versions of the era before."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(12, configured(8, 12)), CUT)
        world.configuration(page(5, configured(9, 5, era=2), era=2))
        case.assertEqual(["table 8", "table 9"], world.summaries())
        line = caught.one(STORE_RESTORED)
        case.assertEqual((2, 1, 5, 12), tuple(line[n] for n in RESTORED_FIELDS))


def test_a_change_with_the_number_of_a_known_row_is_applied() -> None:
    """A number that is given out again must not hide the row that has it now."""
    with directory_world() as world:
        world.configuration(page(12, configured(8, 12)), CUT)
        world.configuration(page(11, configured(8, 11, era=2), era=2))
        world.configuration(page(12, configured(9, 12, era=2), era=2))
        case.assertEqual(9, world.version())


def test_an_older_configuration_of_a_copy_is_not_applied() -> None:
    """A restored store must not bring back an older configuration."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(12, configured(8, 12)), CUT)
        world.configuration(page(5, configured(6, 5, era=2), era=2))
        case.assertEqual(8, world.version())
        case.assertEqual((6, 8), kept_line(caught))
        world.configuration(page(7, configured(9, 7, era=2), era=2))
        case.assertEqual(9, world.version())


def test_a_number_that_is_used_twice_keeps_the_first_content() -> None:
    """Two contents under one number have no order; the one in force is kept."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(12, configured(8, 12)), CUT)
        respelled = replace(configured(8, 5, era=2), value=b"08")
        world.configuration(page(5, respelled, era=2))
        case.assertEqual(["table 8"], world.summaries())
        case.assertEqual((8, 8), kept_line(caught))


def kept_line(caught: CaughtLines) -> tuple[int, int]:
    """Return the numbers of the configuration that was not applied and of the other."""
    line = caught.one(TABLE_KEPT)
    return line["version"], line["kept"]


def test_an_answer_of_another_era_is_not_followed() -> None:
    """A feed that goes on after a restore lacks what was written up to its position."""
    with directory_world() as world:
        world.configuration(page(12, configured(8, 12)))
        world.configuration(page(14, configured(10, 14, era=2), era=2))
        case.assertEqual(8, world.version())
        world.configuration(page(14, configured(10, 14, era=2), era=2))
        case.assertEqual([None, 12, None], world.configurations.asked)
        case.assertEqual(10, world.version())


def test_a_late_answer_of_an_earlier_era_is_stale() -> None:
    """An answer that was sent before a restore may arrive after it."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(5, configured(8, 5, era=2), era=2), CUT)
        world.configuration(page(40, configured(9, 40)))
        case.assertEqual(8, world.version())
        line = caught.one(STALE_READ)
        case.assertEqual((1, 2), (line["era"], line["known_era"]))


def restored(world: DirectoryWorld, *rows: Row) -> None:
    """Have the store be read whole after a restore."""
    world.endpoints(CUT, page(5, *rows, era=2))


def test_an_endpoint_that_a_copy_lacks_stays_in_use() -> None:
    """Endpoints that were listed after the copy serve on, and are listed again soon."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 8)))
        restored(world, listed("a", 4, era=2))
        case.assertEqual(EndpointState.READY, world.state("b"))
        world.pass_time(GRACE_S / 2)
        world.endpoints(page(7, listed("b", 7, era=2), era=2))
        world.pass_time(GRACE_S)
        world.endpoints(page(7, era=2))
        case.assertEqual(EndpointState.READY, world.state("b"))
        case.assertEqual(["a ready", "b ready"], world.summaries()[:2])


def test_an_endpoint_that_is_not_listed_again_is_gone_after_the_grace_period() -> None:
    """An endpoint that left in the lost seconds must not be used for good."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 8)))
        restored(world, listed("a", 4, era=2))
        world.pass_time(GRACE_S + 0.1)
        world.endpoints(page(5, era=2))
        case.assertIsNone(world.state("b"))


def test_an_endpoint_that_drains_keeps_draining_after_a_restore() -> None:
    """The copy's row is from before the endpoint said that it drains."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(10, listed("a", 10, "draining")))
        restored(world, listed("a", 4, era=2))
        case.assertEqual(EndpointState.DRAINING, world.state("a"))


def test_an_endpoint_that_is_gone_is_not_used_because_a_copy_has_its_row() -> None:
    """Its address may have been reused; a row that nobody reports to expires."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(10, removed("a", 10)))
        restored(world, listed("a", 4, era=2))
        world.pass_time(PERSISTS_S - 0.1)
        world.endpoints(page(6, era=2))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(7, removed("a", 7, era=2), era=2))
        world.pass_time(PERSISTS_S)
        world.endpoints(page(7, era=2))
        case.assertIsNone(world.state("a"))


def test_an_endpoint_that_was_gone_in_an_outage_must_persist_in_a_copy() -> None:
    """Also an unconfirmed removal is not taken back by a row of a copy."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(10, removed("a", 10)))
        world.pass_time(GRACE_S + 0.1)
        world.endpoints(page(10))
        case.assertIsNone(world.state("a"))
        restored(world, listed("a", 4, era=2))
        case.assertIsNone(world.state("a"))
        world.pass_time(PERSISTS_S + GRACE_S)
        world.endpoints(page(6, era=2))
        case.assertEqual(EndpointState.READY, world.state("a"))


def test_a_row_that_reappeared_before_a_restore_must_persist_again() -> None:
    """Time before the restore is no evidence for a row of the copy."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(10, removed("a", 10)))
        world.endpoints(page(11, listed("a", 11)))
        world.pass_time(PERSISTS_S - 0.1)
        restored(world, listed("a", 4, era=2))
        world.pass_time(PERSISTS_S - 0.1)
        world.endpoints(page(6, era=2))
        case.assertIsNone(world.state("a"))


def test_a_removal_of_the_earlier_era_stops_the_use_of_a_row_of_a_copy() -> None:
    """A peer saw the endpoint leave in the lost seconds; this instance has the copy."""
    with directory_world() as world:
        world.endpoints(page(5, listed("a", 4, era=2), era=2))
        world.directory.offer_removal(A, version(10))
        case.assertIsNone(world.state("a"))
        world.pass_time(PERSISTS_S)
        world.endpoints(page(6, era=2))
        case.assertEqual(EndpointState.READY, world.state("a"))
        world.directory.offer_removal(A, version(10))
        case.assertEqual(EndpointState.READY, world.state("a"))


def test_a_removal_within_the_era_is_outdated_by_a_newer_row() -> None:
    """A late removal must not take an endpoint that is listed again out of use."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 8)))
        world.directory.offer_removal(A, version(7))
        case.assertEqual(EndpointState.READY, world.state("a"))


def test_a_peers_update_of_another_era_does_not_replace_an_answer() -> None:
    """A peer that has not noticed the restore knows nothing of the present era."""
    with directory_world() as world:
        feed = world.directory.peer_feed
        feed.is_reader = False
        world.endpoints(page(5, listed("a", 4, era=2), era=2))
        feed.receive(PEER, FeedUpdate(version(4), version(9)), timedelta(0))
        case.assertIsNone(feed.newest_covering(version(5, era=2)))
        feed.receive(PEER, FeedUpdate(version(4, 2), version(6, 2)), timedelta(0))
        case.assertIsNotNone(feed.newest_covering(version(5, era=2)))


load_tests = function_tests(__name__)
