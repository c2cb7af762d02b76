"""Where a fleet's parts of the budget of repeats don't add up to the whole."""

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
"""Until then what a former life has sent may arrive in the same window."""


class EarlyInstance(RetryingInstance):
    """The first life of an instance in a fleet that is new, as its finder looks."""

    def read_rows(self) -> None:
        """Learn of those that wrote their row before."""
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
    """A fleet whose instances start one after the other, behind a cut of all zones."""

    def __init__(self, size: int, slack: float) -> None:
        super().__init__(0, slack)
        self.boots = {number: 1000 + number for number in range(size)}
        self.network.cut = lambda a, b: zone_at(a) != zone_at(b)
        for number in range(size):
            self.size = number + 1
            self.instances.append(EarlyInstance(self, number, is_first_life=True))


def zone_at(address: Address) -> int:
    """Return the zone of an instance that listens at an address."""
    return ZONE_OF[address]


ZONE_OF = {identity(number).address: number % ZONES for number in range(12)}


def test_more_instances_than_the_slack_keep_the_budget_together() -> None:
    """Endpoints are sent more repeats than a large fleet may send.

    Where there are more instances than the slack, each may still save up one repeat;
    all fail at once, and all send it.
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


def test_repeats_that_links_hold_up_keep_the_budget() -> None:
    """Endpoints near by fail while the links to others are cut for two seconds.

    What is sent again over kept connections lies in the system until the cut is over,
    as it may for as long as nothing need be acknowledged, and arrives then. It counts
    as of the moment when it was sent, and is forgotten while the window in which it
    arrived goes on; the slack is spent a second time within it.
    """
    fleet = RetryingFleet(24, 124.0)
    fleet.run(CALM)
    fleet.hold_up(ms(TCP_USER_TIMEOUT_MS))
    for number in range(300):
        fleet.call(number % 24)
    fleet.run(FLOOD, 80.0)
    case.assertLessEqual(fleet.worst_window(), 0)


def test_a_new_fleet_behind_a_cut_keeps_the_budget_together() -> None:
    """A fleet is started for the first time while its zones are cut off.

    Each instance reads the rows once, when only some are written, and hears its own
    zone. It takes its part at once and counts too few until it reads the rows again, a
    minute later.
    """
    fleet = NewFleet(12, 100.0)
    fleet.run(CALM)
    fleet.run(FLOOD, 30.0)
    case.assertLessEqual(fleet.worst_window(), 0)


def waits_for_its_part(life: GossipInstance, clock: ManualClock, part: int) -> None:
    """Check that a life has no part for a window and the way, and then has it."""
    case.assertEqual(0, life.slack_share())
    clock.advance(SETTLES - ms(1))
    case.assertEqual(0, life.slack_share())
    clock.advance(ms(1))
    case.assertEqual(part, life.slack_share())


def test_a_first_life_in_an_old_fleet_waits_for_its_part() -> None:
    """A machine is replaced in a flood, and its part of the slack is spent twice.

    The new one has another name, and no row of an earlier life. It took itself for one
    of a new fleet, though the one whose place it takes had just spent its part.
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
            waits_for_its_part(late, clock, 50)


def test_one_old_row_among_fresh_ones_is_of_an_old_fleet() -> None:
    rows, clock = FakeRowStore(), ManualClock(CALM)
    GossipInstance(rows, clock, 1).discover_peers()
    clock.advance(CALM)
    GossipInstance(rows, clock, 2).discover_peers()
    last = GossipInstance(rows, clock, 3)
    case.assertFalse(last.discover_peers())
    waits_for_its_part(last, clock, 33)


def test_a_life_after_another_waits_for_its_part() -> None:
    """A fleet has just been started, and an instance of it is killed in a flood.

    All rows are fresh, its own and those of others. Its next life took itself for one
    of a new fleet, and spent the part that its former life had spent before.
    """
    for others in (0, 1, 3):
        rows, clock = FakeRowStore(), ManualClock(CALM)
        for number in range(others + 1):
            GossipInstance(rows, clock, number).discover_peers()
        clock.advance(ms(500))
        again = GossipInstance(rows, clock, 0)
        case.assertFalse(again.discover_peers(), others)
        waits_for_its_part(again, clock, 100 // (others + 1))


def test_a_life_that_can_not_read_the_rows_has_no_part() -> None:
    """An instance starts behind a cut, without the store, and takes itself for alone.

    However long it has lasted, it can't know among how many the slack is divided.
    """
    rows, clock = FakeRowStore(), ManualClock(CALM)
    GossipInstance(rows, clock, 1).discover_peers()
    rows.down = True
    clock.advance(CALM)
    life = GossipInstance(rows, clock, 2)
    for _ in range(3):
        case.assertFalse(life.discover_peers())
        case.assertEqual(0, life.slack_share())
        clock.advance(SETTLES)
    case.assertEqual(0, life.slack_share())
    rows.down = False
    life.discover_peers()
    case.assertEqual(50, life.slack_share())


def test_a_life_of_a_new_fleet_has_its_part_after_a_second_look() -> None:
    """A fleet is started, and each instance divides the slack among those it found.

    Their rows are written at about the same time, so that the first look finds some.
    """
    rows, clock = FakeRowStore(), ManualClock(CALM)
    first, second, third = (GossipInstance(rows, clock, number) for number in range(3))
    case.assertTrue(first.discover_peers())
    case.assertEqual(100, first.slack_share())
    case.assertTrue(second.discover_peers())
    case.assertEqual(0, second.slack_share())
    case.assertTrue(third.discover_peers())
    clock.advance(READ_AGAIN)
    for each, part in ((first, 34), (second, 33), (third, 33)):
        case.assertFalse(each.discover_peers())
        case.assertEqual(part, each.slack_share())


def test_without_a_slack_requests_still_earn_repeats() -> None:
    """A deployment sets no slack, and nothing is ever sent again.

    Requests earn repeats only behind an earlier one, and without a slack there is
    never a first.
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
