"""Tests that the shares of a fleet's retry budget add up to the whole."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.retrying import RETRY_RATIO, BudgetedRetry
from mimosafork.gateway.upstream import TCP_USER_TIMEOUT_MS
from mimosafork.gossip.census import STARTED_TOGETHER
from mimosafork.gossip.finding import READ_AGAIN
from mimosafork.gossip.members import Address
from mimosafork.ids import RequestId

from ...support.call_rules import RETRY_WINDOW
from ...support.functions import function_tests
from ...support.gateway_kernels import PLAIN_SERVICE, gateway_bench, request_of
from ...support.gossip_instances import FakeRowStore, GossipInstance
from ...support.gossip_network import ZONES, identity, ms
from ...support.retrying_fleet import MAX_TRANSIT, RetryingFleet, RetryingInstance

case = TestCase()

CALM = timedelta(seconds=12)
FLOOD = timedelta(seconds=14)

SETTLES = RETRY_WINDOW + MAX_TRANSIT
"""Time in which retries of a previous incarnation may arrive in the same window."""


class EarlyInstance(RetryingInstance):
    """The first incarnation of an instance in a new fleet, with its peer lookup."""

    def read_rows(self) -> None:
        """Read the rows written earlier."""
        self.looks_again_at = self.now + READ_AGAIN
        self.look(len(self.fleet.instances))

    def look(self, rows: int) -> None:
        """Read some rows."""
        found = [identity(number, self.fleet.boots[number]) for number in range(rows)]
        for each in found:
            self.exchange.learn(each, self.now)
        others = [each for each in found if each.boot != self.exchange.me.boot]
        self.exchange.roster.census.all_read(others, True)

    def step(self, now: timedelta) -> None:
        """Handle what is due."""
        if now >= self.looks_again_at:
            self.looks_again_at = timedelta.max
            self.look(len(self.fleet.instances))
        super().step(now)


class NewFleet(RetryingFleet):
    """A fleet whose instances start one by one while all zones are partitioned."""

    def __init__(self, size: int, slack: float) -> None:
        super().__init__(0, slack)
        self.boots = {number: 1000 + number for number in range(size)}
        self.network.cut = lambda a, b: zone_at(a) != zone_at(b)
        for number in range(size):
            self.size = number + 1
            self.instances.append(
                EarlyInstance(self, number, is_first_incarnation=True)
            )


def zone_at(address: Address) -> int:
    """Return the zone of the instance at an address."""
    return ZONE_OF[address]


ZONE_OF = {identity(number).address: number % ZONES for number in range(12)}


def test_more_instances_than_the_slack_keep_the_budget() -> None:
    """A fleet with more instances than slack keeps its budget.

    Each instance may save one retry, and all send it at once.
    """
    instances, slack = 330, 100.0
    sent = requests = 0
    for number in range(instances):
        policy = BudgetedRetry()
        policy.slack = slack
        policy.slack_share = lambda rank=number: SlackShare(instances, rank)  # type: ignore[misc]
        now = ms(number)
        policy.budget(PLAIN_SERVICE).count_request(now)
        requests += 1
        if policy.available_retries(PLAIN_SERVICE, now) >= 1:
            policy.budget(PLAIN_SERVICE).count_retry(RequestId("a"), now)
            sent += 1
    case.assertLessEqual(sent, RETRY_RATIO * requests + slack)


def test_retries_delayed_by_the_network_keep_the_budget() -> None:
    """Retries that are delayed by a network partition still count when they arrive.

    Data on kept-alive connections stays in socket buffers until the partition ends or
    the acknowledgement timeout passes. If a retry expired by its send time alone, the
    slack could be used a second time in the window of its arrival.
    """
    fleet = RetryingFleet(24, 124.0)
    fleet.run(CALM)
    fleet.hold_up(ms(TCP_USER_TIMEOUT_MS))
    for number in range(300):
        fleet.call(number % 24)
    fleet.run(FLOOD, 80.0)
    case.assertLessEqual(fleet.worst_window(), 0)


def test_a_new_partitioned_fleet_keeps_the_budget() -> None:
    """A new fleet starts while its zones are partitioned.

    Each instance first reads the rows when only some are written and knows only its own
    zone, so it must not use a share before it reads the rows again, a minute later.
    """
    fleet = NewFleet(12, 100.0)
    fleet.run(CALM)
    fleet.run(FLOOD, 30.0)
    case.assertLessEqual(fleet.worst_window(), 0)


def assert_share_after_settling(
    instance: GossipInstance, clock: ManualClock, share: int
) -> None:
    """Check that an incarnation gets its share only after window and transit."""
    case.assertEqual(0, instance.slack_share())
    clock.advance(SETTLES - ms(1))
    case.assertEqual(0, instance.slack_share())
    clock.advance(ms(1))
    case.assertEqual(share, instance.slack_share())


def test_a_new_instance_in_an_old_fleet_waits_for_its_share() -> None:
    """An instance that replaces another in an old fleet waits for its share.

    It has a new name and no row of an earlier incarnation, so it could mistake itself
    for part of a new fleet, though its predecessor has just used the share.
    """
    for age, is_new in (
        (STARTED_TOGETHER, True),
        (STARTED_TOGETHER + ms(1), False),
    ):
        rows, clock = FakeRowStore(), ManualClock(CALM)
        GossipInstance(rows, clock, 1).discover_peers()
        clock.advance(age)
        late = GossipInstance(rows, clock, 2)
        case.assertEqual(is_new, late.discover_peers())
        if is_new:
            case.assertFalse(late.discover_peers())
            case.assertEqual(50, late.slack_share())
        else:
            assert_share_after_settling(late, clock, 50)


def test_one_old_row_marks_an_old_fleet() -> None:
    rows, clock = FakeRowStore(), ManualClock(CALM)
    GossipInstance(rows, clock, 1).discover_peers()
    clock.advance(CALM)
    GossipInstance(rows, clock, 2).discover_peers()
    last = GossipInstance(rows, clock, 3)
    case.assertFalse(last.discover_peers())
    assert_share_after_settling(last, clock, 33)


def test_a_restarted_instance_waits_for_its_share() -> None:
    """An instance that restarts in a fleet that has just started waits for its share.

    All rows are recent, so it could mistake itself for part of a new fleet and use the
    share of its previous incarnation again.
    """
    for others in (0, 1, 3):
        rows, clock = FakeRowStore(), ManualClock(CALM)
        for number in range(others + 1):
            GossipInstance(rows, clock, number).discover_peers()
        clock.advance(ms(500))
        again = GossipInstance(rows, clock, 0)
        case.assertFalse(again.discover_peers(), others)
        assert_share_after_settling(again, clock, 100 // (others + 1))


def test_an_instance_that_cannot_read_the_rows_has_no_share() -> None:
    """An instance that starts without access to the store has no share.

    It cannot know among how many instances the slack is divided.
    """
    rows, clock = FakeRowStore(), ManualClock(CALM)
    GossipInstance(rows, clock, 1).discover_peers()
    rows.down = True
    clock.advance(CALM)
    instance = GossipInstance(rows, clock, 2)
    for _ in range(3):
        case.assertFalse(instance.discover_peers())
        case.assertEqual(0, instance.slack_share())
        clock.advance(SETTLES)
    case.assertEqual(0, instance.slack_share())
    rows.down = False
    instance.discover_peers()
    case.assertEqual(50, instance.slack_share())


def test_an_instance_of_a_new_fleet_has_its_share_after_the_second_read() -> None:
    """Instances of a new fleet have their exact share after the second read.

    Rows are written at about the same time, so the first read finds only some of them.
    """
    rows, clock = FakeRowStore(), ManualClock(CALM)
    first, second, third = (GossipInstance(rows, clock, number) for number in range(3))
    case.assertTrue(first.discover_peers())
    case.assertEqual(100, first.slack_share())
    case.assertTrue(second.discover_peers())
    case.assertEqual(0, second.slack_share())
    case.assertTrue(third.discover_peers())
    clock.advance(READ_AGAIN)
    for each, share in ((first, 34), (second, 33), (third, 33)):
        case.assertFalse(each.discover_peers())
        case.assertEqual(share, each.slack_share())


def test_without_a_slack_requests_still_earn_retries() -> None:
    """A deployment without slack can still retry.

    Requests earn retries only after an earlier retry, so the first must be saved.
    """
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.slack = 0.0
    for number in range(99):
        bench.finish(bench.begin(request_of(bench, f"a{number}")))
    first = bench.begin(request_of(bench, "b"))
    bench.fail(first)
    case.assertIsNotNone(bench.retried(first))


load_tests = function_tests(__name__)
