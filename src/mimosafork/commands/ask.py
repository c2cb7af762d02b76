"""``mimosafork ask``: send a prompt and print the answer as it comes."""

import sys
import time
from datetime import timedelta
from random import SystemRandom
from typing import Annotated
from uuid import uuid4

import typer

from ..cli.exits import CommandError, ExitCode
from ..client.ask import Asked, Asker
from ..client.transport import HttpTransport, Question
from ..clock import SystemClock
from ..kernel.messages.outcomes import Outcome
from ..settings.types import parse_duration, split_address

app = typer.Typer(add_completion=False)

EXIT_CODES = {
    Outcome.COMPLETED: ExitCode.DONE,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.FAILED: ExitCode.FAILED,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}


def _checked_addresses(addresses: list[str]) -> list[str]:
    try:
        for each in addresses:
            split_address(each)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    return addresses


def _duration(text: str) -> timedelta:
    try:
        parsed: timedelta = parse_duration(text)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    return parsed


@app.command()
def ask(
    prompt: Annotated[str, typer.Argument(help="the prompt; - reads standard input")],
    address: Annotated[
        list[str],
        typer.Option(
            callback=_checked_addresses, help="IP:PORT of an entry instance; repeatable"
        ),
    ],
    model: Annotated[str, typer.Option(help="model that answers")],
    key: Annotated[
        str, typer.Option(envvar="MIMOSAFORK_KEY", help="API key of the account")
    ],
    max_tokens: Annotated[int, typer.Option(min=1, help="longest answer")] = 200,
    deadline: Annotated[
        timedelta,
        typer.Option(parser=_duration, help="time for the whole answer, like 90s"),
    ] = timedelta(minutes=1),
    idempotency_key: Annotated[
        str | None,
        typer.Option(help="key under which the answer can be asked for again"),
    ] = None,
    non_idempotent: Annotated[
        bool, typer.Option("--non-idempotent", help="run it at most once")
    ] = False,
) -> None:
    """Send a prompt, print the answer as it comes, and come back if it breaks off.

    Example: mimosafork ask 'Dear council' --model demo --address 10.0.0.7:8000
    """
    text = sys.stdin.read() if prompt == "-" else prompt
    name = idempotency_key or uuid4().hex
    question = Question(model, text, max_tokens, key, name, non_idempotent)
    asker = Asker(
        HttpTransport(),
        SystemClock(),
        SystemRandom(),
        lambda pause: time.sleep(pause.total_seconds()),
        _show,
    )
    asked = asker.ask(question, address, deadline)
    if asked.tokens:
        typer.echo()
    if asked.outcome is not Outcome.COMPLETED:
        raise CommandError(EXIT_CODES[asked.outcome], _summary(asked, name))
    typer.echo(_summary(asked, name), err=True)


def _show(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


def _summary(asked: Asked, name: str) -> str:
    parts = [asked.outcome.value, f"{asked.tokens} tokens", f"{asked.calls} calls"]
    parts.append(f"idempotency key {name}")
    if asked.problem is not None:
        parts.append(f"{asked.problem.title}: {asked.problem.detail}")
    return ", ".join(parts)
