"""`mimosafork explain` names the restriction that left a call nowhere to run."""

from typing import Any
from unittest import TestCase

from mimosafork.explain.causes import attempt_text, not_served
from mimosafork.explain.lines import LogLine

from ...support.functions import function_tests

case = TestCase()


def line_of(**more: Any) -> LogLine:
    fields = {
        "call": "c1",
        "status": 503,
        "outcome": "not-run",
        "why": "no-home-endpoint",
        "rule": "home-regions",
        "detail": "no endpoint in its home regions is usable",
        "usable": 10,
        "listed": 15,
        "listing_age_ms": 120,
        "table_age_ms": 800,
    }
    return LogLine("entry-1", "", "MF2011", "", fields | more)


def test_a_call_without_home_endpoint_is_explained() -> None:
    """A caller is told 503, while most endpoints of the service are usable."""
    told = not_served(line_of(home_regions="north,south"), [])
    case.assertEqual(
        "told 503 by home-regions: no endpoint in its home regions is usable (home "
        "regions: north, south); in all regions it knew 10 usable of 15 endpoints, the "
        "listing 120 ms old, the configuration 800 ms old",
        told,
    )


def test_restrictions_that_exclude_each_other_are_explained() -> None:
    told = not_served(line_of(home_regions=""), [])
    case.assertIn("(home regions: none)", told)


def test_a_restriction_that_came_after_the_call_is_explained() -> None:
    """The line of a refused call shows no restriction."""
    told = not_served(line_of(), [])
    case.assertIn("(restricted by a configuration that is newer", told)


def test_an_attempt_that_the_last_check_stopped_is_explained() -> None:
    fields = {"endpoint": "i-1", "kind": "outside-regions"}
    told = attempt_text(LogLine("entry-1", "", "MF2020", "", fields))
    case.assertEqual("i-1 could no longer be used when the call was to be sent", told)


load_tests = function_tests(__name__)
