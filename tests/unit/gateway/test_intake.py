"""Tests of the admission of requests by the routing table."""

from datetime import timedelta
from http import HTTPStatus
from random import Random
from unittest import TestCase

from mimosafork.gateway.dialect import CallMetadata
from mimosafork.gateway.heads import parse_request_head
from mimosafork.gateway.intake import AdmittedCall, CallRefusal, admit, call_digest
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.ids import AccountId, RequestId, Revision, ServiceId
from mimosafork.kernel.messages.requests import Repeatability, RequestKind
from mimosafork.routing.engine import EngineFigures
from mimosafork.routing.table import (
    Account,
    ApiKey,
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
    Service,
    TrafficSplit,
)

from ...support.functions import function_tests

case = TestCase()

NOW = timedelta(seconds=50)
KEY = ApiKey("key-1")
ACCOUNT = Account(AccountId("account-a"), (KEY,), 0)
PLAIN_ACCOUNT = Account(AccountId("account-b"), (ApiKey("key-2"),))
DESKS = ServiceId("desks")
ENGINES = ServiceId("engines")
ENGINE = EngineFigures(8, 1000, 4, 1.0, 0.1, 0.1, 100.0, 0.1, 64)


def route(name: str, kind: CallKind, *services: TrafficSplit, **more: object) -> Route:
    return Route(
        RouteName(name),
        "front.example",
        f"/{name}/",
        kind,
        timedelta(seconds=10),
        timedelta(milliseconds=300),
        services or (TrafficSplit(DESKS, 1.0),),
        priority=4,
        **more,  # type: ignore[arg-type]
    )


TABLE = RoutingTable(
    Revision(1),
    (
        route("safe", CallKind.IDEMPOTENT),
        route("once", CallKind.NON_IDEMPOTENT),
        route("stream", CallKind.STREAM, TrafficSplit(ENGINES, 1.0)),
        route("resume", CallKind.STREAM, TrafficSplit(ENGINES, 1.0), resumable=True),
        route("open", CallKind.IDEMPOTENT, public=True),
        route(
            "split",
            CallKind.IDEMPOTENT,
            TrafficSplit(DESKS, 3.0),
            TrafficSplit(ENGINES, 1.0),
        ),
    ),
    {
        DESKS: Service(DESKS, "/healthz", 10),
        ENGINES: Service(ENGINES, "/healthz", 10, ENGINE),
    },
    ClientLimits(),
    (ACCOUNT, PLAIN_ACCOUNT),
)


def message_of(target: str, body: bytes = b"", host: str = "front.example") -> bytes:
    return f"POST {target} HTTP/1.1\r\nHost: {host}".encode()


def admission_of(
    target: str,
    key: ApiKey | None = KEY,
    host: str = "front.example",
    table: RoutingTable | None = TABLE,
    time_left: timedelta | None = None,
    seed: int = 1,
) -> AdmittedCall | CallRefusal:
    head = parse_request_head(message_of(target, host=host))
    metadata = CallMetadata("c1", time_left=time_left, key=key, prompt_tokens=7)
    message = RequestMessage(head, b"body")
    return admit(message, metadata, table, RequestId("1"), NOW, Random(seed))


def admitted(target: str, **more: object) -> AdmittedCall:
    found = admission_of(target, **more)  # type: ignore[arg-type]
    assert isinstance(found, AdmittedCall), found
    return found


def rejected_status(target: str, **more: object) -> HTTPStatus:
    found = admission_of(target, **more)  # type: ignore[arg-type]
    assert isinstance(found, CallRefusal), found
    return found.status


def test_without_configuration_calls_get_503_with_retry_after() -> None:
    found = admission_of("/safe/1", table=None)
    assert isinstance(found, CallRefusal)
    case.assertEqual(HTTPStatus.SERVICE_UNAVAILABLE, found.status)
    case.assertIsNotNone(found.retry_after)


def test_unknown_routes_and_keys() -> None:
    case.assertEqual(HTTPStatus.NOT_FOUND, rejected_status("/nowhere/1"))
    case.assertEqual(HTTPStatus.NOT_FOUND, rejected_status("/safe"))
    case.assertEqual(
        HTTPStatus.NOT_FOUND, rejected_status("/safe/1", host="other.example")
    )
    case.assertEqual(HTTPStatus.UNAUTHORIZED, rejected_status("/safe/1", key=None))
    case.assertEqual(
        HTTPStatus.UNAUTHORIZED, rejected_status("/safe/1", key=ApiKey("x"))
    )
    case.assertEqual(HTTPStatus.NOT_FOUND, rejected_status("/nowhere/1", key=None))


def test_hosts_match_case_insensitively_and_with_a_port() -> None:
    case.assertEqual("safe", admitted("/safe/1?x", host="FRONT.example:80").route.name)


def test_public_routes_need_no_key_and_have_no_account() -> None:
    for key in (None, KEY, ApiKey("unknown")):
        case.assertIsNone(admitted("/open/1", key=key).account)
    case.assertEqual("account-a", admitted("/safe/1").account)


def test_the_priority_of_an_account_overrides_the_routes() -> None:
    for key, priority in ((KEY, 0), (ApiKey("key-2"), 4)):
        terms = admitted("/safe/1", key=key).request.terms
        assert terms is not None
        case.assertEqual(priority, terms.priority)


def test_repeatability_and_kind_by_route() -> None:
    for name, repeatability in (
        ("safe", Repeatability.IDEMPOTENT),
        ("once", Repeatability.NON_IDEMPOTENT),
        ("stream", Repeatability.NON_IDEMPOTENT),
        ("resume", Repeatability.IDEMPOTENT),
    ):
        request = admitted(f"/{name}/1").request
        case.assertIs(repeatability, request.repeatability, name)
    case.assertIs(RequestKind.MODEL, admitted("/stream/1").request.kind)
    case.assertIs(RequestKind.SERVICE, admitted("/safe/1").request.kind)


def test_the_deadline_is_the_shorter_of_both_from_the_first_byte() -> None:
    for left, expected in (
        (None, timedelta(seconds=10)),
        (timedelta(seconds=3), timedelta(seconds=3)),
        (timedelta(seconds=30), timedelta(seconds=10)),
    ):
        request = admitted("/safe/1", time_left=left).request
        case.assertEqual(NOW + expected, request.deadline)


def test_a_split_route_is_drawn_by_weight() -> None:
    drawn = [admitted("/split/1", seed=seed).request.target for seed in range(200)]
    case.assertTrue(120 < drawn.count(DESKS) < 180, drawn.count(DESKS))


def test_the_digest_depends_on_target_account_and_body() -> None:
    account = AccountId("a")
    first = RequestMessage(parse_request_head(message_of("/safe/1")), b"body")
    other_path = RequestMessage(parse_request_head(message_of("/safe/2")), b"body")
    other_body = RequestMessage(first.head, b"Body")
    digests = {
        call_digest(first, account),
        call_digest(first, None),
        call_digest(other_path, account),
        call_digest(other_body, account),
    }
    case.assertEqual(4, len(digests))
    case.assertEqual(call_digest(first, account), call_digest(first, account))


load_tests = function_tests(__name__)
