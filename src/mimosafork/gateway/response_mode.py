"""Ways to handle a response."""

from enum import Enum
from http import HTTPStatus

from .dialect import ResponseMetadata
from .final_responses import is_stream
from .response_reader import ResponseHead

SUCCESS = range(200, 300)


class ResponseMode(Enum):
    """How an attempt handles the bytes of the response."""

    HEAD = "head"
    STREAM = "stream"
    WHOLE = "whole"
    PASSTHROUGH = "passing"
    """A plain response too long to be buffered: it is forwarded as it arrives."""
    REFUSAL = "refusal"
    FOREIGN = "foreign"
    """A response to another call; it is skipped."""
    UNSIGNED = "unsigned"
    """A success without the endpoint's signature; it is discarded."""


def mode_of(
    head: ResponseHead, metadata: ResponseMetadata, without_body: bool
) -> ResponseMode:
    """Return how an endpoint's response is handled."""
    if metadata.not_run:
        return ResponseMode.REFUSAL
    if head.status not in SUCCESS:
        return ResponseMode.WHOLE
    if not metadata.signed:
        return ResponseMode.UNSIGNED
    if is_stream(head) and not without_body:
        return ResponseMode.STREAM
    return ResponseMode.WHOLE


def mode_of_peer_response(
    head: ResponseHead, metadata: ResponseMetadata, without_body: bool
) -> ResponseMode:
    """Return how a peer's response to a forwarded call is handled.

    Without an endpoint's signature it is the peer's own. Its statuses below 500 and its
    503 mean that the call has not run: a peer may have another configuration.
    """
    rejected = (
        head.status < HTTPStatus.INTERNAL_SERVER_ERROR
        or head.status == HTTPStatus.SERVICE_UNAVAILABLE
    )
    if rejected and head.status not in SUCCESS and not metadata.signed:
        return ResponseMode.REFUSAL
    return mode_of(head, metadata, without_body)
