"""Request of an attempt, as it is sent to the endpoint."""

from datetime import timedelta

from ..kernel.messages.dispatch import Dispatch
from .attempt_context import AttemptContext
from .call import Call
from .dialect import AttemptMetadata, Dialect
from .forwarding import Sender, with_sender
from .heads import HEAD, Header, render_head


def attempt_request(
    call: Call, dispatch: Dispatch, context: AttemptContext, time_left: timedelta
) -> bytes:
    """Return the head and body of an attempt, at an endpoint or through a peer."""
    if dispatch.via_peer:
        sender = Sender(
            context.instance, context.sends.home_regions(dispatch.request_id)
        )
        return peer_request(call, context.dialect, time_left, sender)
    return endpoint_request(call, dispatch, context.dialect, time_left)


def endpoint_request(
    call: Call, dispatch: Dispatch, dialect: Dialect, time_left: timedelta
) -> bytes:
    """Return the head and body of a call's attempt."""
    metadata = AttemptMetadata(
        endpoint=dispatch.endpoint,
        time_left=time_left,
        account=call.account,
        last_event_id=call.last_event_id,
        priority=dispatch.priority,
        helpers=dispatch.helpers,
    )
    return render(call, dialect.endpoint_headers(call.message.head, metadata))


def peer_request(
    call: Call, dialect: Dialect, time_left: timedelta, sender: Sender
) -> bytes:
    """Return the head and body of a call that a peer runs for this instance."""
    headers = dialect.forwarding_headers(
        call.message.head, time_left, call.last_event_id
    )
    return render(call, with_sender(headers, sender))


def render(call: Call, headers: list[Header]) -> bytes:
    """Return a call's request with other headers."""
    head, body = call.message.head, call.message.body
    if body or head.content_length != 0 or head.method not in {b"GET", HEAD}:
        headers.append(Header(b"Content-Length", b"%d" % len(body)))
    first_line = b"%s %s HTTP/1.1" % (head.method, head.target)
    return render_head(first_line, headers) + body
