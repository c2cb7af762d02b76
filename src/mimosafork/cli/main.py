"""``mimosafork``: the root of the command line."""

import sys
from typing import Annotated

import typer

from .. import __version__
from ..errors import MimosaforkError
from .exits import CommandError, exit_code_of
from .lazy import LazyGroup

app = typer.Typer(
    name="mimosafork",
    cls=LazyGroup,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"mimosafork {__version__}")
        raise typer.Exit


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="print the version",
        ),
    ] = False,
) -> None:
    """Serve prompts of very unlike lengths, run by declarations."""


def main() -> None:
    """Run the command line; errors of ours end it with a line and their code."""
    try:
        app()
    except (MimosaforkError, CommandError) as error:
        typer.echo(str(error), err=True)
        sys.exit(exit_code_of(error))


if __name__ == "__main__":
    main()
