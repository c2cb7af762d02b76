"""One request at an endpoint, from its arrival to its answer."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .faults import ExtraAnswer, Fault, Shed
from .http import Answer, Connection, Header, Request, whichever
from .runs import Run, RunEnd, Visit
from .sending import CLOSE, Sending, send_again
from .words import DEADLINE_MS, REQUEST_ID, SEAL, SERVER_LEAVING, SERVER_LIMIT

if TYPE_CHECKING:
    from .endpoint import Endpoint

SEAL_DIGITS = 12


@dataclass(slots=True)
class Job:
    """One request at an endpoint, from its arrival to its answer."""

    endpoint: "Endpoint"
    request: Request
    connection: Connection
    fault: Fault | None
    run: Run | None = None
    arrived_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Note when it arrived."""
        self.arrived_s = self.endpoint.now_s()

    def left_s(self) -> float | None:
        """Return the seconds left to its deadline; None without one."""
        stated = self.request.header(DEADLINE_MS)
        if not stated:
            return None
        end_s = self.arrived_s + float(stated) / 1000.0
        return max(0.0, end_s - self.endpoint.now_s())

    def sending(self, more: tuple[Header, ...] = ()) -> Sending:
        """Begin the answer of its run, with the proof."""
        assert self.run is not None
        endpoint, settings = self.endpoint, self.endpoint.settings
        endpoint.answers += 1
        every = settings.close_every
        closing = endpoint.draining or bool(every and endpoint.answers % every == 0)
        headers = [
            Header(REQUEST_ID, self.run.request_id),
            Header(SEAL, seal_of(self.run)),
            *more,
            *self.statement_headers(),
        ]
        if settings.keep_alive_s is not None:
            headers.append(Header("Keep-Alive", f"timeout={settings.keep_alive_s}"))
        return Sending(self.connection, self.fault, tuple(headers), closing)

    def statement_headers(self) -> list[Header]:
        """Return the headers with what the endpoint states about itself."""
        endpoint, headers = self.endpoint, []
        if endpoint.stated_limit is not None:
            headers.append(Header(SERVER_LIMIT, endpoint.stated_limit))
        if endpoint.draining:
            headers.append(Header(SERVER_LEAVING, "1"))
        return headers

    def whole(self, answer: Answer) -> None:
        """Write the whole answer of its run."""
        self.sending().whole(answer)

    def refuse(self, answer: Answer) -> None:
        """Write an answer that says that it has not run."""
        self.visited(answer.status)
        echo = Header(REQUEST_ID, self.request.header(REQUEST_ID))
        headers = [*answer.headers, echo, *self.statement_headers()]
        if self.endpoint.draining:
            headers.append(CLOSE)
        wire = Answer(answer.status, answer.body, tuple(headers))
        self.connection.write(wire.encode())
        if isinstance(self.fault, Shed) and self.fault.late_copy:
            self.connection.late_answer = wire.encode()
        elif isinstance(self.fault, ExtraAnswer):
            send_again(self.connection, wire.encode(), self.fault)
        if self.endpoint.draining:
            self.connection.close()

    def visited(self, status: int | None) -> None:
        """Record its arrival and what became of it."""
        if self.request.path != self.endpoint.settings.health_path:
            request_id = self.request.header(REQUEST_ID)
            service = self.endpoint.settings.service
            self.endpoint.log.visit(
                Visit(
                    self.endpoint.id,
                    service,
                    request_id,
                    status,
                    self.endpoint.settings.zone,
                )
            )

    async def pause(self, pause_s: float) -> RunEnd | None:
        """Work for some seconds; return what broke it off, if anything did."""
        return await self.until(asyncio.sleep(pause_s))

    async def until(self, wait: Coroutine[Any, Any, object]) -> RunEnd | None:
        """Wait for a step of the work; return what broke it off, if anything did."""
        done = await whichever(
            wait, self.connection.gone.wait(), timeout_s=self.left_s()
        )
        if self.connection.gone.is_set():
            return RunEnd.CANCELLED
        return None if done else RunEnd.EXPIRED


def seal_of(run: Run) -> str:
    """Return the proof that an answer belongs to a run."""
    return f"{run.instance}.{run.number}.{run.body_digest[:SEAL_DIGITS]}"
