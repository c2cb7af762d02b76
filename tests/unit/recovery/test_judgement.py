"""Which holdings are freed, and which are left alone."""

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
from mimosafork.policies.recovery import LIST_PERIOD, REMOVED_FOR, Recovery
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
def cleaner() -> Iterator[Bench]:
    """Give a kernel that holds the lease for cleaning for a day."""
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


def listed(bench: Bench, *instances: EntryInstance) -> None:
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


def freed(bench: Bench, *holdings: Holding) -> list[FreeReason]:
    effects = bench.handle(HoldingsListed(EndpointId("e1"), holdings))
    return [each.reason for each in effects if isinstance(each, FreeHolding)]


def pass_with_lists(bench: Bench, span: timedelta, *present: EntryInstance) -> None:
    for _ in range(span // SECOND):
        bench.clock.advance(SECOND)
        listed(bench, *present)


def test_everything_of_a_replaced_owner_is_freed() -> None:
    """An entry instance is killed with streams, reservations and exports open.

    It comes back under its name. Nobody remembers what its former life held; the
    engine's memory would be smaller until every deadline has passed.
    """
    with cleaner() as bench:
        listed(bench, instance("i2", incarnation=2))
        held = [holding(kind=kind) for kind in HoldingKind]
        assert freed(bench, *held) == [FreeReason.OWNER_REPLACED] * 3
        assert freed(bench, holding(incarnation=2)) == []


def test_replacement_is_also_heard_from_peers() -> None:
    with cleaner() as bench:
        member = Member(
            InstanceId("i2"),
            Incarnation(2),
            AvailabilityZoneId(ZONE),
            "a:2",
            MemberState.LIVE,
            Revision(1),
        )
        bench.handle(MembersChanged((member,), ()))
        assert freed(bench, holding()) == [FreeReason.OWNER_REPLACED]


def test_cut_off_owner_keeps_its_streams() -> None:
    """An owner is cut off from its peers and from the platform, and serves on.

    From here it looks dead: peers do not hear it, and the list that it can't renew
    shows it for as long as the platform keeps it. Its clerks read their answers.
    """
    with cleaner() as bench:
        suspect = Member(
            InstanceId("i2"),
            Incarnation(1),
            ZONE,
            "a:2",
            MemberState.SUSPECT,
            Revision(1),
        )
        bench.handle(MembersChanged((suspect,), ()))
        pass_with_lists(bench, 2 * REMOVED_FOR, instance("i2"))
        assert freed(bench, holding()) == []


def test_owner_that_drops_from_the_list_for_a_while_keeps_its_streams() -> None:
    with cleaner() as bench:
        pass_with_lists(bench, SECOND, instance("i2"))
        pass_with_lists(bench, REMOVED_FOR - 2 * SECOND)
        assert freed(bench, holding()) == []
        pass_with_lists(bench, SECOND, instance("i2"))
        pass_with_lists(bench, REMOVED_FOR - 2 * SECOND)
        assert freed(bench, holding()) == []


def test_owner_removed_from_the_list_for_long_is_cleaned_up_after() -> None:
    """An instance is killed and never replaced under its name."""
    with cleaner() as bench:
        pass_with_lists(bench, SECOND, instance("i2"))
        pass_with_lists(bench, REMOVED_FOR + SECOND)
        assert freed(bench, holding()) == [FreeReason.OWNER_REMOVED]


def test_time_without_a_list_is_no_evidence() -> None:
    """The platform is out for an hour between two lists, the second one partial."""
    with cleaner() as bench:
        listed(bench, instance("i2"))
        bench.clock.advance(timedelta(hours=1))
        listed(bench)
        assert freed(bench, holding()) == []


def test_owner_that_peers_hear_is_not_removed() -> None:
    with cleaner() as bench:
        member = Member(
            InstanceId("i2"), Incarnation(1), ZONE, "a:2", MemberState.LIVE, Revision(1)
        )
        bench.handle(MembersChanged((member,), ()))
        bench.kernel.state.fleet.members = {member.instance: member}
        pass_with_lists(bench, 2 * REMOVED_FOR)
        assert freed(bench, holding()) == []


def test_holding_past_its_deadline_is_freed_whoever_owns_it() -> None:
    """An engine that lost its timer would keep the memory for good."""
    with cleaner() as bench:
        listed(bench, instance("i2"))
        assert freed(bench, holding(left=-SECOND)) == []
        overdue = holding(left=-10 * SECOND)
        assert freed(bench, overdue) == [FreeReason.PAST_DEADLINE]


def test_stream_that_a_returning_caller_may_read_is_left_to_its_deadline() -> None:
    """An entry instance dies in mid-answer; its caller comes back through another.

    The other one reads the same stream on. It still carries the dead owner's name.
    """
    with cleaner() as bench:
        listed(bench, instance("i2", incarnation=2))
        request = model_request("r1", idempotency_key="k")
        (name,) = stream_ids(stream_base_of(request, 3), 1)
        assert freed(bench, holding(name=name)) == []
        assert freed(bench, holding(name="r1.1")) == [FreeReason.OWNER_REPLACED]
        overdue = holding(name=name, left=-10 * SECOND)
        assert freed(bench, overdue) == [FreeReason.PAST_DEADLINE]


def test_only_the_lease_holder_looks_and_frees() -> None:
    with cleaner() as bench:
        listed(bench, instance("i2", incarnation=2))
        bench.handle(lease(bench.clock.monotonic()))
        bench.clock.advance(2 * LIST_PERIOD)
        bench.effects.clear()
        bench.handle(Tick())
        assert freed(bench, holding()) == []
        assert not bench.effects


def test_own_zone_s_engines_are_listed_once_a_period() -> None:
    with cleaner() as bench:
        for _ in range(4 * LIST_PERIOD // SECOND):
            bench.handle_after(SECOND, Tick())
        asked = [each.endpoint for each in bench.emitted(ListHoldings)]
        assert set(asked) == {"e1", "e2"}
        assert 6 <= len(asked) <= 8


def test_replaced_owner_is_looked_after_at_once() -> None:
    """Memory of a killed instance comes back in seconds, not at the next round."""
    with cleaner() as bench:
        listed(bench, instance("i2"))
        bench.effects.clear()
        listed(bench, instance("i2", incarnation=2))
        asked = {(each.endpoint, each.owner) for each in bench.emitted(ListHoldings)}
        assert asked == {("e1", "i2"), ("e2", "i2")}


def test_old_list_does_not_bring_a_former_life_back() -> None:
    with cleaner() as bench:
        listed(bench, instance("i2", incarnation=2))
        listed(bench, instance("i2", incarnation=1))
        assert freed(bench, holding(incarnation=2)) == []
        assert freed(bench, holding(incarnation=1)) == [FreeReason.OWNER_REPLACED]


load_tests = function_tests(__name__)
