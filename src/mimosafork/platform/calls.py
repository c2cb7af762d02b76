"""Translates the headers of calls and of their answers."""

import re
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from ..gateway.dialect import (
    AttemptMetadata,
    CallMetadata,
    OrderMessage,
    ResponseMetadata,
)
from ..gateway.errors import BadRequestError
from ..gateway.event_id import EventId, parse_event_id
from ..gateway.heads import Header, RequestHead, end_to_end_headers, first_header_value
from ..gateway.response_reader import ResponseHead
from ..kernel.messages.base import Effect
from ..kernel.messages.dispatch import PrefillHelper
from ..kernel.messages.placement import GangStepFailure
from ..routing.table import ApiKey
from . import names
from .orders import failure_of, order_of
from .prompt_parts import shared_parts
from .statements import announces_leaving, rate_limit, requested_backoff

NUMBER = re.compile(rb"[0-9]{1,15}")
MILLISECOND = timedelta(milliseconds=1)
REPLACED = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.TENANT,
        names.EXPECT_INSTANCE,
        names.REQUEST_PRIORITY,
        names.HELPERS,
        names.AUTHORIZATION,
        names.LAST_EVENT_ID,
    )
)
"""Headers that this system sets itself, or that end here."""

FORWARDED_ANEW = frozenset({names.DEADLINE_MS.lower(), names.LAST_EVENT_ID.lower()})
"""Headers whose values have changed since the caller sent them."""


class PreparedDialect:
    """The prepared platform's headers."""

    def parse_call_metadata(self, head: RequestHead) -> CallMetadata:
        """Return what a caller's headers say.

        Raises
        ------
        BadRequestError
            If a number is none.
        """
        left_ms = number(head, names.DEADLINE_MS)
        tokens = token_counts(head)
        return CallMetadata(
            call_id=text(head, names.REQUEST_ID),
            time_left=None if left_ms is None else left_ms * MILLISECOND,
            last_event_id=last_event_id(head),
            key=api_key(head),
            prompt_tokens=tokens.prompt,
            max_tokens=tokens.most,
            expected_tokens=number(head, names.LENGTH_HINT) or 0,
            prompt_parts=shared_parts(
                first_header_value(head.headers, names.PROMPT_PREFIX.lower())
            ),
        )

    def endpoint_headers(
        self, head: RequestHead, metadata: AttemptMetadata
    ) -> list[Header]:
        """Return the headers of an attempt, but those that frame its body."""
        kept = [
            header
            for header in end_to_end_headers(head.headers)
            if header.name.lower() not in REPLACED
        ]
        left_ms = max(1, int(metadata.time_left / MILLISECOND))
        kept.append(Header(names.DEADLINE_MS, b"%d" % left_ms))
        kept.append(Header(names.EXPECT_INSTANCE, metadata.endpoint.encode()))
        if metadata.account is not None:
            kept.append(Header(names.TENANT, metadata.account.encode()))
        if metadata.last_event_id is not None:
            kept.append(Header(names.LAST_EVENT_ID, metadata.last_event_id.text))
        if metadata.priority is not None:
            kept.append(Header(names.REQUEST_PRIORITY, b"%d" % metadata.priority))
        if metadata.helpers:
            kept.append(Header(names.HELPERS, helper_list(metadata.helpers)))
        return kept

    def forwarding_headers(
        self,
        head: RequestHead,
        time_left: timedelta,
        last_event_id: EventId | None,
    ) -> list[Header]:
        """Return the caller's headers for a peer, without those that frame the body."""
        kept = [
            header
            for header in end_to_end_headers(head.headers)
            if header.name.lower() not in FORWARDED_ANEW
        ]
        left_ms = max(1, int(time_left / MILLISECOND))
        kept.append(Header(names.DEADLINE_MS, b"%d" % left_ms))
        if last_event_id is not None:
            kept.append(Header(names.LAST_EVENT_ID, last_event_id.text))
        return kept

    def parse_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return what an endpoint's headers say."""
        fault_at = first_header_value(head.headers, names.AT_SERVER.lower())
        elsewhere = head.status == HTTPStatus.MISDIRECTED_REQUEST
        stated = first_header_value(head.headers, names.NOT_RUN.lower()) is not None
        limit, backoff = rate_limit(head), requested_backoff(head)
        return ResponseMetadata(
            call_id=self.response_id(head.headers),
            signed=first_header_value(head.headers, names.RESPONSE_SEAL.lower())
            is not None,
            not_run=stated or elsewhere,
            endpoint_moved=elsewhere,
            fault_at=None if fault_at is None else fault_at.decode("latin-1"),
            rate_limit=limit.per_s,
            rate_limit_readable=limit.readable,
            announces_leaving=announces_leaving(head),
            backoff=backoff.duration,
            backoff_readable=backoff.readable,
        )

    def response_id(self, headers: tuple[Header, ...]) -> str | None:
        """Return the call's id that an answer states; None if it states none."""
        value = first_header_value(headers, names.REQUEST_ID.lower())
        return None if value is None else value.decode("latin-1")

    def local_response_headers(
        self, call_id: str, retry_after: timedelta | None
    ) -> list[Header]:
        """Return the headers of an answer that this instance gives itself."""
        found = []
        if call_id:
            found.append(Header(names.REQUEST_ID, call_id.encode("latin-1")))
        if retry_after is not None:
            seconds = retry_after.total_seconds()
            found.append(Header(names.RETRY_AFTER, b"%.2f" % seconds))
        return found

    def order(self, effect: Effect) -> OrderMessage:
        """Return what has an endpoint carry out an effect."""
        return order_of(effect)

    def order_failure(self, status: int) -> GangStepFailure | None:
        """Return why an order was not carried out; None if it was."""
        return failure_of(status)


def text(head: RequestHead, name: bytes) -> str:
    """Return a header's text; empty if there is none."""
    value = first_header_value(head.headers, name.lower())
    return "" if value is None else value.decode("latin-1")


def number(head: RequestHead, name: bytes) -> int | None:
    """Return a header's whole number; None if there is no such header.

    Raises
    ------
    BadRequestError
    """
    value = first_header_value(head.headers, name.lower())
    if value is None:
        return None
    if NUMBER.fullmatch(value) is None:
        reason = f"{name.decode()} is no whole number"
        raise BadRequestError(HTTPStatus.BAD_REQUEST, reason)
    return int(value)


def last_event_id(head: RequestHead) -> EventId | None:
    """Return the event behind which a caller resumes its stream."""
    value = first_header_value(head.headers, names.LAST_EVENT_ID.lower())
    return parse_event_id(value) if value else None


class TokenCounts(NamedTuple):
    """Lengths of a prompt, and of its answer at most."""

    prompt: int
    most: int


def token_counts(head: RequestHead) -> TokenCounts:
    """Return the lengths that a call states; zeros where it states none."""
    value = first_header_value(head.headers, names.TOKEN_USAGE.lower()) or b""
    prompt, _, most = value.partition(b",")
    return TokenCounts(count_of(prompt), count_of(most))


def count_of(value: bytes) -> int:
    """Return a number of tokens; 0 if the text is none."""
    found = NUMBER.fullmatch(value.strip())
    return int(found[0]) if found else 0


def api_key(head: RequestHead) -> ApiKey | None:
    """Return the key that a call carries."""
    value = first_header_value(head.headers, names.AUTHORIZATION.lower())
    if value is None:
        return None
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != names.BEARER.lower():
        return None
    return ApiKey(key.strip().decode("latin-1"))


def helper_list(helpers: tuple[PrefillHelper, ...]) -> bytes:
    """Return the value that names the helpers of a prompt, and their memory."""
    parts = [
        helper.address
        if helper.reservation is None
        else f"{helper.address}/{helper.reservation}"
        for helper in helpers
    ]
    return ",".join(parts).encode()
