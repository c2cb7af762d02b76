"""Played days are read from their lines and held against forecast and model."""

import json
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path

from benchmarks.passes.deployments import DALA, FIGURES
from benchmarks.passes.forecasts import forecast_of
from benchmarks.passes.held import errors, forecasts_of, hold, report
from benchmarks.passes.played import SeenCall, read_log, seen_call
from benchmarks.passes.replay import calls_of, classes_of, first_attempts, places_of
from tests.support.functions import function_tests

SEED = 3
CALL = SeenCall(
    instance="a",
    route="short",
    account="k",
    at_s=1.0,
    prompt_tokens=3_000,
    endpoints=("e1",),
    helpers=(),
    events=4,
    waited_ms=0.0,
    first_ms=30.0,
    pause_ms=50.0,
    total_ms=200.0,
    served=True,
)
MIDDLE = replace(CALL, route="middle", prompt_tokens=40_000, at_s=2.0)
LONG = replace(
    CALL, route="long", prompt_tokens=200_000, at_s=3.0, helpers=("e2", "e3")
)
DAY = (CALL, MIDDLE, LONG)


def line(**fields: object) -> str:
    told = {
        "route": "r",
        "prompt_tokens": 3_000,
        "endpoints": "e1,e2",
        "helpers": "e3",
        "events": 4,
        "waited_ms": 5,
        "first_ms": 30,
        "pause_ms": 50,
        "total_ms": 200,
        **fields,
    }
    body = {"time": "t", "event": "MF2010", "fields": told}
    return f"   1.2000 front-1 {json.dumps(body, separators=(',', ':'))}\n"


@contextmanager
def log_of(*lines: str) -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "day.log"
        path.write_text("".join(lines), "utf-8")
        yield path


def test_line_of_a_call_is_read() -> None:
    call = seen_call(line())
    assert call is not None
    assert (call.instance, round(call.at_s, 3)) == ("front-1", 1.0)
    assert call.engines == ("e2", "e3")
    assert call.served


def test_lines_of_other_things_are_passed_over() -> None:
    cut = line()[:80]
    with log_of("quiet-1 0.9\n", cut, line(prompt_tokens=0), line()) as path:
        assert len(read_log(path)) == 1


def test_longer_prompts_are_later_classes() -> None:
    kinds = classes_of(DAY, DALA)
    assert [kinds[call.route].name for call in DAY] == ["short", "middle", "long"]


def test_call_that_its_caller_sent_again_is_counted_once() -> None:
    failed = replace(CALL, served=False)
    again = replace(CALL, at_s=2.0)
    other = replace(CALL, at_s=2.0, account="other")
    assert first_attempts([failed, again, other]) == [failed, other]


def test_calls_of_a_day_come_when_and_where_they_came() -> None:
    calls = calls_of(DAY, DALA, SEED)
    assert [call.prompt_tokens for call in calls] == [3_000, 40_000, 200_000]
    assert calls[0].answer_tokens == CALL.events * FIGURES.stride
    assert calls == calls_of(DAY, DALA, SEED)
    assert places_of(DAY)[2].helpers == (1, 2)


def test_forecast_counts_what_is_read_before() -> None:
    later = replace(CALL, at_s=LONG.at_s + 0.01)
    alone = forecast_of(later, [later], FIGURES)
    behind = forecast_of(later, [later, replace(LONG, first_ms=900.0)], FIGURES)
    assert alone is not None
    assert behind is not None
    assert behind.first_ms > alone.first_ms + 100


def test_errors_have_the_sign_of_what_came_later() -> None:
    off = errors([(110.0, 100.0), (90.0, 100.0), (130.0, 100.0)])
    assert (off.count, off.bias_ms, off.median_ms, off.p90_ms) == (3, 10, 10, 30)


def test_day_is_held_against_the_model_by_length() -> None:
    held = hold(DAY, forecasts_of(DAY, DALA), DALA, "mimosafork", SEED)
    assert [each.complete for each in held.placed] == [True] * 3
    assert held.placed[2].engines == 3
    told = report([held])
    assert "64k-512k" in told
    assert "earned of the worth" in told


load_tests = function_tests(__name__)
