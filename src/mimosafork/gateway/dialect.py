"""What the gateway needs to know of a deployment's manner of speaking."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..ids import AccountId, EndpointId
from ..kernel.messages.base import Effect
from ..kernel.messages.dispatch import PrefillHelper
from ..kernel.messages.placement import GangStepFailure
from ..routing.table import ApiKey
from .heads import Header, RequestHead
from .response_reader import ResponseHead


class CallMetadata(msgspec.Struct, frozen=True):
    """What a caller says about its call.

    Attributes
    ----------
    call_id : str
        The caller's own id of this attempt; empty if it gave none.
    time_left : timedelta or None
        How long the caller waits.
    last_event : int or None
        The stream goes on behind this event.
    key : ApiKey or None
    prompt_tokens, most_tokens, expected_tokens : int
        Of the prompt, and of the answer at most and by the caller's estimate; 0 if
        it doesn't say.
    """

    call_id: str
    time_left: timedelta | None = None
    last_event_id: int | None = None
    key: ApiKey | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


class AttemptMetadata(msgspec.Struct, frozen=True):
    """What this instance tells an endpoint about an attempt."""

    endpoint: EndpointId
    time_left: timedelta
    account: AccountId | None = None
    last_event_id: int | None = None
    priority: int | None = None
    helpers: tuple[PrefillHelper, ...] = ()


class ResponseMetadata(msgspec.Struct, frozen=True):
    """What an endpoint says about its answer.

    Attributes
    ----------
    call_id : str or None
        The caller's id of the call that it answers.
    signed : bool
        It bears the endpoint's signature.
    not_run : bool
        The endpoint states that it did not run the call.
    elsewhere : bool
        The endpoint that was expected isn't at this address.
    fault_at : str or None
        Address of the endpoint at fault, if it is another one.
    """

    call_id: str | None
    signed: bool
    not_run: bool
    endpoint_moved: bool
    fault_at: str | None = None


class OrderMessage(msgspec.Struct, frozen=True):
    """An order to an endpoint, with a body in JSON."""

    path: str
    body: bytes


class Dialect(Protocol):
    """Reads and writes the headers of calls, and orders to endpoints."""

    def parse_call_metadata(self, head: RequestHead) -> CallMetadata:
        """Return what a caller's headers say.

        Raises
        ------
        BadRequestError
            If a header can't be read.
        """

    def endpoint_headers(
        self, head: RequestHead, metadata: AttemptMetadata
    ) -> list[Header]:
        """Return the headers of an attempt, but those that frame its body."""

    def parse_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return what an endpoint's headers say."""

    def local_response_headers(
        self, call_id: str, retry_after: timedelta | None
    ) -> list[Header]:
        """Return the headers of an answer that this instance gives itself."""

    def order(self, effect: Effect) -> OrderMessage:
        """Return what has an endpoint carry out an effect."""

    def order_failure(self, status: int) -> GangStepFailure | None:
        """Return why an order was not carried out; None if it was."""
