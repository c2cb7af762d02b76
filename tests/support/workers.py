"""Run groups of test modules in worker processes.

A test that crashes or hangs ends its worker alone: what the worker had reported
stays, the loss is reported as one failure, and the run goes on with the next module.
"""

import traceback
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from fnmatch import fnmatchcase
from multiprocessing import get_context
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess

from .recorder import TestOutcome, TestRecorder, TestStatus

Report = Callable[[TestOutcome], None]


@dataclass(frozen=True, slots=True)
class Group:
    """Modules that share one worker process.

    Parameters
    ----------
    modules : tuple of str
        Their dotted names, in the order in which they run.
    pattern : str
        Runs only the tests whose identifier holds it; empty for all.
    """

    modules: tuple[str, ...]
    pattern: str = ""


@dataclass(frozen=True, slots=True)
class Began:
    """A worker begins with a module.

    Parameters
    ----------
    module : str
        Its dotted name.
    """

    module: str


@dataclass(frozen=True, slots=True)
class Done:
    """A worker's last message: it ran all that it was given."""


@dataclass(slots=True)
class Worker:
    """A running worker process.

    Parameters
    ----------
    group : Group
        What it was given.
    process : SpawnProcess
        The process.
    inbox : Connection
        Where its outcomes arrive.
    module : str
        What it was last heard to run.
    """

    group: Group
    process: SpawnProcess
    inbox: Connection
    module: str = ""

    def rest(self) -> tuple[str, ...]:
        """Return the modules after the one that it was last heard to run."""
        modules = self.group.modules
        return modules[modules.index(self.module) + 1 :] if self.module else ()


def run_groups(groups: list[Group], jobs: int) -> Iterator[TestOutcome]:
    """Run groups, at most some at once.

    Parameters
    ----------
    groups : list of Group
        Started in this order.
    jobs : int
        How many workers may run at once.

    Yields
    ------
    Outcome
        In the order in which tests end.
    """
    waiting = list(reversed(groups))
    running: dict[Connection, Worker] = {}
    while waiting or running:
        while waiting and len(running) < jobs:
            worker = start(waiting.pop())
            running[worker.inbox] = worker
        for inbox in wait(list(running)):
            assert isinstance(inbox, Connection)
            message = receive(inbox)
            if isinstance(message, TestOutcome):
                yield message
                continue
            if isinstance(message, Began):
                running[inbox].module = message.module
                continue
            worker = running.pop(inbox)
            inbox.close()
            worker.process.join()
            if message is None:
                yield lost(worker)
            if message is None and worker.rest():
                waiting.append(Group(worker.rest(), worker.group.pattern))


def start(group: Group) -> Worker:
    """Start a worker for a group.

    Parameters
    ----------
    group : Group
        What to run.

    Returns
    -------
    Worker
        Running.
    """
    context = get_context("spawn")
    inbox, outbox = context.Pipe(duplex=False)
    process = context.Process(target=work, args=(group, outbox))
    process.start()
    outbox.close()
    return Worker(group, process, inbox)


def receive(inbox: Connection) -> TestOutcome | Began | Done | None:
    """Read a worker's next message.

    Parameters
    ----------
    inbox : Connection
        Ready to read.

    Returns
    -------
    Outcome, Began, Done or None
        None if the worker ended without its last message.
    """
    try:
        message: TestOutcome | Began | Done = inbox.recv()
    except EOFError:
        return None
    return message


def lost(worker: Worker) -> TestOutcome:
    """Return the failure that a worker's early end stands for.

    Parameters
    ----------
    worker : Worker
        Ended.

    Returns
    -------
    Outcome
        Names the module and the exit code.
    """
    name = worker.module or "no module yet"
    detail = f"worker ended with exit code {worker.process.exitcode} at {name}"
    return TestOutcome(f"worker at {name}", TestStatus.FAILED, detail=detail)


def work(group: Group, outbox: Connection) -> None:
    """Run a group and send each outcome; the worker process's entry point.

    Parameters
    ----------
    group : Group
        What to run.
    outbox : Connection
        Where outcomes go.
    """
    for module in group.modules:
        outbox.send(Began(module))
        run_module(module, group.pattern, outbox.send)
    outbox.send(Done())
    outbox.close()


def run_module(module: str, pattern: str, report: Report) -> None:
    """Run one module's tests.

    Parameters
    ----------
    module : str
        Its dotted name.
    pattern : str
        Part of the identifiers to run; empty for all.
    report : Callable
        Is given each outcome.
    """
    try:
        tests = list(flatten(unittest.defaultTestLoader.loadTestsFromName(module)))
    except Exception:
        # unittest reports a failed import as a test, but lets a syntax error pass.
        report(TestOutcome(module, TestStatus.FAILED, detail=traceback.format_exc()))
        return
    if not tests:
        # A module that forgot its load_tests would otherwise pass unseen.
        report(
            TestOutcome(module, TestStatus.FAILED, detail=f"{module} holds no tests")
        )
    chosen = [each for each in tests if fnmatchcase(each.id(), f"*{pattern}*")]
    unittest.TestSuite(chosen).run(TestRecorder(report))


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """List the tests of nested suites.

    Parameters
    ----------
    suite : unittest.TestSuite
        As loaded.

    Yields
    ------
    unittest.TestCase
        In their order.
    """
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from flatten(each)
        else:
            yield each
