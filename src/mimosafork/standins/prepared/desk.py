"""A plain service's endpoint: slots, a queue, safe and unsafe calls."""

from http import HTTPStatus

from .endpoint import Endpoint
from .http import Answer, Header
from .job import Job
from .runs import RunEnd, digest_of

TEXT = Header("Content-Type", "text/plain")


class Desk(Endpoint):
    """Answers each call with a body that names the call.

    A share of errors is a script entry: `Scripted(OwnError(), None, every=10)`.
    """

    async def work(self, job: Job) -> RunEnd:
        """Work for a while and answer with `expected_body`."""
        broken_off = await job.until(self.gate.passed())
        if broken_off is None:
            settings = self.settings
            broken_off = await job.pause(settings.work.total_seconds() / settings.speed)
        if broken_off is RunEnd.EXPIRED:
            job.whole(Answer(HTTPStatus.GATEWAY_TIMEOUT))
        if broken_off is not None:
            return broken_off
        request = job.request
        body = expected_body(request.method, request.target, bytes(request.body))
        job.whole(Answer(HTTPStatus.OK, body, (TEXT,)))
        return RunEnd.DONE


def expected_body(method: str, target: str, body: bytes) -> bytes:
    """Return what a desk answers to a call, whichever desk it is."""
    return f"{method} {target} {digest_of(body)}\n".encode()
