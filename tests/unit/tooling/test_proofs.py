"""The page of proofs names only tests that exist."""

import re
from pathlib import Path

from tests.support.functions import function_tests

ROOT = Path(__file__).resolve().parents[3]
PAGE = ROOT / "docs" / "PROOFS.md"
TESTS = ROOT / "tests"

NAMED = re.compile(r"`((?:tests\.)?(?:[a-z0-9_]+\.)*test_[a-z0-9_]+(?:\.[a-z0-9_]+)*)`")
FUNCTION = re.compile(r"^def (test_[a-z0-9_]+)", re.MULTILINE)
PACKAGES = ("", "tests.", "tests.unit.")
"""Roots below which a name on the page may stand."""


def known_names() -> set[str]:
    """Return all modules, functions with their module, and bare functions."""
    found = set()
    for path in TESTS.rglob("test_*.py"):
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        functions = FUNCTION.findall(path.read_text("utf-8"))
        found |= {module, *functions, *(f"{module}.{each}" for each in functions)}
    return found


def missing_in(text: str, known: set[str]) -> list[str]:
    """Return the named tests that are not there."""
    return [
        name
        for name in NAMED.findall(text)
        if not any(package + name in known for package in PACKAGES)
    ]


def test_every_test_that_is_named_exists() -> None:
    """A reader runs the test that a line names, and there is none.

    The test was renamed or moved, and the page went on to claim it.
    """
    assert not missing_in(PAGE.read_text("utf-8"), known_names())


def test_a_test_that_is_not_there_is_noticed() -> None:
    known = {"tests.unit.a.test_b", "tests.unit.a.test_b.test_c", "test_c"}
    text = "`tests.unit.a.test_b`, `a.test_b`, `test_c`, `a.test_b.test_c`, `x.test_b`"
    assert missing_in(text, known) == ["x.test_b"]


load_tests = function_tests(__name__)
