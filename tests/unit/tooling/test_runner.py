"""Function tests are found by name, and each ending is recorded for what it is."""

import sys
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from types import ModuleType

from tests.support.functions import FunctionCase, function_tests, own_tests
from tests.support.recorder import TestOutcome, TestRecorder, TestStatus
from tests.support.workers import Group, flatten, run_groups, run_module


@contextmanager
def module_with(source: str) -> Iterator[ModuleType]:
    module = ModuleType("sample_tests")
    exec(source, vars(module))
    sys.modules[module.__name__] = module
    try:
        yield module
    finally:
        del sys.modules[module.__name__]


def recorded(function: Callable[[], None]) -> TestOutcome:
    outcomes: list[TestOutcome] = []
    FunctionCase(function).run(TestRecorder(outcomes.append))
    (outcome,) = outcomes
    return outcome


def passes() -> None:
    """Tell a story."""


def fails() -> None:
    raise AssertionError("one is not two")


def breaks() -> None:
    raise OSError("gone")


def skips() -> None:
    raise unittest.SkipTest("not today")


def test_each_ending_is_recorded() -> None:
    assert recorded(passes).status is TestStatus.PASSED
    assert recorded(fails).status is TestStatus.FAILED
    assert "one is not two" in recorded(fails).detail
    assert recorded(breaks).status is TestStatus.FAILED
    assert recorded(skips).status is TestStatus.SKIPPED


def test_skipped_test_does_not_count_as_passed() -> None:
    assert not recorded(skips).passed


def test_function_is_identified_by_module_and_name() -> None:
    case = FunctionCase(passes)
    assert case.id() == f"{__name__}.passes"
    assert case.shortDescription() == "Tell a story."


def test_functions_are_loaded_in_source_order() -> None:
    source = "def test_z(): pass\ndef helper(): pass\ndef test_a(): pass\n"
    with module_with(source) as module:
        load = function_tests(module.__name__)
        suite = load(unittest.defaultTestLoader, unittest.TestSuite(), None)
    names = [each.id() for each in flatten(suite)]
    assert names == ["sample_tests.test_z", "sample_tests.test_a"]


def test_imported_tests_are_left_to_their_own_module() -> None:
    with module_with("def test_own(): pass\n") as module:
        vars(module)["test_foreign"] = test_skipped_test_does_not_count_as_passed
        assert [each.__name__ for each in own_tests(module)] == ["test_own"]


def test_test_that_takes_arguments_is_refused() -> None:
    with module_with("def test_never_runs(fixture): pass\n") as module:
        try:
            own_tests(module)
        except TypeError as error:
            assert "test_never_runs takes arguments" in str(error)
        else:
            raise AssertionError("accepted")


def test_module_without_tests_fails() -> None:
    """A module that forgot its load_tests would pass without having run."""
    outcomes: list[TestOutcome] = []
    with module_with("def test_forgotten(): pass\n") as module:
        run_module(module.__name__, "", outcomes.append)
    assert [each.status for each in outcomes] == [TestStatus.FAILED]


def test_module_that_cannot_be_imported_fails() -> None:
    outcomes: list[TestOutcome] = []
    run_module("tests.unit.no_such_module", "", outcomes.append)
    assert [each.status for each in outcomes] == [TestStatus.FAILED]


def test_pattern_selects_by_identifier() -> None:
    outcomes: list[TestOutcome] = []
    source = "def test_one(): pass\ndef test_two(): pass\n"
    with module_with(source) as module:
        vars(module)["load_tests"] = function_tests(module.__name__)
        run_module(module.__name__, "t*_two", outcomes.append)
    assert [each.test for each in outcomes] == ["sample_tests.test_two"]


def test_worker_that_dies_is_reported_and_the_rest_runs() -> None:
    """A test that ends its process must not end the run.

    The worker exits in the middle of a module, as after a crash in native code.
    Its loss shows as one failure under the module's name; the group's next module
    and the next group still run.
    """
    sound = "tests.unit.tooling.test_known_red"
    dying = Group(("tests.support.dying_module", sound))
    other = Group((sound,), "absent_file")
    first, loss, *others = run_groups([dying, other], jobs=1)
    assert first.passed
    assert loss.detail == "worker ended with exit code 3 at tests.support.dying_module"
    assert all(each.passed for each in others)
    names = [each.test.rpartition(".")[2] for each in others]
    assert names.count("test_absent_file_lists_nothing") == 2


def test_module_that_cannot_be_parsed_fails_alone() -> None:
    """One typing error in a test module took all other results with it."""
    outcomes: list[TestOutcome] = []
    with TemporaryDirectory() as folder:
        Path(folder, "unparsable_module.py").write_text("def (:\n", "utf-8")
        sys.path.insert(0, folder)
        try:
            run_module("unparsable_module", "", outcomes.append)
        finally:
            sys.path.remove(folder)
    (outcome,) = outcomes
    assert outcome.status is TestStatus.FAILED
    assert "SyntaxError" in outcome.detail


load_tests = function_tests(__name__)
