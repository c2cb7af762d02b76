"""Log lines about single attempts."""

from logging import getLogger

from ..ids import InstanceId
from ..kernel.messages.dispatch import Dispatch
from ..telemetry.catalogue.gateway import ATTEMPT_SENT
from ..telemetry.logs import log_event
from .call import Call
from .instance_view import milliseconds

logger = getLogger(__name__)


def log_attempt_sent(call: Call, dispatch: Dispatch, instance: InstanceId) -> None:
    """Log that a request is about to be sent.

    The lines of failed attempts and of the end of a call are missing if the process is
    killed before.
    """
    use = call.diagnostics.connection
    log_event(
        logger,
        ATTEMPT_SENT,
        call=call.metadata.call_id,
        instance=instance,
        endpoint=dispatch.endpoint,
        attempt=dispatch.attempt,
        repeatability=call.request.repeatability.value,
        forwarded_by=call.request.forwarded_by,
        connection=None if use is None else use.number,
        earlier_calls=None if use is None else use.earlier_calls,
        same_call=(use is not None and use.same_call) or None,
        left_ms=milliseconds(call.request.deadline - call.diagnostics.sent_at)
        if call.diagnostics.sent_at is not None
        else None,
    )
