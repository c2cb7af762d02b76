"""Ways to handle a response."""

from enum import Enum

from ..kernel.messages.attempts import FailureKind
from .dialect import ResponseMetadata
from .final_responses import is_stream
from .problems import NOT_RUN_STATUSES
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
    UNPROVEN = "unproven"
    """A success without the endpoint's signature, or a refusal that may belong to
    another call; it is discarded."""


def mode_of(
    head: ResponseHead,
    metadata: ResponseMetadata,
    without_body: bool,
    must_state_id: bool,
) -> ResponseMode:
    """Return how an endpoint's response is handled.

    Parameters
    ----------
    must_state_id : bool
        Whether a refusal without the call's id may be that of an earlier call. Taken
        for this call's, it would have a call that runs sent again.
    """
    if metadata.not_run:
        stray = must_state_id and metadata.call_id is None
        return ResponseMode.UNPROVEN if stray else ResponseMode.REFUSAL
    if head.status not in SUCCESS:
        return ResponseMode.WHOLE
    if not metadata.signed:
        return ResponseMode.UNPROVEN
    if is_stream(head) and not without_body:
        return ResponseMode.STREAM
    return ResponseMode.WHOLE


def mode_of_peer_response(
    head: ResponseHead,
    metadata: ResponseMetadata,
    without_body: bool,
    must_state_id: bool,
) -> ResponseMode:
    """Return how a peer's response to a forwarded call is handled.

    A status that means "not run", without an endpoint's signature, is the peer's own
    statement: it passes on no such status of an endpoint.
    """
    if head.status in NOT_RUN_STATUSES and not metadata.signed:
        return ResponseMode.REFUSAL
    return mode_of(head, metadata, without_body, must_state_id)


def failure_of(
    head: ResponseHead, metadata: ResponseMetadata, via_peer: bool
) -> FailureKind:
    """Return how an attempt failed whose whole response is no success.

    A status that means "not run", without the endpoint's explicit statement, is no
    guarantee: the caller might repeat a call that has run.
    """
    if via_peer and not metadata.signed:
        return FailureKind.PEER_FAILED
    if head.status in NOT_RUN_STATUSES:
        return FailureKind.INVALID
    return FailureKind.ENGINE_FAILED
