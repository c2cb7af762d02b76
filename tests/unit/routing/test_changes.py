"""Tests of the counts of configuration changes, which contain no keys or names."""

from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import AccountId, RegionId, Revision, ServiceId
from mimosafork.routing.changes import NO_CHANGES, TableChanges
from mimosafork.routing.table import (
    Account,
    ApiKey,
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
    Service,
    TrafficSplit,
)

from ...support.functions import function_tests

ENTRY_COUNT = 20_000
MAX_TEXT_LENGTH = 160


def route(name: str, weight: float = 1.0) -> Route:
    return Route(
        RouteName(name),
        f"{name}.example",
        "/",
        CallKind.IDEMPOTENT,
        timedelta(seconds=2),
        timedelta(seconds=1),
        (TrafficSplit(ServiceId("s"), weight),),
    )


def service(name: str) -> Service:
    return Service(ServiceId(name), "/health", 8)


def account(name: str, *keys: str) -> Account:
    return Account(AccountId(name), tuple(map(ApiKey, keys)))


def table(
    routes: tuple[Route, ...] = (),
    accounts: tuple[Account, ...] = (),
    services: tuple[str, ...] = ("s",),
) -> RoutingTable:
    known = {ServiceId(name): service(name) for name in services}
    return RoutingTable(Revision(1), routes, known, ClientLimits(), accounts)


def test_removed_keys_are_counted_but_not_named() -> None:
    """Guards against unexplained 401 answers after an account's keys were replaced.

    The log line of the configuration has to show that keys were removed, but must not
    contain them.
    """
    before = table(accounts=(account("acme", "k-1", "k-2"), account("zen", "k-3")))
    after = table(accounts=(account("acme", "k-9"), account("zen", "k-3")))
    assert str(TableChanges(before, after)) == "keys +1 -2"


def test_a_key_moved_to_another_account_is_changed() -> None:
    before = table(accounts=(account("acme", "k-1"), account("zen")))
    after = table(accounts=(account("acme"), account("zen", "k-1")))
    assert str(TableChanges(before, after)) == "keys ~1"


def test_changed_home_regions_are_counted() -> None:
    """Calls are refused since a change that its log line calls none that matters."""
    home = frozenset({RegionId("north")})
    before = table((route("a"),), (account("acme", "k-1"),))
    after = table(
        (replace(route("a"), home_regions=home),),
        (replace(account("acme", "k-1"), home_regions=home),),
    )
    assert str(TableChanges(before, after)) == "routes ~1, accounts ~1"


def test_each_section_is_counted_separately() -> None:
    before = table((route("a"), route("b"), route("c")), (account("acme"),))
    after = table((route("a", 0.5), route("d")), (), ("s", "t"))
    changes = str(TableChanges(before, after))
    assert changes == "routes +1 -2 ~1, services +1, accounts -1"


def test_changes_of_limits_and_required_keys_are_named() -> None:
    before = table()
    after = replace(before, limits=ClientLimits(body_bytes=9), has_accounts=False)
    assert str(TableChanges(before, after)) == "limits, no keys needed"
    assert str(TableChanges(after, before)) == "limits, keys needed"


def test_everything_is_new_in_the_first_configuration() -> None:
    first = table((route("a"),), (account("acme", "k-1"),))
    changes = str(TableChanges(None, first))
    assert changes == "routes +1, services +1, accounts +1, keys +1"


def test_an_unchanged_version_is_reported_as_such() -> None:
    same = table((route("a"),))
    assert str(TableChanges(same, replace(same, version=Revision(2)))) == NO_CHANGES


def test_the_text_stays_short_however_much_changes() -> None:
    """Guards against a log line that grows with the number of changed routes."""
    old = [account(f"account-{n}", f"k-{n}") for n in range(ENTRY_COUNT)]
    new = [account(f"other-{n}", f"j-{n}") for n in range(ENTRY_COUNT)]
    before = table(tuple(route(f"r-{n}") for n in range(ENTRY_COUNT)), tuple(old))
    after = table(tuple(route(f"q-{n}") for n in range(ENTRY_COUNT)), tuple(new))
    assert len(str(TableChanges(before, after))) < MAX_TEXT_LENGTH


load_tests = function_tests(__name__)
