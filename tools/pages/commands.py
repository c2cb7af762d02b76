"""docs/operators/commands.md, from the command line itself."""

from importlib import import_module
from pathlib import Path
from typing import Any

from .page import Page, code, table
from .settings import exists

PATH = Path("docs/operators/commands.md")
MODULE = "mimosafork.cli.main"
LAZY_MODULE = "mimosafork.cli.lazy"
EXITS_MODULE = "mimosafork.cli.exits"
PROGRAM = "mimosafork"
INTRODUCTION = """# Commands

Every command has `--help` with an example. `make docs` writes this page from the
command line itself.
"""


def commands_page() -> Page:
    """Return the page, without a text while the command line is not there."""
    command = root_command()
    if command is None:
        return Page(PATH, None)
    parts = [INTRODUCTION, exit_codes()]
    for name, each in leaves(command, PROGRAM):
        parts.append(f"\n## {name}\n\n{(each.help or '').strip()}\n\n")
        parts.append(parameters(each))
    return Page(PATH, "".join(parts))


def exit_codes() -> str:
    """Return the section on exit codes."""
    codes = import_module(EXITS_MODULE)
    rows = [(str(int(each)), codes.MEANINGS[each]) for each in codes.ExitCode]
    return "\n## Exit codes\n\n" + table(("code", "meaning"), rows)


def root_command() -> Any | None:
    """Return the command line's root command, None while there is none."""
    if not exists(MODULE):
        return None
    from typer.main import get_command

    return get_command(import_module(MODULE).app)


def announced() -> set[str]:
    """Return the commands that the command line announces but does not have yet."""
    if not exists(LAZY_MODULE):
        return set()
    names = import_module(LAZY_MODULE).COMMANDS
    package = import_module(LAZY_MODULE).PACKAGE
    return {f"{PROGRAM} {each}" for each in names if not exists(f"{package}.{each}")}


def leaves(command: Any, name: str) -> list[tuple[str, Any]]:
    """List the commands that do something, below a command.

    Parameters
    ----------
    command : click command
        A group or a command.
    name : str
        The whole way to it.

    Returns
    -------
    list of (str, click command)
        By name, as the help lists them.
    """
    if not hasattr(command, "list_commands"):
        return [(name, command)]
    context = command.make_context(name, [], resilient_parsing=True)
    found = []
    for child in command.list_commands(context):
        found += leaves(command.get_command(context, child), f"{name} {child}")
    return found


def parameters(command: Any) -> str:
    """Return the table of a command's arguments and options.

    Parameters
    ----------
    command : click command
        Not a group.

    Returns
    -------
    str
        A table, empty if it takes nothing.

    Raises
    ------
    ValueError
        If the command or one of its parameters is not explained.
    """
    if not command.help:
        raise ValueError(f"command {command.name} has no help")
    rows = []
    for each in command.params:
        text = getattr(each, "help", None)
        if not text:
            raise ValueError(f"{command.name}: {each.name} has no help")
        names = ", ".join([*each.opts, *each.secondary_opts])
        if each.param_type_name == "argument":
            names = each.name.upper()
        rows.append((code(names), "yes" if each.required else "", text))
    return table(("parameter", "required", "meaning"), rows) if rows else ""
