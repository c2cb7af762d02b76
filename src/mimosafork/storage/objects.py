"""Client of the object store, with conditional writes."""

from dataclasses import dataclass
from urllib.parse import quote

from ..network.errors import NetworkError, NeverSentError
from ..network.http import Answer, HttpClient
from .breaker import CircuitBreaker
from .errors import (
    CallRejectedError,
    PlatformError,
    StoreUnavailableError,
    UnknownResultError,
)

NOT_FOUND = 404
PRECONDITION_FAILED = 412
UNAVAILABLE = 503
FIRST_ERROR = 400
FIRST_SERVER_ERROR = 500


class PreconditionFailedError(PlatformError):
    """The precondition of the write does not hold; nothing was written."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Content of an object and the entity tag of this version."""

    content: bytes
    etag: str


class ObjectClient:
    """HTTP client of the object store; thread-safe.

    Parameters
    ----------
    http : HttpClient
    address : str
        ``IP:PORT``.
    breaker : CircuitBreaker
        Shared by all users of this service in the process.
    """

    def __init__(self, http: HttpClient, address: str, breaker: CircuitBreaker) -> None:
        self.http = http
        self.address = address
        self.breaker = breaker

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist.

        Raises
        ------
        StoreUnavailableError
        """
        answer = self.breaker.run(lambda: self._read(key))
        if answer.status == NOT_FOUND:
            return None
        return StoredObject(answer.body, answer.headers.get("ETag", ""))

    def create(self, key: str, content: bytes) -> str:
        """Create an object and return its tag.

        Raises
        ------
        PreconditionFailedError
            If the object already exists.
        StoreUnavailableError, UnknownResultError
        """
        return self._put(key, content, {"If-None-Match": "*"})

    def replace(self, key: str, content: bytes, etag: str) -> str:
        """Replace the version with tag `etag`; return the new tag.

        Raises
        ------
        PreconditionFailedError
            If `etag` is no longer the newest version.
        StoreUnavailableError, UnknownResultError
        """
        return self._put(key, content, {"If-Match": etag})

    def delete(self, key: str) -> None:
        """Delete an object, if it exists.

        Raises
        ------
        StoreUnavailableError, UnknownResultError
        """
        self.breaker.run(lambda: self._write("DELETE", key, None, {}))

    def _put(self, key: str, content: bytes, headers: dict[str, str]) -> str:
        answer = self.breaker.run(lambda: self._write("PUT", key, content, headers))
        if answer.status == PRECONDITION_FAILED:
            raise PreconditionFailedError(f"object {key!r} has changed")
        return answer.headers.get("ETag", "")

    def _read(self, key: str) -> Answer:
        try:
            answer = self.http.call("GET", self.address, _path(key))
        except NetworkError as error:
            raise StoreUnavailableError(f"object not read: {error}") from error
        if answer.status >= FIRST_ERROR and answer.status != NOT_FOUND:
            raise StoreUnavailableError(f"the object store answered {answer.status}")
        return answer

    def _write(
        self, method: str, key: str, content: bytes | None, headers: dict[str, str]
    ) -> Answer:
        try:
            answer = self.http.call(method, self.address, _path(key), content, headers)
        except NeverSentError as error:
            raise StoreUnavailableError(f"nothing was written: {error}") from error
        except NetworkError as error:
            raise UnknownResultError(f"perhaps written: {error}") from error
        if answer.status in {NOT_FOUND, PRECONDITION_FAILED}:
            return answer
        if answer.status == UNAVAILABLE:
            raise StoreUnavailableError("the object store answered 503")
        if answer.status >= FIRST_SERVER_ERROR:
            raise UnknownResultError(f"the object store answered {answer.status}")
        if answer.status >= FIRST_ERROR:
            raise CallRejectedError(f"the object store answered {answer.status}")
        return answer


def _path(key: str) -> str:
    return f"/v1/objects/{quote(key, '')}"
