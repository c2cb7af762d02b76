"""The catalogue of events and metrics holds together."""

from collections.abc import Callable
from types import ModuleType

from mimosafork.telemetry.errors import CatalogueError
from mimosafork.telemetry.events import (
    Event,
    Level,
    all_events,
    check_range,
    check_unique,
)
from mimosafork.telemetry.instruments import Instrument, Kind
from mimosafork.telemetry.metrics import all_instruments
from mimosafork.telemetry.redaction import SECRET_FIELDS
from tests.support.functions import function_tests

SAMPLE = Event(1203, "sample", Level.INFO, "{a} met {b}", "They met.", "None.")


def refused(check: Callable[[], None]) -> str:
    try:
        check()
    except CatalogueError as error:
        return str(error)
    raise AssertionError("accepted")


def test_event_knows_its_code_and_fields() -> None:
    assert SAMPLE.code == "MF1203"
    assert SAMPLE.fields == ("a", "b")


def test_whole_catalogue_is_unique_and_in_range() -> None:
    events = all_events()
    assert {each.number // 100 for each in events} == {10, *range(12, 29)}
    assert len(all_instruments()) > 0


def test_every_event_and_metric_is_explained() -> None:
    for event in all_events():
        assert event.meaning.endswith("."), event.code
        assert event.action.endswith("."), event.code
    for instrument in all_instruments():
        assert instrument.description.endswith("."), instrument.name


def test_no_message_holds_a_secret_field() -> None:
    for event in all_events():
        assert not SECRET_FIELDS & set(event.fields), event.code


def test_number_outside_the_range_of_its_module_is_refused() -> None:
    module = ModuleType("elsewhere")
    vars(module)["RANGE"] = 1300
    assert "MF1203" in refused(lambda: check_range([SAMPLE], module))


def test_number_that_stands_twice_is_refused() -> None:
    assert "MF1203" in refused(lambda: check_unique(["MF1203", "MF1204", "MF1203"]))


def test_exposed_name_carries_unit_and_total() -> None:
    counter = Instrument("mimosafork.sent", Kind.COUNTER, "By", "Sent.")
    assert counter.exposed_name == "mimosafork_sent_bytes_total"


load_tests = function_tests(__name__)
