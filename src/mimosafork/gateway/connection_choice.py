"""Requirements of attempts for their connections."""

from datetime import timedelta

from ..kernel.messages.dispatch import Dispatch
from ..kernel.messages.requests import Repeatability, Request
from .pool import ConnectionRequest

NON_IDEMPOTENT_MAX_IDLE = timedelta(milliseconds=1500)
"""A non-idempotent call uses a pooled connection only if it was idle for no longer: if
the endpoint closes the connection under the request, the outcome is unknown."""


def connection_request(
    request: Request, dispatch: Dispatch, call_id: str
) -> ConnectionRequest:
    """Return which connections an attempt may use."""
    non_idempotent = request.repeatability is Repeatability.NON_IDEMPOTENT
    return ConnectionRequest(
        dispatch.endpoint,
        dispatch.address,
        NON_IDEMPOTENT_MAX_IDLE if non_idempotent else None,
        proven_since_break=non_idempotent or dispatch.attempt > 1,
        call_id=call_id,
    )
