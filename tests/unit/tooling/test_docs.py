"""The docs say what the code has, and the check notices where they do not."""

import tempfile
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta
from enum import Enum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, Field

from mimosafork.telemetry.events import all_events
from tests.support.functions import function_tests
from tools import docs_check, references, telemetry_calls
from tools.pages.page import Page, table
from tools.pages.settings import keys, sections


class Mode(Enum):
    """Sample choices."""

    FAST = "fast"
    SAFE = "safe"


class Sample(BaseModel):
    """A sample section."""

    wait: timedelta = Field(
        timedelta(seconds=2), ge=timedelta(milliseconds=1), description="How long."
    )
    mode: Mode = Field(Mode.SAFE, description="Which way.")
    port: int = Field(..., gt=0, description="Where.")
    limit: Annotated[int, Field(ge=1)] | None = Field(None, description="How many.")
    names: tuple[str, ...] = Field((), description="Who.")


class SampleSettings(BaseModel):
    """A sample root."""

    sample: Sample
    absent: Sample | None = None
    models: Mapping[str, Sample] = {}


@contextmanager
def file_with(text: str) -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file"
        path.write_text(text, "utf-8")
        yield path


def test_docs_and_code_agree() -> None:
    complaints = docs_check.disagreements(docs_check.generated_pages())
    assert not complaints, "\n".join(complaints)


def test_changed_missing_and_surplus_pages_are_noticed() -> None:
    with file_with("old") as path:
        name = Path(path.name)
        root = path.parent
        assert docs_check.outdated([Page(name, "old")], root) == []
        assert len(docs_check.outdated([Page(name, "new")], root)) == 1
        assert len(docs_check.outdated([Page(name, None)], root)) == 1
        assert len(docs_check.outdated([Page(Path("absent"), "new")], root)) == 1


def test_written_page_agrees() -> None:
    with tempfile.TemporaryDirectory() as folder:
        pages = [Page(Path("docs/a.md"), "text"), Page(Path("docs/b.md"), None)]
        docs_check.write(pages, Path(folder))
        assert docs_check.outdated(pages, Path(folder)) == []


def test_event_that_the_code_lacks_is_noticed() -> None:
    known = {each.code for each in all_events()}
    with file_with("See MF1001 and MF9999.") as path:
        (complaint,) = references.dangling_events([path], known)
    assert "MF9999" in complaint


def test_metric_that_the_code_lacks_is_noticed() -> None:
    text = "`mimosafork_a_seconds_bucket` and `mimosafork_b_total`"
    with file_with(text) as path:
        (complaint,) = references.dangling_metrics([path], {"mimosafork_a_seconds"})
    assert "mimosafork_b_total" in complaint


def test_command_that_the_code_lacks_is_noticed() -> None:
    known = {"mimosafork serve", "mimosafork manifest check"}
    text = (
        "Prose on how mimosafork serves is left alone; `mimosafork manifest check`,\n"
        "`mimosafork manifest` and `mimosafork serve --settings a.ini` are there.\n\n"
        "    $ mimosafork manifest burn\n\n`mimosafork dance now` is not.\n"
    )
    with file_with(text) as path:
        complaints = list(references.dangling_commands([path], known))
    assert ["burn" in complaints[0], "dance" in complaints[1]] == [True, True]
    assert len(complaints) == 2


def test_settings_table_shows_what_an_operator_writes() -> None:
    found = [(each.name, each.model) for each in sections(SampleSettings)]
    assert found == [("sample", Sample), ("absent", Sample), ("model NAME", Sample)]
    lines = keys(Sample).splitlines()
    assert lines[2] == "| `wait` | duration | `2s` | >= 1ms | How long. |"
    assert lines[3] == "| `mode` | `fast`, `safe` | `safe` |  | Which way. |"
    assert lines[4] == "| `port` | integer | required | > 0 | Where. |"
    assert lines[5] == "| `limit` | integer | none | >= 1 | How many. |"
    assert lines[6] == "| `names` | list of text | none |  | Who. |"


class NamedByOperators(BaseModel):
    """A section whose keys the operator chooses."""

    zones: dict[str, str] = Field(title="ZONE = REGION", description="Which ones.")


def test_section_whose_keys_are_free_shows_the_form_of_a_line() -> None:
    (found,) = sections(NamedByOperators)
    assert (found.name, found.model) == ("zones", None)
    assert found.text == "Which ones.\n\nOne line each: `ZONE = REGION`.\n"


def test_bars_in_cells_do_not_break_a_table() -> None:
    assert "a \\| b" in table(("x",), [("a | b",)])


def complaints_about(source: str) -> list[str]:
    with file_with(source) as path:
        return telemetry_calls.check([path])


def test_log_call_without_a_field_is_noticed() -> None:
    """An operator reads "task ? could not handle a message".

    The call forgot a field of the event's message, in a path that only runs when
    something is wrong already.
    """
    (complaint,) = complaints_about("log_event(logger, TASK_FAILED, exc_info=True)")
    assert "lacks task" in complaint
    assert not complaints_about("log_event(logger, lifecycle.TASK_FAILED, task=1)")
    assert not complaints_about("log_event(logger, TASK_FAILED, **fields)")


def test_metric_call_with_other_attributes_is_noticed() -> None:
    (complaint,) = complaints_about("metrics.add(ATTEMPTS, 1, outcome='won')")
    assert "result" in complaint
    assert not complaints_about("metrics.add(ATTEMPTS, target='m', result='won')")
    assert not complaints_about("found.add(name)")


def test_log_line_without_a_number_is_noticed() -> None:
    """An operator reads a warning and finds no number to look up."""
    source = "logger.warning('x')\nlogger.debug('x')\nmath.log(1)\n"
    with file_with(source) as path:
        (complaint,) = telemetry_calls.unnumbered([path])
    assert ":1: use log_event" in complaint


def test_entry_that_no_code_imports_is_found() -> None:
    source = "from ..telemetry.catalogue.lifecycle import TASK_FAILED\nx = E.ATTEMPTS\n"
    with file_with(source) as path:
        found = telemetry_calls.unused([path])
    assert "TASK_FAILED" not in found
    assert "ATTEMPTS" in found


load_tests = function_tests(__name__)
