"""Record how each test of a ``unittest`` run ended."""

import faulthandler
import sys
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

TEST_LIMIT_S = 180.0


class TestStatus(Enum):
    """How one test ended."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(frozen=True, slots=True)
class TestOutcome:
    """One test that ran.

    Parameters
    ----------
    test : str
        The identifier, ``module.function``.
    status : Status
        How it ended.
    duration_s : float
        Seconds it took.
    detail : str
        The traceback or the reason, empty if it passed.
    """

    test: str
    status: TestStatus
    duration_s: float = 0.0
    detail: str = ""

    @property
    def passed(self) -> bool:
        """Say whether the test counts as passed; a skipped one does not."""
        return self.status is TestStatus.PASSED


class TestRecorder(unittest.TestResult):
    """Report an `Outcome` for each test as soon as it ends.

    A test that hangs would keep the whole run from ending: once a test exceeds
    ``TEST_LIMIT_S`` the stacks of all threads are printed and its worker process
    exits, which the parent counts as a failure.

    Parameters
    ----------
    report : Callable
        Is given each outcome.
    """

    def __init__(self, report: Callable[[TestOutcome], None]) -> None:
        super().__init__()
        self.buffer = True
        self.report = report
        self.started = 0.0
        self.problem_details: list[str] = []
        self.skip_reason: str | None = None

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802, D102
        super().startTest(test)
        self.problem_details = []
        self.skip_reason = None
        self.started = time.monotonic()
        # The buffer of this class has no descriptor to dump to; the real one has.
        faulthandler.dump_traceback_later(
            TEST_LIMIT_S, exit=True, file=sys.__stderr__ or 2
        )

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802, D102
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)
        self.report(self.outcome_of(test.id(), time.monotonic() - self.started))

    def outcome_of(self, test: str, duration_s: float) -> TestOutcome:
        """Sum up what the test reported while it ran.

        Parameters
        ----------
        test : str
            The identifier.
        duration_s : float
            Seconds it took.

        Returns
        -------
        Outcome
            Failed if anything failed, even if a part was skipped too.
        """
        if self.problem_details:
            detail = "\n".join(self.problem_details)
            return TestOutcome(test, TestStatus.FAILED, duration_s, detail)
        if self.skip_reason is not None:
            return TestOutcome(test, TestStatus.SKIPPED, duration_s, self.skip_reason)
        return TestOutcome(test, TestStatus.PASSED, duration_s)

    def addError(self, test, err) -> None:  # type: ignore[no-untyped-def] # noqa: N802, D102
        super().addError(test, err)
        detail = self.errors[-1][1]
        if isinstance(test, unittest.TestCase):
            self.problem_details.append(detail)
        else:  # a module's or class's own set-up, which no test stands for
            self.report(TestOutcome(test.id(), TestStatus.FAILED, detail=detail))

    def addFailure(self, test, err) -> None:  # type: ignore[no-untyped-def] # noqa: N802, D102
        super().addFailure(test, err)
        self.problem_details.append(self.failures[-1][1])

    def addSubTest(self, test, subtest, err) -> None:  # type: ignore[no-untyped-def] # noqa: N802, D102
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.problem_details.append((self.failures + self.errors)[-1][1])

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:  # noqa: N802, D102
        super().addSkip(test, reason)
        self.skip_reason = f"skipped: {reason}"

    def addExpectedFailure(self, test, err) -> None:  # type: ignore[no-untyped-def] # noqa: N802, D102
        super().addExpectedFailure(test, err)
        self.problem_details.append(
            "marked as expected to fail; KNOWN-RED.txt is the place"
        )

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802, D102
        super().addUnexpectedSuccess(test)
        self.problem_details.append("marked as expected to fail, but it passed")
