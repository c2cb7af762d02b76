"""Turns a whole request into what the kernel is asked, or into a refusal."""

import hashlib
import struct
from datetime import timedelta
from http import HTTPStatus
from random import Random

import msgspec

from ..ids import AccountId, Digest, ModelId, RequestId, ServiceId
from ..kernel.messages.requests import CallTerms, Repeatability, Request, RequestKind
from ..routing.table import Account, CallKind, Route, RoutingTable, TrafficSplit
from .dialect import CallMetadata
from .problems import DEFAULT_RETRY_AFTER
from .request_reader import RequestMessage

NO_ACCOUNT = AccountId("")
DIGEST_BYTES = 16
NOT_CONFIGURED_COME_BACK = timedelta(milliseconds=500)


class CallRefusal(msgspec.Struct, frozen=True):
    """The call ends here, before the kernel has heard of it."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None


STOPPING = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "stopping", timedelta(milliseconds=100)
)
"""What a caller is told whose request came whole only after the last were taken."""
NO_CONFIGURATION = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "no-configuration", NOT_CONFIGURED_COME_BACK
)
INTERNAL_FAULT = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "fault", DEFAULT_RETRY_AFTER
)
"""A fault in the code before the kernel has heard of the call: it has not run."""
NO_ROUTE = CallRefusal(HTTPStatus.NOT_FOUND, "no-route")
UNKNOWN_KEY = CallRefusal(HTTPStatus.UNAUTHORIZED, "unknown-key")


class Match(msgspec.Struct, frozen=True):
    """What the routing table has for a request.

    Attributes
    ----------
    account : Account or None
        None if the route takes callers without a key.
    """

    table: RoutingTable
    route: Route
    account: Account | None = None

    @property
    def account_name(self) -> AccountId | None:
        """Name of the account, if there is one."""
        return None if self.account is None else self.account.name


class AdmittedCall(msgspec.Struct, frozen=True):
    """What a request asks for, by the routing table in force."""

    route: Route
    account: AccountId | None
    request: Request
    version: int


def admit(
    message: RequestMessage,
    marks: CallMetadata,
    table: RoutingTable | None,
    request_id: RequestId,
    arrived_at: timedelta,
    random: Random,
) -> AdmittedCall | CallRefusal:
    """Match a request with the routing table.

    Parameters
    ----------
    message, marks : RequestMessage, CallMetadata
    table : RoutingTable or None
        None while no version is known.
    request_id : RequestId
        This instance's own.
    arrived_at : timedelta
        Monotonic instant of the first byte.
    random : random.Random
        Chooses among the services of a split route.
    """
    match = matched(message, marks, table)
    if isinstance(match, CallRefusal):
        return match
    route = match.route
    service = choose_service(route.splits, random)
    kind = request_kind(match.table, service)
    request = Request(
        request_id=request_id,
        account=match.account_name or NO_ACCOUNT,
        kind=kind,
        target=service if kind is RequestKind.SERVICE else ModelId(service),
        prompt_tokens=marks.prompt_tokens,
        max_tokens=marks.max_tokens,
        deadline=arrived_at + time_allowed(route, marks),
        body_digest=call_digest(message, match.account_name),
        repeatability=repeatability_of(route),
        terms=terms_of(route, match.account, marks),
    )
    return AdmittedCall(route, match.account_name, request, match.table.version)


def matched(
    message: RequestMessage, marks: CallMetadata, table: RoutingTable | None
) -> Match | CallRefusal:
    """Return the route and account of a request, or why it has none."""
    if table is None:
        return NO_CONFIGURATION
    route = table.match(message.head.host, message.head.path)
    if route is None:
        return NO_ROUTE
    if not table.has_accounts or route.public:
        return Match(table, route)
    account = table.account_of(marks.key) if marks.key is not None else None
    return UNKNOWN_KEY if account is None else Match(table, route, account)


def choose_service(splits: tuple[TrafficSplit, ...], random: Random) -> ServiceId:
    """Draw a service by the weights of a route."""
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    return random.choices([split.service for split in splits], weights)[0]


def request_kind(table: RoutingTable, service: ServiceId) -> RequestKind:
    """Return whether a service has model engines."""
    known = table.services.get(service)
    if known is not None and known.engine is not None:
        return RequestKind.MODEL
    return RequestKind.SERVICE


def repeatability_of(route: Route) -> Repeatability:
    """Return whether a route's calls may run more than once."""
    if route.repeatable:
        return Repeatability.IDEMPOTENT
    return Repeatability.NON_IDEMPOTENT


def time_allowed(route: Route, marks: CallMetadata) -> timedelta:
    """Return how long a call may take: as its caller waits and its route allows."""
    if marks.time_left is None:
        return route.timeout
    return min(route.timeout, marks.time_left)


def terms_of(route: Route, account: Account | None, marks: CallMetadata) -> CallTerms:
    """Return what the kernel's plug-ins go by."""
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return CallTerms(
        max_attempts=route.max_attempts,
        objective=route.objective,
        longest_pause=route.longest_pause,
        priority=priority,
        streams=route.kind is CallKind.STREAM,
        resumable=route.resumable,
        expected_tokens=marks.expected_tokens,
    )


def call_digest(message: RequestMessage, account: AccountId | None) -> Digest:
    """Return a digest of what decides a call's answer, whoever sends it again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (
        message.head.method,
        message.head.target,
        (account or NO_ACCOUNT).encode(),
        message.body,
    ):
        digest.update(struct.pack("<Q", len(part)))
        digest.update(part)
    return Digest(digest.hexdigest())
