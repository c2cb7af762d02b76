"""Tests of gateways as processes whose store is restored from a copy."""

import time
from collections.abc import Callable
from dataclasses import replace
from unittest import TestCase

from mimosafork.gossip.peer_rows import TABLE as PEERS
from mimosafork.standins.prepared.documents import (
    ConfigEntry,
    RouteEntry,
    TenantEntry,
)
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.rows import RowName
from mimosafork.standins.prepared.store_faults import Refusal
from mimosafork.standins.prepared.words import SEAL

from ..support.functions import function_tests
from ..support.gateway_processes import GatewayProcess, gateway_process
from ..support.prepared import API_KEY, DESKS, HOST, USUAL_CONFIG
from ..support.restored_fleet import IN_FORCE_WITHIN, fleet, status
from ..support.waiting import eventually

case = TestCase()

CALLS_AT_START = 20

NEW_KEY = "key-of-account-b"
NEW_ROUTE = RouteEntry("r-new", "/new/", "safe", DESKS, HOST)
WITH_ROUTE = replace(USUAL_CONFIG, routes=(*USUAL_CONFIG.routes, NEW_ROUTE))
ACCOUNT = TenantEntry("account-a", (API_KEY,), 1)
WITH_KEY = replace(
    USUAL_CONFIG, tenants=(ACCOUNT, TenantEntry("account-b", (NEW_KEY,), 1))
)
WITHOUT_KEY = replace(USUAL_CONFIG, tenants=(TenantEntry("account-a", (), 1),))


def endpoint_of(instance: GatewayProcess) -> str:
    """Return the answer's seal, which begins with the id of its endpoint."""
    name = f"c{time.monotonic_ns()}"
    answer = instance.ask("/safe/1", name, Authorization=f"Bearer {API_KEY}")
    return answer.headers.get(SEAL.lower(), "")


def check_in_force_after_restore(
    change: ConfigEntry, in_force: Callable[[GatewayProcess], bool], rewritten: bool
) -> None:
    """Check that a change written after a restore is soon in force everywhere."""
    with fleet() as running:
        copy = running.platform.store.copy_rows()
        running.write_often()
        running.restore(copy, rewritten)
        running.platform.configure(change)
        took = running.until_all(in_force)
        case.assertLess(took, IN_FORCE_WITHIN)


def test_a_route_added_after_a_restored_store_is_served() -> None:
    """A confirmed change must be in force although the store's versions went back.

    The row of the change has the version of a row that instances knew before.
    """
    check_in_force_after_restore(
        WITH_ROUTE, lambda each: status(each, "/new/1") == 200, rewritten=True
    )


def test_a_route_added_before_anything_is_rewritten_is_served() -> None:
    """The first row that is written after a restore must be applied like any other."""
    check_in_force_after_restore(
        WITH_ROUTE, lambda each: status(each, "/new/1") == 200, rewritten=False
    )


def test_a_change_is_served_when_the_store_goes_back_without_being_away() -> None:
    """A store whose connections stay open must be noticed to have gone back."""
    with fleet() as running:
        copy = running.platform.store.copy_rows()
        running.write_often()
        running.platform.restore(copy)
        running.platform.configure(WITH_ROUTE)
        took = running.until_all(lambda each: status(each, "/new/1") == 200)
        case.assertLess(took, IN_FORCE_WITHIN)


def test_a_change_is_served_after_two_restores_in_a_moment() -> None:
    """The second restore goes back to the same copy, and gives out numbers again."""
    with fleet() as running:
        copy = running.platform.store.copy_rows()
        running.write_often()
        running.restore(copy)
        running.platform.configure(WITH_KEY)
        running.restore(copy, down=Refusal.SILENT)
        running.platform.configure(WITH_ROUTE)
        took = running.until_all(lambda each: status(each, "/new/1") == 200)
        case.assertLess(took, IN_FORCE_WITHIN)


def test_a_key_added_after_a_restored_store_is_accepted() -> None:
    """A new account must not be refused because the store was restored."""
    check_in_force_after_restore(
        WITH_KEY, lambda each: status(each, key=NEW_KEY) == 200, rewritten=True
    )


def test_an_endpoint_that_drains_after_a_restored_store_gets_no_new_work() -> None:
    """A draining report must be read although the store's versions went back."""
    with fleet() as running:
        staying = running.platform.add_desk(EndpointSettings(DESKS))
        running.until_all(lambda each: staying.id in endpoint_of(each))
        copy = running.platform.store.copy_rows()
        running.write_often()
        running.restore(copy)
        leaving = running.platform.endpoints[0]
        running.platform.drain(leaving)
        took = eventually(lambda: running.logged("is draining, told by"))
        case.assertLess(took, IN_FORCE_WITHIN)


def test_instances_write_their_own_rows_again_after_a_restored_store() -> None:
    """An instance that starts after a restore must find the others."""
    with fleet(2) as running:
        store = running.platform.store
        copy = store.copy_rows()
        for key in ("entry-0", "entry-1"):
            copy.rows.pop(RowName(PEERS, "", key))
        running.restore(copy)
        took = eventually(
            lambda: all(store.read(PEERS, key) for key in ("entry-0", "entry-1"))
        )
        case.assertLess(took, IN_FORCE_WITHIN)


def test_an_instance_that_starts_on_a_copy_serves_by_its_peers_configuration() -> None:
    """A key that was withdrawn in the lost seconds must not be accepted again.

    The store holds the older configuration until the operator writes the newest again.
    """
    with fleet(2) as running:
        copy = running.platform.store.copy_rows()
        running.platform.configure(WITHOUT_KEY)
        running.until_all(lambda each: status(each) == 401)
        running.restore(copy, rewritten=False)
        with gateway_process(running.platform, "entry-2") as started:
            started.wait_until_ready()
            statuses = [status(started) for _ in range(CALLS_AT_START)]
        case.assertEqual([401] * CALLS_AT_START, statuses)
        running.until_all(lambda each: status(each) == 401)


def test_instances_that_all_start_on_a_copy_serve() -> None:
    """Nobody knows a newer configuration; waiting for one must end."""
    with fleet(2) as running:
        copy = running.platform.store.copy_rows()
        running.write_often()
        running.restore(copy, rewritten=False)
        for each in running.instances:
            each.restart()
        running.until_all(lambda each: each.ready_status() == 200)
        running.until_all(lambda each: status(each) == 200)


load_tests = function_tests(__name__)
