"""``mimosafork gateway``: run an entry instance on the prepared platform."""

import asyncio
import sys
import time
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from ..clock import SystemClock
from ..settings.gateway import GatewaySettings, load_gateway_settings
from ..telemetry.last_line import LastLine
from ..telemetry.logs import LogFormat, Logging, LogLimits, LogOptions, formatter
from ..telemetry.writing import DescriptorStream

app = typer.Typer(add_completion=False)

LOG_QUEUE = 2000
"""Lines that wait for a slow reader; each takes about a kilobyte."""

LOG_STOP_TIMEOUT = timedelta(milliseconds=300)
"""The time of a planned stop is for callers, not for a reader that stands still."""


@app.command()
def gateway(
    settings: Annotated[
        Path,
        typer.Option(
            help="INI file with this instance's settings",
            envvar="MIMOSAFORK_NODE_FILE",
        ),
    ],
) -> None:
    """Pass calls on to endpoints until SIGTERM, then let open calls end.

    Example: mimosafork gateway --settings examples/gateway.ini
    """
    checked = load_gateway_settings(settings)
    options = LogOptions(checked.logging.level, LogFormat(checked.logging.format))
    limits = LogLimits(
        LOG_QUEUE,
        checked.logging.lines_a_second,
        checked.logging.burst,
        LOG_STOP_TIMEOUT,
    )
    output = sys.stdout.fileno()
    with (
        LastLine(formatter(options.format), output),
        Logging(options, DescriptorStream(output), limits),
    ):
        asyncio.run(serve(checked, settings))


async def serve(settings: GatewaySettings, path: Path) -> int:
    """Run the instance; return the number of calls that its stop cut.

    Parameters
    ----------
    path : Path
        Read again when the settings change.
    """
    from ..directory.directory import Directory
    from ..gateway.evacuation_delay import check_evacuation_bound
    from ..gateway.server import GatewayServer
    from ..gossip.boot_clock import BootClock
    from ..gossip.peer_rows import SharedPeerRows
    from ..platform.calls import PreparedDialect
    from ..platform.contracts import asks_for_account_shares
    from ..platform.sources import ConfigurationRows, EndpointRows
    from ..platform.store import PreparedStore, StoreTimeouts

    clock = SystemClock()
    random = Random(f"{settings.instance.id}-{time.time_ns()}")
    store = PreparedStore(settings.store.address)
    directory = Directory(
        ConfigurationRows(store),
        EndpointRows(store),
        clock,
        random,
        boot_clock=BootClock(),
    )
    server = GatewayServer(
        settings,
        lambda: load_gateway_settings(path),
        directory,
        PreparedDialect(),
        SharedPeerRows(store),
        clock,
        random,
        account_shares=asks_for_account_shares(settings.scheduling.contracts),
    )
    check_evacuation_bound(
        settings.bounds.evacuation,
        directory.configuration_follower.settings,
        StoreTimeouts().resend_after,
    )
    server.store_counts = store
    server.keep_quarantines(store)
    try:
        return await server.run()
    finally:
        store.close()
