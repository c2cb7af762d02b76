"""A group of commands that are imported only when they are used."""

from importlib import import_module
from importlib.util import find_spec
from typing import Any

import typer
from typer.core import TyperGroup

COMMANDS = {
    "serve": "run an entry instance",
    "gateway": "run an entry instance on the prepared platform",
    "demo": "run the whole path in one process, with stand-ins",
    "standin": "run a stand-in of an outside system",
    "manifest": "check, compare and apply the fleet's manifest",
    "fleet": "show what each entry instance reports",
    "audit": "show who changed what and when",
    "ask": "send a prompt and print the answer as it comes",
    "settings": "check the settings of an entry instance or a gateway",
    "quarantine": "show and lift quarantines of contents that crash endpoints",
    "explain": "say from logs why a call ended as it did",
}
"""Command names and their one-line help."""

PACKAGE = "mimosafork.commands"


class LazyGroup(TyperGroup):
    """Finds each command in the module of its name in `mimosafork.commands`.

    Importing all of them would load both HTTP servers and gRPC before the first
    word of help appears.
    """

    def list_commands(self, ctx: Any) -> list[str]:
        """Return the names of the commands that are installed."""
        return [name for name in COMMANDS if find_spec(f"{PACKAGE}.{name}")]

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Import a command; None if there is no such one."""
        if cmd_name not in self.list_commands(ctx):
            return None
        module = import_module(f"{PACKAGE}.{cmd_name}")
        command = typer.main.get_command(module.app)
        command.name = cmd_name
        return command

    def format_help(self, ctx: Any, formatter: Any) -> None:
        """Write the help without importing any command."""
        formatter.write_usage(ctx.command_path, "[OPTIONS] COMMAND [ARGS]...")
        with formatter.section("Commands"):
            names = self.list_commands(ctx)
            formatter.write_dl([(name, COMMANDS[name]) for name in names])
        with formatter.section("Options"):
            formatter.write_dl(
                [("--version", "print the version"), ("--help", "show this help")]
            )
        formatter.write_paragraph()
        formatter.write_text("Each command has a --help with an example.")
