"""Log lines about callers' connections and requests that are no calls."""

from logging import getLogger

from ..routing.table import RoutingTable
from ..telemetry.catalogue.gateway import (
    INTAKE_FAULT,
    MALFORMED_REQUEST,
    REQUEST_UNANSWERED,
)
from ..telemetry.logs import log_event
from .dialect import Dialect
from .errors import BadRequestError
from .heads import RequestHead
from .instance_view import milliseconds
from .unanswered_request import UnansweredRequest

logger = getLogger(__name__)


def log_malformed_request(
    error: BadRequestError, head: RequestHead | None, dialect: Dialect
) -> None:
    """Log that a caller's bytes were not a valid request.

    Parameters
    ----------
    head : RequestHead or None
        Head of the request if it was read, but not yet its body.
    """
    log_event(
        logger,
        MALFORMED_REQUEST,
        status=int(error.status),
        why=error.detail,
        call=None if head is None else stated_id(head, dialect),
    )


def stated_id(head: RequestHead, dialect: Dialect) -> str | None:
    """Return the id of a request; None if there is none that can be read."""
    try:
        return dialect.parse_call_metadata(head).call_id or None
    except BadRequestError:
        return None


def log_unanswered_request(
    unanswered: UnansweredRequest, table: RoutingTable | None, draining: bool
) -> None:
    """Log a request that was unanswered when its connection closed."""
    log_event(
        logger,
        REQUEST_UNANSWERED,
        why=unanswered.reason.value,
        read=unanswered.bytes_read,
        waiting=unanswered.bytes_waiting,
        unsent=unanswered.bytes_unsent,
        whole=unanswered.whole,
        idle_ms=milliseconds(unanswered.idle),
        promised_ms=milliseconds(unanswered.advertised_idle_timeout),
        version=None if table is None else table.version,
        draining=draining,
    )


def log_intake_fault(error: BaseException) -> None:
    """Log an exception raised while a caller's bytes were processed."""
    log_event(logger, INTAKE_FAULT, exc_info=error, fault=type(error).__name__)
