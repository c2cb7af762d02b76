"""Record the outcome of each test of a ``unittest`` run."""

import faulthandler
import sys
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

TEST_LIMIT_S = 180.0


class TestStatus(Enum):
    """Status of a finished test."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(frozen=True, slots=True)
class TestOutcome:
    """Outcome of one test.

    Parameters
    ----------
    test : str
        The identifier, ``module.function``.
    status : TestStatus
        Its status.
    duration_s : float
        Duration in seconds.
    detail : str
        The traceback or the reason, empty if it passed.
    """

    test: str
    status: TestStatus
    duration_s: float = 0.0
    detail: str = ""

    @property
    def passed(self) -> bool:
        """Whether the test passed; a skipped test did not."""
        return self.status is TestStatus.PASSED


class TestRecorder(unittest.TestResult):
    """Report a `TestOutcome` for each test as soon as it ends.

    A hanging test would block the whole run. Once a test exceeds ``TEST_LIMIT_S``, the
    stacks of all threads are printed and its worker process exits, which the parent
    process counts as a failure.

    Parameters
    ----------
    report : Callable
        Called with each outcome.
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
        # The buffered stderr has no file descriptor; the original one has.
        faulthandler.dump_traceback_later(
            TEST_LIMIT_S, exit=True, file=sys.__stderr__ or 2
        )

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802, D102
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)
        self.report(self.outcome_of(test.id(), time.monotonic() - self.started))

    def outcome_of(self, test: str, duration_s: float) -> TestOutcome:
        """Return the outcome of a test from its recorded problems.

        Parameters
        ----------
        test : str
            The identifier.
        duration_s : float
            Duration in seconds.

        Returns
        -------
        TestOutcome
            Failed if any part failed, even if another part was skipped.
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
        else:  # set-up of a module or class, which belongs to no test
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
