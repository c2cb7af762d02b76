"""Service under overload by account and kind, with the usual order and with shares.

Each test plays the same load twice on several instances, over which the load of an
account is spread unevenly, in front of engines that serve some 55 short prompts a
second.
"""

from dataclasses import replace
from datetime import timedelta
from unittest import TestCase

from ...support.functions import function_tests
from ...support.gossip_network import ms
from ...support.shared_fleet import LONG, SHORT, Kind, Load, SharedFleet, compare

case = TestCase()

SPAN = timedelta(seconds=10)
SMALL = [Load(f"small-{number}", SHORT, 4) for number in range(6)]
"""Accounts that together need less than half of the capacity."""

FEW_POINTS = 0.05
ON_TIME_POINTS = 0.15
STARVED_SHARE = 0.25


def at_once(told: timedelta) -> timedelta:
    """Return the delay of a caller that ignores what it was told."""
    return ms(50)


def as_told(told: timedelta) -> timedelta:
    """Return the delay of a caller that obeys."""
    return told


def check_small_accounts(old: SharedFleet, new: SharedFleet) -> None:
    """Check that small accounts are served well, and better than before."""
    before, after = old.by_account(), new.by_account()
    for load in SMALL:
        tally = after[load.account]
        case.assertGreaterEqual(tally.served_share, 0.95, (load.account, tally))
        case.assertGreaterEqual(tally.on_time_share, 0.75, (load.account, tally))
    names = [load.account for load in SMALL]
    on_time_before = sum(before[name].on_time for name in names)
    on_time_after = sum(after[name].on_time for name in names)
    case.assertGreater(on_time_after, 2 * on_time_before)


def check_none_starves(fleet: SharedFleet) -> None:
    """Check that each account and kind is served a quarter as often as all calls."""
    least = STARVED_SHARE * fleet.total().served_share
    for name, tally in {**fleet.by_account(), **fleet.by_kind()}.items():
        case.assertGreaterEqual(tally.served_share, least, (name, tally))


def test_a_flood_of_one_account_leaves_the_others_on_time() -> None:
    """One account floods with short prompts; calls of all others wait behind it."""
    flood = Load("large", SHORT, 150, ms(1_000), ms(9_000))
    old, new = compare([*SMALL, flood], SPAN)
    check_small_accounts(old, new)
    check_none_starves(new)
    case.assertGreater(new.total().on_time, old.total().on_time)
    case.assertGreaterEqual(new.total().served, 0.95 * old.total().served)


def test_an_account_that_repeats_at_once_harms_only_itself() -> None:
    """One account repeats each refused call at once.

    With immediate refusals it sends many times its former load.
    """
    flood = Load("large", SHORT, 90, returns_after=at_once)
    old, new = compare([*SMALL, flood], SPAN / 2)
    check_small_accounts(old, new)


def test_a_hot_key_of_one_account_harms_only_itself() -> None:
    """One account sends many requests with the same body, beside some others."""
    hot = Load("large", SHORT, 120, content="hot")
    other = Load("large", SHORT, 5)
    old, new = compare([*SMALL, hot, other], SPAN)
    check_small_accounts(old, new)
    check_none_starves(new)


def test_a_flood_of_urgent_short_prompts_does_not_starve_rare_long_ones() -> None:
    """Short prompts of urgent priority take each place that becomes free."""
    urgent = replace(SHORT, name="urgent", priority=0)
    rare = replace(LONG, priority=7)
    old, new = compare(mixed(urgent, rare), SPAN)
    check_none_starves(new)
    check_priority(new, "urgent", "long")
    case.assertGreater(new.total().on_time, old.total().on_time)


def test_a_flood_of_less_urgent_short_prompts_leaves_urgent_long_ones_first() -> None:
    """Rare long prompts of urgent priority wait behind a flood of short ones."""
    flood = replace(SHORT, name="flood", priority=7)
    urgent = replace(LONG, priority=0)
    old, new = compare(mixed(flood, urgent), SPAN)
    check_none_starves(new)
    check_priority(new, "long", "flood")
    before, after = old.by_kind()["long"], new.by_kind()["long"]
    case.assertGreater(after.on_time_share, before.on_time_share + 0.3)


def test_the_more_urgent_of_two_kinds_is_served_more_often() -> None:
    """Urgent and other prompts of the same size are served alike under overload."""
    urgent = replace(SHORT, name="urgent", priority=0)
    other = replace(SHORT, name="other", priority=7)
    loads = [
        Load(f"account-{number}", kind, 12)
        for number in range(5)
        for kind in (urgent, other)
    ]
    old, new = compare(loads, SPAN)
    check_none_starves(new)
    check_priority(new, "urgent", "other")
    before, after = old.by_kind()["urgent"], new.by_kind()["urgent"]
    case.assertGreater(after.on_time_share, before.on_time_share + 0.2)


def test_accounts_of_unlike_size_within_capacity_are_served_as_before() -> None:
    """An account of half of all work is ranked last although there is no shortage."""
    loads = [Load(f"account-{n}", SHORT, 0.1 * 2**n) for n in range(8)]
    old, new = compare(loads, SPAN)
    case.assertEqual(old.by_account(), new.by_account())
    for tally in new.by_account().values():
        case.assertEqual(tally.sent, tally.on_time)


def test_a_large_account_among_small_ones_is_not_harmed_by_another_flood() -> None:
    """An account of half of the capacity goes behind all others, as it is large.

    Two accounts are beyond an equal share; only one of them floods.
    """
    large = Load("usual", SHORT, 15)
    flood = Load("flood", SHORT, 150)
    old, new = compare([*SMALL, large, flood], SPAN)
    check_small_accounts(old, new)
    check_none_starves(new)
    before, after = old.by_account()["usual"], new.by_account()["usual"]
    case.assertGreater(after.served_share, before.served_share)
    case.assertGreater(after.served_share, new.by_account()["flood"].served_share + 0.2)


def test_all_accounts_and_kinds_are_served_in_a_general_overload() -> None:
    """All accounts, of very unlike size, send more of all kinds than can be served.

    Nine instances see few calls of each rare kind. Such kinds went before all others
    for lack of any result, and less urgent ones were served most often (0.76 against
    0.51 of the urgent ones).
    """
    urgent = replace(SHORT, name="urgent", priority=2)
    usual = Kind("usual", 30_000, 300, ms(1_500), ms(12_000))
    kinds = ((urgent, 1.2), (usual, 0.12), (replace(LONG, priority=7), 0.03))
    loads = [
        Load(f"account-{number}", kind, 0.4 * 1.4**number * part)
        for number in range(14)
        for kind, part in kinds
    ]
    old, new = compare(loads, SPAN, size=9, engines=4)
    check_none_starves(new)
    check_priority(new, "urgent", "usual")
    check_priority(new, "urgent", "long")
    case.assertGreater(new.total().on_time, 3 * old.total().on_time)
    case.assertGreaterEqual(new.total().served, 0.95 * old.total().served)


def test_an_account_alone_uses_the_whole_capacity() -> None:
    """The only account is held to a share, and capacity stays unused."""
    loads = [Load("only", SHORT, 90)]
    old, new = compare(loads, SPAN)
    before, after = old.served_while_loaded(), new.served_while_loaded()
    case.assertGreaterEqual(after, 0.97 * before)
    case.assertGreaterEqual(new.total().on_time, old.total().on_time)


def test_retry_delays_are_spread_and_true() -> None:
    """Refused callers return at the same moment, or before there is capacity.

    Callers that obey are served more often when they return than those that return at
    once.
    """
    shares = {}
    for returns_after in (as_told, at_once):
        flood = Load("large", SHORT, 90, returns_after=returns_after)
        fleet = SharedFleet(shares=True)
        fleet.play([*SMALL, flood], SPAN / 2)
        shares[returns_after] = fleet.by_account()["large"].served_share
        delays = sorted(fleet.delays)
        case.assertGreater(len(delays), 50)
        case.assertGreater(len(set(delays)), 0.95 * len(delays))
        case.assertGreaterEqual(delays[0], ms(50))
        case.assertLessEqual(delays[-1], SHORT.timeout * 1.5)
        # At most one in ten returns within the same twentieth of a second.
        rounded = [delay // ms(50) for delay in delays]
        most = max(rounded.count(each) for each in set(rounded))
        case.assertLessEqual(most, 0.1 * len(delays))
    case.assertGreater(shares[as_told], 2 * shares[at_once])


def mixed(flood: Kind, rare: Kind) -> list[Load]:
    """Return a flood by several accounts, and a rare kind of two others."""
    return [
        *(Load(f"account-{number}", flood, 25) for number in range(5)),
        Load("rare-0", rare, 2),
        Load("rare-1", rare, 1),
    ]


def check_priority(fleet: SharedFleet, urgent: str, other: str) -> None:
    """Check that the more urgent kind is not served worse by more than some points."""
    first, second = fleet.by_kind()[urgent], fleet.by_kind()[other]
    case.assertGreaterEqual(first.served_share, second.served_share - FEW_POINTS)
    case.assertGreaterEqual(first.on_time_share, second.on_time_share - ON_TIME_POINTS)


load_tests = function_tests(__name__)
