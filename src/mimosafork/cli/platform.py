"""Options and clients of commands that speak to the platform."""

import getpass
from datetime import timedelta
from random import SystemRandom
from typing import Annotated

import typer

from ..clock import SystemClock
from ..ids import InstanceId
from ..network.http import HttpClient
from ..settings.types import split_address
from ..storage.breaker import CircuitBreaker
from ..storage.instances import InstanceListClient
from ..storage.table import TableClient

CLIENT_NAME = InstanceId("command-line")
ANSWER_TIMEOUT = timedelta(seconds=5)
NEVER_OPEN = 1_000_000_000


def checked_address(address: str) -> str:
    """Return an address as ``IP:PORT``; a usage error for any other text."""
    try:
        split_address(address)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    return address


TableOption = Annotated[
    str,
    typer.Option(
        "--table",
        envvar="MIMOSAFORK_TABLE",
        callback=checked_address,
        help="IP:PORT of the platform's table service",
    ),
]
InstancesOption = Annotated[
    str,
    typer.Option(
        "--instances",
        envvar="MIMOSAFORK_INSTANCES",
        callback=checked_address,
        help="IP:PORT of the platform's instance list",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON, for scripts")]


def http_client() -> HttpClient:
    """Return the client that all calls of a command go through."""
    return HttpClient(CLIENT_NAME, answer_timeout=ANSWER_TIMEOUT)


def table_client(address: str) -> TableClient:
    """Return a client of the table service for one command.

    The breaker is for processes that live on. One command makes its own few calls
    and must go on trying while it settles an unknown result.
    """
    breaker = CircuitBreaker(
        "table service", SystemClock(), SystemRandom(), failures_to_open=NEVER_OPEN
    )
    return TableClient(http_client(), address, breaker)


def instance_list(address: str) -> InstanceListClient:
    """Return a client of the instance list."""
    return InstanceListClient(http_client(), address)


def operator_name() -> str:
    """Return the name of the system's user, for the audit trail."""
    return getpass.getuser()
