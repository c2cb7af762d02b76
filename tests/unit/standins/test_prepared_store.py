"""Tests of the prepared platform's store: conditions, ranges, feeds and faults."""

import threading
from datetime import timedelta
from typing import Any
from unittest import TestCase

from mimosafork.standins.prepared.background import LoopThread
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.row_format import decode_value, encode_value
from mimosafork.standins.prepared.rows import RowName, Transaction
from mimosafork.standins.prepared.store import Store, StoreLimits
from mimosafork.standins.prepared.store_faults import (
    LOSE_ALL,
    Refusal,
    StoreFaults,
    TurnedAway,
)
from mimosafork.standins.prepared.words import (
    KEY_CONFIG,
    ROWS_FEED,
    ROWS_GET,
    ROWS_PARTS,
    ROWS_TX,
    STORE_ERA,
    TABLE_OPERATOR,
    TABLE_SERVERS,
)

from ...support.functions import function_tests
from ...support.prepared import (
    DESKS,
    SILENCE_S,
    CallResult,
    Channel,
    NoAnswerError,
    call,
    call_json,
    deployment,
)
from ...support.waiting import eventually

case = TestCase()


def entry(key: str, part: str = "p", table: str = "my", **more: Any) -> dict[str, Any]:
    return {"table": table, "part": part, "key": key, **more}


def put_of(key: str, value: object, part: str = "p") -> dict[str, Any]:
    return entry(key, part, value=encode_value(value))


def transact(store: Store, **document: Any) -> CallResult:
    return call_json(store.address, ROWS_TX, {"puts": [], "remove": [], **document})


def get(store: Store, query: str = "table=my&part=p") -> CallResult:
    return call(store.address, "GET", f"{ROWS_GET}?{query}")


def feed(store: Store, after: int, wait_ms: int = 0, table: str = "my") -> CallResult:
    path = f"{ROWS_FEED}?table={table}&after={after}&wait-ms={wait_ms}"
    return call(store.address, "GET", path)


def keys(result: CallResult) -> list[str]:
    return [row["key"] for row in result.json()["rows"]]


def test_a_transaction_writes_all_rows_with_one_version() -> None:
    with deployment() as running:
        result = transact(running.store, puts=[put_of("a", 1), put_of("b", 2)])
        rows = get(running.store).json()["rows"]
    case.assertEqual(200, result.status)
    case.assertEqual({result.json()["ver"]}, {row["ver"] for row in rows})
    case.assertEqual([1, 2], [decode_value(row["value"]) for row in rows])


def test_a_condition_that_fails_changes_nothing_and_shows_the_rows() -> None:
    with deployment() as running:
        ver = transact(running.store, puts=[put_of("a", 1)]).json()["ver"]
        conditions = [entry("a", ver=0), entry("none", ver=0)]
        puts = [put_of("b", 2)]
        result = transact(running.store, **{"expect-rev": conditions}, puts=puts)
        after = get(running.store)
    case.assertEqual(412, result.status)
    case.assertEqual(
        [("a", ver)], [(r["key"], r["ver"]) for r in result.json()["rows"]]
    )
    case.assertEqual(["a"], keys(after))


def test_a_condition_that_holds_lets_the_write_through() -> None:
    with deployment() as running:
        ver = transact(running.store, puts=[put_of("a", 1)]).json()["ver"]
        conditions = {"expect-rev": [entry("a", ver=ver)]}
        result = transact(running.store, **conditions, remove=[entry("a")])
        after = get(running.store)
    case.assertEqual(200, result.status)
    case.assertEqual([], keys(after))


def test_several_parts_need_to_be_asked_for() -> None:
    puts = [put_of("a", 1, "p"), put_of("a", 1, "q")]
    with deployment() as running:
        case.assertEqual(400, transact(running.store, puts=puts).status)
        case.assertEqual(200, transact(running.store, puts=puts, across=True).status)
        parts = call(running.store.address, "GET", f"{ROWS_PARTS}?table=my")
    case.assertEqual(["p", "q"], parts.json()["parts"])


def test_what_is_too_large_or_protected_is_refused() -> None:
    with deployment() as running:
        many = [put_of(str(at), 1) for at in range(101)]
        case.assertEqual(400, transact(running.store, puts=many).status)
        long_key = [put_of("k" * 201, 1)]
        case.assertEqual(400, transact(running.store, puts=long_key).status)
        long_value = [put_of("k", "v" * 70_000)]
        case.assertEqual(400, transact(running.store, puts=long_value).status)
        protected = [entry("config", "", "op", value=encode_value(1))]
        case.assertEqual(403, transact(running.store, puts=protected).status)


def test_a_range_excludes_its_end_and_says_when_it_is_truncated() -> None:
    with deployment() as running:
        puts = [put_of(key, 1) for key in ("d", "a", "c", "b")]
        transact(running.store, puts=puts)
        ranged = get(running.store, "table=my&part=p&from=b&target=d")
        limited = get(running.store, "table=my&part=p&limit=3")
    case.assertEqual(["b", "c"], keys(ranged))
    case.assertFalse(ranged.json()["truncated"])
    case.assertEqual(["a", "b", "c"], keys(limited))
    case.assertTrue(limited.json()["truncated"])


def test_a_feed_tells_changes_in_order_and_marks_what_was_dropped() -> None:
    with deployment() as running:
        start = get(running.store).json()["ver"]
        transact(running.store, puts=[put_of("b", 1)])
        transact(running.store, puts=[put_of("a", 1)])
        transact(running.store, remove=[entry("b")])
        result = feed(running.store, start).json()
        nothing = feed(running.store, result["ver"]).json()
    case.assertEqual(["b", "a", "b"], [row["key"] for row in result["rows"]])
    case.assertTrue(result["rows"][2]["tombstone"])
    case.assertNotIn("value", result["rows"][2])
    case.assertEqual([], nothing["rows"])


def test_a_feed_waits_for_the_next_change() -> None:
    with deployment() as running, Channel(running.store.address) as channel:
        start = get(running.store).json()["ver"]
        path = f"{ROWS_FEED}?table=my&after={start}&wait-ms=30000"
        channel.send("GET", path)
        running.store.put("another table", "b", 1)
        transact(running.store, puts=[put_of("a", 1)])
        result = channel.read_answer()
    case.assertEqual(["a"], keys(result))


def test_a_feed_whose_history_is_gone_is_answered_410() -> None:
    with deployment() as running:
        start = get(running.store).json()["ver"]
        transact(running.store, puts=[put_of("a", 1)])
        running.store.drop_history()
        gone = feed(running.store, start)
        again = feed(running.store, gone.json()["ver"])
    case.assertEqual(410, gone.status)
    case.assertEqual(200, again.status)


def test_a_waiting_feed_learns_that_its_history_is_gone() -> None:
    with deployment() as running, Channel(running.store.address) as channel:
        ver = get(running.store).json()["ver"]
        channel.send("GET", f"{ROWS_FEED}?table=my&after={ver}&wait-ms=30000")
        running.store.put("other", "k", 1)
        running.store.drop_history()
        result = channel.read_answer()
    case.assertEqual(410, result.status)


def test_each_way_of_being_down_does_nothing() -> None:
    with deployment() as running:
        store = running.store
        for refusal, status in ((Refusal.UNAVAILABLE, 503), (Refusal.TOO_MANY, 429)):
            store.set_faults(StoreFaults(down=refusal))
            case.assertEqual(status, transact(store, puts=[put_of("a", 1)]).status)
        store.set_faults(StoreFaults(down=Refusal.RESET))
        with case.assertRaises(NoAnswerError):
            transact(store, puts=[put_of("a", 1)])
        store.set_faults(StoreFaults(down=Refusal.SILENT))
        with case.assertRaises(TimeoutError):
            call(store.address, "GET", f"{ROWS_GET}?table=my", timeout_s=SILENCE_S)
        store.set_faults()
        case.assertEqual([], keys(get(store)))


def test_the_store_may_be_down_for_some_tables() -> None:
    with deployment() as running:
        faults = StoreFaults(down=Refusal.UNAVAILABLE, tables=frozenset({"my"}))
        running.store.set_faults(faults)
        case.assertEqual(503, transact(running.store, puts=[put_of("a", 1)]).status)
        case.assertEqual(503, get(running.store).status)
        case.assertEqual(200, get(running.store, "table=op&part=").status)


def test_calls_beyond_the_rates_are_too_many() -> None:
    limits = StoreLimits(writes_per_s=1.0, reads_per_s=1.0)
    with Deployment(None, limits) as running:
        writes = [transact(running.store, puts=[put_of("a", 1)]) for _ in range(2)]
        reads = [get(running.store) for _ in range(2)]
    case.assertEqual([200, 429], [result.status for result in writes])
    case.assertEqual([200, 429], [result.status for result in reads])


def test_a_feed_that_waits_while_the_store_goes_down_is_turned_away() -> None:
    with deployment() as running, Channel(running.store.address) as channel:
        ver = get(running.store).json()["ver"]
        channel.send("GET", f"{ROWS_FEED}?table=my&after={ver}&wait-ms=30000")
        eventually(lambda: running.store.calls[f"GET {ROWS_FEED}"] == 1)
        running.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        running.store.put("my", "a", 1, "p")
        case.assertEqual(503, channel.read_answer().status)


def test_a_feed_tells_what_stale_reads_hid() -> None:
    with deployment() as running, Channel(running.store.address) as channel:
        ver = get(running.store).json()["ver"]
        running.store.set_faults(StoreFaults(stale_reads=True))
        running.store.put("my", "a", 1, "p")
        channel.send("GET", f"{ROWS_FEED}?table=my&after={ver}&wait-ms=30000")
        eventually(lambda: running.store.calls[f"GET {ROWS_FEED}"] == 1)
        running.store.set_faults()
        case.assertEqual(["a"], keys(channel.read_answer()))


def test_a_lost_answer_leaves_the_write_done_and_its_channel_silent() -> None:
    with deployment() as running, Channel(running.store.address, SILENCE_S) as channel:
        running.store.set_faults(StoreFaults(lost_answers=1))
        body = b'{"puts":[{"table":"my","part":"p","key":"a","value":""}]}'
        channel.send("POST", ROWS_TX, {}, body)
        channel.send("GET", f"{ROWS_GET}?table=my&part=p")
        with case.assertRaises(TimeoutError):
            channel.read_answer()
        case.assertEqual(["a"], keys(get(running.store)))
        case.assertEqual(200, transact(running.store, puts=[put_of("b", 1)]).status)


def test_all_answers_may_be_lost() -> None:
    with deployment() as running:
        running.store.set_faults(StoreFaults(lost_answers=LOSE_ALL))
        for _ in range(2):
            with case.assertRaises(TimeoutError):
                call(running.store.address, "POST", ROWS_TX, {}, b"{}", SILENCE_S)


def test_a_late_write_is_done_only_if_its_condition_still_holds() -> None:
    with deployment() as running, Channel(running.store.address, SILENCE_S) as channel:
        store = running.store
        store.set_faults(StoreFaults(late_by=timedelta(milliseconds=50)))
        start = get(store).json()["ver"]
        body = b'{"puts":[{"table":"my","part":"p","key":"a","value":""}]}'
        channel.send("POST", ROWS_TX, {}, body)
        late = feed(store, start, 10_000)
        case.assertEqual(["a"], keys(late))
        with case.assertRaises(TimeoutError):
            channel.read_answer()


def test_stale_reads_show_the_rows_of_before() -> None:
    with deployment() as running:
        running.store.set_faults(StoreFaults(stale_reads=True))
        running.store.put("my", "a", 1, "p")
        case.assertEqual([], keys(get(running.store)))
        running.store.set_faults()
        case.assertEqual(["a"], keys(get(running.store)))


def test_a_restored_store_has_lost_what_was_written_since_the_copy() -> None:
    with deployment() as running:
        running.store.put("my", "a", 1, "p")
        copy = running.store.copy_rows()
        kept = get(running.store)
        running.store.put("my", "b", 1, "p")
        running.store.restore(copy)
        restored = get(running.store)
        case.assertEqual(["a"], keys(restored))
        case.assertEqual(kept.json()["ver"], restored.json()["ver"])
        eras = [int(each.headers[STORE_ERA.lower()]) for each in (kept, restored)]
        case.assertEqual(eras[0] + 1, eras[1])


def test_a_feed_from_a_version_that_a_restored_store_lacks_is_answered_410() -> None:
    with deployment() as running, Channel(running.store.address) as channel:
        copy = running.store.copy_rows()
        newest = running.store.put("my", "a", 1, "p")
        channel.send("GET", f"{ROWS_FEED}?table=my&after={newest}&wait-ms=30000")
        running.store.restore(copy)
        case.assertEqual(410, channel.read_answer().status)
        case.assertEqual(410, feed(running.store, newest).status)
        case.assertEqual(200, feed(running.store, newest - 1).status)


def test_what_was_written_since_the_copy_is_written_again() -> None:
    with deployment() as running:
        desk = running.add_desk(EndpointSettings(DESKS))
        copy = running.store.copy_rows()
        assert running.config is not None
        running.configure(running.config)
        running.beat(desk)
        running.restore(copy)
        for table, key in ((TABLE_OPERATOR, KEY_CONFIG), (TABLE_SERVERS, desk.id)):
            row = running.store.read(table, key)
            assert row is not None
            case.assertGreater(row.ver, copy.ver)


def test_a_refusal_names_the_era() -> None:
    with deployment() as running:
        running.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
        refused = get(running.store)
        case.assertEqual(503, refused.status)
        case.assertIn(STORE_ERA.lower(), refused.headers)


def test_only_given_peers_are_turned_away() -> None:
    by_address = TurnedAway(Refusal.UNAVAILABLE, addresses=frozenset({"127.0.0.9"}))
    by_header = TurnedAway(Refusal.TOO_MANY, header="X-Peer", values=frozenset({"n-1"}))
    path = f"{ROWS_GET}?table=my"
    with deployment() as running:
        address = running.store.address
        running.store.set_faults(StoreFaults(turned_away=by_address))
        case.assertEqual(503, call(address, "GET", path, source="127.0.0.9").status)
        case.assertEqual(200, call(address, "GET", path).status)
        running.store.set_faults(StoreFaults(turned_away=by_header))
        case.assertEqual(429, call(address, "GET", path, {"X-Peer": "n-1"}).status)
        case.assertEqual(200, call(address, "GET", path, {"X-Peer": "n-2"}).status)


def test_open_connections_fall_silent_while_new_ones_work() -> None:
    with deployment() as running, Channel(running.store.address, SILENCE_S) as channel:
        path = f"{ROWS_GET}?table=my"
        channel.send("GET", path)
        case.assertEqual(200, channel.read_answer().status)
        running.store.silence_connections()
        channel.send("GET", path)
        with case.assertRaises(TimeoutError):
            channel.read_answer()
        case.assertEqual(200, call(running.store.address, "GET", path).status)


def test_a_deployment_leaves_no_thread_behind() -> None:
    before = threading.active_count()
    with deployment() as running, Channel(running.store.address) as channel:
        newest = running.store.rows.ver
        channel.send("GET", f"{ROWS_FEED}?table=my&after={newest}&wait-ms=30000")
    case.assertEqual(before, threading.active_count())


def test_the_store_is_stopped_without_a_deployment() -> None:
    thread = LoopThread()
    thread.start()
    store = Store(thread)
    store.start()
    store.write(Transaction(removed=(RowName("my", "", "none"),)))
    store.stop()
    thread.stop()
    thread.stop()
    case.assertFalse(thread.thread.is_alive())


load_tests = function_tests(__name__)
