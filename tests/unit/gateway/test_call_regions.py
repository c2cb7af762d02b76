"""Tests of the home regions of calls at their arrival, and on their way to peers."""

from datetime import timedelta
from http import HTTPStatus
from random import Random
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.call import Call, new_call
from mimosafork.gateway.call_regions import CallRegions
from mimosafork.gateway.dialect import CallMetadata
from mimosafork.gateway.errors import ForwardingError
from mimosafork.gateway.forwarding import (
    FORWARDED_BY,
    MAX_SENDER_BYTES,
    ForwardedRequest,
    Sender,
    decode_sender,
    with_sender,
)
from mimosafork.gateway.heads import Header, parse_request_head
from mimosafork.gateway.intake import AdmittedCall, CallRefusal, admit, forwarded
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.ids import AccountId, InstanceId, RegionId, RequestId
from mimosafork.routing.table import Account, ApiKey, RoutingTable, TrafficSplit

from ...support.functions import function_tests
from ...support.gateway_kernels import PLAIN_SERVICE
from ...support.regional_fleet import EMPTY, NORTH, SOUTH, table_with

case = TestCase()

KEY = ApiKey("key-a")
METADATA = CallMetadata("c1", key=KEY)
REQUEST_ID = RequestId("1")
HEAD = parse_request_head(b"POST /safe/1 HTTP/1.1\r\nHost: front.example")
MESSAGE = RequestMessage(HEAD, b"body")
SENDER = Sender(InstanceId("entry-1"))
Regions = frozenset[RegionId]


def table(route: set[RegionId], account: set[RegionId]) -> RoutingTable:
    """Return a configuration with restrictions of the route and of the account."""
    holder = Account(AccountId("a"), (KEY,), home_regions=frozenset(account))
    found = table_with(*route, accounts=(holder,))
    split = (TrafficSplit(PLAIN_SERVICE, 1.0),)
    routes = tuple(replace(each, splits=split) for each in found.routes)
    return replace(found, routes=routes)


def decision(known: RoutingTable) -> AdmittedCall | CallRefusal:
    return admit(MESSAGE, METADATA, known, REQUEST_ID, timedelta(0), Random(1))


def admitted(known: RoutingTable) -> AdmittedCall:
    found = decision(known)
    assert isinstance(found, AdmittedCall)
    return found


def regions_at_arrival(known: RoutingTable) -> Regions | None:
    return admitted(known).request.home_regions


def test_a_call_obeys_the_restrictions_of_route_and_account() -> None:
    """One of two restrictions is ignored, or two that differ allow more than each."""
    both = {NORTH, SOUTH}
    for route, account, expected in (
        (set(), set(), None),
        ({NORTH}, set(), {NORTH}),
        (set(), {SOUTH}, {SOUTH}),
        (both, {SOUTH}, {SOUTH}),
        ({NORTH}, both, {NORTH}),
        ({NORTH}, {SOUTH}, set()),
    ):
        case.assertEqual(expected, regions_at_arrival(table(route, account)))


def test_the_restriction_of_an_account_applies_to_public_routes() -> None:
    """A public route takes calls of a restricted account to other regions."""
    known = table(set(), {NORTH})
    public = tuple(replace(each, public=True) for each in known.routes)
    found = admitted(replace(known, routes=public))
    case.assertIsNone(found.account)
    case.assertEqual({NORTH}, found.request.home_regions)


def test_a_forwarded_call_obeys_both_configurations() -> None:
    """The older configuration of two instances lets a body leave its regions."""
    both = frozenset({NORTH, SOUTH})
    for own, senders, expected in (
        (set(), None, None),
        ({NORTH}, None, {NORTH}),
        (set(), both, both),
        ({NORTH}, both, {NORTH}),
        ({NORTH}, frozenset({SOUTH}), set()),
    ):
        sender = Sender(SENDER.instance, senders)
        found = forwarded(decision(table(own, set())), sender)
        assert isinstance(found, AdmittedCall)
        case.assertEqual(expected, found.request.home_regions)
        case.assertEqual(SENDER.instance, found.request.forwarded_by)


def test_a_forwarded_call_that_would_be_denied_is_refused() -> None:
    found = forwarded(decision(EMPTY), SENDER)
    assert isinstance(found, CallRefusal)
    case.assertIs(HTTPStatus.SERVICE_UNAVAILABLE, found.status)


def test_the_restriction_of_the_sender_reaches_the_peer() -> None:
    """A peer with an older configuration sends a body outside of its regions."""
    for regions in (None, frozenset[RegionId](), frozenset({NORTH, SOUTH})):
        sender = Sender(InstanceId("entry-1"), regions)
        headers = tuple(with_sender(list(HEAD.headers), sender))
        received = replace(MESSAGE, head=replace(HEAD, headers=headers))
        found = ForwardedRequest(received)
        case.assertEqual(sender, found.sender)
        case.assertEqual(HEAD.headers, found.message.head.headers)


def test_calls_without_restriction_name_their_sender_as_before() -> None:
    """Instances of the previous version take no forwarded call."""
    case.assertEqual(b"entry-1", SENDER.encode())
    case.assertEqual(SENDER, decode_sender(b"entry-1"))


def test_regions_that_do_not_fit_make_the_restriction_stricter() -> None:
    """A header too long for the peer, or a region that splits it in two."""
    many = frozenset(RegionId(f"region-{number:03}") for number in range(99))
    odd = frozenset(map(RegionId, ("a,b", "c d", "e\r\nf", "ü", "", ";regions=x")))
    sender = Sender(InstanceId("i" * 64), many | odd | {RegionId("a")})
    value = sender.encode()
    case.assertLessEqual(len(value), MAX_SENDER_BYTES)
    found = decode_sender(value)
    case.assertEqual(sender.instance, found.instance)
    assert found.home_regions is not None
    case.assertIn("a", found.home_regions)
    case.assertLess(found.home_regions, many | {RegionId("a")})
    only_odd = decode_sender(Sender(InstanceId("i"), odd).encode())
    case.assertEqual(frozenset(), only_odd.home_regions)


def test_a_sender_that_cannot_be_read_is_refused() -> None:
    for value in (b"", b"a b", b";regions=a", b"a;regions", b"a;b", b"a" * 201):
        head = replace(HEAD, headers=(Header(FORWARDED_BY, value),))
        with case.assertRaises(ForwardingError, msg=value):
            ForwardedRequest(replace(MESSAGE, head=head))


class SilentResponder:
    """Sends nothing."""

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send nothing."""

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send nothing."""

    def send_body(self, data: bytes) -> None:
        """Send nothing."""

    def end_response(self) -> None:
        """Send nothing."""

    def abort_response(self) -> None:
        """Send nothing."""


def open_call(known: RoutingTable) -> Call:
    found = admitted(known)
    return new_call(MESSAGE, METADATA, found, SilentResponder(), timedelta(0))


def test_open_calls_are_matched_with_a_newer_configuration() -> None:
    """A call keeps no restriction, as its route has another name by now."""
    calls = CallRegions({REQUEST_ID: open_call(table(set(), set()))})
    renamed = table({NORTH, SOUTH}, {SOUTH})
    routes = tuple(replace(each, name="other") for each in renamed.routes)
    newer = replace(renamed, routes=routes)
    case.assertEqual({SOUTH}, calls.under(REQUEST_ID, newer))
    case.assertIsNone(calls.under(REQUEST_ID, table(set(), set())))
    case.assertIsNone(calls.under(REQUEST_ID, EMPTY))
    case.assertIsNone(calls.under(RequestId("unknown"), newer))


load_tests = function_tests(__name__)
