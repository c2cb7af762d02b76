"""``mimosafork explain``: why a call ended as it did, from recorded log lines."""

import os
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Annotated

import typer

from ..cli.exits import CommandError, ExitCode
from ..explain import losses
from ..explain.lines import LogLine, LogReader, LogSource, Tally
from ..explain.links import ZoneStory
from ..explain.stories import CallStory, EndpointStory, Story, VersionStory
from ..telemetry.events import all_events
from .explain_losses import VALUE_FORM, plot_losses, print_losses, valuation_of

app = typer.Typer(add_completion=False)

STANDARD_INPUT = "-"
REPEATED = frozenset({"call"})
"""Fields that every line of a call would repeat."""

IN_MESSAGE = {event.code: frozenset(event.fields) for event in all_events()}
"""Fields that an event's message shows."""


@app.command()
def explain(
    words: Annotated[
        list[str] | None,
        typer.Argument(
            metavar="[ID] [FILE]...",
            help="the caller's id of a call, then log files; - or none is standard "
            "input",
        ),
    ] = None,
    endpoint: Annotated[
        str | None, typer.Option(help="explain this endpoint instead of a call")
    ] = None,
    config: Annotated[
        int | None,
        typer.Option(help="explain this version of the configuration instead"),
    ] = None,
    zone: Annotated[
        str | None,
        typer.Option(help="explain the ways of this availability zone instead"),
    ] = None,
    by_loss: Annotated[
        bool,
        typer.Option("--losses", help="sort all calls of the logs by what they lost"),
    ] = False,
    value: Annotated[
        list[str] | None,
        typer.Option(
            metavar=VALUE_FORM,
            help="value of an answer of the request type with this objective; 1 where "
            "there is none",
        ),
    ] = None,
    late_share: Annotated[
        float, typer.Option(help="share of its value that a late answer earns")
    ] = losses.LATE_SHARE,
    plot: Annotated[
        Path | None, typer.Option(help="write a plot of the losses to this file")
    ] = None,
) -> None:
    """Print the life of a call from logs of instances, and its cause in the last line.

    With --losses, print what was lost by late and failed calls instead, by request
    type, reason, account, zone and time.

    Lines may have something before their JSON, whose last word is taken for the
    instance's name. Lines that can't be read are counted. Ends with 1 if no line
    names what was asked for, and with 3 if a file can't be read.

    Example: mimosafork explain 36851835ae21e671 front-1.log front-2.log
    """
    asked = list(words or [])
    if by_loss:
        explain_losses(asked, valuation_of(value or (), late_share), plot)
        return
    story = chosen_story(asked, endpoint, config, zone)
    with opened(asked) as sources, shown_progress(sources) as progress:
        reader = LogReader(story.wanted, progress)
        told = story.tell(reader.read(sources))
    print_story(told)
    print_tally(reader.tally)
    if not told.lines:
        raise CommandError(ExitCode.FAILED, told.cause)


def explain_losses(
    files: Sequence[str], valuation: losses.Valuation, plot: Path | None
) -> None:
    """Print what the calls of logs lost, and plot it where a file is named."""
    with opened(files) as sources, shown_progress(sources) as progress:
        reader = LogReader(losses.wanted, progress)
        report = losses.report_of(reader.read(sources), valuation)
    print_tally(reader.tally)
    if not report.calls:
        raise CommandError(ExitCode.FAILED, "no line is of a call's end")
    print_losses(report)
    if plot is not None:
        plot_losses(report, plot)


def chosen_story(
    asked: list[str], endpoint: str | None, config: int | None, zone: str | None
) -> CallStory | EndpointStory | VersionStory | ZoneStory:
    """Return what is to be explained; a call's id is taken off the words.

    Raises
    ------
    CommandError
        If there is nothing to explain, or more than one thing.
    """
    if sum(each is not None for each in (endpoint, config, zone)) > 1:
        raise CommandError(
            ExitCode.USAGE, "one of --endpoint, --config and --zone, not more"
        )
    if endpoint is not None:
        return EndpointStory(endpoint)
    if config is not None:
        return VersionStory(config)
    if zone is not None:
        return ZoneStory(zone)
    if not asked:
        raise CommandError(ExitCode.USAGE, "the id of a call is missing")
    return CallStory(asked.pop(0))


@contextmanager
def opened(files: Sequence[str]) -> Iterator[list[LogSource]]:
    """Open logs; standard input if there are none.

    Raises
    ------
    CommandError
        With all files that can't be opened.
    """
    with ExitStack() as stack:
        sources, faults = [], []
        for name in files or [STANDARD_INPUT]:
            if name == STANDARD_INPUT:
                sources.append(LogSource(STANDARD_INPUT, sys.stdin.buffer))
                continue
            try:
                stream = stack.enter_context(Path(name).open("rb"))
            except OSError as error:
                faults.append(f"{name}: {error.strerror}")
                continue
            size = os.fstat(stream.fileno()).st_size
            sources.append(LogSource(Path(name).stem, stream, size))
        if faults:
            raise CommandError(ExitCode.INVALID, "\n".join(faults))
        yield sources


@contextmanager
def shown_progress(sources: Sequence[LogSource]) -> Iterator[Callable[[int], None]]:
    """Show on a terminal how much of the files has been read."""
    length = sum(each.size for each in sources)
    if not sys.stderr.isatty() or not length:
        yield lambda count: None
        return
    with typer.progressbar(length=length, label="reading", file=sys.stderr) as bar:
        yield bar.update


def print_story(story: Story) -> None:
    """Print lines with their inputs, then the cause."""
    for line in story.lines:
        typer.echo(f"{line.time} {line.instance} {line.event} {line.message}")
        inputs = inputs_of(line)
        if inputs:
            typer.echo(f"    {inputs}")
    if story.lines:
        typer.echo(f"cause: {story.cause}")


def inputs_of(line: LogLine) -> str:
    """Return the fields that a line's message does not show."""
    shown = IN_MESSAGE.get(line.event, frozenset()) | REPEATED
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in shown and value != ""
    )


def print_tally(tally: Tally) -> None:
    """Say on standard error how much was read."""
    bad = f", {tally.bad} of them could not be read" if tally.bad else ""
    typer.echo(f"{tally.lines} lines read{bad}", err=True)
