"""Tests of evacuated zones in the directory."""

from collections.abc import Sequence
from datetime import timedelta
from unittest import TestCase

from mimosafork.directory.consumers import long_poll_wait
from mimosafork.directory.directory import Directory
from mimosafork.directory.errors import HistoryExpiredError, StoreUnavailableError
from mimosafork.directory.messages import EvacuationChanged, UpdateOrigin
from mimosafork.directory.settings import DirectorySettings
from mimosafork.directory.zone_state import ZoneState
from mimosafork.gateway.evacuation_delay import (
    check_evacuation_bound,
    longest_send_delay,
)
from mimosafork.gateway.pool import CONNECT_TIMEOUT
from mimosafork.gateway.upstream import TCP_USER_TIMEOUT_MS
from mimosafork.gossip.kinds.evacuations import EVACUATIONS
from mimosafork.gossip.timing import Timing
from mimosafork.ids import AvailabilityZoneId
from mimosafork.platform.store import StoreTimeouts
from mimosafork.telemetry.catalogue.directory import (
    ENTRY_UNREADABLE,
    EVACUATION_BOUND_EXCEEDED,
    EVACUATION_ENDED,
    EVACUATION_STARTED,
    STALE_READ,
)

from ...support.directories import (
    DirectoryWorld,
    configured,
    directory_world,
    evacuated,
    page,
)
from ...support.functions import function_tests
from ...support.log_lines import caught_lines
from ...support.versions import version

case = TestCase()

ZONE = AvailabilityZoneId("zone-a")
OTHER = AvailabilityZoneId("zone-b")
CUT = HistoryExpiredError("gone")
PEERS = 74
EVACUATED_WITHIN = timedelta(milliseconds=5000)


def zones(directory: Directory) -> Sequence[str]:
    """Return the evacuated zones in order."""
    return sorted(directory.evacuations.evacuated)


def tell(
    world: DirectoryWorld,
    number: int,
    ended: bool = False,
    era: int = 1,
    age: timedelta | None = None,
) -> None:
    """Let a peer tell whether the zone is evacuated."""
    state = ZoneState(not ended, version(number, era))
    world.directory.offer_evacuation(ZONE, state, age)


def test_a_row_evacuates_its_zone_and_its_removal_ends_that() -> None:
    with directory_world() as world:
        world.configuration(page(8, configured(1, 8)))
        world.configuration(page(9, evacuated(ZONE, 9)))
        case.assertEqual([ZONE], zones(world.directory))
        world.configuration(page(10, evacuated(ZONE, 10, ended=True)))
        case.assertEqual([], zones(world.directory))
        told = ["table 1", "zone-a evacuated as of 9", "zone-a not evacuated as of 10"]
        case.assertEqual(told, world.summaries())


def test_evacuations_of_a_whole_read_apply_before_its_configuration() -> None:
    """A call that the configuration lets in would be sent to the zone."""
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3), evacuated(ZONE, 9)))
        case.assertEqual(["zone-a evacuated as of 9", "table 1"], world.summaries())


def test_a_row_older_than_the_configuration_is_no_stale_read() -> None:
    """The guard against stale reads must not compare rows of different keys.

    An instance would read the table again and again and never follow it.
    """
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, configured(2, 9)), CUT)
        world.configuration(page(12, configured(2, 9), evacuated(ZONE, 5)))
        case.assertEqual([], caught.of(STALE_READ))
        case.assertEqual([ZONE], zones(world.directory))


def test_a_whole_read_without_the_row_ends_the_evacuation() -> None:
    """The removal fell into a gap of the feed; the zone would stay unused for good."""
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3), evacuated(ZONE, 9)), CUT)
        world.configuration(page(30, configured(1, 3)))
        case.assertEqual([], zones(world.directory))
        case.assertEqual("zone-a not evacuated as of 30", world.summaries()[-1])


def test_a_stale_read_ends_no_evacuation() -> None:
    """A read of an older state must not send requests to the zone again."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, configured(1, 3), evacuated(ZONE, 9)), CUT)
        world.configuration(page(8, configured(1, 3)))
        case.assertEqual([ZONE], zones(world.directory))
        case.assertEqual(1, len(caught.of(STALE_READ)))


def test_a_read_that_a_peers_news_overtakes_ends_no_evacuation() -> None:
    """The read left the store before the row was written, and arrives after the news.

    The watermark does not count what is learned during the call.
    """
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3)), CUT)
        consumer = world.directory.configuration_follower.consumer
        tell(world, 12)
        case.assertTrue(consumer.is_newer_than(page(11, configured(1, 3))))
        consumer.apply_snapshot(page(11, configured(1, 3)))
        case.assertEqual([ZONE], zones(world.directory))


def test_an_outage_of_the_store_ends_no_evacuation() -> None:
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3), evacuated(ZONE, 9)))
        for _ in range(3):
            world.configuration(StoreUnavailableError("down"))
            world.pass_time(60)
        case.assertEqual([ZONE], zones(world.directory))


def test_the_newest_version_wins_whoever_tells_it() -> None:
    """Updates of peers arrive in any order, and several times."""
    with directory_world() as world:
        for number, ended in ((20, False), (19, True), (20, False), (18, False)):
            tell(world, number, ended)
            case.assertEqual([ZONE], zones(world.directory))
        for number, ended in ((25, True), (24, False), (25, True), (20, False)):
            tell(world, number, ended)
            case.assertEqual([], zones(world.directory))
        case.assertEqual(2, len(world.published))


def test_of_contradicting_updates_of_one_version_the_evacuation_counts() -> None:
    with directory_world() as world:
        tell(world, 20, ended=True)
        tell(world, 20)
        tell(world, 20, ended=True)
        case.assertEqual([ZONE], zones(world.directory))


def test_a_row_that_is_written_again_is_published_but_not_logged() -> None:
    """Peers need the newer version: an older removal must not end the evacuation."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, evacuated(ZONE, 9)))
        world.configuration(page(12, evacuated(ZONE, 12)))
        changes = [c for c in world.published if isinstance(c, EvacuationChanged)]
        case.assertEqual([True, False], [each.takes_effect for each in changes])
        case.assertEqual(version(12), changes[-1].version)
        case.assertEqual(1, len(caught.of(EVACUATION_STARTED)))


def test_an_evacuation_lost_with_a_restore_is_ended() -> None:
    """The content of the restored store is in force, however low its versions are."""
    with directory_world() as world:
        world.configuration(page(90, configured(1, 3), evacuated(ZONE, 90)), CUT)
        world.configuration(page(50, configured(1, 3, era=2), era=2))
        case.assertEqual([], zones(world.directory))


def test_an_evacuation_that_a_restore_brings_back_is_in_force() -> None:
    """Its row has a lower version than its removal in the era before."""
    with directory_world() as world:
        world.configuration(page(90, configured(1, 3), evacuated(ZONE, 40)))
        world.configuration(page(95, evacuated(ZONE, 95, ended=True)), CUT)
        copy = (configured(1, 3, era=2), evacuated(ZONE, 40, era=2))
        world.configuration(page(50, *copy, era=2))
        case.assertEqual([ZONE], zones(world.directory))


def test_a_peers_update_that_a_restore_has_overtaken_is_answered() -> None:
    """A peer without the store keeps an evacuation that was lost with the restore.

    This instance never knew of it. Applied, the update would keep the zone unused for
    good; ignored, the peer would.
    """
    with directory_world() as world:
        world.configuration(page(50, configured(1, 3, era=2), era=2))
        tell(world, 90, era=1)
        case.assertEqual([], zones(world.directory))
        answer = world.published[-1]
        assert isinstance(answer, EvacuationChanged)
        case.assertEqual((False, version(50, 2)), (answer.evacuated, answer.version))
        case.assertFalse(answer.takes_effect)


def test_a_peers_end_that_the_store_has_overtaken_ends_nothing() -> None:
    """The era before ended an evacuation that the restored store has again."""
    with directory_world() as world:
        copy = (configured(1, 3, era=2), evacuated(ZONE, 40, era=2))
        world.configuration(page(50, *copy, era=2))
        tell(world, 95, ended=True, era=1)
        tell(world, 45, ended=True, era=2)
        case.assertEqual([ZONE], zones(world.directory))


def test_a_peers_update_that_the_feed_has_not_brought_yet_applies() -> None:
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3)))
        tell(world, 12)
        case.assertEqual([ZONE], zones(world.directory))
        world.configuration(page(12, evacuated(ZONE, 12)))
        case.assertEqual(2, len(world.published))


def test_a_whole_read_that_contradicts_a_peers_version_wins() -> None:
    """What the store holds as of a later version outweighs an end told before."""
    with directory_world() as world:
        world.configuration(page(9, configured(1, 3)), CUT)
        tell(world, 12, ended=True)
        world.configuration(page(15, configured(1, 3), evacuated(ZONE, 11)))
        case.assertEqual([ZONE], zones(world.directory))


def test_zones_are_independent() -> None:
    with directory_world() as world:
        world.configuration(page(9, evacuated(ZONE, 8), evacuated(OTHER, 9)))
        world.configuration(page(10, evacuated(OTHER, 10, ended=True)))
        case.assertEqual([ZONE], zones(world.directory))


def test_a_key_without_a_zone_is_logged_once_and_ignored() -> None:
    """One row that cannot be read must not hide the others, nor fill the log."""
    with directory_world() as world, caught_lines() as caught:
        rows = (configured(1, 3), evacuated("", 8), evacuated(ZONE, 9))
        world.configuration(page(9, *rows), page(10, evacuated("", 10)))
        case.assertEqual([ZONE], zones(world.directory))
        case.assertEqual(1, world.version())
        case.assertEqual(1, len(caught.of(ENTRY_UNREADABLE)))


def test_begin_and_end_are_logged_with_the_age_of_the_news() -> None:
    with directory_world() as world, caught_lines() as caught:
        tell(world, 9, age=timedelta(milliseconds=30))
        line = caught.one(EVACUATION_STARTED)
        shown = [line[name] for name in ("zone", "source", "version", "age_ms")]
        case.assertEqual([ZONE, UpdateOrigin.PEER.value, 9, 30], shown)
        world.configuration(page(10, evacuated(ZONE, 10, ended=True)))
        line = caught.one(EVACUATION_ENDED)
        case.assertEqual(["store", 0], [line["source"], line["age_ms"]])


def test_a_bound_that_can_not_be_kept_is_logged() -> None:
    """An operator who waits for the bound may shut down endpoints with requests."""
    follow, silence = DirectorySettings().configuration, StoreTimeouts().resend_after
    longest = longest_send_delay(follow, silence)
    for bound, lines in (
        (None, 0),
        (longest, 0),
        (longest - timedelta(milliseconds=1), 1),
    ):
        with caught_lines() as caught:
            check_evacuation_bound(bound, follow, silence)
            case.assertEqual(lines, len(caught.of(EVACUATION_BOUND_EXCEEDED)))


def test_the_last_send_comes_within_the_bound() -> None:
    """The row must keep all instances from the zone within five seconds.

    The worst case is a fleet whose connections to the store all fell silent before.
    """
    configuration = DirectorySettings().configuration
    lost_poll = configuration.wait
    noticed = StoreTimeouts().resend_after
    # One that finds the silence tells the others, whose longer polls wait on.
    case.assertGreater(long_poll_wait(lost_poll, PEERS), lost_poll)
    # The call after a failure has no wait; it takes a connection within a region.
    new_call = configuration.initial_retry_delay + timedelta(milliseconds=50)
    # One lost datagram, which later ones overtake, and three hops of relays.
    gossip = EVACUATIONS.coalesce + 3 * EVACUATIONS.relay_after + Timing().gap_after
    on_its_way = timedelta(milliseconds=TCP_USER_TIMEOUT_MS)
    total = lost_poll + noticed + new_call + gossip + on_its_way
    case.assertLess(total, EVACUATED_WITHIN)
    case.assertEqual(total, longest_send_delay(configuration, noticed))
    # A request that waits for a connection has not passed the gate.
    case.assertLess(CONNECT_TIMEOUT, on_its_way)


load_tests = function_tests(__name__)
