"""Tests of unreadable rows: endpoints are suspended until a readable row."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosafork.directory.errors import HistoryExpiredError
from mimosafork.directory.messages import EndpointChanged, EndpointState
from mimosafork.directory.rows import Row
from mimosafork.telemetry.catalogue.directory import (
    ENDPOINT_LISTED,
    ENTRY_UNREADABLE,
    FOLLOWER_FAULT,
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
from ...support.log_lines import caught_lines
from ...support.versions import version

case = TestCase()

EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True, database=None)
CUT = HistoryExpiredError("cut")
LONG = "odd" * 5000


def used(world: DirectoryWorld) -> set[str]:
    """Return which endpoints get new work."""
    entries = world.directory.endpoints
    return {name for name, entry in entries.items() if entry.takes_new_work}


def told(world: DirectoryWorld) -> set[str]:
    """Return which endpoints get new work according to published changes."""
    last = {
        str(change.endpoint): change.entry.takes_new_work
        for change in world.published
        if isinstance(change, EndpointChanged)
    }
    return {name for name, takes in last.items() if takes}


def odd(key: str, version: int, word: str = "odd") -> Row:
    return listed(key, version, word)


def test_an_endpoint_whose_row_is_overwritten_gets_no_new_work() -> None:
    """An operator tool overwrites the row of an endpoint by mistake.

    The former row stayed in force, and calls went on to an endpoint whose state and
    address were no longer known. Its own next row restores it at once; the rest of the
    page stays valid all the while.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4), listed("b", 5)))
        world.endpoints(page(12, odd("a", 11), listed("c", 12)))
        case.assertEqual({"b", "c"}, used(world))
        case.assertEqual({"b", "c"}, told(world))
        world.endpoints(page(13, listed("a", 13)))
        case.assertEqual({"a", "b", "c"}, used(world))
        case.assertEqual({"a", "b", "c"}, told(world))


def test_a_row_that_cannot_be_read_from_the_start_names_no_endpoint() -> None:
    with directory_world() as world:
        world.endpoints(page(9, odd("a", 4), listed("b", 5)))
        case.assertEqual({"b"}, used(world))
        world.endpoints(page(12, listed("a", 12)))
        case.assertEqual({"a", "b"}, used(world))


def test_an_older_row_of_a_peer_does_not_bring_it_back() -> None:
    """A peer that has not received the overwritten row sends the one before."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, odd("a", 11)))
        world.directory.offer_endpoint(listed("a", 4))
        world.directory.offer_endpoint(listed("a", 8))
        case.assertEqual(set(), used(world))
        world.directory.offer_endpoint(odd("c", 20))
        world.directory.offer_endpoint(listed("c", 19))
        case.assertEqual(set(), used(world))


def test_a_row_truncated_by_a_peer_is_applied_as_stored() -> None:
    """A peer sends a truncated row; the store has it whole."""
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(page(9, listed("a", 4)))
        world.directory.offer_endpoint(odd("a", 11))
        case.assertEqual(set(), used(world))
        world.endpoints(page(12, listed("a", 11)))
        case.assertEqual({"a"}, used(world))
        world.directory.offer_endpoint(odd("a", 11))
        case.assertEqual({"a"}, used(world))
        world.endpoints(page(13, odd("a", 13)))
        case.assertEqual(set(), used(world))
    lines = caught.of(ENTRY_UNREADABLE)
    case.assertEqual([11, 13], [line["version"] for line in lines])


def test_an_older_row_that_cannot_be_read_changes_nothing() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 8)))
        world.directory.offer_endpoint(odd("a", 7))
        case.assertEqual({"a"}, used(world))


def test_an_endpoint_that_drains_goes_on_draining_behind_any_row() -> None:
    """The row of a draining endpoint is overwritten; its last ready row arrives late.

    It has reported that it drains, whatever its row contains afterwards.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(11, listed("a", 11, "draining")))
        world.endpoints(page(13, odd("a", 12)), page(14, listed("a", 14)))
        case.assertEqual(EndpointState.DRAINING, world.state("a"))
        case.assertEqual(set(), told(world))


def test_an_endpoint_may_drain_from_behind_an_overwritten_row() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, odd("a", 11)))
        world.endpoints(
            page(13, listed("a", 13, "draining")), page(14, listed("a", 14))
        )
        case.assertEqual(EndpointState.DRAINING, world.state("a"))


def test_a_returned_endpoint_is_not_used_by_the_row_before_an_overwritten_one() -> None:
    """A row reappears after removal and is overwritten before it has persisted."""
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(12, removed("a", 12)))
        world.endpoints(page(20, listed("a", 20)), page(21, odd("a", 21)))
        world.pass_time(5)
        world.endpoints(page(25))
        case.assertEqual(set(), used(world))
        world.endpoints(page(26, listed("a", 26)))
        world.pass_time(5)
        world.endpoints(page(27))
        case.assertEqual({"a"}, used(world))


def test_an_overwritten_row_that_expires_around_an_outage_may_come_back() -> None:
    """The store fails, an unreadable row expires, the endpoint reports.

    Treated as a certain removal, it would wait for seconds until its row has persisted.
    """
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(11, odd("a", 11)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        case.assertEqual(set(), used(world))
        world.endpoints(page(13, listed("a", 13)))
        case.assertEqual({"a"}, used(world))


def test_an_overwritten_row_that_goes_is_gone() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4)), page(11, odd("a", 11)))
        world.endpoints(page(12, removed("a", 12)))
        case.assertIsNone(world.state("a"))
        world.endpoints(page(13, listed("b", 13)), page(14, odd("b", 14)))
        world.endpoints(CUT, page(15))
        case.assertIsNone(world.state("b"))


def test_a_later_incarnation_replaces_an_overwritten_row() -> None:
    with directory_world() as world:
        world.endpoints(page(9, listed("a", 4, "ready 10.0.0.1:80 50")))
        world.endpoints(page(11, odd("a", 11)))
        world.endpoints(page(12, listed("a", 12, "ready 10.0.0.1:80 40")))
        case.assertEqual(set(), used(world))
        world.endpoints(page(13, listed("a", 13, "ready 10.0.0.2:80 60")))
        case.assertEqual({"a"}, used(world))


def test_a_change_has_one_line_of_bounded_length() -> None:
    """A tool overwrites a row each second, and the row stays for a day.

    Each write, each whole read and each transfer from a peer logged a line, as long as
    the row.
    """
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(page(9, listed("a", 4)), page(11, odd("a", 11, LONG)))
        world.endpoints(page(12, odd("a", 12, LONG)), CUT)
        world.endpoints(page(12, odd("a", 12, LONG)))
        world.directory.offer_endpoint(odd("a", 12, LONG))
        world.directory.offer_endpoint(odd("a", 13, LONG))
        world.endpoints(page(14, listed("a", 14)), page(15, odd("a", 15, LONG)))
    first, second = caught.of(ENTRY_UNREADABLE)
    case.assertEqual((11, 15), (first["version"], second["version"]))
    case.assertEqual(2, len(caught.of(ENDPOINT_LISTED)))
    case.assertLess(max(len(str(line)) for line in caught.lines), 1000)


def test_an_unreadable_configuration_is_logged_once() -> None:
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, configured(3, 4)))
        bad = Row("configuration", "", "it", LONG.encode(), version(10))
        world.configuration(page(10, bad))
        for _ in range(5):
            world.directory.offer_configuration(bad)
        case.assertEqual(3, world.version())
    case.assertEqual(10, caught.one(ENTRY_UNREADABLE)["version"])
    case.assertLess(max(len(str(line)) for line in caught.lines), 1000)


WORDS = st.sampled_from(["ready", "odd", "", "ready 10.0.0.7:80", "gone"])


@EXAMPLES
@given(st.lists(st.tuples(st.sampled_from("abc"), WORDS), max_size=25), st.data())
def test_the_newest_row_says_who_gets_new_work(
    writes: list[tuple[str, str]], data: st.DataObject
) -> None:
    """Rows arrive in any order and in any pages, with old rows among them."""
    rows = [
        removed(key, at) if word == "gone" else listed(key, at, word)
        for at, (key, word) in enumerate(writes, 1)
    ]
    newest = {row.key: row for row in rows}
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(page(0))
        at = 0
        while at < len(rows):
            till = data.draw(st.integers(at + 1, len(rows)))
            world.endpoints(page(till, *rows[at:till]))
            at = till
            world.directory.offer_endpoint(rows[data.draw(st.integers(0, at - 1))])
        # Until a row that came back has lasted.
        world.pass_time(10)
        world.endpoints(page(len(rows)))
        case.assertEqual([], caught.of(FOLLOWER_FAULT))
    wanted = {
        key
        for key, row in newest.items()
        if not row.removed and row.value.startswith(b"ready")
    }
    case.assertEqual(wanted, used(world))
    case.assertEqual(wanted, told(world))


load_tests = function_tests(__name__)
