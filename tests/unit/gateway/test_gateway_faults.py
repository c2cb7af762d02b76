"""Tests of whole calls where a part of the instance itself raises."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import TestCase
from unittest.mock import patch

from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.kernel.messages.base import Effect
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.platform.calls import PreparedDialect
from mimosafork.standins.prepared.faults import LostAnswer
from mimosafork.standins.prepared.words import REQUEST_ID, RETRY_AFTER

from ...support.faults import expected_faults
from ...support.functions import function_tests
from ...support.gateway import BEARER, gateway_world

case = TestCase()


class PartBrokenError(Exception):
    """Raised by parts that these tests break."""


@contextmanager
def broken(owner: type, name: str) -> Iterator[list[BaseException]]:
    """Have a method raise; give what was survived."""
    with (
        patch.object(owner, name, side_effect=PartBrokenError),
        expected_faults() as faults,
    ):
        yield faults


def test_a_call_that_no_part_can_place_is_told_as_not_run() -> None:
    """A caller hangs though nothing will ever answer it.

    A plug-in raised while the call was placed; the exception left the kernel, and
    the call stayed open without anybody who would end it.
    """
    with gateway_world() as world:
        world.add_desk()
        with broken(WorkPlacer, "place") as faults:
            result = world.running.ask("/unsafe/1", "c1")
            case.assertEqual(503, result.status)
            case.assertIn(RETRY_AFTER.lower(), result.headers)
        case.assertEqual([PartBrokenError], [type(fault) for fault in faults])
        case.assertEqual([], world.platform.log.visits_of("c1"))
        case.assertEqual(200, world.running.ask("/unsafe/1", "c2").status)


def test_a_call_that_may_have_run_is_told_nothing_of_a_promise() -> None:
    with gateway_world() as world:
        world.add_desk().play(LostAnswer())
        with broken(BudgetedRetry, "decide") as faults:
            case.assertEqual(502, world.running.ask("/unsafe/1", "c1").status)
        case.assertEqual([PartBrokenError], [type(fault) for fault in faults])


def test_a_request_that_can_not_be_written_was_not_run() -> None:
    """On a kept connection and on a new one, whose opening nobody awaits."""
    with gateway_world() as world:
        world.add_desk()
        for number in range(2):
            with broken(PreparedDialect, "endpoint_headers") as faults:
                result = world.running.ask("/unsafe/1", f"c{number}")
                case.assertEqual(503, result.status)
                case.assertIn(RETRY_AFTER.lower(), result.headers)
            case.assertEqual([PartBrokenError], [type(fault) for fault in faults])
            case.assertEqual(200, world.running.ask("/safe/1", f"n{number}").status)


def test_a_fault_in_what_hears_of_effects_loses_none() -> None:
    """Answers are served though what is told to peers of them fails."""
    with gateway_world() as world, expected_faults() as faults:
        desk = world.add_desk()

        def broken_ear(effect: Effect) -> None:
            if isinstance(effect, Dispatch):
                raise PartBrokenError

        gateway = world.running.gateway
        world.running.call_in_loop(lambda: setattr(gateway, "on_effect", broken_ear))
        desk.hold()
        with world.running.channel() as channel:
            channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
            world.platform.log.wait_until(lambda log: len(log.runs) == 1)
            desk.release()
            case.assertEqual(200, channel.read_answer().status)
        case.assertEqual([PartBrokenError], [type(fault) for fault in faults])


def test_a_caller_whose_answer_can_not_be_written_is_told_a_failure() -> None:
    """A caller is closed on without a word when its call ends.

    The headers of its final answer could not be made. Nothing of the answer had been
    sent, so that a failure could still be told.
    """
    with gateway_world() as world, world.running.channel() as channel:
        with broken(PreparedDialect, "local_response_headers") as faults:
            headers = {REQUEST_ID: "c1", "X-Deadline-Ms": "100", **BEARER}
            channel.send("POST", "/safe/1", headers)
            result = channel.read_answer()
            case.assertEqual(
                (500, "close"), (result.status, result.headers["connection"])
            )
            case.assertTrue(channel.ended())
        case.assertEqual([PartBrokenError], [type(fault) for fault in faults])


load_tests = function_tests(__name__)
