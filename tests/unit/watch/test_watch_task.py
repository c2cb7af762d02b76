"""Tests of the probing task."""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from mimosafork.clock import SystemClock
from mimosafork.ids import Digest, EndpointId, Incarnation
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.fleet import (
    CacheEvent,
    CacheEventKind,
    CacheEventsReported,
    CacheSnapshotReported,
    EndpointKind,
    LoadReport,
    LoadReported,
    ProbeFailed,
)
from mimosafork.kernel.messages.watch import (
    FetchCacheSnapshot,
    WatchedEndpoint,
    WatchEndpoints,
)
from mimosafork.watch.documents import load_report as decode
from mimosafork.watch.errors import EndpointUnreachableError, NoValidAnswerError
from mimosafork.watch.task import WatchTask
from tests.support.functions import function_tests
from tests.support.kernels import load_report
from tests.support.waiting import eventually

FROZEN_FOR_S = 0.2
PERIOD = timedelta(milliseconds=20)


@dataclass
class FakeReader:
    """Fake of the calls to endpoints, without a network.

    Attributes
    ----------
    freezing : set of str
        Endpoints that block each call until its timeout.
    held : threading.Event
        Releases the blocked calls when set.
    """

    freezing: set[str] = field(default_factory=set)
    refusing: set[str] = field(default_factory=set)
    failing_once: set[str] = field(default_factory=set)
    incarnation: int = 1
    newest: int = 0
    asked_after: list[int] = field(default_factory=list)
    sequence: int = 0
    held: threading.Event = field(default_factory=threading.Event)

    def load(self, endpoint: EndpointId, address: str) -> LoadReport:
        """Return a report, or fail as configured."""
        if endpoint in self.failing_once:
            self.failing_once.discard(endpoint)
            raise NoValidAnswerError("once")
        if endpoint in self.refusing:
            raise EndpointUnreachableError("refused")
        if endpoint in self.freezing:
            self.held.wait(FROZEN_FOR_S)
            raise NoValidAnswerError("timed out")
        self.sequence += 1
        return load_report(endpoint, self.sequence)

    def events(
        self, endpoint: EndpointId, address: str, after: int
    ) -> CacheEventsReported:
        """Return the events after a sequence number."""
        self.asked_after.append(after)
        events = tuple(
            CacheEvent(number, CacheEventKind.STORED, Digest("aa"), 1024)
            for number in range(after + 1, self.newest + 1)
        )
        incarnation = Incarnation(self.incarnation)
        return CacheEventsReported(endpoint, incarnation, after, self.newest, events)

    def snapshot(self, endpoint: EndpointId, address: str) -> CacheSnapshotReported:
        """Return an empty cache at the newest sequence number."""
        incarnation = Incarnation(self.incarnation)
        return CacheSnapshotReported(endpoint, incarnation, self.newest, ())


def test_frozen_endpoints_do_not_delay_the_probes_of_others() -> None:
    """Six of ten endpoints accept calls and never answer.

    Each of their probes blocks a thread until its timeout. In a shared thread pool the
    other four would be probed too rarely and be considered unresponsive.
    """
    names = [f"e{number}" for number in range(10)]
    reader = FakeReader(freezing=set(names[:6]))
    with _watching(reader, names) as posted:
        eventually(lambda: len(set(_failed(posted))) == 6)
        begun = Counter(_reported(posted))
        failed_before = Counter(_failed(posted))
        eventually(
            lambda: all(
                Counter(_reported(posted))[name] - begun[name] >= 4
                for name in names[6:]
            )
        )
        failed = Counter(_failed(posted)) - failed_before

    assert sum(failed.values()) <= 6


def test_refused_connection_is_reported_immediately() -> None:
    reader = FakeReader(refusing={"e1"})
    with _watching(reader, ["e1"], period=timedelta(hours=1)) as posted:
        eventually(lambda: _failed(posted) == ["e1"])


def test_single_timeout_is_tolerated() -> None:
    reader = FakeReader(failing_once={"e1"})
    with _watching(reader, ["e1"]) as posted:
        eventually(lambda: len(_reported(posted)) >= 2)

        assert _failed(posted) == []


def test_recovered_endpoint_is_reported() -> None:
    reader = FakeReader(refusing={"e1"})
    with _watching(reader, ["e1"]) as posted:
        eventually(lambda: bool(_failed(posted)))
        reader.refusing.clear()
        eventually(lambda: bool(_reported(posted)))


def test_unexpected_error_does_not_stop_probing() -> None:
    reader = FakeReader()
    answer = reader.load
    faults = iter([ZeroDivisionError("a fault in the reader")])

    def load(endpoint: EndpointId, address: str) -> LoadReport:
        for fault in faults:
            raise fault
        return answer(endpoint, address)

    reader.load = load  # type: ignore[method-assign]
    with _watching(reader, ["e1"]) as posted:
        eventually(lambda: bool(_reported(posted)))


def test_only_the_primary_watcher_reads_cache_events() -> None:
    reader = FakeReader(newest=3)
    with _watching(reader, ["e1"], first=False) as posted:
        eventually(lambda: len(_reported(posted)) >= 3)

    assert reader.asked_after == []


def test_restarted_engine_is_read_by_snapshot() -> None:
    """An engine restarts with an empty cache and numbers its events from one.

    A request for events after the old number would return none, and the index would
    keep the prefixes of the previous incarnation.
    """
    reader = FakeReader(newest=40)
    with _watching(reader, ["e1"]) as posted:
        eventually(lambda: _snapshots(posted) == [(1, 40)])
        reader.incarnation, reader.newest = 2, 1
        eventually(lambda: _snapshots(posted)[-1] == (2, 1))


def test_snapshot_is_read_on_request() -> None:
    reader = FakeReader(newest=7)
    with _watching(reader, ["e1"]) as posted:
        eventually(lambda: len(_snapshots(posted)) == 1)
        posted.task.send(FetchCacheSnapshot(EndpointId("e1")))
        eventually(lambda: len(_snapshots(posted)) == 2)


def test_report_of_another_endpoint_is_rejected() -> None:
    body = b'{"endpoint":"e9","incarnation":1,"sequence":1}'
    try:
        decode(body, EndpointId("e1"))
    except NoValidAnswerError:
        return
    raise AssertionError("the load of another endpoint was accepted for e1")


def test_invalid_bodies_are_rejected() -> None:
    for body in (b"", b"[]", b"<html>", b'{"endpoint":"e1","incarnation":"x"}'):
        try:
            decode(body, EndpointId("e1"))
        except NoValidAnswerError:
            continue
        raise AssertionError(body)


@dataclass
class Posted:
    """Messages that a watch task posted to the kernel."""

    task: WatchTask
    messages: list[Message]


@contextmanager
def _watching(
    reader: FakeReader,
    names: list[str],
    first: bool = True,
    period: timedelta = PERIOD,
) -> Iterator[Posted]:
    messages: list[Message] = []
    task = WatchTask(
        reader, SystemClock(), Random(3), messages.append, period, timedelta(0)
    )
    target = WatchedEndpoint(EndpointId(""), "", EndpointKind.MODEL_ENGINE, first)
    watched = tuple(replace(target, endpoint=EndpointId(name)) for name in names)
    task.start()
    task.send(WatchEndpoints(watched))
    try:
        yield Posted(task, messages)
    finally:
        reader.held.set()
        task.stop()


def _reported(posted: Posted) -> list[str]:
    return [
        each.report.endpoint
        for each in list(posted.messages)
        if isinstance(each, LoadReported)
    ]


def _failed(posted: Posted) -> list[str]:
    return [
        each.endpoint for each in list(posted.messages) if isinstance(each, ProbeFailed)
    ]


def _snapshots(posted: Posted) -> list[tuple[int, int]]:
    return [
        (each.incarnation, each.sequence)
        for each in list(posted.messages)
        if isinstance(each, CacheSnapshotReported)
    ]


load_tests = function_tests(__name__)
