"""A whole prepared platform on loopback: a store, endpoints and an operator."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import TracebackType

from .background import LoopThread
from .desk import Desk
from .documents import ConfigEntry, beat_document
from .endpoint import Endpoint
from .endpoint_settings import EndpointSettings
from .engine import Engine
from .engine_figures import EngineFigures
from .rows import Rows
from .runs import RunLog
from .store import NO_LIMITS, Store, StoreLimits
from .words import KEY_CONFIG, KEY_EVACUATE, TABLE_OPERATOR, TABLE_SERVERS

FIRST_VERSION = 1
SILENT_BEATS = 3
VERSION_STEP = 3


class Deployment:
    """Starts everything on entering, and leaves nothing behind.

    Parameters
    ----------
    config : ConfigEntry or None
        The first configuration; None for a deployment that has none yet.
    limits : StoreLimits
        What the store takes.
    heartbeat : timedelta or None
        How often listed endpoints beat by themselves; those that are dead are taken
        off after `SILENT_BEATS`. With None a test writes each beat.

    Attributes
    ----------
    log : RunLog
        What ran at all endpoints.
    unowned : set of str
        Rows that a restored copy brought back, of endpoints that are gone; they lapse
        as those of dead endpoints do.
    """

    def __init__(
        self,
        config: ConfigEntry | None = None,
        limits: StoreLimits = NO_LIMITS,
        heartbeat: timedelta | None = None,
    ) -> None:
        self.heartbeat = heartbeat
        self.thread = LoopThread()
        self.store = Store(self.thread, limits)
        self.log = RunLog()
        self.config = config
        self.version = 0
        self.endpoints: list[Endpoint] = []
        self.neighbours: dict[str, Engine] = {}
        self.beats: dict[str, int] = {}
        self.listed: dict[int, str] = {}
        self.unowned: set[str] = set()

    def __enter__(self) -> "Deployment":
        self.thread.start()
        try:
            self.store.start()
            if self.config is not None:
                self.configure(self.config)
            if self.heartbeat is not None:
                self.thread.run(self._begin_beats(self.heartbeat))
        except BaseException:
            self.thread.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            for endpoint in self.endpoints:
                endpoint.on_life = lambda _: None
                endpoint.leave()
            self.store.stop()
        finally:
            self.thread.stop()

    def configure(self, config: ConfigEntry) -> int:
        """Write a configuration with a higher version; return that version."""
        config.check()
        self.version = self.version + VERSION_STEP if self.version else FIRST_VERSION
        document = config.document(self.version)
        self.store.put(TABLE_OPERATOR, KEY_CONFIG, document)
        self.config = config
        return self.version

    def evacuate(self, zone: str) -> None:
        """Write the row that evacuates a zone; it is not written again on a restore."""
        self.store.put(TABLE_OPERATOR, f"{KEY_EVACUATE}{zone}", {})

    def end_evacuation(self, zone: str) -> None:
        """Remove the row that evacuates a zone."""
        self.store.remove(TABLE_OPERATOR, f"{KEY_EVACUATE}{zone}")

    def restore(self, copy: Rows, rewritten: bool = True) -> None:
        """Restore the store from a copy.

        Parameters
        ----------
        rewritten : bool
            Whether the operator and the endpoints write again what they wrote since.
        """
        self.thread.call(lambda: self._restore(copy, rewritten))

    def add_engine(
        self,
        settings: EndpointSettings,
        figures: EngineFigures | None = None,
        port: int = 0,
    ) -> Engine:
        """Start an engine and list it as ready; 0 lets the system pick its port."""
        engine = Engine(self.thread, settings, self.log, figures, self.neighbours)
        self._add(engine, port)
        self.neighbours[engine.address] = engine
        return engine

    def add_desk(self, settings: EndpointSettings, port: int = 0) -> Desk:
        """Start a plain endpoint and list it as ready; 0 picks a port."""
        desk = Desk(self.thread, settings, self.log)
        self._add(desk, port)
        return desk

    def beat(self, endpoint: Endpoint) -> None:
        """Write an endpoint's row with the next `seq`."""
        self.thread.call(lambda: self._beat(endpoint))

    def drain(
        self,
        endpoint: Endpoint,
        reported: bool = True,
        exits_after: timedelta | None = None,
    ) -> None:
        """Let an endpoint leave; it reports that, or its row is just removed.

        With `exits_after` it ends by itself, as by `remove`.
        """
        endpoint.drain()
        if reported:
            self.beat(endpoint)
        else:
            self.delist(endpoint)
        if exits_after is not None:
            self.thread.call(lambda: self._exit_later(endpoint, exits_after))

    def delist(self, endpoint: Endpoint) -> None:
        """Remove an endpoint's row; it serves on."""
        self.thread.call(lambda: self._delist(endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        """End an endpoint for good: its row is removed and its port closed.

        Its address stays free for another endpoint of this deployment alone.
        """
        self.delist(endpoint)
        endpoint.stop()

    def _add(self, endpoint: Endpoint, port: int) -> None:
        endpoint.listener.port = port
        self.endpoints.append(endpoint)
        endpoint.on_life = self._lives
        endpoint.start()

    # From here on in the loop's thread.

    def _lives(self, endpoint: Endpoint) -> None:
        # A crashed endpoint sends nothing: its row stays until the next life, or
        # until the test removes it.
        if endpoint.alive:
            self._delist(endpoint)
            self._beat(endpoint)

    def _restore(self, copy: Rows, rewritten: bool) -> None:
        self.store.restore(copy)
        owned = set(self.listed.values())
        rows = copy.listed(TABLE_SERVERS, "")
        self.unowned = {row.name.key for row in rows} - owned
        if rewritten:
            self.rewrite()

    def rewrite(self) -> None:
        """Write the newest configuration and the rows of all endpoints again."""
        self.thread.call(self._rewrite)

    def _rewrite(self) -> None:
        if self.config is not None:
            document = self.config.document(self.version)
            self.store.put(TABLE_OPERATOR, KEY_CONFIG, document)
        for endpoint in self.endpoints:
            if endpoint.alive and id(endpoint) in self.listed:
                self._beat(endpoint)

    def _exit_later(self, endpoint: Endpoint, delay: timedelta) -> None:
        def leave() -> None:
            self._delist(endpoint)
            endpoint.die()

        self.thread.loop.call_later(delay.total_seconds(), leave)

    async def _begin_beats(self, heartbeat: timedelta) -> None:
        self.beating = asyncio.ensure_future(self._beat_all(heartbeat.total_seconds()))

    async def _beat_all(self, interval_s: float) -> None:
        silent: Counter[str] = Counter()
        while True:
            await asyncio.sleep(interval_s)
            if self.store.faults.down is not None:
                continue
            for endpoint in self.endpoints:
                self._beat_or_expire(endpoint, silent)
            self._expire_unowned(silent)

    def _expire_unowned(self, silent: Counter[str]) -> None:
        for key in list(self.unowned):
            silent[key] += 1
            if silent[key] >= SILENT_BEATS:
                self.unowned.discard(key)
                self.store.remove(TABLE_SERVERS, key)

    def _beat_or_expire(self, endpoint: Endpoint, silent: Counter[str]) -> None:
        if id(endpoint) not in self.listed:
            return
        if endpoint.alive:
            self._beat(endpoint)
            return
        silent[endpoint.id] += 1
        if silent[endpoint.id] >= SILENT_BEATS:
            self._delist(endpoint)

    def _beat(self, endpoint: Endpoint) -> None:
        self.beats[endpoint.id] = seq = self.beats.get(endpoint.id, 0) + 1
        self.listed[id(endpoint)] = endpoint.id
        document = beat_document(endpoint, seq, endpoint.draining)
        self.store.put(TABLE_SERVERS, endpoint.id, document)

    def _delist(self, endpoint: Endpoint) -> None:
        listed = self.listed.pop(id(endpoint), None)
        if listed is not None:
            self.store.remove(TABLE_SERVERS, listed)
