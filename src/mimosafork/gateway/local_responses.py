"""Responses that this instance gives itself."""

from http import HTTPStatus

from ..kernel.messages.outcomes import Conclude
from ..kernel.messages.problems import ProblemCode
from .call import Call, Responder
from .dialect import CallMetadata, Dialect
from .final_responses import send_complete_response
from .heads import Header
from .intake import CallRefusal
from .problems import final_status

PLAIN_TEXT = Header(b"Content-Type", b"text/plain")


def send_refusal(
    dialect: Dialect,
    responder: Responder,
    metadata: CallMetadata,
    refusal: CallRefusal,
) -> None:
    """Send the response to a call that is refused before it is submitted."""
    headers = dialect.local_response_headers(metadata.call_id, refusal.retry_after)
    headers.append(PLAIN_TEXT)
    reason = refusal.status.phrase.encode()
    responder.send_response(
        refusal.status, reason, headers, refusal.reason.encode() + b"\n"
    )


def send_problem(conclusion: Conclude, dialect: Dialect, call: Call) -> None:
    """End the response to a call that was not served."""
    problem = conclusion.problem
    if problem is not None and problem.code is ProblemCode.CALLER_GONE:
        return
    if call.head_sent:
        call.cut = True
        call.responder.abort_response()
        return
    if call.endpoint_failure is not None:
        send_complete_response(call, call.endpoint_failure)
        return
    final = final_status(conclusion)
    call.status = int(final.status)
    code = ProblemCode.INTERNAL if problem is None else problem.code
    headers = dialect.local_response_headers(call.metadata.call_id, final.retry_after)
    headers.append(PLAIN_TEXT)
    call.responder.send_response(
        final.status,
        HTTPStatus(final.status).phrase.encode(),
        headers,
        f"{code.value}: {conclusion.outcome.value}\n".encode(),
    )
