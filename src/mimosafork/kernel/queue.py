"""Requests that wait for an endpoint, by target."""

from collections.abc import Iterator

from ..ids import ModelId, RequestId, ServiceId
from .records import RequestRecord


class WaitingQueue:
    """Waiting requests, grouped by target in order of arrival.

    The queue discipline ranks them at placement time. Ranks change over time, so no
    heap is kept.
    """

    def __init__(self) -> None:
        self.by_target: dict[ModelId | ServiceId, dict[RequestId, RequestRecord]] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(group) for group in self.by_target.values())

    def add(self, record: RequestRecord) -> None:
        """Append a request to its target's group."""
        group = self.by_target.setdefault(record.request.target, {})
        group[record.request_id] = record

    def remove(self, record: RequestRecord) -> None:
        """Remove a request, if it is queued."""
        group = self.by_target.get(record.request.target)
        if group is None:
            return
        group.pop(record.request_id, None)
        if not group:
            del self.by_target[record.request.target]

    def waiting_for(self, target: ModelId | ServiceId) -> list[RequestRecord]:
        """Return the requests that wait for a target, oldest first."""
        return list(self.by_target.get(target, {}).values())

    def __iter__(self) -> Iterator[RequestRecord]:
        """Iterate over all waiting requests."""
        for group in self.by_target.values():
            yield from group.values()
