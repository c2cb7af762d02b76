"""Tests of reading the platform's documents."""

import json
from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.directory.errors import UnreadableRowError
from mimosafork.ids import EndpointId, ServiceId
from mimosafork.platform.configuration import decode_configuration
from mimosafork.platform.errors import DocumentError
from mimosafork.platform.listing import decode_endpoint
from mimosafork.routing.listing import ListedState
from mimosafork.routing.table import ApiKey, CallKind, TrafficSplit

from ...support.functions import function_tests

case = TestCase()


def route(**changes: Any) -> dict[str, Any]:
    return {
        "name": "r",
        "host": "Voces.Example",
        "prefix": "/a/",
        "kind": "stream",
        "timeout-ms": 10000,
        "target-latency-ms": 300,
        "service": "s",
    } | changes


def engine() -> dict[str, Any]:
    return {
        "slots": 8,
        "kv-tokens": 405000,
        "stride": 34,
        "step_ms": 1.31,
        "per_seq_ms": 0.001834,
        "context_per_k": 0.00213,
        "read_per_s": 154000.0,
        "pairs_per_m": 0.162,
        "chunk": 2048,
        "report_lag_ms": 250.0,
        "usual": {"prompt": 11323, "answer": 1266},
        "hop-ms": 0.1,
        "delays": [{"from": "a", "target": "b", "delay_ms": 1.4}],
    }


def configuration(**changes: Any) -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [route()],
        "services": [
            {"name": "s", "health-path": "/h", "max-connections": 9, "engine": engine()}
        ],
        "limits": {"max-header-bytes": 1000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 1}],
    } | changes


def endpoint(**changes: Any) -> dict[str, Any]:
    return {
        "service": "s",
        "address": "10.0.0.9:8080",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 1500,
        "seq": 4,
    } | changes


def encoded(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def test_a_configuration_becomes_a_routing_table() -> None:
    table = decode_configuration(encoded(configuration()))
    case.assertEqual(7, table.version)
    found = table.match("voces.example", "/a/b")
    assert found is not None
    case.assertEqual(CallKind.STREAM, found.kind)
    case.assertEqual(timedelta(seconds=10), found.timeout)
    case.assertEqual(timedelta(milliseconds=300), found.objective)
    case.assertEqual((TrafficSplit(ServiceId("s"), 1.0),), found.splits)
    account = table.account_of(ApiKey("k2"))
    assert account is not None
    case.assertEqual(("t", 1), (account.name, account.priority))
    case.assertEqual(1000, table.limits.header_bytes)
    case.assertEqual(timedelta(seconds=15), table.limits.idle_timeout)


def test_the_engine_keeps_its_units() -> None:
    table = decode_configuration(encoded(configuration()))
    figures = table.services[ServiceId("s")].engine
    assert figures is not None
    case.assertAlmostEqual(154.0, figures.prefill_tokens_per_ms)
    case.assertEqual(405000, figures.memory_tokens)
    case.assertEqual(timedelta(milliseconds=250), figures.report_lag)
    case.assertEqual(
        (11323, 1266), (figures.mean_prompt_tokens, figures.mean_answer_tokens)
    )


def test_each_kind_says_what_may_be_repeated() -> None:
    kinds = {
        "safe": CallKind.IDEMPOTENT,
        "unsafe": CallKind.NON_IDEMPOTENT,
        "stream": CallKind.STREAM,
    }
    for word, kind in kinds.items():
        document = configuration(routes=[route(kind=word)])
        case.assertEqual(kind, decode_configuration(encoded(document)).routes[0].kind)


def test_a_split_keeps_its_weights() -> None:
    shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    document = configuration(routes=[route(**{"traffic-split": shares})])
    table = decode_configuration(encoded(document))
    wanted = (TrafficSplit(ServiceId("a"), 90.0), TrafficSplit(ServiceId("b"), 10.0))
    case.assertEqual(wanted, table.routes[0].splits)


def test_without_accounts_no_key_is_asked_for() -> None:
    document = configuration()
    del document["tenants"]
    case.assertFalse(decode_configuration(encoded(document)).has_accounts)
    empty = decode_configuration(encoded(configuration(tenants=[])))
    case.assertTrue(empty.has_accounts)


def test_unknown_fields_are_ignored() -> None:
    document = configuration(novelty={"a": [1]}, routes=[route(novelty=1)])
    case.assertEqual(7, decode_configuration(encoded(document)).version)
    listed = decode_endpoint("i-1", encoded(endpoint(models=[{"name": "m"}])))
    case.assertEqual(EndpointId("i-1"), listed.endpoint)


def test_a_service_states_for_how_long_and_how_much_its_endpoints_are_cold() -> None:
    """Absent, empty and negative values must bound nothing, and huge ones not fail."""
    for start_s, per_s, expected in (
        (3.0, 26.0, (timedelta(seconds=3), 26.0)),
        (None, None, (timedelta(0), 0.0)),
        (0, 0, (timedelta(0), 0.0)),
        (-1.0, -2.0, (timedelta(0), 0.0)),
        (1e300, 1e300, (timedelta(days=30), 1e6)),
    ):
        stated = {"cold-start-s": start_s, "cold-per-s": per_s}
        service = configuration()["services"][0] | stated
        value = json.dumps(configuration(services=[service])).encode()
        decoded = decode_configuration(value).services[ServiceId("s")]
        case.assertEqual(expected, (decoded.cold_duration, decoded.cold_rate_per_s))
    decoded = decode_configuration(json.dumps(configuration()).encode()).services[
        ServiceId("s")
    ]
    case.assertFalse(decoded.has_cold_limit)


def test_allowed_regions_become_home_regions() -> None:
    """A restriction that the operator wrote is lost in the translation."""
    document = configuration(
        routes=[route(**{"allowed-regions": ["north", "south", "north"]})],
        tenants=[{"name": "t", "api-keys": ["k"], "allowed-regions": ["north"]}],
    )
    table = decode_configuration(encoded(document))
    case.assertEqual({"north", "south"}, table.routes[0].home_regions)
    case.assertEqual({"north"}, table.accounts[0].home_regions)
    case.assertTrue(table.restricts_regions)


def test_absent_or_empty_regions_are_no_restriction() -> None:
    """All calls are refused once an operator writes an empty list, or null."""
    empty: list[str] | None
    for empty in ([], None):
        document = configuration(
            routes=[route(**{"allowed-regions": empty})],
            tenants=[{"name": "t", "api-keys": ["k"], "allowed-regions": empty}],
        )
        table = decode_configuration(encoded(document))
        case.assertEqual(frozenset(), table.routes[0].home_regions)
        case.assertEqual(frozenset(), table.accounts[0].home_regions)
        case.assertFalse(table.restricts_regions)


def test_unreadable_regions_make_the_configuration_unreadable() -> None:
    """A restriction of the wrong form is ignored, and its calls are sent anywhere."""
    for bad in ("north", {"north": 1}, [1], [None], ["n" * 201], [""], 7, True):
        for document in (
            configuration(routes=[route(**{"allowed-regions": bad})]),
            configuration(tenants=[{"name": "t", "allowed-regions": bad}]),
        ):
            with case.assertRaises(DocumentError, msg=repr(bad)):
                decode_configuration(encoded(document))
    document = configuration(routes=[route(**{"allowed-regions": ["n" * 200]})])
    case.assertEqual(1, len(decode_configuration(encoded(document)).routes))


def test_bad_configurations_raise_the_layers_own_error() -> None:
    """One message for the follower, however a document is broken.

    An operator's tool writes half a document, or a kind that this version does not
    know. Taken in part it would drop routes; the error keeps the old table.
    """
    nameless = route()
    del nameless["service"]
    for value in (
        b"",
        b"{",
        b"[]",
        b"\xff",
        encoded({"version": 1}),
        encoded(configuration(version="7")),
        encoded(configuration(routes=[route(kind="odd")])),
        encoded(configuration(routes=[nameless])),
    ):
        with case.assertRaises(DocumentError):
            decode_configuration(value)
    case.assertTrue(issubclass(DocumentError, UnreadableRowError))


def test_an_endpoints_row_becomes_a_listing() -> None:
    listed = decode_endpoint("i-7", encoded(endpoint()))
    case.assertEqual(ListedState.READY, listed.state)
    case.assertEqual("10.0.0.9:8080", listed.address)
    case.assertEqual(timedelta(seconds=1.5), listed.cold_remaining)
    case.assertEqual(4, listed.sequence)
    leaving = decode_endpoint("i-7", encoded(endpoint(state="draining")))
    case.assertEqual(ListedState.DRAINING, leaving.state)


def test_bad_listings_raise_the_layers_own_error() -> None:
    for value in (b"", b"null", encoded({}), encoded(endpoint(state="odd"))):
        with case.assertRaises(DocumentError):
            decode_endpoint("i-7", value)


load_tests = function_tests(__name__)
