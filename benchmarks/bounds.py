"""Bounds on what was measured: ``python -m benchmarks.bounds``.

A bound is a function that measures one value and the limit that the value must
keep. Each module ``*_bounds`` of this package enters its own by the decorator
`bound`. Values are ratios or counts that do not depend on the machine's speed, so
that the verdict is the same everywhere; limits are wide, so that only a change of
the code breaks them.
"""

import argparse
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import import_module
from pkgutil import iter_modules
from types import ModuleType

import benchmarks

MODULE_SUFFIX = "_bounds"

Measure = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Bound:
    """One value and its limits.

    Parameters
    ----------
    name : str
        Lower case with hyphens.
    measure : Callable
        Returns the value.
    at_most, at_least : float
        What the value must keep.
    """

    name: str
    measure: Measure
    at_most: float
    at_least: float

    def holds(self, value: float) -> bool:
        """Return whether a value keeps the limits; one that is no number fails."""
        return self.at_least <= value <= self.at_most


BOUNDS: dict[str, Bound] = {}


def bound(
    name: str, at_most: float = float("inf"), at_least: float = float("-inf")
) -> Callable[[Measure], Measure]:
    """Return a decorator that enters a bound.

    Raises
    ------
    ValueError
        If the name is taken, or no limit is given: it could never fail.
    """
    if at_most == float("inf") and at_least == float("-inf"):
        raise ValueError(f"bound {name!r} has no limit")

    def enter(measure: Measure) -> Measure:
        if name in BOUNDS:
            raise ValueError(f"two bounds are called {name!r}")
        BOUNDS[name] = Bound(name, measure, at_most, at_least)
        return measure

    return enter


def load_all() -> list[ModuleType]:
    """Import the modules that enter bounds."""
    return [
        import_module(f"{benchmarks.__name__}.{each.name}")
        for each in iter_modules(benchmarks.__path__)
        if each.name.endswith(MODULE_SUFFIX)
    ]


def check(each: Bound) -> bool:
    """Measure one bound, print the result and return whether it holds."""
    value = each.measure()
    holds = each.holds(value)
    limits = []
    if each.at_least != float("-inf"):
        limits.append(f">= {each.at_least:g}")
    if each.at_most != float("inf"):
        limits.append(f"<= {each.at_most:g}")
    verdict = "pass" if holds else "FAIL"
    print(f"{verdict}  {each.name:40} {value:10.3f}  {' and '.join(limits)}")
    sys.stdout.flush()
    return holds


def main(argv: Sequence[str] | None = None) -> int:
    """Check all bounds, or those whose name holds a word."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.bounds")
    parser.add_argument("-k", dest="word", default="", help="only names that hold this")
    options = parser.parse_args(argv)
    load_all()
    chosen = [each for name, each in sorted(BOUNDS.items()) if options.word in name]
    failed = [each.name for each in chosen if not check(each)]
    if not chosen:
        print("no bound was checked")
        return 1
    print(f"{len(chosen) - len(failed)} of {len(chosen)} bounds hold")
    return 1 if failed else 0


if __name__ == "__main__":
    # Run as a script this module is `__main__`; the modules of bounds enter theirs
    # in the one that they import.
    sys.exit(import_module("benchmarks.bounds").main())
