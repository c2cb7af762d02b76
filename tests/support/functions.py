"""Let ``unittest`` run tests that are plain functions."""

import inspect
import sys
import unittest
from collections.abc import Callable
from types import ModuleType

from .faults import no_hidden_faults

LoadTests = Callable[
    [unittest.TestLoader, unittest.TestSuite, str | None], unittest.TestSuite
]

TEST_PREFIX = "test_"


class FunctionCase(unittest.FunctionTestCase):
    """One test function, identified as ``module.function``.

    Parameters
    ----------
    function : Callable
        Takes no argument; raises to fail.
    """

    def __init__(self, function: Callable[[], None]) -> None:
        self.function = function
        super().__init__(function, description=inspect.getdoc(function))

    def id(self) -> str:
        """Return the name under which the test can be run and listed."""
        return f"{self.function.__module__}.{self.function.__name__}"

    def runTest(self) -> None:  # noqa: N802
        """Run the test; a fault that the product survives fails it too."""
        with no_hidden_faults():
            super().runTest()

    def __str__(self) -> str:
        return self.id()


def function_tests(module_name: str) -> LoadTests:
    """Return the ``load_tests`` of a module whose tests are functions.

    Parameters
    ----------
    module_name : str
        The module's own ``__name__``.

    Returns
    -------
    LoadTests
        Wraps every function of the module whose name begins with ``test_``,
        in the order of the source.

    Raises
    ------
    TypeError
        When loading, if a test takes arguments: it could never run.
    """

    def load_tests(
        loader: unittest.TestLoader,
        tests: unittest.TestSuite,
        pattern: str | None,
    ) -> unittest.TestSuite:
        functions = own_tests(sys.modules[module_name])
        return unittest.TestSuite(FunctionCase(each) for each in functions)

    return load_tests


def own_tests(module: ModuleType) -> list[Callable[[], None]]:
    """List the test functions that a module defines itself.

    Parameters
    ----------
    module : ModuleType
        Imported already. Functions that it imports from elsewhere are left out,
        so that a shared test does not run once more under each importer.

    Returns
    -------
    list of Callable
        In the order in which the source defines them.
    """
    found: list[Callable[[], None]] = [
        value
        for name, value in vars(module).items()
        if name.startswith(TEST_PREFIX)
        and inspect.isfunction(value)
        and value.__module__ == module.__name__
    ]
    for function in found:
        if inspect.signature(function).parameters:
            raise TypeError(
                f"{module.__name__}.{function.__name__} takes arguments; "
                "use a context manager of tests.support instead"
            )
    return found
