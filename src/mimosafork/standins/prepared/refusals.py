"""Answers that say that a request has not run."""

from http import HTTPStatus

from .faults import Shed
from .http import Answer, Header
from .words import AT_SERVER, INSTANCE_ID, NOT_RUN, RETRY_AFTER


def not_run(status: int, at_server: str) -> Answer:
    """Return an answer that says that the request has not run."""
    return Answer(status, b"", (Header(NOT_RUN, "1"), Header(AT_SERVER, at_server)))


def misdirected(instance: str) -> Answer:
    """Return the answer of an endpoint that is not the one expected."""
    headers = (
        Header(INSTANCE_ID, instance),
        Header(AT_SERVER, instance),
        Header(NOT_RUN, "1"),
    )
    return Answer(HTTPStatus.MISDIRECTED_REQUEST, b"", headers)


def shed_answer(fault: Shed) -> Answer:
    """Return the answer of an endpoint that sheds a request."""
    headers: tuple[Header, ...] = (Header(NOT_RUN, "1"),)
    if fault.retry_after is not None:
        headers = (
            *headers,
            Header(RETRY_AFTER, f"{fault.retry_after.total_seconds():g}"),
        )
    return Answer(fault.status, b"", headers)
