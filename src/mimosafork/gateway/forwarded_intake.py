"""Accepts calls that peers forward."""

from datetime import timedelta
from http import HTTPStatus
from logging import getLogger

from msgspec.structs import replace

from ..routing.table import ClientLimits
from ..telemetry.catalogue.connectivity import FORWARDING_REFUSED
from ..telemetry.throttled_event import ThrottledEvent
from .client_connection import ClientConnection
from .dialect import CallMetadata
from .errors import BadRequestError, ForwardingError
from .forwarding import MAX_HEADER_BYTES, ForwardedRequest
from .gateway import Gateway
from .heads import Header
from .intake import CallRefusal
from .local_responses import send_refusal
from .policies.peer_forwarding import ELSEWHERE_AFTER
from .request_reader import RequestMessage
from .unanswered_request import UnansweredRequest

logger = getLogger(__name__)

REFUSED_EVERY = timedelta(seconds=10)

NOT_FORWARDED = CallRefusal(HTTPStatus.BAD_REQUEST, "not-forwarded")
"""A request of something else than an instance."""

TOO_MANY = CallRefusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "too-many-forwarded", ELSEWHERE_AFTER
)


class ForwardedIntake:
    """Handler of the connections on which peers forward calls.

    Parameters
    ----------
    gateway : Gateway
        Runs the calls.
    max_calls : int
        Limit on forwarded calls that run at the same time.
    """

    def __init__(self, gateway: Gateway, max_calls: int) -> None:
        self.gateway = gateway
        self.max_calls = max_calls
        self.refused = ThrottledEvent(logger, FORWARDING_REFUSED, REFUSED_EVERY)

    def new_connection(self) -> ClientConnection:
        """Return the protocol for a newly accepted connection of a peer."""
        gateway = self.gateway
        return ClientConnection(self, gateway.clock, gateway.connections)

    @property
    def limits(self) -> ClientLimits:
        """Request limits in force, with room for the sender's name."""
        limits = self.gateway.limits
        return replace(limits, header_bytes=limits.header_bytes + MAX_HEADER_BYTES)

    @property
    def draining(self) -> bool:
        """Whether connections are closed after the current response."""
        return self.gateway.draining

    @property
    def open_calls(self) -> int:
        """Number of forwarded calls that have not ended."""
        calls = self.gateway.calls.values()
        return sum(call.request.forwarded_by is not None for call in calls)

    def accept(
        self, connection: ClientConnection, message: RequestMessage, at: timedelta
    ) -> None:
        """Accept a forwarded request, or refuse it as not run."""
        try:
            forwarded = ForwardedRequest(message)
        except ForwardingError:
            self._refuse(connection, NOT_FORWARDED)
            return
        if self.open_calls >= self.max_calls:
            self._refuse(connection, TOO_MANY)
            return
        self.gateway.accept(connection, forwarded.message, at, forwarded.sender)

    def _refuse(self, connection: ClientConnection, refusal: CallRefusal) -> None:
        send_refusal(self.gateway.dialect, connection, CallMetadata(""), refusal)
        self.refused.occurred(self.gateway.clock.monotonic(), reason=refusal.reason)

    def caller_disconnected(self, connection: ClientConnection) -> None:
        """End the call of a peer that has disconnected."""
        self.gateway.caller_disconnected(connection)

    def caller_stalled(self, connection: ClientConnection, stalled: bool) -> None:
        """Pause or resume the call of a peer that reads slowly."""
        self.gateway.caller_stalled(connection, stalled)

    def malformed_request(
        self, connection: ClientConnection, error: BadRequestError
    ) -> None:
        """Log a malformed request."""
        self.gateway.malformed_request(connection, error)

    def retry_after_headers(self) -> list[Header]:
        """Return the headers with the retry delay for a rejected request."""
        return self.gateway.retry_after_headers()

    def request_unanswered(
        self, connection: ClientConnection, left: UnansweredRequest
    ) -> None:
        """Log a request that was unanswered when its connection closed."""
        self.gateway.request_unanswered(connection, left)

    def intake_faulted(
        self, connection: ClientConnection, error: BaseException
    ) -> None:
        """Log an internal error while processing a peer's bytes."""
        self.gateway.intake_faulted(connection, error)
