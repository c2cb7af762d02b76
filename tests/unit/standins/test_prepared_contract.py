"""The product's own adapters against the stand-ins: both speak the same protocol."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.directory.errors import (
    ConflictError,
    HistoryExpiredError,
    NotAllowedError,
    StoreUnavailableError,
    UnknownResultError,
)
from mimosafork.directory.rows import ABSENT, RowCondition, RowKey, RowPut
from mimosafork.ids import ServiceId
from mimosafork.platform import names
from mimosafork.platform.sources import ConfigurationRows, EndpointRows
from mimosafork.platform.store import PreparedStore, StoreTimeouts
from mimosafork.routing.listing import ListedState
from mimosafork.routing.table import ApiKey, CallKind
from mimosafork.standins.prepared import words
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from ...support.functions import function_tests
from ...support.prepared import API_KEY, DESKS, ENGINES, HOST, deployment

case = TestCase()

WAIT = timedelta(seconds=10)
SHORT = StoreTimeouts(call=timedelta(milliseconds=200))


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30))


def client_of(running: Deployment, timeouts: StoreTimeouts | None = None) -> Any:
    return PreparedStore(running.store.address, timeouts)


def test_both_sides_use_the_same_names() -> None:
    pairs = {
        words.REQUEST_ID: names.REQUEST_ID,
        words.DEADLINE_MS: names.DEADLINE_MS,
        words.EXPECT_INSTANCE: names.EXPECT_INSTANCE,
        words.EXPECT_VERSION: names.EXPECT_VERSION,
        words.INSTANCE_ID: names.INSTANCE_ID,
        words.AT_SERVER: names.AT_SERVER,
        words.NOT_RUN: names.NOT_RUN,
        words.SEAL: names.RESPONSE_SEAL,
        words.TENANT: names.TENANT,
        words.MODEL: names.MODEL,
        words.TOKEN_USAGE: names.TOKEN_USAGE,
        words.PROMPT_PREFIX: names.PROMPT_PREFIX,
        words.PRIORITY: names.REQUEST_PRIORITY,
        words.WEIGHT_VERSIONS: names.WEIGHT_VERSIONS,
        words.HELPERS: names.HELPERS,
        words.LAST_EVENT_ID: names.LAST_EVENT_ID,
        words.RETRY_AFTER: names.RETRY_AFTER,
        words.AUTHORIZATION: names.AUTHORIZATION,
    }
    for own, theirs in pairs.items():
        case.assertEqual(own.encode(), theirs)


def test_the_product_reads_the_first_configuration_and_follows_the_next() -> None:
    async def work() -> None:
        with deployment() as running:
            client = client_of(running)
            rows = ConfigurationRows(client)
            page = await rows.whole()
            table = rows.decode(page.rows[0])
            route = table.match(HOST, "/resume/1")
            assert route is not None
            case.assertEqual((CallKind.STREAM, True), (route.kind, route.repeatable))
            case.assertIsNotNone(table.account_of(ApiKey(API_KEY)))
            case.assertIsNotNone(table.services[ServiceId(ENGINES)].engine)
            assert running.config is not None
            version = running.configure(running.config)
            changes = await rows.changes(page.version, WAIT)
            case.assertEqual(version, rows.decode(changes.rows[0]).version)
            client.close()

    run(work())


def test_the_product_follows_the_list_of_endpoints() -> None:
    async def work() -> None:
        with deployment() as running:
            client = client_of(running)
            rows = EndpointRows(client)
            engine = running.add_engine(EndpointSettings(ENGINES, slots=3))
            page = await rows.whole()
            endpoint = rows.decode(page.rows[0])
            case.assertEqual(engine.id, endpoint.endpoint)
            case.assertEqual(engine.address, endpoint.address)
            case.assertEqual((3, ListedState.READY), (endpoint.slots, endpoint.state))
            running.drain(engine)
            changed = await rows.changes(page.version, WAIT)
            draining = rows.decode(changed.rows[0])
            case.assertEqual(ListedState.DRAINING, draining.state)
            running.remove(engine)
            gone = await rows.changes(changed.version, WAIT)
            case.assertTrue(gone.rows[0].removed)
            client.close()

    run(work())


def test_the_product_writes_under_conditions() -> None:
    async def work() -> None:
        with deployment() as running:
            client = client_of(running)
            puts, absent = (
                [RowPut("t", "p", "k", b"x")],
                RowCondition("t", "p", "k", ABSENT),
            )
            version = await client.write(puts, conditions=[absent])
            with case.assertRaises(ConflictError):
                await client.write(puts, conditions=[absent])
            with case.assertRaises(NotAllowedError):
                await client.write([RowPut("op", "", "config", b"x")])
            page = await client.read("t", "p")
            case.assertEqual((b"x", version), (page.rows[0].value, page.version))
            await client.write(removes=[RowKey("t", "p", "k")])
            case.assertEqual((), (await client.read("t", "p")).rows)
            running.store.drop_history()
            with case.assertRaises(HistoryExpiredError):
                await client.changes("t", version, WAIT)
            client.close()

    run(work())


def test_the_product_tells_refused_writes_from_those_left_open() -> None:
    async def work() -> None:
        with deployment() as running:
            client = client_of(running, SHORT)
            puts = [RowPut("t", "p", "k", b"x")]
            for refusal in (Refusal.UNAVAILABLE, Refusal.TOO_MANY):
                running.store.set_faults(StoreFaults(down=refusal))
                with case.assertRaises(StoreUnavailableError):
                    await client.write(puts)
            for refusal in (Refusal.RESET, Refusal.SILENT):
                running.store.set_faults(StoreFaults(down=refusal))
                with case.assertRaises(UnknownResultError):
                    await client.write(puts)
            running.store.set_faults(StoreFaults(lost_answers=1))
            with case.assertRaises(UnknownResultError):
                await client.write(puts)
            case.assertEqual(1, len((await client.read("t", "p")).rows))
            client.close()

    run(work())


def test_the_list_of_many_endpoints_is_read_in_pages() -> None:
    async def work() -> None:
        with deployment() as running:
            client = client_of(running)
            desk = running.add_desk(EndpointSettings(DESKS))
            row = running.store.read(words.TABLE_SERVERS, desk.id)
            assert row is not None
            for at in range(600):
                running.store.put(words.TABLE_SERVERS, f"j-{at:03}", {})
            page = await EndpointRows(client).whole()
            case.assertEqual(601, len(page.rows))
            client.close()

    run(work())


load_tests = function_tests(__name__)
