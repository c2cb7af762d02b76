"""A whole prepared platform on loopback: a store, endpoints and an operator."""

from types import TracebackType

from .background import LoopThread
from .desk import Desk
from .documents import ConfigEntry, beat_document
from .endpoint import Endpoint, EndpointSettings
from .engine import Engine, EngineFigures
from .runs import RunLog
from .store import DEFAULT_ROW_BYTES, Store
from .words import KEY_CONFIG, TABLE_OPERATOR, TABLE_SERVERS

FIRST_VERSION = 1
VERSION_STEP = 3


class Deployment:
    """Starts everything on entering, and leaves nothing behind.

    Parameters
    ----------
    config : ConfigEntry or None
        The first configuration; None for a deployment that has none yet.

    Attributes
    ----------
    log : RunLog
        What ran at all endpoints.
    """

    def __init__(
        self, config: ConfigEntry | None = None, row_bytes: int = DEFAULT_ROW_BYTES
    ) -> None:
        self.thread = LoopThread()
        self.store = Store(self.thread, row_bytes)
        self.log = RunLog()
        self.config = config
        self.version = 0
        self.endpoints: list[Endpoint] = []
        self.neighbours: dict[str, Engine] = {}
        self.beats: dict[str, int] = {}
        self.listed: dict[int, str] = {}

    def __enter__(self) -> "Deployment":
        self.thread.start()
        try:
            self.store.start()
            if self.config is not None:
                self.configure(self.config)
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
                endpoint.stop()
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

    def add_engine(
        self, settings: EndpointSettings, figures: EngineFigures | None = None
    ) -> Engine:
        """Start an engine and list it as ready."""
        engine = Engine(self.thread, settings, self.log, figures, self.neighbours)
        self._add(engine)
        self.neighbours[engine.address] = engine
        return engine

    def add_desk(self, settings: EndpointSettings) -> Desk:
        """Start a plain endpoint and list it as ready."""
        desk = Desk(self.thread, settings, self.log)
        self._add(desk)
        return desk

    def beat(self, endpoint: Endpoint) -> None:
        """Write an endpoint's row with the next `seq`."""
        self.thread.call(lambda: self._beat(endpoint))

    def drain(self, endpoint: Endpoint, reported: bool = True) -> None:
        """Let an endpoint leave; it reports that, or its row is just removed."""
        endpoint.drain()
        if reported:
            self.beat(endpoint)
        else:
            self.delist(endpoint)

    def delist(self, endpoint: Endpoint) -> None:
        """Remove an endpoint's row; it serves on."""
        self.thread.call(lambda: self._delist(endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        """End an endpoint for good: its row is removed and its port closed."""
        self.delist(endpoint)
        endpoint.stop()

    def _add(self, endpoint: Endpoint) -> None:
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

    def _beat(self, endpoint: Endpoint) -> None:
        self.beats[endpoint.id] = seq = self.beats.get(endpoint.id, 0) + 1
        self.listed[id(endpoint)] = endpoint.id
        document = beat_document(endpoint, seq, endpoint.draining)
        self.store.put(TABLE_SERVERS, endpoint.id, document)

    def _delist(self, endpoint: Endpoint) -> None:
        listed = self.listed.pop(id(endpoint), None)
        if listed is not None:
            self.store.remove(TABLE_SERVERS, listed)
