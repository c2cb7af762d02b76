"""Interface to the HTTP headers and orders of a deployment."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..ids import AccountId, EndpointId
from ..kernel.messages.base import Effect
from ..kernel.messages.dispatch import PrefillHelper
from ..kernel.messages.placement import GangStepFailure
from ..routing.table import ApiKey
from .event_id import EventId
from .heads import Header, RequestHead
from .response_reader import ResponseHead


class CallMetadata(msgspec.Struct, frozen=True):
    """Metadata of a call from the caller's headers.

    Attributes
    ----------
    call_id : str
        Id that the caller gave to the request; empty if none.
    time_left : timedelta or None
        How long the caller waits.
    last_event_id : EventId or None
        Event after which the stream resumes.
    key : ApiKey or None
    prompt_tokens, max_tokens, expected_tokens : int
        Length of the prompt, and the maximum and the expected length of the output; 0
        if not given.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other calls may share, in order.
    """

    call_id: str
    time_left: timedelta | None = None
    last_event_id: EventId | None = None
    key: ApiKey | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prompt_parts: tuple[str, ...] = ()


class AttemptMetadata(msgspec.Struct, frozen=True):
    """Metadata of an attempt that is sent to the endpoint."""

    endpoint: EndpointId
    time_left: timedelta
    account: AccountId | None = None
    last_event_id: EventId | None = None
    priority: int | None = None
    helpers: tuple[PrefillHelper, ...] = ()


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Metadata of a response from the endpoint's headers.

    Attributes
    ----------
    call_id : str or None
        The caller's id of the answered call.
    signed : bool
        Whether the response carries the endpoint's signature.
    not_run : bool
        Whether the endpoint states that it did not run the call.
    endpoint_moved : bool
        Whether another endpoint than the expected one answers at this address.
    fault_at : str or None
        Address of the failed endpoint, if it is a different one.
    rate_limit : float or None
        Requests per second that the endpoint accepts from all instances together; None
        if it states no limit.
    rate_limit_readable : bool
        False if it states a limit that is not a valid number.
    announces_leaving : bool
        Whether the endpoint is about to exit.
    backoff : timedelta or None
        Time for which the endpoint wants no further request from this instance; None if
        it does not ask for it.
    backoff_readable : bool
        False if it asks for a time that is not a valid number.
    """

    call_id: str | None
    signed: bool
    not_run: bool
    endpoint_moved: bool
    fault_at: str | None = None
    rate_limit: float | None = None
    rate_limit_readable: bool = True
    announces_leaving: bool = False
    backoff: timedelta | None = None
    backoff_readable: bool = True


class OrderMessage(msgspec.Struct, frozen=True):
    """An order to an endpoint, with a JSON body."""

    path: str
    body: bytes


class Dialect(Protocol):
    """Parses and builds headers of calls, and builds orders to endpoints."""

    def parse_call_metadata(self, head: RequestHead) -> CallMetadata:
        """Parse the headers of a caller's request.

        Raises
        ------
        BadRequestError
            If a header is malformed.
        """

    def endpoint_headers(
        self, head: RequestHead, metadata: AttemptMetadata
    ) -> list[Header]:
        """Return the headers of an attempt, without those that frame the body."""

    def forwarding_headers(
        self,
        head: RequestHead,
        time_left: timedelta,
        last_event_id: EventId | None,
    ) -> list[Header]:
        """Return the caller's headers for a peer, without those that frame the body."""

    def parse_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Parse the headers of an endpoint's response."""

    def response_id(self, headers: tuple[Header, ...]) -> str | None:
        """Return the caller's id of the call that a response states; None if none."""

    def local_response_headers(
        self, call_id: str, retry_after: timedelta | None
    ) -> list[Header]:
        """Return the headers of a response that this instance generates."""

    def order(self, effect: Effect) -> OrderMessage:
        """Return the order that carries out an effect at an endpoint."""

    def order_failure(self, status: int) -> GangStepFailure | None:
        """Return why an order failed; None if it succeeded."""
