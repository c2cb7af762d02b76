"""`mimosafork explain --losses` sorts calls by what they lost."""

import unittest
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec

from mimosafork.explain.lines import LogReader, LogSource
from mimosafork.explain.losses import (
    LateReason,
    LossGroup,
    LossReport,
    Valuation,
    report_of,
    wanted,
)
from tests.support.commands import run_command
from tests.support.functions import function_tests

case = unittest.TestCase()

SERVED = "MF2010"
NOT_SERVED = "MF2011"
STREAM = {
    "objective_ms": 300,
    "longest_gap_ms": 250,
    "attempts": 1,
    "waited_ms": 1,
    "expected_ms": 120,
    "first_ms": 150,
    "pause_ms": 80,
    "events": 30,
    "total_ms": 2_000,
    "account": "a-1",
}


def line(event: str, second: int, **fields: object) -> bytes:
    """Return an end of a call, as an instance writes it."""
    written: dict[str, Any] = {
        "time": f"2026-01-01T00:00:{second:02}.000+00:00",
        "event": event,
        "message": "",
        "fields": {**STREAM, "call": f"c{second}", **fields},
    }
    return msgspec.json.encode(written) + b"\n"


def report(lines: Sequence[bytes], valuation: Valuation | None = None) -> LossReport:
    source = LogSource("entry-1", lines)
    return report_of(LogReader(wanted).read([source]), valuation or Valuation())


def reasons(*lines: bytes) -> list[str]:
    return [loss.reason for loss in report(lines).losses]


def test_an_answer_on_time_loses_nothing() -> None:
    found = report([line(SERVED, 1)])
    case.assertEqual((1, 1.0, 0.0), (found.calls, found.offered, found.lost))


def test_each_late_answer_has_the_first_reason_that_fits() -> None:
    late = {"first_ms": 900}
    case.assertEqual(
        [
            LateReason.RETRIED.value,
            LateReason.WAITED.value,
            LateReason.FORECAST.value,
            LateReason.SLOWER.value,
            LateReason.MOVED.value,
            LateReason.GAP.value,
        ],
        reasons(
            line(SERVED, 1, attempts=2, **late),
            line(SERVED, 2, waited_ms=700, **late),
            line(SERVED, 3, expected_ms=800, **late),
            line(SERVED, 4, **late),
            line(SERVED, 5, attempts=2, pause_ms=1_000),
            line(SERVED, 6, pause_ms=1_000),
        ),
    )


def test_a_plain_answer_is_late_by_its_end() -> None:
    plain = {"events": 0, "longest_gap_ms": None, "pause_ms": None}
    case.assertEqual(
        [LateReason.PLAIN.value, LateReason.RETRIED.value],
        reasons(
            line(SERVED, 1, total_ms=299, **plain),
            line(SERVED, 2, total_ms=301, **plain),
            line(SERVED, 3, total_ms=301, attempts=2, **plain),
        ),
    )


def test_a_failed_call_loses_all_and_a_late_one_its_share() -> None:
    found = report(
        [
            line(SERVED, 1, first_ms=900),
            line(NOT_SERVED, 2, why="overloaded", detail="all slots are taken"),
            line(NOT_SERVED, 3, why="caller-gone", detail="", cut=True),
        ],
        Valuation({300: 8.0}, late_share=0.5),
    )
    case.assertEqual(24.0, found.offered)
    case.assertEqual([4.0, 8.0, 8.0], [loss.lost for loss in found.losses])
    case.assertEqual(
        ["not served: overloaded, all slots are taken", "cut: caller-gone"],
        [loss.reason for loss in found.losses[1:]],
    )


def test_the_zone_of_an_instance_is_told_by_its_failures() -> None:
    found = report(
        [
            line(SERVED, 1, first_ms=900),
            line(NOT_SERVED, 2, why="x", detail="", own_zone="zone-b"),
        ]
    )
    case.assertEqual(["zone-b", "zone-b"], [loss.zone for loss in found.losses])


def test_groups_and_windows_begin_with_the_largest_loss() -> None:
    found = report(
        [
            line(SERVED, 1, first_ms=900),
            line(NOT_SERVED, 5, why="x", detail="", account="a-2"),
            line(NOT_SERVED, 6, why="x", detail="", account="a-2"),
        ]
    )
    case.assertEqual(
        [LossGroup("a-2", 2, 2.0), LossGroup("a-1", 1, 0.75)],
        found.by(lambda loss: loss.account),
    )
    windows = found.worst_windows(timedelta(seconds=2))
    case.assertEqual([2.0, 0.75], [window.lost for window in windows])
    case.assertEqual("2026-01-01T00:00:05.000+00:00", windows[0].name)


def test_the_command_prints_and_plots_the_losses() -> None:
    with TemporaryDirectory() as folder:
        log, plot = Path(folder) / "entry-1.log", Path(folder) / "losses.png"
        log.write_bytes(line(SERVED, 1) + line(SERVED, 2, first_ms=900))
        words = ["explain", "--losses", "--value", "300=2", "--plot", str(plot)]
        ran = run_command(*words, str(log))
        case.assertEqual(0, ran.code, ran.err)
        case.assertIn("1 of 2 calls lost 1.5 of 4.0 (37.5%)", ran.out)
        case.assertIn("300 ms  late: first event later than forecast", ran.out)
        case.assertTrue(plot.read_bytes().startswith(b"\x89PNG"))


def test_a_value_that_cannot_be_read_is_named() -> None:
    ran = run_command("explain", "--losses", "--value", "300:2", "x.log")
    case.assertEqual(2, ran.code)
    case.assertIn("--value 300:2: not of the form OBJECTIVE_MS=VALUE", ran.err)


load_tests = function_tests(__name__)
