"""Tests of several gateways as processes: cut from the store, frozen, and in need."""

import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from unittest import TestCase

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import RouteEntry
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import LostAnswer
from mimosafork.standins.prepared.words import SEAL

from ..support.functions import function_tests
from ..support.gateway_processes import GatewayProcess, gateway_process
from ..support.prepared import API_KEY, DESKS, HOST, USUAL_CONFIG, deployment
from ..support.store_proxies import StoreProxy, store_proxy
from ..support.waiting import eventually

case = TestCase()

KEY = f"Bearer {API_KEY}"
NEW_ROUTE = RouteEntry("r-new", "/new/", "safe", DESKS, HOST)
CHANGED = replace(USUAL_CONFIG, routes=(*USUAL_CONFIG.routes, NEW_ROUTE))
CALLS = 60
RATIO = 0.2
SLACK = 10
"""Repeats that all instances together may send, whatever callers ask."""

BOUNDS = f"retry_ratio = {RATIO}\nretry_slack = {SLACK}"


@dataclass
class Pair:
    """Two instances before one platform, each with a way of its own to the store."""

    platform: Deployment
    first: GatewayProcess
    second: GatewayProcess
    second_path: StoreProxy


@contextmanager
def pair() -> Iterator[Pair]:
    """Run two instances that have found each other."""
    with deployment() as platform, ExitStack() as stack:
        path = stack.enter_context(store_proxy(platform.store.address))
        first = stack.enter_context(gateway_process(platform, bounds=BOUNDS))
        second = stack.enter_context(
            gateway_process(platform, "entry-2", path.address, BOUNDS)
        )
        for each, peer in ((first, "entry-2"), (second, "entry-1")):
            each.wait_until_ready()
            eventually(lambda e=each, p=peer: said(e, "MF2201", p))  # type: ignore[misc]
        yield Pair(platform, first, second, path)


def said(instance: GatewayProcess, event: str, name: str) -> bool:
    """Return whether an instance has written a line of an event about a name."""
    return any(event in line and name in line for line in instance.process.lines)


def status(instance: GatewayProcess, path: str, name: str) -> int:
    return instance.ask(path, name, Authorization=KEY).status


def served_by(instance: GatewayProcess, name: str) -> str:
    """Return the endpoint that answers a call."""
    answer = instance.ask("/safe/1", name, Authorization=KEY)
    return answer.headers[SEAL.lower()]


def until_serving(instance: GatewayProcess, *endpoints: Endpoint) -> None:
    """Wait until an instance knows endpoints and serves."""
    for each in endpoints:
        eventually(lambda e=each: said(instance, "MF2102", e.id))  # type: ignore[misc]
    eventually(lambda: status(instance, "/safe/1", "w") == 200)


def until_left(instance: GatewayProcess, endpoint: Endpoint) -> None:
    """Wait until an instance has heard that an endpoint leaves."""
    eventually(
        lambda: (
            said(instance, "MF2103", endpoint.id)
            or said(instance, "MF2104", endpoint.id)
        )
    )


def test_an_instance_whose_store_falls_silent_follows_its_peer() -> None:
    """One instance serves an old configuration, and sends calls to what has left.

    Its connections to the store are open, and nothing comes over them any more. Its
    peer hears of a new route and of an endpoint that drains, and tells it.
    """
    with pair() as running:
        leaving = running.platform.add_desk(EndpointSettings(DESKS))
        staying = running.platform.add_desk(EndpointSettings(DESKS))
        until_serving(running.second, leaving, staying)
        running.second_path.silence()
        running.platform.configure(CHANGED)
        eventually(lambda: status(running.second, "/new/1", "n") == 200)
        running.platform.drain(leaving)
        until_left(running.second, leaving)
        for number in range(6):
            served = served_by(running.second, f"s{number}")
            case.assertTrue(served.startswith(staying.id))
        eventually(lambda: said(running.second, "MF2107", "configuration"))
        running.second_path.heal()
        eventually(lambda: said(running.second, "MF2108", "configuration"))


def test_a_frozen_instance_wakes_to_what_has_changed() -> None:
    """An instance stands still while an endpoint leaves and its key is withdrawn.

    It wakes with what it believed before, and would send on with that. What it is
    told at once by its peer and by the store has to count.
    """
    with pair() as running:
        leaving = running.platform.add_desk(EndpointSettings(DESKS))
        staying = running.platform.add_desk(EndpointSettings(DESKS))
        until_serving(running.second, leaving, staying)
        running.second.process.signal(signal.SIGSTOP)
        running.platform.configure(replace(CHANGED, tenants=()))
        running.platform.drain(leaving)
        until_left(running.first, leaving)
        eventually(lambda: said(running.first, "MF2202", "entry-2"))
        running.second.process.signal(signal.SIGCONT)
        eventually(lambda: said(running.second, "MF2040", ""))
        until_left(running.second, leaving)
        eventually(lambda: status(running.second, "/safe/1", "k") == 401)
        answer = running.second.ask("/open/1", "o")
        case.assertEqual(200, answer.status)
        case.assertTrue(answer.headers[SEAL.lower()].startswith(staying.id))


def test_two_processes_draw_on_one_budget_of_repeats() -> None:
    """A service that fails all calls gets twice as many from two instances as from one.

    Each took the whole slack for itself.
    """
    with pair() as running:
        desks = [running.platform.add_desk(EndpointSettings(DESKS)) for _ in range(2)]
        for each in (running.first, running.second):
            until_serving(each, *desks)
        before = len(running.platform.log.runs)
        for desk in desks:
            desk.play(LostAnswer(), None)
        for number in range(CALLS):
            instance = (running.first, running.second)[number % 2]
            instance.ask("/safe/1", f"b{number}", Authorization=KEY)
        repeats = len(running.platform.log.runs) - before - CALLS
        case.assertGreater(repeats, 0)
        case.assertLessEqual(repeats, RATIO * (CALLS + before) + SLACK)


load_tests = function_tests(__name__)
