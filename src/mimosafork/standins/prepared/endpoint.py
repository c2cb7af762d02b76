"""What engines and desks share: lives, slots, health and what a test sets."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from secrets import token_hex

from .admission import Admission
from .background import LoopThread
from .endpoint_settings import EndpointSettings
from .faults import Fault, Flood, Script, Scripted
from .http import Answer, Connection, FloodEnd, Header, Listener, Request
from .job import Job
from .pace import Gate
from .runs import RunEnd, RunLog
from .serving import Serving
from .words import COLD_MS, INSTANCE_ID

ID_BYTES = 4


class Endpoint:
    """One address at which lives of an endpoint follow each other.

    Public methods may be called from any thread. The rest belongs to the loop.

    Parameters
    ----------
    log : RunLog
        Shared by a deployment; outlives crashes, as it belongs to the test.
    """

    def __init__(
        self, thread: LoopThread, settings: EndpointSettings, log: RunLog
    ) -> None:
        self.thread = thread
        self.settings = settings
        self.log = log
        self.script = Script()
        self.gate = Gate()
        self.id = new_id()
        self.proxy_address: str | None = None
        self.alive = False
        self.ended = asyncio.Event()
        self.revival: asyncio.Task[None] | None = None
        self.draining = False
        self.healthy = True
        self.stated_limit: str | None = None
        self.cold_until_s = 0.0
        self.repeats_order_answers = False
        self.order_flood: Flood | None = None
        self.floods_begun = 0
        self.floods: list[FloodEnd] = []
        self.answers = 0
        self.on_life: Callable[[Endpoint], None] = ignore_life
        self.admission = self.new_admission()
        self.listener = Listener(Serving(self).serve)

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:PORT``, in all its lives."""
        return self.listener.address

    @property
    def listed_address(self) -> str:
        """Where callers are sent: that of a proxy, if there is one before it."""
        return self.proxy_address or self.address

    def start(self) -> None:
        """Begin the first life, or the next one after `stop` or `crash`."""
        self.thread.run(self.live())

    def stop(self) -> None:
        """End this life: channels are reset and work is lost."""
        self.thread.call(self.die)

    def leave(self) -> None:
        """End this life for good, and leave the port to others."""
        self.stop()
        self.thread.call(self.listener.release)

    def crash(self, down: timedelta | None = None) -> None:
        """Crash; back with a new id after `down`, or at `start` if None."""
        self.thread.call(lambda: self.fall(down))

    def drain(self, draining: bool = True) -> None:
        """Say in health and answers that it is leaving; it serves on."""
        self.thread.call(lambda: setattr(self, "draining", draining))

    def set_healthy(self, healthy: bool) -> None:
        """Let the health path answer 200 or 503."""
        self.thread.call(lambda: setattr(self, "healthy", healthy))

    def state_limit(self, limit: str | None) -> None:
        """State a rate limit in all responses from now on; None ends it."""
        self.thread.call(lambda: setattr(self, "stated_limit", limit))

    def repeat_order_answers(self, repeat: bool = True) -> None:
        """Send each order's answer again, at the place of the next one."""
        self.thread.call(lambda: setattr(self, "repeats_order_answers", repeat))

    def flood_orders(self, fault: Flood | None) -> None:
        """Answer orders with bytes that are no answer, without end."""
        self.thread.call(lambda: setattr(self, "order_flood", fault))

    def flood_connections(self, piece: bytes) -> None:
        """Send bytes without end on each new channel, before any request."""

        def begin(connection: Connection) -> None:
            self.listener.spawn(self._flood(connection, piece))

        self.thread.call(lambda: setattr(self.listener, "on_connection", begin))

    async def _flood(self, connection: Connection, piece: bytes) -> None:
        self.floods_begun += 1
        self.floods.append(await connection.flood(b"", piece))

    def become_cold(self, span: timedelta) -> None:
        """Say in health and rows that it is cold for some time from now on."""
        until_s = self.now_s() + span.total_seconds()
        self.thread.call(lambda: setattr(self, "cold_until_s", until_s))

    def play(self, fault: Fault, times: int | None = 1) -> None:
        """Let the next requests meet a fault; all of them if `times` is None."""
        self.play_scripted(Scripted(fault, times))

    def play_scripted(self, entry: Scripted) -> None:
        """Add an entry to the script."""
        self.thread.call(lambda: self.script.entries.append(entry))

    def end_faults(self) -> None:
        """Empty the script."""
        self.thread.call(self.script.entries.clear)

    def hold(self) -> None:
        """Stop work before its next piece, until `release` or `let_go`."""
        self.thread.call(self.gate.hold)

    def release(self, pieces: int = 1) -> None:
        """Let so many pieces pass, each of any request."""
        self.thread.call(lambda: self.gate.release(pieces))

    def let_go(self) -> None:
        """Let all pieces pass from now on."""
        self.thread.call(self.gate.let_go)

    def silence_connections(self) -> None:
        """Let open channels deliver nothing further; new ones work."""
        self.thread.call(self.listener.silence)

    def cut_off(self, cut_off: bool = True) -> None:
        """Be unreachable without a reset; open channels stay silent for good."""
        self.thread.call(lambda: self.listener.set_cut_off(cut_off))

    @property
    def open_connections(self) -> int:
        """Channels that are open."""
        return self.thread.call(lambda: len(self.listener.connections))

    # From here on in the loop's thread.

    def new_admission(self) -> Admission:
        """Return the empty slots of a new life."""
        return Admission(self.settings.slots, self.settings.queue)

    def cost_of(self, request: Request) -> int:
        """Return the memory that a request takes, in tokens."""
        return 0

    def own_call(self, request: Request) -> Answer | None:
        """Answer a call of the platform's own that needs no slot."""
        return None

    def refusal(self, request: Request) -> Answer | None:
        """Return why a request may not run here, beyond what all endpoints check."""
        return None

    async def work(self, job: Job) -> RunEnd:
        """Run a request and answer it; return how that ended."""
        raise NotImplementedError

    async def live(self) -> None:
        """Begin a life with a new id."""
        if self.alive:
            return
        if self.listener.port:
            self.id = new_id()
        self.draining = False
        self.stated_limit = None
        self.cold_until_s = 0.0
        self.admission = self.new_admission()
        settings = self.settings
        self.listener.max_connections = settings.max_connections
        self.listener.idle_s = (
            None if settings.idle is None else settings.idle.total_seconds()
        )
        await self.listener.open()
        self.ended = asyncio.Event()
        self.alive = True
        self.on_life(self)

    def die(self) -> None:
        """End this life."""
        self.alive = False
        self.ended.set()
        if self.revival is not None:
            self.revival.cancel()
        now_s = self.now_s()
        for run in self.log.at_work():
            if run.instance == self.id:
                self.log.finish(run, RunEnd.CRASHED, now_s)
        self.listener.shut()

    def fall(self, down: timedelta | None) -> None:
        """Crash, and come back after some time if one is given."""
        self.die()
        self.on_life(self)
        if down is not None:
            # Not a task of the listener, whose tasks have just been ended.
            self.revival = asyncio.ensure_future(self._revive(down.total_seconds()))

    async def _revive(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.live()

    def now_s(self) -> float:
        """Return the loop's steady clock, in seconds."""
        return self.thread.loop.time()

    def cold_ms(self) -> int:
        """Return how long it is still cold, in milliseconds."""
        return max(0, round((self.cold_until_s - self.now_s()) * 1000))

    def health(self) -> Answer:
        """Answer the health path."""
        good = self.healthy and not self.draining
        status = HTTPStatus.OK if good else HTTPStatus.SERVICE_UNAVAILABLE
        cold = Header(COLD_MS, str(self.cold_ms()))
        return Answer(status, b"", (Header(INSTANCE_ID, self.id), cold))


def new_id() -> str:
    """Return the id of a new life."""
    return f"i-{token_hex(ID_BYTES)}"


def ignore_life(endpoint: Endpoint) -> None:
    """Nobody wants to hear that a life began or ended."""
