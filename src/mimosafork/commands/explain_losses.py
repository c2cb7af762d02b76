"""Prints what the calls of a log lost, for ``mimosafork explain --losses``."""

from collections.abc import Sequence
from datetime import timedelta
from itertools import accumulate
from pathlib import Path

import typer

from ..cli.exits import CommandError, ExitCode
from ..explain.losses import LATE_SHARE, LossGroup, LossReport, Valuation

ROWS = 20
"""Rows of each table."""
WINDOWS = 5
UNNAMED = "-"
WINDOW = timedelta(seconds=2)
VALUE_FORM = "OBJECTIVE_MS=VALUE"


def valuation_of(values: Sequence[str], late_share: float = LATE_SHARE) -> Valuation:
    """Return what answers are worth, by the words of the command line.

    Parameters
    ----------
    values : sequence of str
        Each an objective in milliseconds and the value of an answer within it.

    Raises
    ------
    CommandError
        With all words that can't be read.
    """
    read: dict[int, float] = {}
    faults = []
    for word in values:
        objective, _, value = word.partition("=")
        try:
            read[int(objective)] = float(value)
        except ValueError:
            faults.append(f"--value {word}: not of the form {VALUE_FORM}")
    if not 0.0 <= late_share <= 1.0:
        faults.append(f"--late-share {late_share}: not between 0 and 1")
    if faults:
        raise CommandError(ExitCode.USAGE, "\n".join(faults))
    return Valuation(read, late_share)


def print_losses(report: LossReport) -> None:
    """Print the loss by reason and request type, account, zone and window."""
    share = report.lost / report.offered if report.offered else 0.0
    typer.echo(
        f"{len(report.losses)} of {report.calls} calls lost {report.lost:.1f} of "
        f"{report.offered:.1f} ({share:.1%})"
    )
    print_table(
        "request type and reason",
        report.by(lambda loss: f"{loss.objective_ms} ms  {loss.reason}"),
        report.offered,
    )
    print_table("account", report.by(lambda loss: loss.account), report.offered)
    print_table("zone", report.by(lambda loss: loss.zone), report.offered)
    windows = report.worst_windows(WINDOW)[:WINDOWS]
    seconds = int(WINDOW.total_seconds())
    print_table(f"window of {seconds} s from", windows, report.offered)


def print_table(title: str, groups: Sequence[LossGroup], offered: float) -> None:
    """Print calls, lost value, its share and the name of each group."""
    typer.echo(f"\n{'calls':>6} {'lost':>9} {'share':>7}  {title}")
    for group in groups[:ROWS]:
        share = group.lost / offered
        name = group.name or UNNAMED
        typer.echo(f"{group.calls:6} {group.lost:9.1f} {share:7.2%}  {name}")
    if len(groups) > ROWS:
        typer.echo(f"{'':6} {'':9} {'':7}  and {len(groups) - ROWS} more")


def plot_losses(report: LossReport, path: Path) -> None:
    """Plot time against lost value, by reason.

    Raises
    ------
    CommandError
        If the plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise CommandError(
            ExitCode.FAILED, "--plot needs matplotlib, which is not installed"
        ) from error
    figure = Figure(figsize=(10, 5), layout="constrained")
    axes = figure.subplots()
    reasons = [group.name for group in report.by(lambda loss: loss.reason)]
    first = min((loss.ended_at for loss in report.losses), default=None)
    for reason in reasons:
        losses = [loss for loss in report.losses if loss.reason == reason]
        seconds = [(loss.ended_at - first).total_seconds() for loss in losses if first]
        axes.step(seconds, list(accumulate(loss.lost for loss in losses)), label=reason)
    axes.set_xlabel("seconds since the first loss")
    axes.set_ylabel("value lost so far")
    if reasons:
        axes.legend(fontsize="small")
    figure.savefig(path)
