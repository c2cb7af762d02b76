"""Runs repeat by seed, knobs are set back, and figures and plots are written."""

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path

from benchmarks.passes import experiment
from benchmarks.passes.deployments import DALA, VOCES
from benchmarks.passes.faults import TROUBLES
from benchmarks.passes.knobs import KNOBS, UnknownKnobError, knob_of, turned, values
from benchmarks.passes.play import Played, Run, play
from benchmarks.passes.policies import POLICIES
from benchmarks.passes.series import (
    Row,
    earned_of,
    gain_of,
    row_of,
    summary_of,
    write_csv,
)
from mimosafork.placement import plan
from tests.support.functions import function_tests

SEED = 11
SHORT_S = 4.0
RUN = Run(VOCES, "mimosafork", SEED, SHORT_S)
VALUES = 2


@contextmanager
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def figures(run: Run) -> Row:
    return row_of(run.deployment.name, run.policy, run.seed, play(run))


def firsts(played: Played) -> list[float | None]:
    return [each.first_ms for each in played.outcomes]


def test_equal_seeds_give_equal_runs() -> None:
    assert firsts(play(RUN)) == firsts(play(RUN))
    other = Run(VOCES, "mimosafork", SEED + 1, SHORT_S)
    assert firsts(play(RUN)) != firsts(play(other))


def test_every_policy_plays_with_and_without_faults() -> None:
    for policy in POLICIES:
        for faults in ((), TROUBLES):
            run = Run(DALA, policy, SEED, SHORT_S, faults=faults)
            row = figures(run)
            assert 0.0 < row.earned <= 1.0
            assert row == figures(run)


def test_more_calls_come_under_more_load() -> None:
    with turned("load", 2.0, RUN) as run:
        assert len(play(run).outcomes) > 1.5 * len(play(RUN).outcomes)


def test_knob_is_set_back_also_after_an_error() -> None:
    before = plan.PAUSE_LOSS_COST_PER_S
    with suppress(RuntimeError), turned("opening-cost", 2 * before, RUN):
        assert before != plan.PAUSE_LOSS_COST_PER_S
        raise RuntimeError
    assert before == plan.PAUSE_LOSS_COST_PER_S


def test_every_knob_stands_where_it_is_said_to() -> None:
    assert all(knob.now() > 0.0 for knob in KNOBS.values())


def test_unknown_knob_is_refused() -> None:
    try:
        knob_of("magic")
    except UnknownKnobError as error:
        assert "magic" in str(error)
    else:
        raise AssertionError


def test_values_are_even_and_have_both_ends() -> None:
    assert values(0.0, 1.0, 3) == (0.0, 0.5, 1.0)
    assert values(0.3, 1.0, 1) == (0.3,)


def test_error_of_a_mean_is_by_the_number_of_seeds() -> None:
    assert summary_of([0.5]).error == 0.0
    four = summary_of([0.4, 0.6, 0.4, 0.6])
    assert abs(four.mean - 0.5) < 1e-9
    assert abs(four.error - 0.0577) < 1e-3


def test_experiment_writes_its_table_and_its_plot_alike_each_time() -> None:
    words = ["--knob", "opening-cost", "--from", "0.1", "--to", "0.5"]
    words += ["--seeds", "1", "--duration", "1"]
    written = []
    for _ in range(2):
        with folder() as path:
            experiment.main([*words, "--steps", f"{VALUES}", "--out", f"{path}"])
            names = ("experiment-opening-cost.csv", "experiment-opening-cost.png")
            written.append([(path / name).read_bytes() for name in names])
    assert written[0] == written[1]
    rows = written[0][0].decode().splitlines()
    assert len(rows) == 1 + VALUES * 2


def test_gain_is_taken_seed_by_seed() -> None:
    # Two cells that differ by 0.01 on every seed looked alike, as seeds differ by 0.4.
    low, high = figures(RUN), figures(replace(RUN, seed=SEED + 1))
    rows = [
        replace(row, cell=cell, seed=seed, earned=earned)
        for row, seed, base in ((low, 1, 0.5), (high, 2, 0.9))
        for cell, earned in (("now", base), ("new", base + 0.01))
    ]
    gain = gain_of(rows, VOCES.name, "new", "now")
    assert abs(gain.mean - 0.01) < 1e-9
    assert gain.error < 1e-9
    assert earned_of(rows, VOCES.name, "new").error > 0.1


def test_rows_are_written_under_their_names() -> None:
    with folder() as path:
        write_csv([figures(RUN)], path / "new" / "rows.csv")
        head, line = (path / "new" / "rows.csv").read_text("utf-8").splitlines()
    assert head.split(",")[:4] == ["deployment", "cell", "seed", "earned"]
    assert line.startswith(f"voces,mimosafork,{SEED},")


load_tests = function_tests(__name__)
