"""Tests of how long an instance that has just started waits for its peers."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, cast
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gateway.startup_check import CONTACT_WAIT, MAX_WAIT, StartupCheck

from ...support.functions import function_tests

case = TestCase()

MOMENT = timedelta(milliseconds=1)


@dataclass
class FakeGossip:
    """What peers have told of their configurations."""

    newer: bool = False
    known: bool = False

    def is_offered_configuration(self) -> bool:
        """Whether a peer has a newer one."""
        return self.newer

    def knows_offers(self) -> bool:
        """Whether a peer has told which one it has."""
        return self.known


def started(newer: bool = False, known: bool = False) -> tuple[StartupCheck, Any]:
    """Return the check of an instance that starts now, and its clock."""
    clock = ManualClock(timedelta(hours=1))
    gossip = cast(Any, FakeGossip(newer, known))
    return StartupCheck(gossip, clock), clock


def test_an_instance_without_peers_serves_after_a_moment() -> None:
    """A fleet that is started as a whole must not wait for a configuration."""
    check, clock = started()
    clock.advance(CONTACT_WAIT - MOMENT)
    case.assertFalse(check.may_serve)
    clock.advance(MOMENT)
    case.assertTrue(check.may_serve)


def test_an_instance_serves_at_once_when_its_peers_have_nothing_newer() -> None:
    check, _ = started(known=True)
    case.assertTrue(check.may_serve)


def test_an_instance_waits_for_a_newer_configuration_of_its_peers() -> None:
    """It would serve by what the copy of a restored store holds."""
    check, clock = started(newer=True, known=True)
    clock.advance(MAX_WAIT - MOMENT)
    case.assertFalse(check.may_serve)
    clock.advance(MOMENT)
    case.assertTrue(check.may_serve, "a peer that hands nothing over delays the start")


load_tests = function_tests(__name__)
