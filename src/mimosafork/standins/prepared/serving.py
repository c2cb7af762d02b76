"""What becomes of a request at an endpoint: refused, queued, run or met by a fault."""

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from .admission import Place
from .faults import (
    REQUEST_ID_MARK,
    CrashOnRun,
    EarlyAnswer,
    Fault,
    Flood,
    Hang,
    Mute,
    OwnError,
    Shed,
    Slow,
)
from .http import Answer, Connection, Request, whichever
from .job import Job
from .refusals import misdirected, not_run, shed_answer
from .runs import RunEnd, digest_of
from .words import EXPECT_INSTANCE, PRIORITY, REQUEST_ID

if TYPE_CHECKING:
    from .endpoint import Endpoint

USUAL_PRIORITY = 5


class Serving:
    """Takes an endpoint's requests to their answers, all in the loop's thread.

    Parameters
    ----------
    endpoint : Endpoint
        Whose lives, slots, script and work they meet.
    """

    def __init__(self, endpoint: "Endpoint") -> None:
        self.endpoint = endpoint

    async def serve(self, request: Request, connection: Connection) -> None:
        """Answer a request whose headers have arrived."""
        endpoint = self.endpoint
        fault = self._fault_of(request)
        if isinstance(fault, Mute):
            await connection.gone.wait()
            return
        early = isinstance(fault, EarlyAnswer)
        if not early and not await connection.body_arrived(request):
            return
        answer = endpoint.own_call(request)
        if answer is not None and endpoint.order_flood is not None:
            await self.flood(endpoint.order_flood, request, connection)
            return
        if answer is not None:
            connection.write(answer.encode())
            if endpoint.repeats_order_answers:
                connection.late_answer = answer.encode()
            return
        job = Job(endpoint, request, connection, fault)
        if isinstance(fault, Shed):
            job.refuse(shed_answer(fault))
            return
        if isinstance(fault, Flood) and not fault.after_answer:
            job.visited(None)
            await self.flood(fault, request, connection)
            return
        await self._admit(job)
        if isinstance(fault, Flood):
            await self.flood(fault, request, connection)

    async def flood(
        self, fault: Flood, request: Request, connection: Connection
    ) -> None:
        """Send bytes that are no answer until the caller closes."""
        self.endpoint.floods_begun += 1
        await asyncio.sleep(fault.delay.total_seconds())
        request_id = request.header(REQUEST_ID).encode()
        start = fault.start.replace(REQUEST_ID_MARK, request_id)
        pause_s = fault.pause.total_seconds()
        end = await connection.flood(start, fault.piece, pause_s)
        self.endpoint.floods.append(end)

    def _fault_of(self, request: Request) -> Fault | None:
        health_path = self.endpoint.settings.health_path
        if request.path.startswith("/-/") or request.path == health_path:
            return None
        return self.endpoint.script.take(request, request.header(REQUEST_ID))

    async def _admit(self, job: Job) -> None:
        answer = self._common_refusal(job.request)
        if answer is not None:
            job.refuse(answer)
            return
        priority = int(job.request.header(PRIORITY, str(USUAL_PRIORITY)))
        # That of this life: the place is left where it was taken.
        admission = self.endpoint.admission
        place = admission.offer(priority, self.endpoint.cost_of(job.request))
        if place is None:
            job.refuse(not_run(HTTPStatus.SERVICE_UNAVAILABLE, self.endpoint.id))
            return
        try:
            await self._run_when_admitted(job, place)
        finally:
            admission.leave(place)

    async def _run_when_admitted(self, job: Job, place: Place) -> None:
        waits = (place.admitted.wait(), job.connection.gone.wait())
        await whichever(*waits, timeout_s=job.left_s())
        if job.connection.gone.is_set():
            job.visited(None)
        elif not place.admitted.is_set():
            job.refuse(not_run(HTTPStatus.SERVICE_UNAVAILABLE, self.endpoint.id))
        elif job.request.path == self.endpoint.settings.health_path:
            job.connection.write(self.endpoint.health().encode())
        else:
            await self._run(job)

    async def _run(self, job: Job) -> None:
        endpoint = self.endpoint
        answer = endpoint.refusal(job.request)
        if answer is not None:
            job.refuse(answer)
            return
        job.visited(None)
        service, now_s = endpoint.settings.service, endpoint.now_s()
        job.run = endpoint.log.begin(job.request, endpoint.id, service, now_s)
        end = RunEnd.CUT
        try:
            end = await self._work(job)
        finally:
            endpoint.log.finish(job.run, end, endpoint.now_s())

    async def _work(self, job: Job) -> RunEnd:
        match job.fault:
            case CrashOnRun(down=down):
                self.endpoint.fall(down)
                return RunEnd.CRASHED
            case Hang():
                await job.connection.gone.wait()
                return RunEnd.CANCELLED
            case OwnError(status=status):
                job.whole(Answer(status, b"own failure"))
                return RunEnd.DONE
            case EarlyAnswer(later=later):
                return await self._answer_early(job, later)
            case Slow(delay=delay):
                interrupted = await job.pause(delay.total_seconds())
                if interrupted is not None:
                    return interrupted
        return await self.endpoint.work(job)

    async def _answer_early(self, job: Job, later: timedelta) -> RunEnd:
        assert job.run is not None
        job.connection.transport.pause_reading()
        job.whole(Answer(HTTPStatus.OK, early_body(job.request)))
        await asyncio.sleep(later.total_seconds())
        if job.connection.transport.is_closing():
            return RunEnd.DONE
        job.connection.transport.resume_reading()
        await job.connection.body_arrived(job.request)
        job.run.body_digest = digest_of(bytes(job.request.body))
        return RunEnd.DONE

    def _common_refusal(self, request: Request) -> Answer | None:
        if request.path == self.endpoint.settings.health_path:
            return None
        if not request.header(REQUEST_ID):
            return not_run(HTTPStatus.BAD_REQUEST, self.endpoint.id)
        if request.header(EXPECT_INSTANCE, self.endpoint.id) != self.endpoint.id:
            return misdirected(self.endpoint.id)
        return None


def early_body(request: Request) -> bytes:
    """Return the body of an answer that does not wait for the request's."""
    return f"early {request.header(REQUEST_ID)}".encode()
