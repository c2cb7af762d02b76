"""``mimosafork fleet``: what each entry instance reports."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Annotated

import msgspec
import typer

from ..cli.exits import CommandError, ExitCode
from ..cli.output import print_json, print_table
from ..cli.platform import InstancesOption, JsonOption, http_client, instance_list
from ..kernel.messages.fleet import EntryInstance
from ..network.decoding import UNDECODABLE
from ..network.errors import NetworkError
from ..network.http import HttpClient

app = typer.Typer(add_completion=False)

FLEET_PAGE = "/fleet"
ASKED_AT_ONCE = 16


class ReportedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint as an instance sees it."""

    endpoint: str
    state: str = ""
    reported: bool = False
    draining: bool = False
    unreachable: bool = False
    running: int = 0
    waiting: int = 0

    def serves(self) -> bool:
        """Return whether the instance sends new requests there."""
        if self.draining or self.unreachable:
            return False
        return self.reported and self.state == "live"


class Report(msgspec.Struct, frozen=True):
    """What an instance's page says."""

    revision: int = 0
    waiting_requests: int = 0
    open_requests: int = 0
    endpoints: tuple[ReportedEndpoint, ...] = ()


class InstanceAnswer(msgspec.Struct, frozen=True):
    """One entry instance.

    Attributes
    ----------
    report : Report or None
        None if it did not answer.
    problem : str
        Why it did not.
    """

    instance: str
    availability_zone: str
    incarnation: int
    state: str
    operations_address: str
    report: Report | None = None
    problem: str = ""


@app.command()
def fleet(
    instances: InstancesOption,
    revision: Annotated[
        int | None,
        typer.Option(help="end with code 4 unless all have this revision or a newer"),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show each listed entry instance with its revision, load and endpoints.

    Example: mimosafork fleet --revision 42 --instances 10.0.0.5:9003
    """
    listed = instance_list(instances).read().instances
    answers = ask_all(listed)
    if as_json:
        print_json(answers)
    else:
        print_answers(answers)
    if revision is not None:
        refuse_older(answers, revision)


def ask_all(listed: Sequence[EntryInstance]) -> list[InstanceAnswer]:
    """Ask every instance, some at once, and return the answers by name."""
    http = http_client()
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        answers = list(pool.map(lambda entry: ask_one(http, entry), listed))
    return sorted(answers, key=lambda each: each.instance)


def ask_one(http: HttpClient, entry: EntryInstance) -> InstanceAnswer:
    """Return what one instance says, or why it says nothing."""
    answer = InstanceAnswer(
        entry.instance,
        entry.availability_zone,
        entry.incarnation,
        entry.state.value,
        entry.operations_address,
    )
    if not entry.operations_address:
        return msgspec.structs.replace(answer, problem="no operations address")
    try:
        page = http.call("GET", entry.operations_address, FLEET_PAGE)
        if page.status != HTTPStatus.OK:
            return msgspec.structs.replace(answer, problem=f"status {page.status}")
        report = msgspec.json.decode(page.body, type=Report)
    except (NetworkError, *UNDECODABLE) as error:
        return msgspec.structs.replace(answer, problem=str(error))
    return msgspec.structs.replace(answer, report=report)


def print_answers(answers: Sequence[InstanceAnswer]) -> None:
    """Print a line for each instance, and the reasons of those without a report."""
    header = ("INSTANCE", "ZONE", "STATE", "REVISION", "OPEN", "WAITING", "ENDPOINTS")
    print_table(header, [_row(each) for each in answers])
    for each in answers:
        if each.report is None:
            typer.echo(f"{each.instance}: {each.problem}")


def refuse_older(answers: Sequence[InstanceAnswer], revision: int) -> None:
    """Refuse unless all instances have a revision.

    Raises
    ------
    CommandError
    """
    older = [each.instance for each in answers if _revision_of(each) < revision]
    if older:
        why = f"revision {revision} is not known to be in force on {', '.join(older)}"
        raise CommandError(ExitCode.CONFLICT, why)


def _row(answer: InstanceAnswer) -> tuple[str, ...]:
    start = (answer.instance, answer.availability_zone, answer.state)
    report = answer.report
    if report is None:
        return (*start, "?", "?", "?", "?")
    serving = sum(each.serves() for each in report.endpoints)
    return (
        *start,
        str(report.revision),
        str(report.open_requests),
        str(report.waiting_requests),
        f"{serving} of {len(report.endpoints)}",
    )


def _revision_of(answer: InstanceAnswer) -> int:
    return answer.report.revision if answer.report is not None else -1
