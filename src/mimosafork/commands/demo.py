"""``mimosafork demo``: the whole path in one process, with stand-ins."""

import sys
import threading
from contextlib import ExitStack
from datetime import timedelta
from hashlib import sha256
from typing import Annotated

import typer

from ..clock import SystemClock
from ..configuration.store import NO_REVISION
from ..ids import InstanceId
from ..manifest.convert import configuration_of
from ..manifest.parser import parse_manifest
from ..network.http import HttpClient
from ..runtime.fleet_page import fleet_body
from ..runtime.instance import EntryInstance
from ..runtime.signals import SignalThread, StopRequest
from ..settings.loader import parse_settings
from ..standins import (
    EngineSettings,
    EngineStandin,
    InstanceListStandin,
    ObjectStandin,
    ServiceSettings,
    ServiceStandin,
    Standin,
    TableStandin,
)
from ..standins.instances import InstanceKind, InstanceState, ListedInstance
from ..telemetry.logs import Logging, LogOptions

app = typer.Typer(add_completion=False)

DEMO_KEY = "demo-key"
ZONE = "demo-zone"
SERVICE = "filings"
READY_TIMEOUT = timedelta(seconds=10)
POLL = timedelta(milliseconds=20)

SETTINGS = """
[instance]
id = demo-entry
availability_zone = demo-zone
region = demo

[front]
address = {address}
balancer_lag = 0s

[operations]
address = {operations}

[peers]
address = 127.0.0.1:0
probe_period = 200ms

[platform]
table = {table}
objects = {objects}
instances = {instances}
instances_period = 200ms
"""

MANIFEST = """
[manifest]
format = 1

[fleet]
long_prompt_tokens = 32768
long_share = 0.5
default_deadline = 2min
longest_deadline = 1h
retry_budget = 0.1
ejected_share = 0.3
max_attempts = 3

[model demo]
version = 1
max_prompt_tokens = 1000000
max_output_tokens = 4000
adapters =

[service filings]
timeout = 10s
non_repeatable = POST /drafts

[account demo]
key_hashes = {key_hash}
tokens_per_second = 100000
burst_tokens = 10000000
weight = 1
models =
"""

GREETING = """
Two model engines, a plain service, a table service, an object store and an
instance list run in this process beside one entry instance.

  callers      http://{front}    (API key: {key})
  operations   http://{ops}    /healthz /readyz /metrics /fleet
  engines      {engines}
  service      {service}
  table        {table}
  objects      {objects}
  instances    {instances}

Paste this into another terminal:

  curl -N http://{front}/v1/chat/completions \\
    -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
    -d '{{"model": "demo", "stream": true, "max_tokens": 20,
         "messages": [{{"role": "user", "content": "Read this letter."}}]}}'

ready {front} {ops}"""


class DemoPlatform:
    """The stand-ins of the demonstration."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.table = TableStandin(clock)
        self.objects = ObjectStandin(clock)
        self.instances = InstanceListStandin(clock, 0.1)
        names = ("engine-1", "engine-2")
        self.engines = [EngineStandin(EngineSettings(name), clock) for name in names]
        self.service = ServiceStandin(ServiceSettings("service-1", SERVICE), clock)

    def all(self) -> list[Standin]:
        """Return every stand-in."""
        platform = [self.table, self.objects, self.instances]
        return [*platform, *self.engines, self.service]

    def listed(self) -> list[ListedInstance]:
        """Return the endpoints as they stand in the instance list."""
        engines = [
            _listed(engine.settings.endpoint, InstanceKind.MODEL_ENGINE, engine.address)
            for engine in self.engines
        ]
        name = self.service.settings.endpoint
        address = self.service.address
        service = _listed(name, InstanceKind.PLAIN_SERVICE, address, SERVICE)
        return [*engines, service]


def _listed(
    name: str, kind: InstanceKind, address: str, service: str | None = None
) -> ListedInstance:
    return ListedInstance(
        id=name,
        kind=kind,
        address=address,
        availability_zone=ZONE,
        incarnation=1,
        state=InstanceState.LIVE,
        service=service,
    )


@app.command()
def demo(
    address: Annotated[
        str, typer.Option(help="IP:PORT for callers; port 0 is any")
    ] = "127.0.0.1:8080",
    operations: Annotated[
        str, typer.Option(help="IP:PORT for operators; port 0 is any")
    ] = "127.0.0.1:8081",
) -> None:
    """Run the whole path in one process, for a first look.

    Example: mimosafork demo --address 127.0.0.1:0
    """
    request = StopRequest()
    with ExitStack() as stack:
        stack.enter_context(SignalThread(request.receive))
        stack.enter_context(Logging(LogOptions(level="WARNING"), sys.stderr))
        platform = DemoPlatform()
        for standin in platform.all():
            standin.start()
            stack.callback(standin.stop)
        list_endpoints(platform)
        instance = make_instance(platform, address, operations)
        instance.start()
        stack.callback(instance.stop)
        wait_for_reports(instance, len(platform.listed()), request.stopping)
        typer.echo(greeting(platform, instance))
        request.stopping.wait()


def make_instance(
    platform: DemoPlatform, address: str, operations: str
) -> EntryInstance:
    """Return the entry instance, not yet started."""
    settings = SETTINGS.format(
        address=address,
        operations=operations,
        table=platform.table.address,
        objects=platform.objects.address,
        instances=platform.instances.address,
    )
    key_hash = sha256(DEMO_KEY.encode()).hexdigest()
    manifest = parse_manifest(MANIFEST.format(key_hash=key_hash))
    configuration = configuration_of(manifest, NO_REVISION)
    return EntryInstance(parse_settings(settings, "demo"), configuration)


def list_endpoints(platform: DemoPlatform) -> None:
    """Enter the endpoints in the instance list."""
    http = HttpClient(InstanceId("demo"))
    for entry in platform.listed():
        path = f"/v1/instances/{entry.id}"
        http.call("PUT", platform.instances.address, path, entry)


def wait_for_reports(
    instance: EntryInstance, endpoints: int, stopping: threading.Event
) -> None:
    """Wait until the instance has heard from its endpoints, or was stopped."""
    for _ in range(READY_TIMEOUT // POLL):
        fleet = instance.kernel_task.inspect(fleet_body)
        if sum(each.reported for each in fleet.endpoints) >= endpoints:
            return
        if stopping.wait(POLL.total_seconds()):
            return


def greeting(platform: DemoPlatform, instance: EntryInstance) -> str:
    """Return what a reader sees when all is ready."""
    return GREETING.format(
        front=instance.front.address,
        ops=instance.ops.address,
        key=DEMO_KEY,
        engines=" ".join(engine.address for engine in platform.engines),
        service=platform.service.address,
        table=platform.table.address,
        objects=platform.objects.address,
        instances=platform.instances.address,
    )
