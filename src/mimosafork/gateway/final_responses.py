"""Whole responses of endpoints, sent to the caller unchanged."""

from ..kernel.messages.attempts import (
    AttemptFailed,
    DispatchFaulted,
    Exposure,
    FailureKind,
)
from ..kernel.messages.dispatch import Dispatch
from .call import Call, CompleteResponse
from .event_stream import EVENT_STREAM
from .heads import (
    CONTENT_LENGTH,
    HEAD,
    Header,
    end_to_end_headers,
    first_header_value,
)
from .response_reader import ResponseHead


def dispatch_faulted(dispatch: Dispatch, sent: bool) -> DispatchFaulted:
    """Return the message that an attempt failed because of an internal error."""
    return DispatchFaulted(
        AttemptFailed(
            dispatch.request_id,
            dispatch.attempt,
            FailureKind.INVALID,
            Exposure.POSSIBLE if sent else Exposure.NEVER_SENT,
        )
    )


def is_stream(head: ResponseHead) -> bool:
    """Return whether a response is an event stream."""
    kind = first_header_value(head.headers, b"content-type") or b""
    return kind.split(b";")[0].strip().lower() == EVENT_STREAM


def send_complete_response(call: Call, response: CompleteResponse) -> None:
    """Send an endpoint's complete response to the caller, unchanged."""
    call.head_sent = True
    call.status = response.head.status
    headers = end_to_end_headers(response.head.headers)
    length = first_header_value(response.head.headers, CONTENT_LENGTH)
    if call.message.head.method == HEAD and length is not None:
        headers.append(Header(b"Content-Length", length))
    call.responder.send_response(
        response.head.status, response.head.reason, headers, response.body
    )
