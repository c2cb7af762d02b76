"""The index of prefix caches, and its recovery from missed changes."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from random import Random
from typing import Any

from mimosafork.ids import Digest, EndpointId, Incarnation
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.cache import (
    CacheChanges,
    CacheChangesReceived,
    CacheSummary,
    CacheSummaryReceived,
    CacheSummaryRequest,
    CacheSummaryRequestReceived,
)
from mimosafork.kernel.messages.fleet import (
    CacheEvent,
    CacheEventKind,
    CacheEventsReported,
    CacheSnapshotReported,
)
from mimosafork.kernel.messages.peers import Origin, PeerValue, Publish
from mimosafork.kernel.messages.requests import PrefixMark
from mimosafork.kernel.messages.watch import FetchCacheSnapshot, endpoint_key
from mimosafork.kernel.registry import create
from mimosafork.policies.affinity import PrefixAffinity
from mimosafork.policies.cache_index import CachedPrefix, CacheIndex
from mimosafork.policies.mark_set import MarkSet, short_mark, to_bytes
from mimosafork.policies.membership import Membership
from tests.support.functions import function_tests
from tests.support.kernels import (
    Bench,
    engine_entry,
    model_request,
    running_kernel,
)
from tests.support.peer_nodes import identity
from tests.support.zones import PLUGINS, Deployment, members

E1 = EndpointId("e1")
SHORT = PrefixMark(Digest("00000000aaaaaaaa"), 1024)
MIDDLE = PrefixMark(Digest("11111111aaaaaaaa"), 8192)
LONG = PrefixMark(Digest("22222222aaaaaaaa"), 65_536)
PROMPT = (SHORT, MIDDLE, LONG)


def test_longest_cached_prefix_is_found() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, SHORT, MIDDLE))

        assert _cached(bench) == CachedPrefix(8192, False)

        bench.handle(_events(10, 12, (11, "stored", LONG), (12, "evicted", MIDDLE)))
        assert _cached(bench) == CachedPrefix(65_536, False)


def test_unknown_endpoint_is_maybe_stale() -> None:
    with _watching_kernel() as bench:
        assert _cached(bench) == CachedPrefix(0, True)


def test_event_gap_marks_cache_stale_until_next_snapshot() -> None:
    """An engine drops one of its cache events, the eviction of a long prefix.

    Without gap detection the prompt would be routed there indefinitely, and the
    engine would prefill it anew each time.
    """
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, LONG))
        bench.clock.advance(timedelta(seconds=30))

        bench.handle(_events(10, 12, (12, "stored", SHORT)))

        assert _cached(bench) == CachedPrefix(65_536, True)
        assert bench.emitted(FetchCacheSnapshot) == [FetchCacheSnapshot(E1)]
        bench.handle(_snapshot(1, 12, SHORT))
        assert _cached(bench) == CachedPrefix(1024, False)


def test_lost_last_event_is_detected() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, LONG))

        bench.handle(_events(10, 12, (11, "stored", SHORT)))

        assert _cached(bench).maybe_stale


def test_snapshot_requests_are_rate_limited() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 0))
        for number in range(0, 40, 2):
            bench.clock.advance(timedelta(seconds=1))
            bench.handle(_events(number, number + 2, (number + 2, "stored", SHORT)))

        assert len(bench.emitted(FetchCacheSnapshot)) == 2


def test_events_older_than_snapshot_are_ignored() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 20, LONG))

        bench.handle(_events(10, 12, (11, "evicted", LONG), (12, "stored", SHORT)))

        assert _cached(bench) == CachedPrefix(65_536, False)


def test_events_of_another_incarnation_are_not_applied() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, LONG))

        bench.handle(_events(10, 11, (11, "stored", SHORT), incarnation=2))

        assert bench.emitted(FetchCacheSnapshot) == [FetchCacheSnapshot(E1)]
        assert _cached(bench) == CachedPrefix(65_536, False)


def test_new_watcher_publishes_summary_then_changes() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, SHORT, LONG))
        bench.handle(Tick())
        (summary,) = _published(bench, CacheSummary)
        assert summary.marks == to_bytes(sorted(map(_short, (SHORT, LONG))))

        bench.handle(_events(10, 12, (11, "evicted", LONG), (12, "stored", MIDDLE)))
        bench.clock.advance(timedelta(seconds=3))
        bench.handle(Tick())

        (changes,) = _published(bench, CacheChanges)
        assert (changes.stored, changes.evicted) == (
            to_bytes([_short(MIDDLE)]),
            to_bytes([_short(LONG)]),
        )


def test_prefix_stored_and_evicted_is_not_published() -> None:
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10))
        bench.handle(_events(10, 12, (11, "stored", LONG), (12, "evicted", LONG)))
        bench.clock.advance(timedelta(seconds=3))
        bench.handle(Tick())

        assert _published(bench, CacheChanges) == []


def test_missed_batch_marks_cache_stale_and_requests_summary() -> None:
    """A batch of a peer's changes is overwritten before this instance receives it.

    Evictions in it would be missed, and prompts routed to where nothing is cached.
    """
    with _receiving_kernel() as bench:
        bench.handle(_received_summary(4, LONG))
        bench.handle(_received_changes(5, stored=(SHORT,)))
        assert not _cached(bench).maybe_stale

        bench.handle(_received_changes(7, stored=(MIDDLE,)))

        assert _cached(bench) == CachedPrefix(65_536, True)
        bench.clock.advance(timedelta(seconds=60))
        bench.handle(Tick())
        assert len(_published(bench, CacheSummaryRequest)) == 1
        bench.handle(_received_summary(7, MIDDLE))
        assert _cached(bench) == CachedPrefix(8192, False)


def test_summary_older_than_applied_batch_is_ignored() -> None:
    with _receiving_kernel() as bench:
        bench.handle(_received_summary(4, LONG))
        bench.handle(_received_changes(5, evicted=(LONG,)))

        bench.handle(_received_summary(4, LONG))

        assert _cached(bench).tokens == 0


def test_batch_of_another_watcher_is_not_taken_as_next() -> None:
    with _receiving_kernel() as bench:
        bench.handle(_received_summary(4, LONG))

        bench.handle(_received_changes(5, stored=(SHORT,), name="i3"))

        assert _cached(bench) == CachedPrefix(1024, True)


def test_summary_request_of_peer_is_not_repeated() -> None:
    with _receiving_kernel() as bench:
        bench.handle(CacheSummaryRequestReceived(endpoint_key(E1), _origin("i3")))
        bench.clock.advance(timedelta(seconds=10))
        bench.handle(Tick())

        assert _published(bench, CacheSummaryRequest) == []


def test_cache_spreads_to_zone_and_late_instance() -> None:
    plugins = (*PLUGINS, "cache-index")
    entries = [engine_entry("e1")]
    zone = Deployment({"az-1": 4}, entries, plugins)
    late = zone.named("az-1-i3")
    late.frozen = True
    zone.list_endpoints(*entries)
    zone.steps(12)
    first = next(
        each
        for each in zone.instances
        if any(watched.is_primary for watched in each.watched)
    )
    first.handle(_snapshot(1, 10, *PROMPT))
    zone.steps(4)
    running = [each for each in zone.instances if not each.frozen]
    expected = CachedPrefix(65_536, False)
    assert [_known_by(each.kernel) for each in running] == [expected] * 3

    zone.steps(60)
    late.frozen = False
    zone.list_endpoints(*entries)
    zone.steps(20)

    assert _known_by(late.kernel) == expected


def test_routing_uses_the_index() -> None:
    """A prompt whose prefix e1 caches for another instance arrives here.

    Routed to another engine, the prefix would be prefilled once more.
    """
    with _watching_kernel() as bench:
        bench.handle(_snapshot(1, 10, *PROMPT))
        affinity = bench.kernel.plugin(PrefixAffinity)
        request = model_request("r1", prompt_tokens=70_000, prefix_marks=PROMPT)

        assert affinity.holders(request, bench.clock.monotonic()) == {E1: 65_536}

        bench.handle(_events(10, 12, (12, "stored", SHORT)))
        assert affinity.holders(request, bench.clock.monotonic()) == {}


def test_mark_set_agrees_with_a_python_set() -> None:
    random = Random(11)
    known: set[int] = set()
    marks = MarkSet()
    for _ in range(3_000):
        mark = random.randrange(500) * 8_000_000
        if random.random() < 0.5:
            known.add(mark)
            marks.add(mark)
        else:
            known.discard(mark)
            marks.discard(mark)
    assert list(marks) == sorted(known)
    assert all(
        (mark in marks) == (mark in known) for mark in range(0, 10**9, 8 * 10**6)
    )


@contextmanager
def _watching_kernel() -> Iterator[Bench]:
    """Run a kernel that reads e1's cache events."""
    with running_kernel(
        create((*PLUGINS, "cache-index", "prefix-affinity")), [engine_entry("e1")]
    ) as bench:
        yield bench


@contextmanager
def _receiving_kernel() -> Iterator[Bench]:
    """Run a kernel that receives e1's cache from its watchers, i2 and i3."""
    with _watching_kernel() as bench:
        names = [f"i{number}" for number in range(1, 20)]
        bench.handle(members(*names))
        assert bench.kernel.plugin(Membership).watched_endpoint(E1) is None
        bench.handle(Tick())
        bench.clock.advance(timedelta(seconds=40))
        bench.effects.clear()
        yield bench


def _cached(bench: Bench) -> CachedPrefix:
    return bench.kernel.plugin(CacheIndex).cached_tokens(E1, PROMPT)


def _known_by(kernel: Kernel) -> CachedPrefix:
    return kernel.plugin(CacheIndex).cached_tokens(E1, PROMPT)


def _short(mark: PrefixMark) -> int:
    return short_mark(mark.digest)


def _snapshot(
    incarnation: int, sequence: int, *marks: PrefixMark
) -> CacheSnapshotReported:
    return CacheSnapshotReported(E1, Incarnation(incarnation), sequence, marks)


def _events(
    after: int,
    newest: int,
    *events: tuple[int, str, PrefixMark],
    incarnation: int = 1,
) -> CacheEventsReported:
    cache_events = tuple(
        CacheEvent(number, CacheEventKind(kind), mark.digest, mark.tokens)
        for number, kind, mark in events
    )
    return CacheEventsReported(
        E1, Incarnation(incarnation), after, newest, cache_events
    )


def _origin(name: str) -> Origin:
    instance_identity = identity(name)
    return Origin(
        instance_identity.instance,
        instance_identity.incarnation,
        instance_identity.availability_zone,
        timedelta(0),
    )


def _received_changes(
    batch: int,
    stored: tuple[PrefixMark, ...] = (),
    evicted: tuple[PrefixMark, ...] = (),
    name: str = "i2",
) -> CacheChangesReceived:
    changes = CacheChanges(
        Incarnation(1),
        batch,
        to_bytes(map(_short, stored)),
        to_bytes(map(_short, evicted)),
    )
    return CacheChangesReceived(endpoint_key(E1), changes, _origin(name))


def _received_summary(batch: int, *marks: PrefixMark) -> CacheSummaryReceived:
    summary = CacheSummary(Incarnation(1), batch, to_bytes(map(_short, marks)))
    return CacheSummaryReceived(endpoint_key(E1), summary, _origin("i2"))


def _published(bench: Bench, kind: type[PeerValue]) -> list[Any]:
    return [
        each.value for each in bench.emitted(Publish) if isinstance(each.value, kind)
    ]


load_tests = function_tests(__name__)
