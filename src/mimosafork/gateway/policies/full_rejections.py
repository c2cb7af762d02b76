"""Calls that engines turned away as they were full."""

from datetime import timedelta

from ...ids import RequestId
from ...kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from ...placement.overload import LoadCeiling, lower_ceiling
from ...routing.listing import ListedEndpoint

FULL_STATUS = 503


def reports_full(failure: AttemptFailed, listed: ListedEndpoint) -> bool:
    """Return whether an endpoint said of itself that it has no room.

    One that names another says that this one is gone or can't help; then the one that
    answered has only refused.
    """
    if failure.kind is not FailureKind.REFUSED:
        return False
    if failure.exposure is not Exposure.REFUSED or failure.status != FULL_STATUS:
        return False
    return failure.fault_at in {None, listed.address, listed.endpoint}


class FullRejections:
    """What each open call knows of crowded engines."""

    def __init__(self) -> None:
        self.by_request: dict[RequestId, LoadCeiling] = {}

    def record(self, request_id: RequestId, running: int, until: timedelta) -> None:
        """Learn that an engine that seemed to run so many turned a call away."""
        former = self.by_request.get(request_id)
        self.by_request[request_id] = lower_ceiling(former, running, until)

    def rejecting_load(self, request_id: RequestId, now: timedelta) -> int | None:
        """Return how many running requests are too many for a call, if any are."""
        crowd = self.by_request.get(request_id)
        return crowd.running if crowd is not None and now < crowd.until else None

    def forget(self, request_id: RequestId) -> None:
        """Forget a call that has ended."""
        self.by_request.pop(request_id, None)
