"""``mimosafork settings``: check the settings of an entry instance or a gateway."""

from pathlib import Path
from typing import Annotated

import typer

from .. import policies
from ..ids import InstanceId
from ..kernel.registry import known_names
from ..settings.errors import Fault, SettingsError
from ..settings.gateway import load_gateway_settings
from ..settings.loader import load_settings
from ..settings.model import InstanceSettings

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def settings() -> None:
    """Check the settings of an entry instance or a gateway."""


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="INI file with the settings")],
    gateway: Annotated[
        bool,
        typer.Option("--gateway", help="a file for 'mimosafork gateway', not 'serve'"),
    ] = False,
) -> None:
    """Check a settings file offline and list every fault.

    Example: mimosafork settings check --gateway examples/gateway.ini
    """
    instance = gateway_of(file) if gateway else entry_instance_of(file)
    typer.echo(f"{file}: no fault; instance {instance}")


def entry_instance_of(file: Path) -> InstanceId:
    """Check what ``mimosafork serve`` reads; return the instance's id.

    Raises
    ------
    SettingsError
    """
    checked = load_settings(file)
    refuse_unknown_plugins(file, checked)
    return checked.instance.id


def gateway_of(file: Path) -> InstanceId:
    """Check what ``mimosafork gateway`` reads; return the instance's id.

    Raises
    ------
    SettingsError
    """
    return load_gateway_settings(file).instance.id


def refuse_unknown_plugins(file: Path, settings: InstanceSettings) -> None:
    """Refuse names that no plug-in has; an instance would die of them at its start.

    Raises
    ------
    SettingsError
    """
    chosen = settings.policies.plugins or policies.DEFAULT_PLUGINS
    known = known_names()
    unknown = [name for name in chosen if name not in known]
    if unknown:
        why = f"no plug-in is called {', '.join(unknown)}; known are {', '.join(known)}"
        raise SettingsError([Fault(str(file), "policies", "plugins", why)])
