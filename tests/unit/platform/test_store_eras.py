"""Tests of the store client with a store that is restored from a copy."""

import asyncio
import json
from unittest import TestCase

from mimosafork.directory.errors import HistoryExpiredError, UnknownResultError
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import ABSENT, RowCondition, RowPut
from mimosafork.platform.sources import EndpointRows
from mimosafork.platform.store import PreparedStore

from ...support.functions import function_tests
from ...support.scripted_store import Reply, reply, scripted_store
from ...support.versions import version

case = TestCase()

ROW = {"table": "servers", "part": "", "key": "a", "value": "eHk=", "ver": 4}
PAGE = json.dumps({"rows": [ROW], "ver": 9}).encode()
WRITTEN = json.dumps({"ver": 12}).encode()
PUT = RowPut("t", "", "k", b"")


def in_era(era: str, body: bytes = PAGE, status: int = 200) -> bytes:
    """Return an answer with an era."""
    return reply(status, body, f"Store-Era: {era}\r\n")


def test_an_answer_states_the_era_of_its_rows() -> None:
    """One that states none, or none that can be read, is of the latest known."""
    stated = [in_era("3"), reply(200, PAGE, "store-era: 4\r\n"), reply(200, PAGE)]
    odd = [in_era(each) for each in ("four", "-5", "9" * 40, "")]
    replies: list[Reply] = [*stated, *odd]

    async def work() -> None:
        async with scripted_store(lambda *_: replies.pop(0)) as store:
            client = PreparedStore(store.address)
            pages = [await client.read("t") for _ in (*stated, *odd)]
            client.close()
        case.assertEqual([3, 4, 4, 4, 4, 4, 4], [page.version.era for page in pages])
        case.assertEqual(RowVersion(4, 4), pages[-1].rows[0].version)

    asyncio.run(work())


def test_a_condition_that_held_in_another_era_leaves_the_result_unknown() -> None:
    """Numbers are given out again: the condition may have held for another row."""
    replies: list[Reply] = [in_era("2", WRITTEN)] * 3

    async def work() -> None:
        async with scripted_store(lambda *_: replies.pop(0)) as store:
            client = PreparedStore(store.address)
            same = RowCondition("t", "", "k", version(5, era=2))
            case.assertEqual(version(12, 2), await client.write([PUT], (), [same]))
            absent = RowCondition("t", "", "k", ABSENT)
            await client.write([PUT], (), [absent])
            former = RowCondition("t", "", "k", version(5, era=1))
            with case.assertRaises(UnknownResultError):
                await client.write([PUT], (), [former])
            client.close()

    asyncio.run(work())


def test_a_list_in_pages_of_two_eras_is_read_again() -> None:
    """Together the pages are no state that the store ever had."""
    first = json.dumps({"rows": [ROW], "truncated": True, "ver": 9}).encode()
    replies: list[Reply] = [in_era("1", first), in_era("2")]

    async def work() -> None:
        async with scripted_store(lambda *_: replies.pop(0)) as store:
            client = PreparedStore(store.address)
            with case.assertRaises(HistoryExpiredError):
                await EndpointRows(client).whole()
            client.close()

    asyncio.run(work())


load_tests = function_tests(__name__)
