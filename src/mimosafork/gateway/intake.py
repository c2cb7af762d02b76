"""Admission of requests by the routing table."""

import hashlib
import struct
from datetime import timedelta
from http import HTTPStatus
from random import Random

import msgspec
from msgspec.structs import replace

from ..ids import (
    AccountId,
    Digest,
    ModelId,
    RequestId,
    ServiceId,
)
from ..kernel.messages.requests import CallTerms, Repeatability, Request, RequestKind
from ..routing.regions import common_regions, home_regions
from ..routing.table import Account, CallKind, Route, RoutingTable, TrafficSplit
from .dialect import CallMetadata
from .forwarding import Sender
from .problems import DEFAULT_RETRY_AFTER, NOT_RUN_STATUSES
from .request_reader import RequestMessage

NO_ACCOUNT = AccountId("")
DIGEST_BYTES = 16
MAX_PART_KEY = 40
"""Characters."""
NOT_CONFIGURED_RETRY_AFTER = timedelta(milliseconds=500)


class CallRefusal(msgspec.Struct, frozen=True):
    """Rejection of a call before it is submitted to the kernel."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None


STOPPING = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "stopping", timedelta(milliseconds=100)
)
"""For a request that was complete only after the intake had ended."""
NO_CONFIGURATION = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "no-configuration", NOT_CONFIGURED_RETRY_AFTER
)
INTERNAL_FAULT = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "fault", DEFAULT_RETRY_AFTER
)
"""Internal error before the call was submitted to the kernel: it has not run."""
NO_ROUTE = CallRefusal(HTTPStatus.NOT_FOUND, "no-route")
OTHER_CONFIGURATION = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "other-configuration", NOT_CONFIGURED_RETRY_AFTER
)
"""For a forwarded call that this instance would deny: its configuration is another one
than that by which the sender has admitted the call."""
UNKNOWN_KEY = CallRefusal(HTTPStatus.UNAUTHORIZED, "unknown-key")


class RouteMatch(msgspec.Struct, frozen=True):
    """Route and account of a request in the routing table.

    Attributes
    ----------
    account : Account or None
        None if the route is public.
    """

    table: RoutingTable
    route: Route
    account: Account | None = None

    @property
    def account_name(self) -> AccountId | None:
        """Name of the account, if there is one."""
        return None if self.account is None else self.account.name


class AdmittedCall(msgspec.Struct, frozen=True):
    """An admitted call, ready to be submitted to the kernel."""

    route: Route
    account: AccountId | None
    request: Request
    version: int


def admit(
    message: RequestMessage,
    metadata: CallMetadata,
    table: RoutingTable | None,
    request_id: RequestId,
    arrived_at: timedelta,
    random: Random,
) -> AdmittedCall | CallRefusal:
    """Admit or reject a request by the routing table.

    Parameters
    ----------
    message, metadata : RequestMessage, CallMetadata
    table : RoutingTable or None
        None until a configuration has been received.
    request_id : RequestId
        Id that this instance assigns.
    arrived_at : timedelta
        Monotonic time of the first byte.
    random : random.Random
        Selects a service of a split route.
    """
    match = match_route(message, metadata, table)
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
        prompt_tokens=metadata.prompt_tokens,
        max_tokens=metadata.max_tokens,
        deadline=arrived_at + call_timeout(route, metadata),
        body_digest=call_digest(message, match.account_name),
        repeatability=repeatability_of(route),
        terms=call_terms(route, match.account, metadata),
        prompt_parts=part_digests(service, metadata.prompt_parts),
        home_regions=home_regions(match.table, route, metadata.key),
    )
    return AdmittedCall(route, match.account_name, request, match.table.version)


def forwarded(
    decision: AdmittedCall | CallRefusal, sender: Sender
) -> AdmittedCall | CallRefusal:
    """Return the decision on a call that a peer has forwarded.

    It may run at one endpoint only: the peer decides on another attempt, and counts all
    of them against the limits of the route. It obeys the restrictions of both
    configurations, as one of the instances may know an older one.
    """
    if isinstance(decision, CallRefusal):
        denied = decision.status not in NOT_RUN_STATUSES
        return OTHER_CONFIGURATION if denied else decision
    request = decision.request
    terms = request.terms
    if terms is not None:
        terms = replace(terms, max_attempts=1)
    regions = common_regions(request.home_regions, sender.home_regions)
    request = replace(
        request, terms=terms, forwarded_by=sender.instance, home_regions=regions
    )
    return replace(decision, request=request)


def match_route(
    message: RequestMessage, metadata: CallMetadata, table: RoutingTable | None
) -> RouteMatch | CallRefusal:
    """Return the route and account of a request, or the rejection."""
    if table is None:
        return NO_CONFIGURATION
    route = table.match(message.head.host, message.head.path)
    if route is None:
        return NO_ROUTE
    if not table.has_accounts or route.public:
        return RouteMatch(table, route)
    account = table.account_of(metadata.key) if metadata.key is not None else None
    return UNKNOWN_KEY if account is None else RouteMatch(table, route, account)


def choose_service(splits: tuple[TrafficSplit, ...], random: Random) -> ServiceId:
    """Choose a service at random by the weights of a route."""
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    return random.choices([split.service for split in splits], weights)[0]


def request_kind(table: RoutingTable, service: ServiceId) -> RequestKind:
    """Return whether a service runs on model engines or is a plain service."""
    known = table.services.get(service)
    if known is not None and known.engine is not None:
        return RequestKind.MODEL
    return RequestKind.SERVICE


def repeatability_of(route: Route) -> Repeatability:
    """Return whether calls of a route are idempotent."""
    if route.repeatable:
        return Repeatability.IDEMPOTENT
    return Repeatability.NON_IDEMPOTENT


def call_timeout(route: Route, metadata: CallMetadata) -> timedelta:
    """Return the timeout of a call: the lower of the caller's and the route's."""
    if metadata.time_left is None:
        return route.timeout
    return min(route.timeout, metadata.time_left)


def call_terms(
    route: Route, account: Account | None, metadata: CallMetadata
) -> CallTerms:
    """Return the parameters of a call for the kernel's plug-ins."""
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
        expected_tokens=metadata.expected_tokens,
    )


def part_digests(service: ServiceId, parts: tuple[str, ...]) -> tuple[Digest, ...]:
    """Return the keys of prompt parts: service and id, or their digest if too long."""
    return tuple(part_digest(f"{service}/{part}") for part in parts)


def part_digest(name: str) -> Digest:
    """Return a key that is readable in logs, of limited length."""
    if len(name) <= MAX_PART_KEY:
        return Digest(name)
    return Digest(hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest())


def call_digest(message: RequestMessage, account: AccountId | None) -> Digest:
    """Return a digest of method, target, account and body, equal for repeated calls."""
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
