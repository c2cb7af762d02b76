"""Tests of log lines of the directory: what changed, and the age of the data."""

from typing import Any

from mimosafork.directory.errors import StoreUnavailableError
from mimosafork.directory.rows import Row
from mimosafork.telemetry.catalogue.directory import (
    ENDPOINT_GONE,
    STORE_LOST,
    STORE_REGAINED,
    TABLE_TAKEN,
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

DOWN = StoreUnavailableError("down")


def is_number(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def test_a_configuration_has_the_age_of_the_store_data_as_a_number() -> None:
    """A tool that sums up ages found a question mark in place of a number."""
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, configured(3, 4)), DOWN)
        world.pass_time(1.5)
        world.directory.offer_configuration(configured(5, 10))
    by_store, by_peer = caught.of(TABLE_TAKEN)
    assert (by_store["source"], by_store["age_ms"]) == ("store", 0)
    assert (by_peer["source"], by_peer["age_ms"]) == ("peer", 1500)
    assert is_number(by_peer["age_ms"])


def test_a_configuration_before_any_answer_of_the_store_has_no_age() -> None:
    with directory_world() as world, caught_lines() as caught:
        world.configuration(DOWN)
        world.directory.offer_configuration(configured(5, 10))
    assert "age_ms" not in caught.one(TABLE_TAKEN)
    assert "?" not in str(caught.lines)


def test_a_configuration_says_which_one_it_replaces() -> None:
    """An instance that was cut off applies the eleventh version after the second.

    A change that makes it reject calls may be in any version between.
    """
    with directory_world() as world, caught_lines() as caught:
        world.configuration(page(9, configured(2, 4)))
        world.pass_time(9)
        world.configuration(page(20, configured(11, 19)))
    first, second = caught.of(TABLE_TAKEN)
    assert "before" not in first
    assert (second["before"], second["version"]) == (2, 11)
    assert second["changes"] == "nothing that matters here"


def gone_line(world: DirectoryWorld, *rows: Row) -> dict[str, Any]:
    with caught_lines() as caught:
        world.endpoints(
            page(9, listed("a", 4)), *(page(r.version.number, r) for r in rows)
        )
    return caught.one(ENDPOINT_GONE)


def test_a_gone_endpoint_says_whether_it_was_draining() -> None:
    """Streams break at the moment at which their endpoint leaves the list.

    An endpoint that was draining stopped as planned; one that was ready was lost, and
    its neighbours may be next.
    """
    with directory_world() as world:
        planned = gone_line(world, listed("a", 11, "draining"), removed("a", 12))
    with directory_world() as world:
        lost = gone_line(world, removed("a", 12))
    assert (planned["before"], lost["before"]) == ("draining", "ready")
    assert planned["zone"] == "z"


def test_an_endpoint_that_was_held_through_an_outage_says_so_when_it_is_gone() -> None:
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(page(9, listed("a", 4)))
        world.outage()
        world.endpoints(page(12, removed("a", 12)))
        assert world.summaries() == ["a ready", "a ready held"]
        world.pass_time(60)
        world.endpoints(page(14))
    assert caught.one(ENDPOINT_GONE)["before"] == "held"


def test_a_lost_store_has_the_age_of_its_last_answer() -> None:
    """Calls that fail at once and calls that time out leave different ages."""
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(DOWN)
        world.endpoints(page(9))
        world.pass_time(2.4)
        world.endpoints(DOWN, DOWN)
    never, lost = caught.of(STORE_LOST)
    assert "age_ms" not in never
    assert lost["age_ms"] == 2400


def test_a_regained_store_says_how_its_calls_failed() -> None:
    """A recovery detected late by few long calls must not look like refusals."""
    with directory_world() as world, caught_lines() as caught:
        world.endpoints(page(9))
        world.endpoints(DOWN, StoreUnavailableError("no answer within 4.8 s"))
        world.endpoints(page(12))
    line = caught.one(STORE_REGAINED)
    assert (line["failed_calls"], line["longest_ms"], line["answered_in_ms"]) == (
        2,
        0,
        0,
    )
    assert line["why"] == "no answer within 4.8 s"


load_tests = function_tests(__name__)
