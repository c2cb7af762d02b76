"""What is published about endpoints, when, and by which instance."""

from contextlib import AbstractContextManager
from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.fleet import InstancesListed, LoadReported, ProbeFailed
from mimosafork.kernel.messages.peers import Origin, PeerValue, Publish
from mimosafork.kernel.messages.watch import (
    EndpointLoad,
    EndpointLoadReceived,
    EndpointProbeFailure,
    EndpointProfile,
    EndpointProfileReceived,
    endpoint_key,
)
from mimosafork.kernel.registry import create
from mimosafork.policies.membership import Membership
from tests.support.functions import function_tests
from tests.support.kernels import (
    Bench,
    engine_entry,
    load_report,
    running_kernel,
)
from tests.support.peer_nodes import identity
from tests.support.zones import PLUGINS, members

WATCHED = engine_entry("e1")


def test_primary_watcher_publishes_profile_once_and_load_at_interval() -> None:
    with _watching_kernel() as bench:
        for _ in range(8):
            bench.clock.advance(timedelta(milliseconds=500))
            bench.report("e1", running=1)

        assert len(_published(bench, EndpointProfile)) == 0
        assert len(_published(bench, EndpointLoad)) == 4


def test_draining_is_published_immediately() -> None:
    with _watching_kernel() as bench:
        bench.clock.advance(timedelta(milliseconds=100))

        bench.report("e1", draining=True)

        (load,) = _published(bench, EndpointLoad)
        assert load.urgent


def test_standby_watcher_publishes_when_primary_is_silent() -> None:
    """The primary watcher of an endpoint cannot publish to its peers.

    They would route by ever older loads, although the standby watcher probes the
    endpoint as well.
    """
    with _watching_kernel() as bench:
        second = _endpoint_watched_second(bench)
        bench.handle(members("i1", "i2"))
        origin = _origin("i2")
        for step in range(1, 10):
            bench.clock.advance(timedelta(seconds=1))
            if step <= 4:
                bench.handle(
                    EndpointLoadReceived(endpoint_key(second), _load(step), origin)
                )
            bench.report(second)
            published = [
                each
                for each in _published(bench, EndpointLoad)
                if each.key == endpoint_key(second)
            ]
            assert bool(published) == (step >= 8), step


def test_probe_failure_is_urgent_first_and_after_each_recovery() -> None:
    with _watching_kernel() as bench:
        for _ in range(2):
            bench.clock.advance(timedelta(seconds=1))
            bench.handle(ProbeFailed(WATCHED.endpoint))
            bench.clock.advance(timedelta(seconds=1))
            bench.handle(ProbeFailed(WATCHED.endpoint))
            bench.clock.advance(timedelta(seconds=1))
            bench.report("e1")

        assert [each.urgent for each in _published(bench, EndpointProbeFailure)] == [
            True,
            True,
        ]


def test_load_received_before_its_profile_is_deferred() -> None:
    far = engine_entry("f1", zone="az-2")
    with running_kernel(create(PLUGINS), [WATCHED]) as bench:
        bench.handle(InstancesListed((WATCHED, far), ()))
        origin = _origin("i9")
        bench.handle(EndpointLoadReceived(endpoint_key(far.endpoint), _load(3), origin))
        known = bench.kernel.state.fleet.endpoints
        assert known[far.endpoint].report is None
        bench.clock.advance(timedelta(seconds=2))

        bench.handle(
            EndpointProfileReceived(endpoint_key(far.endpoint), _profile(), origin)
        )

        report = known[far.endpoint].report
        assert report is not None and report.sequence == 3
        assert known[far.endpoint].reported_at == timedelta(0)


def test_received_reports_are_not_republished() -> None:
    with _watching_kernel() as bench:
        bench.clock.advance(timedelta(seconds=5))
        report = replace(load_report("e1", 50), running=3)

        bench.handle(LoadReported(report, probed_by=identity("i2").instance))

        assert _published(bench, EndpointLoad) == []


def _watching_kernel() -> AbstractContextManager[Bench]:
    """Run a kernel that watches all endpoints alone and has published them once."""
    entries = [WATCHED] + [engine_entry(f"e{number}") for number in range(2, 6)]
    return running_kernel(create(PLUGINS), entries)


def _endpoint_watched_second(bench: Bench) -> EndpointId:
    """Return an endpoint of which i1 is the standby watcher and i2 the primary."""
    bench.handle(members("i1", "i2"))
    watched = bench.kernel.plugin(Membership).watched or {}
    return next(each.endpoint for each in watched.values() if not each.is_primary)


def _published(bench: Bench, kind: type[PeerValue]) -> list[Publish]:
    return [each for each in bench.emitted(Publish) if isinstance(each.value, kind)]


def _origin(name: str) -> Origin:
    instance_identity = identity(name)
    return Origin(
        instance_identity.instance,
        instance_identity.incarnation,
        instance_identity.availability_zone,
        timedelta(0),
    )


def _load(sequence: int) -> EndpointLoad:
    return EndpointLoad(1, sequence, 0, 0, 0, 0, 0, False)


def _profile() -> EndpointProfile:
    report = load_report("f1", 1)
    return EndpointProfile(
        report.incarnation,
        report.kv_capacity,
        round(report.prefill_rate),
        report.models,
        report.fencing,
        report.role,
    )


load_tests = function_tests(__name__)
