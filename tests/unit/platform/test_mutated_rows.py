"""Rows that another writer wrote: no row gives an endpoint that cannot be used."""

import json
from base64 import b64encode
from ipaddress import ip_address
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosafork.directory.rows import Row
from mimosafork.platform.configuration import decode_configuration
from mimosafork.platform.documents import RowsDocument, decode
from mimosafork.platform.errors import DocumentError
from mimosafork.platform.listing import decode_endpoint
from mimosafork.platform.sources import ConfigurationRows, EndpointRows
from mimosafork.platform.store import page_of
from mimosafork.routing.listing import ListedEndpoint

from ...support.functions import function_tests
from ...support.scripted_rows import ScriptedRows, read_whole
from ...support.versions import version

case = TestCase()

EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True, database=None)
GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "seq": 4,
}
NEEDED = ("service", "address", "zone", "slots", "state")
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "voces.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout-ms": 10000,
            "target-latency-ms": 300,
            "gap-aim-ms": 250,
            "service": "s",
        }
    ],
    "services": [
        {
            "name": "s",
            "health-path": "/h",
            "max-connections": 9,
            "engine": {
                "slots": 8,
                "kv-tokens": 405000,
                "step_ms": 1.31,
                "per_seq_ms": 0.001834,
                "context_per_k": 0.00213,
                "read_per_s": 154000.0,
                "pairs_per_m": 0.162,
                "chunk": 2048,
                "report_lag_ms": 250.0,
                "usual": {"prompt": 11323, "answer": 1266},
            },
        }
    ],
    "limits": {"header-timeout-ms": 1000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 1}],
}

ABSURD: tuple[Any, ...] = (
    None,
    True,
    "",
    " ",
    "8",
    "odd",
    "a" * 5000,
    "a\r\nb",
    [],
    {},
    [8],
    -1,
    0,
    8.5,
    -1e300,
    1e300,
    10**30,
    10**400,
    float("nan"),
    float("inf"),
    float("-inf"),
)
BAD_ADDRESSES = (
    "",
    "10.0.0.9",
    ":80",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:8 0",
    "10.0.0.9:\u0668",
    "10.0.0.999:80",
    "a.example:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "10.0.0.9:80\r\nX: y",
)
BAD_KEYS = ("", " ", "i 7", "i-7\r\nX: y", "i\u00e9", "\x00", "i" * 201)
NO_DOCUMENTS = (
    b"",
    b"\xff\xfe",
    b"{",
    b"null",
    b"[]",
    b"8",
    b'"ready"',
    b"\x00" * 64,
    b"[" * 100_000,
    b'{"x":' * 100_000,
    json.dumps(GOOD).encode("utf-16"),
)


def encoded(document: Any) -> bytes:
    return json.dumps(document).encode()


def is_usable(listed: ListedEndpoint) -> bool:
    """Return whether an endpoint can be called and reckoned with."""
    host, _, port = listed.address.rpartition(":")
    ip_address(host)
    return (
        0 < int(port) < 65536
        and 0 < listed.slots <= 1_000_000
        and 0 <= listed.cold_remaining.total_seconds() <= 30 * 86400
        and 0 <= listed.sequence < 2**63
        and bool(listed.service and listed.zone)
        and all(
            text.isprintable() and len(text) <= 200
            for text in (listed.service, listed.zone, listed.software)
        )
    )


def assert_unreadable(key: str, value: bytes) -> None:
    """Check that a row names no endpoint, and that the reason is short."""
    with case.assertRaises(DocumentError) as caught:
        decode_endpoint(key, value)
    case.assertLessEqual(len(str(caught.exception)), 400)


def test_a_row_that_lacks_what_is_needed_names_no_endpoint() -> None:
    for name in NEEDED:
        document = {key: value for key, value in GOOD.items() if key != name}
        assert_unreadable("i-7", encoded(document))


def test_an_address_that_cannot_be_called_names_no_endpoint() -> None:
    """A writer puts a name, no port or a whole header where an address is due.

    Calls are placed there and fail one by one, each drawing on the budget of repeats.
    """
    for address in BAD_ADDRESSES:
        with case.subTest(address):
            assert_unreadable("i-7", encoded(GOOD | {"address": address}))


def test_a_key_that_cannot_stand_in_a_header_names_no_endpoint() -> None:
    """A row's key holds a line end, and each call to it says its endpoint's id.

    What stands behind the line end goes over the wire as a header of its own.
    """
    for key in BAD_KEYS:
        with case.subTest(key):
            assert_unreadable(key, encoded(GOOD))


def test_absurd_numbers_name_no_endpoint() -> None:
    """A row says -5 slots, or stays slow for a number of years with 300 digits.

    The first makes an endpoint that looks ever emptier; the second ends the reading of
    its page by an error that nobody expects, again and again.
    """
    for changes in (
        {"slots": 0},
        {"slots": -5},
        {"slots": 10**30},
        {"cold-remaining-ms": 1e300},
        {"cold-remaining-ms": float("inf")},
        {"cold-remaining-ms": float("nan")},
        {"seq": -1},
        {"seq": 10**30},
        {"born": -1},
        {"born": 10**30},
    ):
        with case.subTest(changes):
            assert_unreadable("i-7", encoded(GOOD | changes))


def test_a_remaining_time_below_none_is_none() -> None:
    """An endpoint subtracts two clocks and reports a little less than nothing."""
    listed = decode_endpoint("i-7", encoded(GOOD | {"cold-remaining-ms": -0.4}))
    case.assertEqual(0, listed.cold_remaining.total_seconds())


def test_what_is_no_document_names_no_endpoint() -> None:
    for value in NO_DOCUMENTS:
        assert_unreadable("i-7", value)


@EXAMPLES
@given(
    st.dictionaries(
        st.sampled_from([*GOOD, "born", "novelty"]),
        st.sampled_from(ABSURD) | st.integers() | st.floats() | st.text(max_size=300),
        min_size=1,
        max_size=4,
    ),
    st.sets(st.sampled_from(sorted(GOOD)), max_size=2),
)
def test_any_change_of_fields_is_refused_or_gives_a_usable_endpoint(
    changes: dict[str, Any], dropped: set[str]
) -> None:
    changed = GOOD | changes
    document = {key: value for key, value in changed.items() if key not in dropped}
    try:
        listed = decode_endpoint("i-7", encoded(document))
    except DocumentError as error:
        assert len(str(error)) <= 400
    else:
        assert is_usable(listed), listed
        assert not dropped & set(NEEDED)


@EXAMPLES
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 60))
def test_any_change_of_bytes_is_refused_or_gives_a_usable_endpoint(
    piece: bytes, at: int, length: int
) -> None:
    value = encoded(GOOD)
    try:
        listed = decode_endpoint("i-7", value[:at] + piece + value[at + length :])
    except DocumentError as error:
        assert len(str(error)) <= 400
    else:
        assert is_usable(listed), listed


@EXAMPLES
@given(st.data())
def test_any_change_of_a_configuration_is_refused_or_read(data: st.DataObject) -> None:
    """The operator's row says a time of a number of years with 300 digits.

    Whatever it says, only the layer's own error may come, which keeps the former one.
    """
    document = json.loads(json.dumps(CONFIGURATION))
    place, name = data.draw(st.sampled_from(places(document)))
    place[name] = data.draw(st.sampled_from(ABSURD) | st.integers() | st.floats())
    try:
        decode_configuration(encoded(document))
    except DocumentError as error:
        assert len(str(error)) <= 400


def places(node: Any) -> list[tuple[Any, Any]]:
    """Return all places of a document at which a value stands."""
    if isinstance(node, dict):
        found = list(node.items())
    elif isinstance(node, list):
        found = list(enumerate(node))
    else:
        return []
    below = [each for _, child in found for each in places(child)]
    return [(node, name) for name, _ in found] + below


def rows_document(*values: str) -> bytes:
    rows = [
        {"table": "servers", "key": f"i-{at}", "value": value, "ver": at + 1}
        for at, value in enumerate(values)
    ]
    return encoded({"rows": rows, "ver": 9})


def test_a_value_in_no_known_form_leaves_the_rest_of_its_page() -> None:
    """One row's value is not base64.

    The whole answer was thrown away and asked for again, so that no instance heard
    of any endpoint while that row stood.
    """
    good = b64encode(encoded(GOOD)).decode()
    for odd in ("%%%", "abc", "\u00e9", json.dumps(GOOD)):
        page = page_of(decode(rows_document(good, odd, good), RowsDocument), 0)
        case.assertEqual(["i-0", "i-1", "i-2"], [row.key for row in page.rows])
        case.assertEqual(encoded(GOOD), page.rows[2].value)
        assert_unreadable(page.rows[1].key, page.rows[1].value)


def test_rows_of_other_parts_are_not_the_platforms() -> None:
    """A writer uses the tables for rows of its own, in a part of its own.

    The feed tells all parts of a table. A row there with an endpoint's key replaced
    what the endpoint had said about itself.
    """
    own = Row("servers", "", "i-7", encoded(GOOD), version(4))
    other = Row("servers", "mine", "i-7", b"else", version(5))
    case.assertEqual([own], read_whole(EndpointRows(ScriptedRows(own, other))))
    config = Row("op", "", "config", encoded(CONFIGURATION), version(6))
    foreign = Row("op", "mine", "config", b"else", version(7))
    rows = ScriptedRows(config, foreign)
    case.assertEqual([config], read_whole(ConfigurationRows(rows)))


load_tests = function_tests(__name__)
