"""Check the code's calls of logs and metrics against the catalogue.

At run time a log event with a missing field shows a question mark and a metric
with a wrong attribute makes a series of its own: neither may raise in a path that
is seldom run. So the calls are checked here, in the source.
"""

import ast
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from mimosafork.telemetry.events import Event, catalogue_modules
from mimosafork.telemetry.instruments import Instrument

LOG_FUNCTION = "log_event"
METRIC_METHODS = frozenset({"add", "record"})
PLAIN_METHODS = frozenset({"critical", "error", "exception", "info", "warning"})
NOT_FIELDS = frozenset({"exc_info", "amount", "value"})


@dataclass(frozen=True, slots=True)
class Call:
    """A call that names an entry of the catalogue.

    Parameters
    ----------
    path : Path
        The source file.
    line : int
        Where in it.
    constant : str
        Name of the entry's constant.
    keywords : frozenset of str
        The fields or attributes that are passed.
    complete : bool
        False if some are passed by ``**``, so that they are not known here.
    """

    path: Path
    line: int
    constant: str
    keywords: frozenset[str]
    complete: bool


def entries() -> dict[str, Event | Instrument]:
    """Return the catalogue's entries by the names of their constants."""
    found: dict[str, Event | Instrument] = {}
    for module in catalogue_modules():
        for name, value in vars(module).items():
            if isinstance(value, Event | Instrument):
                found[name] = value
    return found


def calls_in(path: Path, names: Iterable[str]) -> Iterator[Call]:
    """Find the calls in a source file.

    Parameters
    ----------
    path : Path
        Of Python code.
    names : iterable of str
        The constants of the catalogue.

    Yields
    ------
    Call
        For each call of a log or metric function on one of them.
    """
    known = set(names)
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if not isinstance(node, ast.Call):
            continue
        constant = constant_of(node)
        if constant in known:
            words = [each.arg for each in node.keywords]
            given = frozenset(each for each in words if each) - NOT_FIELDS
            yield Call(path, node.lineno, constant, given, None not in words)


def constant_of(call: ast.Call) -> str:
    """Return the constant that a call of a log or metric function names.

    Parameters
    ----------
    call : ast.Call
        Any call.

    Returns
    -------
    str
        Empty if it is another function or names none.
    """
    function = call.func
    name = function.id if isinstance(function, ast.Name) else ""
    if isinstance(function, ast.Attribute):
        name = function.attr
    position = 1 if name == LOG_FUNCTION else 0
    if name != LOG_FUNCTION and name not in METRIC_METHODS:
        return ""
    if len(call.args) <= position:
        return ""
    argument = call.args[position]
    if isinstance(argument, ast.Name):
        return argument.id
    return argument.attr if isinstance(argument, ast.Attribute) else ""


def complaint(call: Call, entry: Event | Instrument) -> str:
    """Say what is wrong with a call.

    Parameters
    ----------
    call : Call
        As found.
    entry : Event or Instrument
        What it names.

    Returns
    -------
    str
        Empty if nothing is wrong.
    """
    where = f"{call.path}:{call.line}: {call.constant}"
    if isinstance(entry, Event):
        missing = set(entry.fields) - call.keywords
        if call.complete and missing:
            return f"{where} lacks {', '.join(sorted(missing))}"
        return ""
    if call.complete and set(entry.attributes) != call.keywords:
        wanted = ", ".join(entry.attributes) or "none"
        return f"{where} has other attributes than {wanted}"
    return ""


def check(sources: Iterable[Path]) -> list[str]:
    """Check all calls in some files.

    Parameters
    ----------
    sources : iterable of Path
        Of Python code.

    Returns
    -------
    list of str
        A complaint for each wrong call.
    """
    known = entries()
    found = [call for path in sources for call in calls_in(path, known)]
    complaints = [complaint(call, known[call.constant]) for call in found]
    return [each for each in complaints if each]


def unnumbered(sources: Iterable[Path]) -> list[str]:
    """Find log lines that operators see without a number to look up.

    Parameters
    ----------
    sources : iterable of Path
        Of Python code.

    Returns
    -------
    list of str
        A complaint for each call of the module's logger above debug level.
    """
    complaints = []
    for path in sources:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and is_plain_log(node.func):
                complaints.append(f"{path}:{node.lineno}: use log_event")
    return complaints


def is_plain_log(function: ast.expr) -> bool:
    """Say whether a called function is a module's logger above debug level."""
    return (
        isinstance(function, ast.Attribute)
        and function.attr in PLAIN_METHODS
        and isinstance(function.value, ast.Name)
        and function.value.id == "logger"
    )


def unused(sources: Iterable[Path]) -> list[str]:
    """Find entries that no code imports.

    Parameters
    ----------
    sources : iterable of Path
        Of Python code outside the catalogue.

    Returns
    -------
    list of str
        Names of constants, sorted.
    """
    named: set[str] = set()
    for path in sources:
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.ImportFrom) and "catalogue" in (node.module or ""):
                named.update(each.name for each in node.names)
    return sorted(set(entries()) - named)
