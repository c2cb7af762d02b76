"""Nothing outside the platform's folder knows the words that go over its wire."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import mimosafork
from tests.support.functions import function_tests
from tests.support.platform_words import KNOWING, findings, wire_words

PACKAGE = Path(mimosafork.__file__).parent
GLOSSARY = Path(__file__).resolve().parents[3] / "docs" / "GLOSSARY.md"


@contextmanager
def package_with(name: str, source: str) -> Iterator[Path]:
    """Return a package that has one module."""
    with TemporaryDirectory() as folder:
        path = Path(folder, name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source, "utf-8")
        yield Path(folder)


def found_in(name: str, source: str) -> list[str]:
    with package_with(name, source) as package:
        return [str(each) for each in findings(package)]


def test_no_source_outside_the_platform_folder_has_its_words() -> None:
    found = findings(PACKAGE)
    assert not found, "\n" + "\n".join(map(str, found))


def test_header_path_and_field_are_noticed_with_their_lines() -> None:
    source = 'A = 1\nB = b"X-Response-Seal"\nC = "/-/rows-tx"\nD = {"wait-ms": 1}\n'
    assert found_in("gateway/a.py", source) == [
        "gateway/a.py:2: x-response-seal",
        "gateway/a.py:3: /-/rows-tx",
        "gateway/a.py:4: wait-ms",
    ]


def test_case_comments_and_docstrings_make_no_difference() -> None:
    source = '"""Counts by Tenant."""\n# sends x-TOKEN-usage\n'
    assert found_in("relay/a.py", source) == [
        "relay/a.py:1: tenant",
        "relay/a.py:2: x-token-usage",
    ]


def test_path_that_is_not_yet_named_is_noticed() -> None:
    assert found_in("a.py", 'A = "/-/later"\n') == ["a.py:1: /-/"]


def test_part_of_a_longer_word_is_another_word() -> None:
    assert found_in("a.py", "geometry = never = x_model = 1  # wait-ms-long\n") == []


def test_field_with_underscores_counts_as_a_literal_only() -> None:
    source = 'step_ms = 1\nA = "step_ms"\nB = b"step_ms"\n'
    assert found_in("a.py", source) == ["a.py:2: step_ms", "a.py:3: step_ms"]


def test_word_of_the_older_interface_may_stand_there_only() -> None:
    source = 'A = "X-Deadline-Ms"\n'
    assert found_in("server/a.py", source) == []
    assert found_in("gateway/a.py", source) == ["gateway/a.py:1: x-deadline-ms"]


def test_folders_that_speak_with_the_platform_know_it() -> None:
    for folder in KNOWING:
        assert found_in(f"{folder}/a.py", 'A = "/-/order"\n') == []


def test_ordinary_words_are_nobodys() -> None:
    words = wire_words()
    assert not words & {"weight", "rows", "key", "state", "prefix"}
    assert len(words) > 40


def test_the_glossary_maps_every_wire_word() -> None:
    """A newcomer meets a wire word in `platform/` and no page says what it is.

    A word was added with a feature and the glossary was left as it was.
    """
    glossary = GLOSSARY.read_text("utf-8").lower()
    missing = [word for word in sorted(wire_words()) if word not in glossary]
    assert not missing, missing


load_tests = function_tests(__name__)
