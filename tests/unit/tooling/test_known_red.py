"""The runner passes over the listed failures and over nothing else."""

import tempfile
from pathlib import Path

from tests.support import known_red
from tests.support.functions import function_tests
from tests.support.known_red import KnownRed, KnownRedError
from tests.support.recorder import TestOutcome, TestStatus

MANY = 12
ENTRY = KnownRed("tests.unit.test_a.test_b", "wrong by one", "#7")


def read(text: str) -> tuple[KnownRed, ...]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "KNOWN-RED.txt"
        path.write_text(text, "utf-8")
        return known_red.read(path)


def refused(text: str) -> str:
    try:
        read(text)
    except KnownRedError as error:
        return str(error)
    raise AssertionError(f"accepted {text!r}")


def outcome(status: TestStatus, test: str = ENTRY.test) -> TestOutcome:
    return TestOutcome(test, status)


def test_absent_file_lists_nothing() -> None:
    assert known_red.read(Path("/nonexistent/KNOWN-RED.txt")) == ()


def test_line_is_read_in_three_parts() -> None:
    text = "# why\n\ntests.unit.test_a.test_b: off: by one: #7\n"
    assert read(text) == (KnownRed(ENTRY.test, "off: by one", "#7"),)


def test_line_without_cause_or_issue_is_refused() -> None:
    assert "test: cause: issue" in refused("tests.unit.test_a.test_b: #7\n")


def test_every_line_is_read_and_each_by_the_same_rules() -> None:
    lines = [f"tests.t{number}: cause: #{number}" for number in range(MANY)]
    listed = read("\n".join(lines))
    assert [each.test for each in listed] == [f"tests.t{n}" for n in range(MANY)]
    assert "test: cause: issue" in refused("\n".join([*lines, "tests.last: #1"]))
    assert "twice" in refused("\n".join([*lines, lines[0]]))


def test_each_of_many_lines_must_be_true() -> None:
    listed = [KnownRed(f"tests.t{number}", "cause", "#1") for number in range(MANY)]
    passing = outcome(TestStatus.PASSED, "other")
    failing = [outcome(TestStatus.FAILED, each.test) for each in listed]
    verdict = known_red.judge([passing, *failing], listed, whole=True)
    assert verdict.green and verdict.passed_over == tuple(listed)
    untrue = [passing, *failing[:-1], outcome(TestStatus.PASSED, listed[-1].test)]
    verdict = known_red.judge(untrue, listed, whole=True)
    assert [each.test for each in verdict.failed] == [listed[-1].test]


def test_same_test_twice_is_refused() -> None:
    assert "twice" in refused("a: cause: #1\na: other: #2\n")


def test_listed_failure_is_passed_over() -> None:
    passing = outcome(TestStatus.PASSED, "other")
    verdict = known_red.judge(
        [outcome(TestStatus.FAILED), passing], [ENTRY], whole=True
    )
    assert verdict.passed_over == (ENTRY,)
    assert verdict.failed == ()
    assert verdict.green


def test_unlisted_failure_fails_the_run() -> None:
    failing = outcome(TestStatus.FAILED, "other")
    verdict = known_red.judge(
        [outcome(TestStatus.FAILED), failing], [ENTRY], whole=True
    )
    assert verdict.failed == (failing,)
    assert not verdict.green


def test_listed_test_that_passes_fails_the_run() -> None:
    verdict = known_red.judge([outcome(TestStatus.PASSED)], [ENTRY], whole=True)
    assert verdict.passed == ()
    assert "remove its line" in verdict.failed[0].detail
    assert not verdict.green


def test_listed_test_that_is_skipped_fails_the_run() -> None:
    verdict = known_red.judge([outcome(TestStatus.SKIPPED)], [ENTRY], whole=True)
    assert [each.status for each in verdict.failed] == [TestStatus.SKIPPED]


def test_listed_test_that_does_not_exist_fails_a_whole_run_only() -> None:
    passing = outcome(TestStatus.PASSED, "other")
    whole = known_red.judge([passing], [ENTRY], whole=True)
    part = known_red.judge([passing], [ENTRY], whole=False)
    assert [each.test for each in whole.failed] == [ENTRY.test]
    assert part.green


def test_empty_run_is_not_green() -> None:
    assert not known_red.judge([], [], whole=True).green


def test_run_of_known_failures_alone_is_not_green() -> None:
    verdict = known_red.judge([outcome(TestStatus.FAILED)], [ENTRY], whole=True)
    assert not verdict.green


load_tests = function_tests(__name__)
