"""Tests of the prepared platform as a whole: its configuration and its list."""

import socket
from dataclasses import replace
from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.standins.errors import StandinError
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import RouteEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.http import LOOPBACK
from mimosafork.standins.prepared.row_format import decode_value
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults
from mimosafork.standins.prepared.words import (
    EXPECT_INSTANCE,
    KEY_CONFIG,
    REQUEST_ID,
    ROWS_FEED,
    ROWS_GET,
    TABLE_OPERATOR,
    TABLE_SERVERS,
)

from ...support.functions import function_tests
from ...support.prepared import DESKS, ENGINES, USUAL_CONFIG, call, deployment
from ...support.waiting import eventually

case = TestCase()


def config_of(running: Deployment) -> Any:
    row = running.store.read(TABLE_OPERATOR, KEY_CONFIG)
    assert row is not None and row.value is not None
    return decode_value(row.value)


def listed(running: Deployment) -> dict[str, Any]:
    path = f"{ROWS_GET}?table={TABLE_SERVERS}&part="
    rows = call(running.store.address, "GET", path).json()["rows"]
    return {row["key"]: decode_value(row["value"]) for row in rows}


def test_the_first_configuration_is_there_and_versions_rise() -> None:
    with deployment() as running:
        first = config_of(running)
        version = running.configure(replace(USUAL_CONFIG, tenants=None))
        second = config_of(running)
    case.assertEqual("r-stream", first["routes"][0]["name"])
    case.assertEqual(["key-of-account-a"], first["tenants"][0]["api-keys"])
    case.assertIn("engine", first["services"][0])
    case.assertGreater(version, first["version"])
    case.assertEqual(version, second["version"])
    case.assertNotIn("tenants", second)


def test_a_configuration_that_is_not_valid_is_not_written() -> None:
    bad = RouteEntry("r", "/no-slash", "safe", DESKS)
    unknown = RouteEntry("r", "/x/", "safe", "no-such-service")
    with deployment() as running:
        for route in (bad, unknown):
            with case.assertRaises(StandinError):
                running.configure(replace(USUAL_CONFIG, routes=(route,)))
        case.assertEqual(running.version, config_of(running)["version"])


def test_a_split_takes_the_place_of_the_service() -> None:
    route = RouteEntry("r", "/x/", "safe", "", split={DESKS: 9, ENGINES: 1})
    document = route.document()
    case.assertNotIn("service", document)
    case.assertEqual(2, len(document["traffic-split"]))


def test_there_may_be_no_configuration_yet() -> None:
    with deployment(None) as running:
        case.assertIsNone(running.store.read(TABLE_OPERATOR, KEY_CONFIG))


def test_endpoints_are_listed_with_what_they_are() -> None:
    with deployment() as running:
        engine = running.add_engine(EndpointSettings(ENGINES, slots=3))
        desk = running.add_desk(EndpointSettings(DESKS, zone="zone-b"))
        found = listed(running)
    case.assertEqual(engine.address, found[engine.id]["address"])
    case.assertEqual(("ready", 3, 1), state_of(found[engine.id]))
    case.assertEqual("m", found[engine.id]["models"][0]["name"])
    case.assertEqual("zone-b", found[desk.id]["zone"])
    case.assertNotIn("models", found[desk.id])


def state_of(document: dict[str, Any]) -> tuple[str, int, int]:
    return document["state"], document["slots"], document["seq"]


def test_a_beat_raises_the_sequence_number() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        running.beat(desk)
        case.assertEqual(2, listed(running)[desk.id]["seq"])


def test_a_draining_endpoint_says_so_or_is_just_taken_off_the_list() -> None:
    with deployment() as running:
        telling = running.add_desk(EndpointSettings(DESKS))
        silent = running.add_desk(EndpointSettings(DESKS))
        running.drain(telling)
        running.drain(silent, reported=False)
        found = listed(running)
        health = call(silent.address, "GET", "/healthz")
    case.assertEqual([telling.id], list(found))
    case.assertEqual("draining", found[telling.id]["state"])
    case.assertEqual(503, health.status)


def test_a_removed_endpoint_is_gone() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        desk.crash(timedelta(hours=1))
        running.remove(desk)
        case.assertEqual({}, listed(running))
        with case.assertRaises(ConnectionRefusedError):
            call(desk.address, "GET", "/healthz")


def test_a_crashed_endpoint_stays_listed_until_its_next_life() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        first = desk.id
        desk.crash()
        during = list(listed(running))
        desk.start()
        after = listed(running)
    case.assertEqual([first], during)
    case.assertEqual([desk.id], list(after))
    case.assertNotEqual(first, desk.id)
    case.assertEqual(1, after[desk.id]["seq"])


def test_no_other_takes_the_port_of_one_that_crashed() -> None:
    """A crashed endpoint cannot come back at its address.

    While it is down the system gives its port to another test that wants any. The
    next life finds the port taken, or callers of the endpoint reach a stranger.
    """
    with deployment() as running, socket.socket() as neighbour:
        desk = running.add_desk(EndpointSettings(DESKS))
        desk.crash()
        with case.assertRaises(OSError):
            neighbour.bind((LOOPBACK, desk.listener.port))
        with case.assertRaises(ConnectionRefusedError):
            call(desk.address, "GET", "/healthz")
        desk.start()
        case.assertEqual(200, call(desk.address, "GET", "/healthz").status)


def test_a_crash_may_end_by_itself() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        first = desk.id
        row = running.store.read(TABLE_SERVERS, first)
        assert row is not None
        desk.crash(timedelta(milliseconds=10))
        query = f"table={TABLE_SERVERS}&after={row.ver}&wait-ms=10000"
        feed = call(running.store.address, "GET", f"{ROWS_FEED}?{query}")
        eventually(lambda: list(listed(running)) == [desk.id])
    case.assertEqual(first, feed.json()["rows"][0]["key"])
    case.assertTrue(feed.json()["rows"][0]["tombstone"])
    case.assertNotEqual(first, desk.id)


def test_endpoints_beat_by_themselves_and_the_dead_are_taken_off() -> None:
    with Deployment(USUAL_CONFIG, heartbeat=timedelta(milliseconds=5)) as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        eventually(lambda: listed(running)[desk.id]["seq"] > 2)
        desk.crash()
        eventually(lambda: listed(running) == {})


def test_beats_do_not_reach_a_store_that_is_down() -> None:
    with Deployment(USUAL_CONFIG, heartbeat=timedelta(milliseconds=5)) as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        running.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        before = running.store.read(TABLE_SERVERS, desk.id)
        with case.assertRaises(AssertionError):
            eventually(
                lambda: running.store.read(TABLE_SERVERS, desk.id) != before,
                timedelta(milliseconds=50),
            )


def test_a_draining_endpoint_may_exit_by_itself() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        running.drain(desk, exits_after=timedelta(milliseconds=20))
        case.assertEqual("draining", listed(running)[desk.id]["state"])
        eventually(lambda: listed(running) == {})
        with case.assertRaises(ConnectionRefusedError):
            call(desk.address, "GET", "/healthz")


def test_the_address_of_one_that_is_gone_is_used_by_another_service() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        running.remove(desk)
        engine = running.add_engine(EndpointSettings(ENGINES), port=desk.listener.port)
        headers = {REQUEST_ID: "a", EXPECT_INSTANCE: desk.id}
        result = call(desk.address, "POST", "/unsafe/1", headers)
        found = listed(running)
    case.assertEqual(desk.address, engine.address)
    case.assertEqual(421, result.status)
    case.assertEqual([engine.id], list(found))
    case.assertEqual([], running.log.runs)


load_tests = function_tests(__name__)
