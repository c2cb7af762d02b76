"""`mimosafork standin ...`: run a stand-in for an outside system by hand.

Each command prints `ready IP:PORT` once it listens and stops on SIGTERM, SIGINT or
SIGHUP.
"""

import threading
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from logging import getLogger

import typer

from ..clock import SystemClock
from ..runtime.signals import SignalThread, StopRequest
from ..standins import (
    EngineSettings,
    EngineStandin,
    FencingMode,
    InstanceListStandin,
    ModelSpec,
    ObjectStandin,
    ServiceSettings,
    ServiceStandin,
    Standin,
    TableLimits,
    TableStandin,
)
from ..standins.base import FREE_ADDRESS
from ..standins.errors import StandinError
from ..standins.instances import InstanceKind, InstanceState, ListedInstance
from ..standins.registration import Registrar

logger = getLogger(__name__)

LIST_INTERVAL_S = 0.2

app = typer.Typer(
    help="Run a stand-in for an outside system, for trials and tests.",
    no_args_is_help=True,
)

LIST = typer.Option("", help="IP:PORT of an instance list to be entered into.")
ZONE = typer.Option("az-1", help="Availability zone for the instance list.")
ADDRESS = typer.Option(FREE_ADDRESS, help="IP:PORT to listen at; port 0 is any.")
DEFAULTS = EngineSettings()


@dataclass(frozen=True, slots=True)
class Listing:
    """What an instance list is to say of a stand-in."""

    list_address: str
    endpoint: str
    kind: InstanceKind
    availability_zone: str
    service: str | None = None

    def entry(self, address: str, incarnation: int) -> ListedInstance:
        """Return the entry of one incarnation."""
        return ListedInstance(
            id=self.endpoint,
            kind=self.kind,
            address=address,
            availability_zone=self.availability_zone,
            incarnation=incarnation,
            state=InstanceState.LIVE,
            service=self.service,
        )


@app.command()
def engine(
    address: str = ADDRESS,
    endpoint: str = typer.Option(DEFAULTS.endpoint, help="Id of the endpoint."),
    model: list[str] = typer.Option(["demo"], help="NAME or NAME:VERSION; repeatable."),
    role: str = typer.Option(DEFAULTS.role, help="mixed, prefill or decode."),
    kv_capacity: int = typer.Option(DEFAULTS.kv_capacity, help="KV memory in tokens."),
    prefill_speed: float = typer.Option(
        DEFAULTS.prefill_tokens_per_s, help="Prefill speed in tokens a second."
    ),
    token_interval_ms: float = typer.Option(67.0, help="Time between two tokens."),
    batch_slots: int = typer.Option(DEFAULTS.batch_slots, help="Streams at once."),
    report_lag_s: float = typer.Option(0.4, help="Age of load reports."),
    cache_event_lag_s: float = typer.Option(1.0, help="Delay of cache events."),
    cache_event_gap_every: int = typer.Option(0, help="Lose every so many events."),
    retention_s: float = typer.Option(30.0, help="How long ended streams are kept."),
    load_s: float = typer.Option(2.0, help="Time to load a model or adapter."),
    fencing: FencingMode = typer.Option(
        DEFAULTS.fencing, help="What is done with fencing numbers."
    ),
    instance_list: str = LIST,
    availability_zone: str = ZONE,
) -> None:
    """Run a model engine.

    Example: mimosafork standin engine --endpoint e1 --model demo:1
    """
    settings = EngineSettings(
        endpoint=endpoint,
        models=tuple(read_model(name) for name in model),
        role=role,
        kv_capacity=kv_capacity,
        prefill_tokens_per_s=prefill_speed,
        token_interval=timedelta(milliseconds=token_interval_ms),
        batch_slots=batch_slots,
        report_lag=timedelta(seconds=report_lag_s),
        cache_event_lag=timedelta(seconds=cache_event_lag_s),
        cache_event_gap_every=cache_event_gap_every,
        retention=timedelta(seconds=retention_s),
        load_time=timedelta(seconds=load_s),
        fencing=fencing,
    )
    standin = EngineStandin(settings, SystemClock())
    listing = Listing(
        instance_list, endpoint, InstanceKind.MODEL_ENGINE, availability_zone
    )
    run(standin, address, listing)


@app.command()
def service(
    address: str = ADDRESS,
    endpoint: str = typer.Option("service-1", help="Id of the endpoint."),
    name: str = typer.Option("filings", help="Name of the service."),
    work_s: float = typer.Option(0.0, help="Seconds that a call takes."),
    instance_list: str = LIST,
    availability_zone: str = ZONE,
) -> None:
    """Run a plain service that answers any path.

    Example: mimosafork standin service --name filings --work-s 0.05
    """
    settings = ServiceSettings(endpoint, name, work_s)
    standin = ServiceStandin(settings, SystemClock())
    listing = Listing(
        instance_list, endpoint, InstanceKind.PLAIN_SERVICE, availability_zone, name
    )
    run(standin, address, listing)


@app.command()
def table(
    address: str = ADDRESS,
    transactions_per_s: float = typer.Option(0.0, help="Limit; 0 is none."),
    reads_per_s: float = typer.Option(0.0, help="Limit; 0 is none."),
) -> None:
    """Run a transactional table service.

    Example: mimosafork standin table --address 127.0.0.1:7001
    """
    limits = TableLimits(transactions_per_s, reads_per_s)
    run(TableStandin(SystemClock(), limits), address)


@app.command()
def objects(address: str = ADDRESS) -> None:
    """Run an object store.

    Example: mimosafork standin objects --address 127.0.0.1:7002
    """
    run(ObjectStandin(SystemClock()), address)


@app.command()
def instances(
    address: str = ADDRESS,
    lag_s: float = typer.Option(1.0, help="Age of what the list shows."),
) -> None:
    """Run a list of live and leaving instances.

    Example: mimosafork standin instances --lag-s 2
    """
    run(InstanceListStandin(SystemClock(), lag_s), address)


def read_model(name: str) -> ModelSpec:
    """Read `NAME` or `NAME:VERSION`."""
    model, _, version = name.partition(":")
    return ModelSpec(model, version or "1")


def run(standin: Standin, address: str, listing: Listing | None = None) -> None:
    """Serve until a stop signal, entered into an instance list if wanted."""
    request = StopRequest()
    with SignalThread(request.receive):
        ready_address = standin.start(address)
        try:
            if listing is not None and listing.list_address:
                keep_listed(standin, ready_address, listing, request.stopping)
            else:
                typer.echo(f"ready {ready_address}")
                request.stopping.wait()
        finally:
            standin.stop()


def keep_listed(
    standin: Standin, address: str, listing: Listing, stopping: threading.Event
) -> None:
    """Keep the list's entry at the stand-in's incarnation until it stops."""
    registrar = Registrar(listing.list_address)
    listed = standin.incarnation
    registrar.put(listing.entry(address, listed))
    typer.echo(f"ready {address}")
    while not stopping.wait(LIST_INTERVAL_S):
        if standin.incarnation == listed:
            continue
        try:
            registrar.put(listing.entry(address, standin.incarnation))
            listed = standin.incarnation
        except StandinError as error:
            # The list may be down on purpose; the next round tries again.
            logger.warning("%s", error)
    with suppress(StandinError):
        registrar.remove(listing.endpoint)
