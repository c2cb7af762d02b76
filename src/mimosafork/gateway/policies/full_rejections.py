"""Calls rejected by engines that were full."""

from datetime import timedelta

from ...ids import RequestId
from ...kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from ...placement.overload import LoadCeiling, lower_ceiling
from ...routing.listing import ListedEndpoint

FULL_STATUS = 503


def reports_full(failure: AttemptFailed, listed: ListedEndpoint) -> bool:
    """Return whether an endpoint rejected a call because it is full itself.

    If it names another endpoint, that one is gone or cannot help, and the endpoint that
    answered has free capacity.
    """
    if failure.kind is not FailureKind.REFUSED:
        return False
    if failure.exposure is not Exposure.REFUSED or failure.status != FULL_STATUS:
        return False
    return failure.fault_at in {None, listed.address, listed.endpoint}


class FullRejections:
    """Load at which engines rejected each open call."""

    def __init__(self) -> None:
        self.by_request: dict[RequestId, LoadCeiling] = {}

    def record(self, request_id: RequestId, running: int, until: timedelta) -> None:
        """Record the known running requests of an engine that rejected a call."""
        former = self.by_request.get(request_id)
        self.by_request[request_id] = lower_ceiling(former, running, until)

    def rejecting_load(self, request_id: RequestId, now: timedelta) -> int | None:
        """Return how many running requests led to a rejection of a call, if any."""
        limit = self.by_request.get(request_id)
        return limit.running if limit is not None and now < limit.until else None

    def forget(self, request_id: RequestId) -> None:
        """Forget a finished call."""
        self.by_request.pop(request_id, None)
