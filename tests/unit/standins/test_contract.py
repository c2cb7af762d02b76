"""The system's own clients against the stand-ins.

Both sides are written after docs/PLATFORM.md; these tests show that they read it
alike.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from mimosafork.clock import SystemClock
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
)
from mimosafork.kernel.messages.fleet import EntryInstance, FencingMode, LifecycleState
from mimosafork.network.http import HttpClient
from mimosafork.standins import (
    EngineSettings,
    InstanceListStandin,
    ObjectStandin,
    ServiceSettings,
    ServiceStandin,
    TableLimits,
    TableStandin,
)
from mimosafork.standins.faults import LoseAnswers, Outage
from mimosafork.storage.breaker import CircuitBreaker
from mimosafork.storage.errors import StoreUnavailableError, UnknownResultError
from mimosafork.storage.instances import InstanceListClient
from mimosafork.storage.objects import ObjectClient, PreconditionFailedError
from mimosafork.storage.table import Condition, TableClient, Write, all_rows
from mimosafork.watch.documents import load_report
from tests.support.functions import function_tests
from tests.support.standins import Caller, running, running_engine

ENTRY = EntryInstance(
    InstanceId("entry-1"),
    "127.0.0.1:1",
    "127.0.0.1:2",
    AvailabilityZoneId("az-1"),
    Incarnation(3),
    LifecycleState.LIVE,
)


def client() -> HttpClient:
    """Return an HTTP client as instances have it."""
    return HttpClient(InstanceId("entry-1"))


def breaker() -> CircuitBreaker:
    """Return a breaker that stays closed for the few failures of a test."""
    return CircuitBreaker("store", SystemClock(), Random(1), failures_to_open=100)


@contextmanager
def table() -> Iterator[tuple[TableStandin, TableClient]]:
    """Run a table stand-in and give it with the system's client."""
    standin = TableStandin(SystemClock())
    with running(standin) as caller:
        yield standin, TableClient(client(), caller.address, breaker())


def test_the_table_client_writes_reads_and_is_told_conflicts() -> None:
    with table() as (_, rows):
        absent = Condition("t", "a/1", 0)
        written = rows.transact((absent,), (Write("t", "a/1", {"n": 1}),))
        again = rows.transact((absent,), (Write("t", "a/1", {"n": 2}),))
        row = rows.get("t", "a/1")
        listed = [each.key for each in all_rows(rows, "t", "a/")]
        missing = rows.get("t", "none")
    assert written.committed
    conflict = again.conflict_on("t", "a/1")
    assert conflict is not None
    assert conflict.value == {"n": 1}
    assert row is not None
    assert row.value == {"n": 1}
    assert (listed, missing) == (["a/1"], None)


def test_the_table_client_tells_a_lost_answer_from_an_outage() -> None:
    """The store's answer is lost once, and once the store is down.

    Only in the second case may the caller take the write as not done.
    """
    with table() as (standin, rows):
        standin.inject(LoseAnswers(1))
        raised: list[type[Exception]] = []
        for _ in range(2):
            try:
                rows.transact((), (Write("t", "k", {}),))
            except (StoreUnavailableError, UnknownResultError) as error:
                raised.append(type(error))
            standin.inject(Outage())
    assert raised == [UnknownResultError, StoreUnavailableError]


def test_calls_beyond_the_table_s_limit_are_not_done() -> None:
    limits = TableLimits(transactions_per_s=0.001)
    standin = TableStandin(SystemClock(), limits)
    with running(standin) as caller:
        rows = TableClient(client(), caller.address, breaker())
        rows.transact((), (Write("t", "first", {}),))
        try:
            rows.transact((), (Write("t", "second", {}),))
        except StoreUnavailableError:
            pass
        else:
            raise AssertionError("the limit did not bind")
        keys = [row.key for row in rows.page("t")]
    assert keys == ["first"]


def test_the_object_client_writes_on_conditions() -> None:
    with running(ObjectStandin(SystemClock())) as caller:
        objects = ObjectClient(client(), caller.address, breaker())
        first = objects.create("m/1", b"one")
        second = objects.replace("m/1", b"two", first)
        stored = objects.get("m/1")
        try:
            objects.replace("m/1", b"three", first)
        except PreconditionFailedError:
            pass
        else:
            raise AssertionError("an old tag was taken")
        objects.delete("m/1")
        objects.delete("m/1")
        gone = objects.get("m/1")
    assert stored is not None
    assert (stored.content, stored.etag, gone) == (b"two", second, None)


def test_the_instance_list_client_reads_what_it_entered() -> None:
    with running(InstanceListStandin(SystemClock(), lag_s=0.0)) as caller:
        instances = InstanceListClient(client(), caller.address)
        instances.register(ENTRY)
        listed = instances.read()
        instances.remove(ENTRY.instance)
        after = instances.read()
    assert listed.instances == (ENTRY,)
    assert after.instances == ()


def load_of(caller: Caller) -> bytes:
    """Return the body of a load report."""
    body: bytes = caller.call("GET", "/v1/load").data
    return body


def test_load_reports_are_read_as_they_are_meant() -> None:
    settings = EngineSettings(endpoint="e9", kv_capacity=1234)
    with running_engine(settings) as (_, caller):
        engine = load_report(load_of(caller), EndpointId("e9"))
    own = ServiceSettings()
    with running(ServiceStandin(own, SystemClock())) as caller:
        service = load_report(load_of(caller), EndpointId(own.endpoint))
    assert (engine.endpoint, engine.kv_capacity) == ("e9", 1234)
    assert (engine.models, engine.fencing) == (("demo",), FencingMode.CHECKED)
    assert (service.role, service.models) == ("service", ())


load_tests = function_tests(__name__)
