"""HTTP client for the load and cache reports of endpoints."""

from datetime import timedelta
from http import HTTPStatus

from ..ids import EndpointId
from ..kernel.messages.fleet import (
    CacheEventsReported,
    CacheSnapshotReported,
    LoadReport,
)
from ..network.errors import NetworkError, NeverSentError
from ..network.http import HttpClient
from .documents import cache_events, cache_snapshot, load_report
from .errors import EndpointUnreachableError, NoValidAnswerError

LOAD_PATH = "/v1/load"
EVENTS_PATH = "/v1/cache-events"
SNAPSHOT_PATH = "/v1/cache-snapshot"


class EndpointReader:
    """Reads the reports of endpoints over HTTP; thread-safe.

    Parameters
    ----------
    http : HttpClient
    timeout : timedelta
        Answer timeout of each call.
    """

    def __init__(self, http: HttpClient, timeout: timedelta) -> None:
        self.http = http
        self.timeout = timeout

    def load(self, endpoint: EndpointId, address: str) -> LoadReport:
        """Return the load report.

        Raises
        ------
        WatchError
            If the endpoint returns no valid report.
        """
        return load_report(self._get(address, LOAD_PATH), endpoint)

    def events(
        self, endpoint: EndpointId, address: str, after: int
    ) -> CacheEventsReported:
        """Return the cache events after a sequence number.

        Raises
        ------
        WatchError
            If the endpoint returns no valid answer.
        """
        body = self._get(address, f"{EVENTS_PATH}?after={after}")
        return cache_events(body, endpoint, after)

    def snapshot(self, endpoint: EndpointId, address: str) -> CacheSnapshotReported:
        """Return the whole prefix cache.

        Raises
        ------
        WatchError
            If the endpoint returns no valid answer.
        """
        return cache_snapshot(self._get(address, SNAPSHOT_PATH), endpoint)

    def _get(self, address: str, path: str) -> bytes:
        try:
            answer = self.http.call("GET", address, path, timeout=self.timeout)
        except NeverSentError as error:
            raise EndpointUnreachableError(str(error)) from error
        except NetworkError as error:
            raise NoValidAnswerError(str(error)) from error
        if answer.status != HTTPStatus.OK:
            raise NoValidAnswerError(f"status {answer.status}")
        return answer.body
