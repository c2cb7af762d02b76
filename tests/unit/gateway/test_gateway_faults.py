"""Tests of whole calls with exceptions raised inside the gateway."""

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


class InjectedFaultError(Exception):
    """Raised by patched methods."""


@contextmanager
def raising(owner: type, name: str) -> Iterator[list[BaseException]]:
    """Have a method raise; yield the exceptions that were handled."""
    with (
        patch.object(owner, name, side_effect=InjectedFaultError),
        expected_faults() as faults,
    ):
        yield faults


def test_call_is_not_run_if_placement_raises() -> None:
    """A caller hangs because its call is never ended.

    A plug-in raises while the call is placed, and the exception propagates out of the
    kernel.
    """
    with gateway_world() as world:
        world.add_desk()
        with raising(WorkPlacer, "place") as faults:
            result = world.running.ask("/unsafe/1", "c1")
            case.assertEqual(503, result.status)
            case.assertIn(RETRY_AFTER.lower(), result.headers)
        case.assertEqual([InjectedFaultError], [type(fault) for fault in faults])
        case.assertEqual([], world.platform.log.visits_of("c1"))
        case.assertEqual(200, world.running.ask("/unsafe/1", "c2").status)


def test_call_that_may_have_run_gets_no_not_run_answer() -> None:
    with gateway_world() as world:
        world.add_desk().play(LostAnswer())
        with raising(BudgetedRetry, "decide") as faults:
            case.assertEqual(502, world.running.ask("/unsafe/1", "c1").status)
        case.assertEqual([InjectedFaultError], [type(fault) for fault in faults])


def test_call_is_not_run_if_its_request_can_not_be_built() -> None:
    """Both on a pooled connection and on one opened in the background."""
    with gateway_world() as world:
        world.add_desk()
        for number in range(2):
            with raising(PreparedDialect, "endpoint_headers") as faults:
                result = world.running.ask("/unsafe/1", f"c{number}")
                case.assertEqual(503, result.status)
                case.assertIn(RETRY_AFTER.lower(), result.headers)
            case.assertEqual([InjectedFaultError], [type(fault) for fault in faults])
            case.assertEqual(200, world.running.ask("/safe/1", f"n{number}").status)


def test_fault_in_effect_subscriber_loses_no_effect() -> None:
    """Calls are served although publishing their effects to peers fails."""
    with gateway_world() as world, expected_faults() as faults:
        desk = world.add_desk()

        def raising_handler(effect: Effect) -> None:
            if isinstance(effect, Dispatch):
                raise InjectedFaultError

        gateway = world.running.gateway
        world.running.call_in_loop(
            lambda: setattr(gateway, "on_effect", raising_handler)
        )
        desk.hold()
        with world.running.channel() as channel:
            channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
            world.platform.log.wait_until(lambda log: len(log.runs) == 1)
            desk.release()
            case.assertEqual(200, channel.read_answer().status)
        case.assertEqual([InjectedFaultError], [type(fault) for fault in faults])


def test_caller_gets_500_if_final_response_can_not_be_built() -> None:
    """A caller's connection is closed without a response when its call ends.

    Building the headers of the final response raises. As nothing has been sent, a 500
    can still be returned.
    """
    with gateway_world() as world, world.running.channel() as channel:
        with raising(PreparedDialect, "local_response_headers") as faults:
            headers = {REQUEST_ID: "c1", "X-Deadline-Ms": "100", **BEARER}
            channel.send("POST", "/safe/1", headers)
            result = channel.read_answer()
            case.assertEqual(
                (500, "close"), (result.status, result.headers["connection"])
            )
            case.assertTrue(channel.ended())
        case.assertEqual([InjectedFaultError], [type(fault) for fault in faults])


load_tests = function_tests(__name__)
