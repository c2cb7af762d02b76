"""``mimosafork serve``: run an entry instance."""

import sys
from logging import getLogger
from pathlib import Path
from typing import Annotated

import typer

from .. import __version__
from ..cli.exits import CommandError, ExitCode
from ..configuration.store import NO_REVISION
from ..kernel.configuration import Configuration
from ..manifest.convert import configuration_of
from ..manifest.parser import load_manifest
from ..runtime.instance import EntryInstance
from ..runtime.shutdown import GracefulShutdown, ShutdownResult
from ..runtime.signals import SignalThread, StopRequest
from ..settings.loader import load_settings
from ..settings.model import InstanceSettings
from ..telemetry.catalogue.lifecycle import (
    INSTANCE_LISTENING,
    INSTANCE_STARTING,
    LOG_DROPS,
)
from ..telemetry.logs import LogFormat, Logging, LogOptions, log_event
from ..telemetry.metrics import Reading

logger = getLogger(__name__)

app = typer.Typer(add_completion=False)


@app.command()
def serve(
    settings: Annotated[
        Path, typer.Option(help="INI file with this instance's settings")
    ],
    manifest: Annotated[
        Path | None,
        typer.Option(help="manifest in force until the table service has one"),
    ] = None,
) -> None:
    """Run an entry instance until SIGTERM, then let its streams end.

    A second SIGTERM ends what is left: each caller is told what is known of its
    request, and the exit code is 1 if one was cut.

    Example: mimosafork serve --settings examples/instance.ini
    """
    checked = load_settings(settings)
    instance = EntryInstance(checked, first_configuration(manifest))
    request = StopRequest()
    with SignalThread(request.receive):
        result = run(instance, checked, request)
    if result.cut:
        detail = f"{result.cut} requests were ended before their answer was whole"
        raise CommandError(ExitCode.FAILED, detail)


def run(
    instance: EntryInstance, settings: InstanceSettings, request: StopRequest
) -> ShutdownResult:
    """Run an instance until it is asked to stop, and stop it."""
    options = LogOptions(settings.logging.level, LogFormat(settings.logging.format))
    with Logging(options, sys.stderr) as log:
        instance.metrics.observe(LOG_DROPS, lambda: [Reading(log.handler.dropped)])
        announce_start(instance)
        instance.start()
        log_event(logger, INSTANCE_LISTENING, address=instance.front.address)
        typer.echo(f"ready {instance.front.address} {instance.ops.address}")
        request.stopping.wait()
        return GracefulShutdown(instance, request.hurry).run()


def announce_start(instance: EntryInstance) -> None:
    """Log who starts."""
    identity = instance.identity
    log_event(
        logger,
        INSTANCE_STARTING,
        instance=identity.instance,
        incarnation=identity.incarnation,
        zone=identity.availability_zone,
        version=__version__,
    )


def first_configuration(manifest: Path | None) -> Configuration | None:
    """Return the configuration that a manifest file means.

    It has no revision: any accepted one is newer, also the first.
    """
    if manifest is None:
        return None
    return configuration_of(load_manifest(manifest), NO_REVISION)
