"""Tests of which holdings are freed and which are kept."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    FencingNumber,
    Incarnation,
    InstanceId,
    Revision,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from mimosafork.kernel.messages.leases import Duty, Lease, LeaseChanged
from mimosafork.kernel.messages.peers import Member, MembersChanged, MemberState
from mimosafork.kernel.messages.recovery import (
    FreeHolding,
    FreeReason,
    Holding,
    HoldingKind,
    HoldingsListed,
    ListHoldings,
)
from mimosafork.policies.claims.keys import stream_base_of, stream_ids
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.recovery import LIST_INTERVAL, REMOVED_AFTER, Recovery
from mimosafork.policies.retry import BoundedRetry
from tests.support.functions import function_tests
from tests.support.kernels import (
    ZONE,
    Bench,
    engine_entry,
    model_request,
    running_kernel,
)

SECOND = timedelta(seconds=1)
ENGINES = (engine_entry("e1"), engine_entry("e2"))
FOREIGN_ENGINE = engine_entry("e9", zone="az-2")


def lease(until: timedelta) -> LeaseChanged:
    held = Lease(Duty.CLEANING, FencingNumber(1), timedelta(0), until)
    return LeaseChanged(Duty.CLEANING, held)


@contextmanager
def lease_holder() -> Iterator[Bench]:
    """Run a kernel that holds the cleaning lease for a day."""
    plugins = [Recovery(), BoundedRetry(), FirstCome()]
    with running_kernel(plugins, [*ENGINES, FOREIGN_ENGINE]) as bench:
        bench.handle(lease(timedelta(days=1)))
        yield bench


def instance(name: str, incarnation: int = 1) -> EntryInstance:
    return EntryInstance(
        InstanceId(name),
        "a:1",
        "a:2",
        ZONE,
        Incarnation(incarnation),
        LifecycleState.LIVE,
    )


def receive_list(bench: Bench, *instances: EntryInstance) -> None:
    engines: tuple[EndpointEntry, ...] = (*ENGINES, FOREIGN_ENGINE)
    bench.handle(InstancesListed(engines, instances))


def holding(
    owner: str = "i2",
    incarnation: int = 1,
    left: timedelta = 100 * SECOND,
    kind: HoldingKind = HoldingKind.STREAM,
    name: str = "r1.1",
) -> Holding:
    return Holding(kind, name, InstanceId(owner), Incarnation(incarnation), 10, left)


def free_reasons(bench: Bench, *holdings: Holding) -> list[FreeReason]:
    effects = bench.handle(HoldingsListed(EndpointId("e1"), holdings))
    return [each.reason for each in effects if isinstance(each, FreeHolding)]


def pass_time_with_lists(
    bench: Bench, span: timedelta, *present: EntryInstance
) -> None:
    for _ in range(span // SECOND):
        bench.clock.advance(SECOND)
        receive_list(bench, *present)


def test_everything_of_a_replaced_owner_is_freed() -> None:
    """Guards against memory that stays in use after an entry instance was killed.

    It restarts under its id, and nothing remembers the streams, reservations and
    exports of its earlier incarnation; they would stay until their deadlines.
    """
    with lease_holder() as bench:
        receive_list(bench, instance("i2", incarnation=2))
        held = [holding(kind=kind) for kind in HoldingKind]
        assert free_reasons(bench, *held) == [FreeReason.OWNER_REPLACED] * 3
        assert free_reasons(bench, holding(incarnation=2)) == []


def test_a_replacement_is_also_learned_from_peers() -> None:
    with lease_holder() as bench:
        member = Member(
            InstanceId("i2"),
            Incarnation(2),
            AvailabilityZoneId(ZONE),
            "a:2",
            MemberState.LIVE,
            Revision(1),
        )
        bench.handle(MembersChanged((member,), ()))
        assert free_reasons(bench, holding()) == [FreeReason.OWNER_REPLACED]


def test_a_partitioned_owner_keeps_its_streams() -> None:
    """Guards against freeing streams of an owner that still serves them.

    It is partitioned from its peers and the platform, so it looks dead from here: peers
    get no messages, and the instance list shows it only for as long as the platform
    keeps an entry that isn't renewed.
    """
    with lease_holder() as bench:
        suspect = Member(
            InstanceId("i2"),
            Incarnation(1),
            ZONE,
            "a:2",
            MemberState.SUSPECT,
            Revision(1),
        )
        bench.handle(MembersChanged((suspect,), ()))
        pass_time_with_lists(bench, 2 * REMOVED_AFTER, instance("i2"))
        assert free_reasons(bench, holding()) == []


def test_an_owner_missing_from_the_list_for_a_short_time_keeps_its_streams() -> None:
    with lease_holder() as bench:
        pass_time_with_lists(bench, SECOND, instance("i2"))
        pass_time_with_lists(bench, REMOVED_AFTER - 2 * SECOND)
        assert free_reasons(bench, holding()) == []
        pass_time_with_lists(bench, SECOND, instance("i2"))
        pass_time_with_lists(bench, REMOVED_AFTER - 2 * SECOND)
        assert free_reasons(bench, holding()) == []


def test_holdings_of_an_owner_that_left_the_list_are_freed() -> None:
    """An instance is killed and never replaced under its id."""
    with lease_holder() as bench:
        pass_time_with_lists(bench, SECOND, instance("i2"))
        pass_time_with_lists(bench, REMOVED_AFTER + SECOND)
        assert free_reasons(bench, holding()) == [FreeReason.OWNER_REMOVED]


def test_time_without_a_list_does_not_count_as_absence() -> None:
    """The platform is out for an hour between two lists, the second one partial."""
    with lease_holder() as bench:
        receive_list(bench, instance("i2"))
        bench.clock.advance(timedelta(hours=1))
        receive_list(bench)
        assert free_reasons(bench, holding()) == []


def test_an_owner_that_is_live_to_its_peers_keeps_its_streams() -> None:
    with lease_holder() as bench:
        member = Member(
            InstanceId("i2"), Incarnation(1), ZONE, "a:2", MemberState.LIVE, Revision(1)
        )
        bench.handle(MembersChanged((member,), ()))
        bench.kernel.state.fleet.members = {member.instance: member}
        pass_time_with_lists(bench, 2 * REMOVED_AFTER)
        assert free_reasons(bench, holding()) == []


def test_a_holding_past_its_deadline_is_freed_for_any_owner() -> None:
    """An engine that lost its timer would keep the memory for good."""
    with lease_holder() as bench:
        receive_list(bench, instance("i2"))
        assert free_reasons(bench, holding(left=-SECOND)) == []
        overdue = holding(left=-10 * SECOND)
        assert free_reasons(bench, overdue) == [FreeReason.PAST_DEADLINE]


def test_a_resumable_stream_is_kept_until_its_deadline() -> None:
    """Guards against freeing a stream that a reconnecting client may resume.

    An entry instance dies in the middle of an answer, and the client reconnects through
    another one, which attaches to the same stream. The stream still has the dead owner.
    """
    with lease_holder() as bench:
        receive_list(bench, instance("i2", incarnation=2))
        request = model_request("r1", idempotency_key="k")
        (name,) = stream_ids(stream_base_of(request, 3), 1)
        assert free_reasons(bench, holding(name=name)) == []
        assert free_reasons(bench, holding(name="r1.1")) == [FreeReason.OWNER_REPLACED]
        overdue = holding(name=name, left=-10 * SECOND)
        assert free_reasons(bench, overdue) == [FreeReason.PAST_DEADLINE]


def test_only_the_lease_holder_lists_and_frees() -> None:
    with lease_holder() as bench:
        receive_list(bench, instance("i2", incarnation=2))
        bench.handle(lease(bench.clock.monotonic()))
        bench.clock.advance(2 * LIST_INTERVAL)
        bench.effects.clear()
        bench.handle(Tick())
        assert free_reasons(bench, holding()) == []
        assert not bench.effects


def test_own_zone_s_engines_are_listed_once_a_period() -> None:
    with lease_holder() as bench:
        for _ in range(4 * LIST_INTERVAL // SECOND):
            bench.handle_after(SECOND, Tick())
        requested = [each.endpoint for each in bench.emitted(ListHoldings)]
        assert set(requested) == {"e1", "e2"}
        assert 6 <= len(requested) <= 8


def test_holdings_of_a_replaced_owner_are_listed_at_once() -> None:
    """Memory of a killed instance is freed in seconds, not in the next period."""
    with lease_holder() as bench:
        receive_list(bench, instance("i2"))
        bench.effects.clear()
        receive_list(bench, instance("i2", incarnation=2))
        requested = {
            (each.endpoint, each.owner) for each in bench.emitted(ListHoldings)
        }
        assert requested == {("e1", "i2"), ("e2", "i2")}


def test_an_old_list_does_not_restore_an_earlier_incarnation() -> None:
    with lease_holder() as bench:
        receive_list(bench, instance("i2", incarnation=2))
        receive_list(bench, instance("i2", incarnation=1))
        assert free_reasons(bench, holding(incarnation=2)) == []
        assert free_reasons(bench, holding(incarnation=1)) == [
            FreeReason.OWNER_REPLACED
        ]


load_tests = function_tests(__name__)
