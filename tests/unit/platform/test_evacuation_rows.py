"""Tests of reading the rows by which the operator evacuates zones."""

import asyncio
import json
from unittest import TestCase

from mimosafork.directory.errors import HistoryExpiredError, UnreadableRowError
from mimosafork.directory.rows import Row, RowPage
from mimosafork.ids import AvailabilityZoneId
from mimosafork.platform.sources import ConfigurationRows

from ...support.functions import function_tests
from ...support.scripted_rows import ScriptedRows, read_whole
from ...support.versions import version

case = TestCase()

CONFIG = Row("op", "", "config", b"{}", version(3))


def row(key: str, number: int = 4, value: bytes = b"{}", part: str = "") -> Row:
    return Row("op", part, key, value, version(number))


def zone_of(key: str, value: bytes = b"{}") -> AvailabilityZoneId | None:
    return ConfigurationRows(ScriptedRows(CONFIG)).evacuated_zone(row(key, value=value))


class PagedRows(ScriptedRows):
    """Answers reads with one page after the other."""

    def __init__(self, *pages: RowPage) -> None:
        super().__init__(CONFIG)
        self.pages = list(pages)
        self.starts: list[str | None] = []

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        """Return the next page."""
        self.starts.append(start)
        return self.pages.pop(0)


def test_evacuations_are_told_beside_the_configuration() -> None:
    away = row("evacuate/zone-a")
    others = (row("else"), row("evacuate"), row("evacuate/zone-b", part="p"))
    rows = ScriptedRows(CONFIG, away, *others)
    case.assertEqual([CONFIG, away], read_whole(ConfigurationRows(rows)))


def test_only_the_key_of_an_evacuation_matters() -> None:
    """A value that cannot be read must not keep requests in the zone."""
    for value in (b"{}", b"", b"\xff", json.dumps({"zone": "zone-b"}).encode()):
        case.assertEqual("zone-a", zone_of("evacuate/zone-a", value))
    case.assertEqual("a/b c", zone_of("evacuate/a/b c"))
    case.assertEqual("x" * 200, zone_of("evacuate/" + "x" * 200))
    case.assertIsNone(zone_of("config"))


def test_a_key_without_a_readable_zone_is_an_error() -> None:
    """It would come into the log, into metrics and into datagrams to peers."""
    for zone in ("", "x" * 201, "é" * 101, "a\nb", "\x00", "\ud800", "a\u202eb"):
        with case.assertRaises(UnreadableRowError, msg=ascii(zone)):
            zone_of(f"evacuate/{zone}")


def test_a_long_table_is_read_in_pages_as_of_the_first() -> None:
    """A row behind the end of the first answer would seem removed.

    The evacuation of its zone would end with each whole read.
    """
    away = row("evacuate/zone-a")
    rows = PagedRows(
        RowPage((CONFIG, row("else")), version(9), truncated=True),
        RowPage((away,), version(11)),
    )
    source = ConfigurationRows(rows)
    page = run_whole(source)
    case.assertEqual((CONFIG, away), page.rows)
    case.assertEqual(version(9), page.version)
    case.assertEqual([None, "else\0"], rows.starts)


def test_pages_of_two_eras_are_no_state() -> None:
    rows = PagedRows(
        RowPage((CONFIG,), version(9), truncated=True),
        RowPage((), version(4, era=2)),
    )
    with case.assertRaises(HistoryExpiredError):
        run_whole(ConfigurationRows(rows))


def run_whole(source: ConfigurationRows) -> RowPage:
    return asyncio.run(source.whole())


load_tests = function_tests(__name__)
