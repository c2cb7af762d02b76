"""Run the tests: ``python -m tests.run [unit|functional|all] [-k PATTERN]``."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from .support import known_red
from .support.known_red import KnownRed, Verdict
from .support.recorder import TestOutcome, TestStatus
from .support.workers import Group, run_groups

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SUITES = ("unit", "functional")
SLOWEST_SHOWN = 10


def main(argv: Sequence[str] | None = None) -> int:
    """Run the chosen suites and print the tally as the last line.

    Parameters
    ----------
    argv : sequence of str, optional
        The command line, that of the process if absent.

    Returns
    -------
    int
        0 if at least one test passed and none failed beyond the known ones.
    """
    options = parse(argv)
    suites = SUITES if options.suite == "all" else (options.suite,)
    try:
        entries = known_red.read(KNOWN_RED)
    except known_red.KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}")
        print("0 passed, 1 failed")
        return 1
    outcomes = run(suites, options.pattern, options.jobs)
    listed = [each for each in entries if belongs(each, suites)]
    verdict = known_red.judge(outcomes, listed, whole=not options.pattern)
    show(verdict, outcomes)
    return 0 if verdict.green else 1


def parse(argv: Sequence[str] | None) -> argparse.Namespace:
    """Read the command line.

    Parameters
    ----------
    argv : sequence of str or None
        None for that of the process.

    Returns
    -------
    argparse.Namespace
        With ``suite``, ``pattern`` and ``jobs``.
    """
    parser = argparse.ArgumentParser(prog="python -m tests.run", description=__doc__)
    parser.add_argument(
        "suite", nargs="?", default="all", choices=[*SUITES, "all"], help="what to run"
    )
    parser.add_argument(
        "-k",
        dest="pattern",
        default="",
        help="only tests whose identifier holds this; * stands for anything",
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=1,
        help="functional test modules to run at once (default 1)",
    )
    return parser.parse_args(argv)


def run(suites: Sequence[str], pattern: str, jobs: int) -> list[TestOutcome]:
    """Run suites: unit tests in one worker, a worker for each functional module.

    Parameters
    ----------
    suites : sequence of str
        Their folders' names.
    pattern : str
        Part of the identifiers to run; empty for all.
    jobs : int
        How many functional modules run at once.

    Returns
    -------
    list of Outcome
        In the order in which the tests ended.
    """
    outcomes: list[TestOutcome] = []
    for suite in suites:
        modules = modules_of(suite)
        if suite == "unit":
            groups = [Group(tuple(modules), pattern)]
        else:
            groups = [Group((each,), pattern) for each in modules]
        for outcome in run_groups(groups, max(1, jobs)):
            print(f"{outcome.status.value:8}{outcome.test} {outcome.duration_s:.3f}s")
            sys.stdout.flush()
            outcomes.append(outcome)
    return outcomes


def modules_of(suite: str) -> list[str]:
    """List a suite's test modules.

    Parameters
    ----------
    suite : str
        The folder under ``tests``.

    Returns
    -------
    list of str
        Dotted names, sorted.
    """
    folder = ROOT / "tests" / suite
    paths = sorted(folder.rglob("test_*.py"))
    return [".".join(each.relative_to(ROOT).with_suffix("").parts) for each in paths]


def belongs(entry: KnownRed, suites: Sequence[str]) -> bool:
    """Say whether a listed test is one of the suites that run.

    Parameters
    ----------
    entry : KnownRed
        A line of the file.
    suites : sequence of str
        The suites that run.

    Returns
    -------
    bool
        Also true for a test of no suite, when all run, so that it is noticed.
    """
    if len(suites) == len(SUITES):
        return True
    return any(entry.test.startswith(f"tests.{suite}.") for suite in suites)


def show(verdict: Verdict, outcomes: Sequence[TestOutcome]) -> None:
    """Print failures, known failures, the slowest tests and the tally.

    Parameters
    ----------
    verdict : Verdict
        How the run is judged.
    outcomes : sequence of Outcome
        All that ran.
    """
    for each in verdict.failed:
        print(f"\n{'=' * 70}\nFAILED {each.test}\n{each.detail.rstrip()}")
    slowest = sorted(outcomes, key=lambda each: -each.duration_s)[:SLOWEST_SHOWN]
    print("\nslowest:")
    for each in slowest:
        print(f"{each.duration_s:9.3f}s {each.test}")
    skipped = sum(each.status is TestStatus.SKIPPED for each in verdict.failed)
    if skipped:
        print(f"{skipped} skipped, counted as failed")
    for entry in verdict.passed_over:
        print(f"known red, passed over: {entry.test}: {entry.cause}: {entry.issue}")
    if not outcomes:
        print("no test ran")
    print(f"{len(verdict.passed)} passed, {len(verdict.failed)} failed")


if __name__ == "__main__":
    sys.exit(main())
