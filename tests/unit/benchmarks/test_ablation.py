"""Each mechanism is left out for its runs alone, and the table compares with all."""

from contextlib import suppress

from benchmarks.passes.ablation import (
    MECHANISMS,
    WHOLE,
    Trial,
    table,
    try_out,
    without,
)
from benchmarks.passes.deployments import VOCES
from benchmarks.passes.play import Run
from tests.support.functions import function_tests

RUN = Run(VOCES, "mimosafork", 11, 3.0)


def test_a_mechanism_is_back_after_its_runs_whatever_happens() -> None:
    for name, mechanism in MECHANISMS.items():
        before = getattr(mechanism.module, mechanism.attribute)
        with suppress(RuntimeError), without(name):
            now = getattr(mechanism.module, mechanism.attribute)
            assert now is mechanism.without
            raise RuntimeError
        assert getattr(mechanism.module, mechanism.attribute) is before


def test_every_mechanism_can_be_left_out() -> None:
    for name in (WHOLE, *MECHANISMS):
        row = try_out(Trial(name, RUN))
        assert (row.cell, row.seed) == (name, RUN.seed)
        assert 0.0 < row.earned <= 1.0


def test_the_table_has_what_is_lost_without_each() -> None:
    rows = [try_out(Trial(name, RUN)) for name in (WHOLE, "turns")]
    lines = table(rows).splitlines()
    assert len(lines) == 3
    assert "+0.000" in lines[1]
    assert lines[2].split()[1] == "turns"


load_tests = function_tests(__name__)
