"""A gateway instance in a loop of its own, before the prepared stand-ins."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any, TypeVar

from mimosafork.clock import SystemClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.messages import EndpointState
from mimosafork.directory.settings import DirectorySettings, FollowSettings
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.server import GatewayServer
from mimosafork.gossip.peer_rows import SharedPeerRows
from mimosafork.platform.calls import PreparedDialect
from mimosafork.platform.sources import ConfigurationRows, EndpointRows
from mimosafork.platform.store import PreparedStore
from mimosafork.settings.gateway import (
    GatewaySettings,
    GossipSection,
    parse_gateway_settings,
)
from mimosafork.standins.prepared.background import LoopThread
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.documents import ConfigEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.words import AUTHORIZATION

from .prepared import (
    API_KEY,
    DESKS,
    ENGINES,
    USUAL_CONFIG,
    CallResult,
    Channel,
    ask,
    deployment,
)
from .waiting import eventually

SETTINGS = """\
[instance]
id = {id}
availability_zone = zone-a
region = sierra-norte

[listen]
front = {host}:0
ready = {host}:0

[store]
address = {store}

[gossip]
first_port = 1

[logging]
level = ERROR
"""
BEARER = {AUTHORIZATION: f"Bearer {API_KEY}"}
QUICK = FollowSettings(
    pause=timedelta(milliseconds=5),
    wait=timedelta(milliseconds=500),
    first_retry=timedelta(milliseconds=5),
    last_retry=timedelta(milliseconds=20),
)
FOLLOWING = DirectorySettings(configuration=QUICK, endpoints=QUICK)
"""Changes are seen at once, so that tests need not wait for the usual pauses."""

T = TypeVar("T")


@dataclass
class RunningGateway:
    """One instance; the test's thread reaches its state by `see` only.

    Attributes
    ----------
    faults : list
        What the loop's callbacks raised; a test with any fails.
    """

    thread: LoopThread
    server: GatewayServer
    stores: tuple[PreparedStore, ...]
    faults: list[dict[str, Any]]

    @property
    def gateway(self) -> Gateway:
        """The gateway itself."""
        return self.server.gateway

    @property
    def address(self) -> str:
        """Where callers connect."""
        return self._bound(0)

    @property
    def ready_address(self) -> str:
        """Where the balancer asks."""
        return self._bound(1)

    def _bound(self, index: int) -> str:
        host, port = self.server.listeners[index].sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def call_in_loop(self, look: Callable[[], T]) -> T:
        """Return what a function sees in the loop's thread."""
        return self.thread.call(look)

    def wait_until(self, holds: Callable[[], bool]) -> None:
        """Wait until something holds of the instance's state."""
        eventually(lambda: self.thread.call(holds))

    def wait_until_listed(self, *endpoints: Desk | Engine) -> None:
        """Wait until endpoints are listed here as ready."""

        def known() -> bool:
            entries = self.server.directory.endpoints
            states = {name: entry.state for name, entry in entries.items()}
            wanted = {each.id for each in endpoints}
            ready = {n for n, s in states.items() if s is EndpointState.READY}
            return wanted <= ready and self.server.ready

        self.wait_until(known)

    def ask(
        self, path: str, request_id: str, body: bytes = b"", **headers: str
    ) -> CallResult:
        """Post a request with an id and the usual key."""
        headers.setdefault(AUTHORIZATION, f"Bearer {API_KEY}")
        return ask(self.address, path, request_id, body, **headers)

    def channel(self) -> Channel:
        """Open a caller's connection."""
        return Channel(self.address)

    @property
    def open_calls(self) -> int:
        """Calls that have not been concluded."""
        return self.call_in_loop(lambda: len(self.gateway.calls))

    def check_no_leftovers(self) -> None:
        """Wait until nothing of any call is left; fail if something stays."""
        gateway = self.gateway
        self.wait_until(
            lambda: (
                not (
                    gateway.calls
                    or gateway.attempts
                    or gateway.by_connection
                    or gateway.pool.connecting
                    or gateway.inbox
                    or gateway.kernel.state.requests
                )
            )
        )
        assert not self.faults, self.faults


@dataclass
class World:
    """A prepared platform and one instance before it."""

    platform: Deployment
    running: RunningGateway

    def add_desk(self, settings: EndpointSettings | None = None) -> Desk:
        """Start a plain endpoint that the instance knows."""
        desk = self.platform.add_desk(settings or EndpointSettings(DESKS))
        self.running.wait_until_listed(desk)
        return desk

    def add_engine(
        self,
        figures: EngineFigures | None = None,
        settings: EndpointSettings | None = None,
    ) -> Engine:
        """Start an engine that the instance knows."""
        usual = settings or EndpointSettings(ENGINES)
        engine = self.platform.add_engine(usual, figures)
        self.running.wait_until_listed(engine)
        return engine


def settings_of(
    platform: Deployment, instance: str, host: str = "127.0.0.1"
) -> GatewaySettings:
    """Return settings with ports that the system picks."""
    text = SETTINGS.format(id=instance, host=host, store=platform.store.address)
    checked = parse_gateway_settings(text)
    # A real deployment names the port; 0 has the system pick one.
    picked = GossipSection.model_construct(first_port=0, seeds=())
    return checked.model_copy(update={"gossip": picked})


@contextmanager
def running_gateway(
    platform: Deployment,
    instance: str = "entry-1",
    host: str = "127.0.0.1",
    follows: Deployment | None = None,
) -> Iterator[RunningGateway]:
    """Run an instance; whatever a test does, nothing of a call may stay behind.

    Parameters
    ----------
    platform : Deployment
        Where it finds its peers.
    follows : Deployment or None
        Whose store it follows, if it is another one.
    """
    thread = LoopThread()
    faults: list[dict[str, Any]] = []
    thread.loop.set_exception_handler(lambda _, context: faults.append(context))
    thread.start()
    try:
        settings = settings_of(follows or platform, instance, host)
        running = thread.run(start(thread, settings, platform.store.address))
        running.faults = faults
        try:
            yield running
            running.check_no_leftovers()
        finally:
            thread.run(stop(running))
    finally:
        thread.stop()


async def start(
    thread: LoopThread, settings: GatewaySettings, peers: str
) -> RunningGateway:
    """Wire an instance as its command does, and start it."""
    clock, random = SystemClock(), Random(settings.instance.id)
    store, peer_store = PreparedStore(settings.store.address), PreparedStore(peers)
    directory = Directory(
        ConfigurationRows(store), EndpointRows(store), clock, random, FOLLOWING
    )
    server = GatewayServer(
        settings,
        lambda: settings,
        directory,
        PreparedDialect(),
        SharedPeerRows(peer_store),
        clock,
        random,
    )
    await server.start()
    return RunningGateway(thread, server, (store, peer_store), [])


async def stop(running: RunningGateway) -> None:
    """End an instance at once."""
    server = running.server
    for listener in server.listeners:
        listener.close()
    server.gateway.stop()
    await server.directory.stop()
    if server.gossip_adapter.gossip is not None:
        await server.gossip_adapter.gossip.close()
    for store in running.stores:
        store.close()
    await asyncio.sleep(0)


@contextmanager
def gateway_world(config: ConfigEntry | None = USUAL_CONFIG) -> Iterator[World]:
    """Run a prepared platform without endpoints, and one instance before it."""
    with deployment(config) as platform, running_gateway(platform) as running:
        if config is not None:
            running.wait_until_listed()
        yield World(platform, running)
