"""Tests of the operators' commands as processes, against a table stand-in."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Thread
from unittest import TestCase

from mimosafork.cli.exits import ExitCode
from mimosafork.clock import SystemClock
from mimosafork.manifest.keys import hash_key
from mimosafork.standins import TableStandin
from mimosafork.standins.faults import LoseAnswers, Outage

from ..support.commands import ROOT, Ended, run_command
from ..support.functions import function_tests
from ..support.manifests import KEY, WHOLE

case = TestCase()


class Desk:
    """An operator's desk: manifest files and a table service to apply them to."""

    def __init__(self, folder: Path, standin: TableStandin, address: str) -> None:
        self.folder = folder
        self.standin = standin
        self.address = address

    def file(self, long_share: str, name: str = "m.ini") -> str:
        """Write a manifest file and return its path."""
        path = self.folder / name
        path.write_text(WHOLE.replace("long_share = 0.5", f"long_share = {long_share}"))
        return str(path)

    def run(self, *arguments: str) -> Ended:
        """Run a command that knows the table service."""
        return run_command(*arguments, MIMOSAFORK_TABLE=self.address)

    def apply(self, long_share: str, base: int, *more: str) -> Ended:
        """Apply a manifest as Ana."""
        path = self.file(long_share, f"{long_share}.ini")
        return self.run(
            "manifest", "apply", path, "--base", str(base), "--operator", "ana", *more
        )


@contextmanager
def desk() -> Iterator[Desk]:
    standin = TableStandin(SystemClock())
    address = standin.start()
    try:
        with TemporaryDirectory() as folder:
            yield Desk(Path(folder), standin, address)
    finally:
        standin.stop()


def test_a_manifest_is_checked_offline_with_all_faults_at_once() -> None:
    with desk() as at:
        good = run_command("manifest", "check", at.file("0.5"), "--json")
        case.assertEqual((0, 64), (good.code, len(good.json()["digest"])))
        bad = run_command("manifest", "check", at.file("7\nburst = 1"))
        case.assertEqual(ExitCode.INVALID, bad.code)
        case.assertIn("[fleet] long_share: '7': input should be less than 1", bad.err)
        case.assertIn("[fleet] burst: is unknown", bad.err)


def test_an_operator_s_way_from_diff_to_audit() -> None:
    with desk() as at:
        case.assertEqual(0, at.apply("0.5", 0).code)
        diff = at.run("manifest", "diff", at.file("0.7"), "--json").json()
        case.assertEqual(1, diff["base"])
        case.assertEqual("long_share", diff["changes"][0]["key"])
        done = at.apply("0.7", diff["base"], "--digest", diff["digest"])
        case.assertEqual(0, done.code, done.err)
        status = at.run("manifest", "status", "--json").json()
        case.assertEqual((2, diff["digest"]), (status["revision"], status["digest"]))
        history = at.run("manifest", "history", "--json").json()
        case.assertEqual([2, 1], [step["revision"] for step in history])
        audit = at.run("audit", "--limit", "1")
        case.assertIn("ana: manifest-apply manifest", audit.out)
        case.assertIn("[fleet] long_share: 0.5 -> 0.7", audit.out)


def test_a_file_that_is_not_the_reviewed_one_is_refused() -> None:
    with desk() as at:
        refused = at.apply("0.5", 0, "--digest", "0" * 64)
        case.assertEqual(ExitCode.INVALID, refused.code)
        case.assertEqual(0, at.run("manifest", "status", "--json").json()["revision"])


def test_two_operators_race_as_processes() -> None:
    """Both apply a change of revision 1 at the same time.

    One is told "accepted"; the other gets exit code 4 and reads what changed.
    """
    with desk() as at:
        at.apply("0.5", 0)
        ended: list[Ended] = []
        racers = [
            Thread(target=lambda share=share: ended.append(at.apply(share, 1)))
            for share in ("0.6", "0.7")
        ]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        codes = sorted(each.code for each in ended)
        case.assertEqual([ExitCode.DONE, ExitCode.CONFLICT], codes)
        lost = next(each for each in ended if each.code == ExitCode.CONFLICT)
        case.assertIn("revision 2 by ana", lost.out)
        case.assertIn("[fleet] long_share: 0.5 -> 0.", lost.out)
        case.assertEqual(2, at.run("manifest", "status", "--json").json()["revision"])


def test_a_lost_answer_is_settled_before_the_operator_hears_of_it() -> None:
    with desk() as at:
        at.apply("0.5", 0)
        at.standin.inject(LoseAnswers(count=2))
        done = at.apply("0.7", 1, "--json")
        case.assertEqual(0, done.code, done.err)
        case.assertEqual(2, done.json()["revision"])
        case.assertEqual(2, len(at.run("audit", "--json").json()))


def test_an_outage_changes_nothing_and_says_so() -> None:
    with desk() as at:
        at.apply("0.5", 0)
        at.standin.inject(Outage())
        refused = at.apply("0.7", 1)
        case.assertEqual(ExitCode.UNAVAILABLE, refused.code)
        case.assertIn("nothing changed", refused.err)
        at.standin.end_faults()
        case.assertEqual(1, at.run("manifest", "status", "--json").json()["revision"])


def test_settings_are_checked_with_the_names_of_their_plug_ins() -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "instance.ini"
        example = (ROOT / "examples" / "instance.ini").read_text()
        path.write_text(example)
        case.assertEqual(0, run_command("settings", "check", str(path)).code)
        path.write_text(f"{example}\n[policies]\nplugins = first-come, fastest\n")
        refused = run_command("settings", "check", str(path))
        case.assertEqual(ExitCode.INVALID, refused.code)
        case.assertIn("[policies] plugins: no plug-in is called fastest", refused.err)


def test_a_gateways_settings_are_checked_by_their_own_model() -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.ini"
        path.write_text((ROOT / "examples" / "gateway.ini").read_text())
        case.assertEqual(
            0, run_command("settings", "check", "--gateway", str(path)).code
        )
        path.write_text(path.read_text().replace("first_port = 7340", ""))
        refused = run_command("settings", "check", "--gateway", str(path))
        case.assertEqual(ExitCode.INVALID, refused.code)
        case.assertIn(f"{path}: [gossip] first_port: is missing", refused.err)


def test_a_key_is_hashed_from_standard_input() -> None:
    hashed = run_command("manifest", "hash-key", "--json", stdin=f"{KEY}\n")
    case.assertEqual(hash_key(KEY), hashed.json()["hash"])
    short = run_command("manifest", "hash-key", stdin="short\n")
    case.assertEqual(ExitCode.INVALID, short.code)


load_tests = function_tests(__name__)
