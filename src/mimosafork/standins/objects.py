"""Stand-in for the platform's object store."""

from dataclasses import dataclass
from functools import singledispatchmethod
from hashlib import blake2b
from http import HTTPStatus

from ..clock import Clock
from .base import Standin
from .faults import Fault, LoseAnswers
from .http import Call, HttpAnswer, HttpRequest, Router
from .http.messages import error_answer

BYTES = "application/octet-stream"
ETAG_BYTES = 16
ANY = "*"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's bytes with the tag that conditions name."""

    body: bytes
    etag: str


@dataclass(frozen=True, slots=True)
class ObjectEntry:
    """A write in the journal."""

    event: str
    key: str
    etag: str
    instance: str
    answered: bool
    at_s: float


class ObjectStandin(Standin):
    """Object store on HTTP with conditional writes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.objects: dict[str, StoredObject] = {}
        super().__init__(clock, "object-standin")

    def add_routes(self, router: Router) -> None:
        """Add the routes of this system."""
        router.add("GET", "/v1/objects/{key}", self._get)
        router.add("PUT", "/v1/objects/{key}", self._put)
        router.add("DELETE", "/v1/objects/{key}", self._delete)

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        super().apply_fault(fault)

    @apply_fault.register
    def _(self, fault: LoseAnswers) -> None:
        self.answers_to_lose = fault.count

    def _get(self, call: Call) -> HttpAnswer:
        stored = self.objects.get(call.values["key"])
        if stored is None:
            return _missing()
        return HttpAnswer(
            HTTPStatus.OK, stored.body, {"ETag": stored.etag}, content_type=BYTES
        )

    def _put(self, call: Call) -> HttpAnswer | None:
        key = call.values["key"]
        before = self.objects.get(key)
        if not _holds(call.request, before):
            return _failed()
        body = call.request.body
        stored = StoredObject(body, _etag(body))
        self.objects[key] = stored
        status = HTTPStatus.CREATED if before is None else HTTPStatus.OK
        answer = HttpAnswer(status, headers={"ETag": stored.etag})
        return self._written(call, "put", stored.etag, answer)

    def _delete(self, call: Call) -> HttpAnswer | None:
        key = call.values["key"]
        before = self.objects.get(key)
        if before is None:
            return _missing()
        if not _holds(call.request, before):
            return _failed()
        del self.objects[key]
        answer = HttpAnswer(HTTPStatus.NO_CONTENT)
        return self._written(call, "deleted", before.etag, answer)

    def _written(
        self, call: Call, event: str, etag: str, answer: HttpAnswer
    ) -> HttpAnswer | None:
        is_answered = not self.loses_answer()
        self.journal.add(
            ObjectEntry(
                event=event,
                key=call.values["key"],
                etag=etag,
                instance=call.request.instance,
                answered=is_answered,
                at_s=self.journal.at_s(),
            )
        )
        if is_answered:
            return answer
        call.exchange.reset()
        return None


def _etag(body: bytes) -> str:
    return f'"{blake2b(body, digest_size=ETAG_BYTES).hexdigest()}"'


def _holds(request: HttpRequest, stored: StoredObject | None) -> bool:
    """Check `If-None-Match: *` and `If-Match` against what is stored."""
    if request.headers.get("if-none-match") == ANY and stored is not None:
        return False
    wanted = request.headers.get("if-match")
    if wanted is None:
        return True
    if stored is None:
        return False
    return wanted in (ANY, stored.etag)


def _missing() -> HttpAnswer:
    return error_answer(HTTPStatus.NOT_FOUND, "no such object")


def _failed() -> HttpAnswer:
    return error_answer(HTTPStatus.PRECONDITION_FAILED, "the condition fails")
