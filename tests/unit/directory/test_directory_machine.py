"""State machine test of the directory under arbitrary failures of the store."""

import asyncio
from datetime import timedelta
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.follower import TableFollower
from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
    TableChanged,
)
from mimosafork.directory.rows import Row
from mimosafork.ids import AvailabilityZoneId, EndpointId
from mimosafork.routing.listing import ListedEndpoint
from mimosafork.routing.table import RoutingTable

from ...support.functions import function_tests
from ...support.gateway_tables import (
    KEYS,
    ROUTES,
    FakeConfigurationHistory,
    FakeEndpointRows,
)
from ...support.machines import explore
from ...support.model_store import (
    STABLE,
    Condition,
    ModelStore,
    ReportingEndpoint,
    StoreSource,
)

EXAMPLES = 60
STEPS = 40

STEP = timedelta(milliseconds=250)
DRAIN_WITHIN = timedelta(seconds=2)
APPLIED_WITHIN = timedelta(seconds=2)
USED_WITHIN = timedelta(seconds=8)
"""Time without failures after which an endpoint with a restored row is used again."""

ADDRESSES = st.sampled_from([f"10.0.0.{number}:80" for number in range(1, 5)])
SERVICES = st.sampled_from(["desks", "pool"])
WHICH = st.integers(0, 30)
BOTH = st.booleans()
OVERWRITTEN = st.sampled_from([b"", b"\xff", b"{", b"odd desks 10.0.0.9:80 zone-a 8"])
SPANS = st.sampled_from([0.25, 0.5, 1.0, 2.0, 4.0, 9.0])


class ConfigurationRows(StoreSource):
    """Source of the row of the configuration."""

    def __init__(self, store: ModelStore, tables: FakeConfigurationHistory) -> None:
        super().__init__(store, store.configuration)
        self.tables = tables

    def decode(self, row: Row) -> RoutingTable:
        """Return the configuration that a row refers to."""
        return self.tables.decode(row)

    def evacuated_zone(self, row: Row) -> AvailabilityZoneId | None:
        """Return the zone that a row evacuates."""
        return self.tables.evacuated_zone(row)


class ListedRows(StoreSource):
    """Source of the rows of endpoints."""

    def __init__(self, store: ModelStore) -> None:
        super().__init__(store, store.endpoints)
        self.rows = FakeEndpointRows()

    def decode(self, row: Row) -> ListedEndpoint:
        """Return the listing in a row."""
        return self.rows.decode(row)


class DirectoryMachine(RuleBasedStateMachine):
    """Model of store, endpoints, peers and operator, acting in any order.

    Attributes
    ----------
    late_peers : bool
        Whether peers may send rows of endpoints that the store no longer lists.
    """

    late_peers = True

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(timedelta(hours=1))
        self.store = ModelStore()
        self.tables = FakeConfigurationHistory()
        self.born = 0
        self.boot()

    @property
    def now(self) -> timedelta:
        """The current time of the model."""
        return self.clock.monotonic()

    def boot(self) -> None:
        """Start the processes of the instance, with an empty directory."""
        self.configurations = ConfigurationRows(self.store, self.tables)
        self.listing = ListedRows(self.store)
        self.directory = Directory(
            self.configurations, self.listing, self.clock, Random(1)
        )
        self.directory.add_listener(self.heard)
        self.in_force = 0
        self.draining: set[EndpointId] = set()
        self.usable: dict[EndpointId, ListedEndpoint] = {}
        self.store.disturb(self.now)

    def heard(self, change: DirectoryChange) -> None:
        """Record what is published to listeners."""
        if isinstance(change, TableChanged):
            assert change.table.version > self.in_force, "CONFIG: went back"
            self.in_force = change.table.version
            return
        assert isinstance(change, EndpointChanged)
        if change.entry.state is EndpointState.DRAINING:
            self.draining.add(change.endpoint)
        if change.entry.takes_new_work:
            assert change.endpoint not in self.draining, "DRAIN: taken back"
            self.usable[change.endpoint] = change.entry.listed
        else:
            self.usable.pop(change.endpoint, None)

    @initialize()
    def deploy(self) -> None:
        """Start with a configuration and two endpoints."""
        self.operator_writes(set())
        self.begins("10.0.0.1:80", "desks")
        self.begins("10.0.0.2:80", "pool")

    # Endpoints

    def life(self, which: int) -> ReportingEndpoint:
        """Return one of all incarnations of endpoints so far."""
        lives = list(self.store.lives.values())
        return lives[which % len(lives)]

    @rule(address=ADDRESSES, service=SERVICES)
    def begins(self, address: str, service: str) -> None:
        """Start an endpoint at a free address, under a new id."""
        if any(e.alive and e.address == address for e in self.store.lives.values()):
            return
        self.born += 1
        name = f"i-{self.born}"
        life = ReportingEndpoint(name, service, address, self.now - STABLE)
        self.store.lives[name] = life

    @rule(which=WHICH)
    def drains(self, which: int) -> None:
        """Let an endpoint report that it drains, once the store takes reports."""
        life = self.life(which)
        life.draining = life.alive
        life.heard_at = self.now - STABLE / 2

    @rule(which=WHICH, silent=BOTH)
    def ends(self, which: int, silent: bool) -> None:
        """Let an endpoint exit, its row removed or left to expire."""
        life = self.life(which)
        life.alive = False
        removable = life.name in self.store.endpoints.rows
        if not silent and removable and self.store.condition is not Condition.DOWN:
            self.store.write(self.store.endpoints, life.name, None, self.now)

    @rule(which=WHICH)
    def last_report_lands(self, which: int) -> None:
        """Deliver a report after the removal or draining report of its endpoint."""
        leaving = [e for e in self.store.lives.values() if e.draining or not e.alive]
        if self.store.condition is Condition.DOWN or not leaving:
            return
        life = leaving[which % len(leaving)]
        if not life.alive:
            self.store.report(life, self.now)
            return
        former = life.value.replace(b"draining", b"ready")
        self.store.write(self.store.endpoints, life.name, former, self.now)

    @rule(which=WHICH, value=OVERWRITTEN, lasts=BOTH)
    def another_writes_over_a_row(self, which: int, value: bytes, lasts: bool) -> None:
        """Overwrite a row with an unreadable value, until the next report or expiry."""
        names = sorted(self.store.endpoints.rows)
        if self.store.condition is not Condition.DOWN and names:
            life = self.store.lives[names[which % len(names)]]
            life.connected, life.heard_at = not lasts, self.now
            self.store.write(self.store.endpoints, life.name, value, self.now)

    @rule(which=WHICH, connected=BOTH)
    def endpoint_is_cut_off(self, which: int, connected: bool) -> None:
        """Disconnect an endpoint from the store, or reconnect it."""
        self.life(which).connected = connected

    # The store

    @rule(condition=st.sampled_from(list(Condition)))
    def store_changes(self, condition: Condition) -> None:
        """Let the store fail, refuse this instance, or answer again."""
        self.store.become(condition, self.now)

    @rule(
        forgets=BOTH,
        endpoints=st.integers(0, 3),
        configurations=st.integers(0, 3),
    )
    def store_fails(self, forgets: bool, endpoints: int, configurations: int) -> None:
        """Let the store drop its history, and lose answers."""
        if forgets:
            self.store.forget_history()
        self.listing.lost = endpoints
        self.configurations.lost = configurations
        self.store.disturb(self.now)

    @rule()
    def reads_are_late(self) -> None:
        """Answer the next whole reads with the current state."""
        for source in (self.listing, self.configurations):
            source.late = self.store.whole(source.table)
        self.store.disturb(self.now)

    # Peers and the operator

    @rule(which=WHICH, configuration=BOTH)
    def peer_tells_an_old_row(self, which: int, configuration: bool) -> None:
        """Let a peer send a row that existed earlier, or its removal."""
        if configuration:
            log = self.store.configuration.told
            self.directory.offer_configuration(log[which % len(log)])
        elif self.store.endpoints.told:
            log = self.store.endpoints.told
            row = log[which % len(log)]
            listed = row.key in self.store.endpoints.rows
            if row.removed:
                self.directory.offer_removal(EndpointId(row.key), row.version)
                self.directory.offer_endpoint(row)
            elif listed or self.late_peers:
                self.directory.offer_endpoint(row)

    @rule(which=WHICH)
    def peer_says_that_it_drains(self, which: int) -> None:
        """Let a peer report that an endpoint drains."""
        life = self.life(which)
        if life.draining:
            self.directory.offer_draining(EndpointId(life.name))

    @rule(dropped=st.sets(st.sampled_from(sorted(ROUTES)), max_size=2))
    def operator_writes(self, dropped: set[str]) -> None:
        """Let the operator write a configuration."""
        if self.store.condition is Condition.DOWN:
            return
        number = len(self.tables.tables) + 1
        row = self.tables.add(number, set(ROUTES) - dropped, set(KEYS), 3)
        self.store.write(self.store.configuration, row.key, row.value, self.now)

    # Time

    @rule(seconds=SPANS)
    def time_passes(self, seconds: float) -> None:
        """Let time pass, followers step and endpoints report."""
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.clock.advance(STEP)
            self.store.pass_time(self.now)
            self.step(self.directory.endpoint_follower)
            self.step(self.directory.configuration_follower)
            self.what_is_used_is_there()
            self.the_newest_configuration_is_in_force()

    def step(self, follower: TableFollower) -> None:
        """Run one call of a follower; a lost or stale answer does not count as calm."""
        before = self.store.disruptions
        asyncio.run(follower.step())
        if self.store.disruptions > before:
            self.store.disturb(self.now)

    @rule(seconds=SPANS)
    def freezes(self, seconds: float) -> None:
        """Suspend the process while the store and endpoints go on."""
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.clock.advance(STEP)
            self.store.pass_time(self.now)
        self.store.disturb(self.now)

    @rule()
    def restarts(self) -> None:
        """Restart the instance."""
        self.boot()

    # Invariants

    @property
    def in_touch(self) -> bool:
        """Whether there has been no failure for long enough."""
        return self.store.is_stable(self.now)

    def what_is_used_is_there(self) -> None:
        """Check used endpoints against the rows of the store, once all is calm."""
        if not self.in_touch:
            return
        for name in self.usable:
            gone_at = self.store.gone_at.get(name)
            is_gone = gone_at is not None and self.now - gone_at >= DRAIN_WITHIN
            assert not is_gone, ("DRAIN: gone", name)
            row = self.store.endpoints.rows.get(name)
            if row is not None and row.value.startswith(b"ready"):
                continue
            since = self.store.endpoints.changed_at[name]
            assert self.now - since < DRAIN_WITHIN, ("DRAIN", name, row)

    def the_newest_configuration_is_in_force(self) -> None:
        """Check that no older configuration is active, once all is calm."""
        (key,) = self.store.configuration.rows
        newest = self.store.configuration.rows[key]
        since = self.store.configuration.changed_at[key]
        if self.in_touch and self.now - since >= APPLIED_WITHIN:
            assert self.in_force == int(newest.value), "CONFIG: late"

    @invariant()
    def listeners_know_what_is_believed(self) -> None:
        """Check that the published state equals that of the directory."""
        believed = {
            name: entry.listed
            for name, entry in self.directory.endpoints.items()
            if entry.takes_new_work
        }
        assert set(believed) == set(self.usable)
        for name, listed in believed.items():
            told, life = self.usable[name], self.store.lives[name]
            assert (told.service, told.address) == (listed.service, listed.address)
            assert listed.service == life.service, ("ROUTE", name)
            assert listed.address == life.address, ("ROUTE", name)

    @invariant()
    def nothing_draining_is_used(self) -> None:
        """Check that an endpoint published as draining is never used again."""
        assert not self.draining & set(self.usable), "DRAIN"

    def teardown(self) -> None:
        """End all failures: exactly the listed endpoints must be used."""
        self.store.become(Condition.CALM, self.now)
        self.listing.lost = self.configurations.lost = 0
        for life in self.store.lives.values():
            life.connected = True
        self.time_passes(USED_WITHIN.total_seconds())
        there = {
            name
            for name, row in self.store.endpoints.rows.items()
            if row.value.startswith(b"ready")
        }
        assert there == set(self.usable), "what is there is used"


class PunctualPeersMachine(DirectoryMachine):
    """The same model with peers that know the current list of the store."""

    late_peers = False


MACHINES = (DirectoryMachine, PunctualPeersMachine)


def test_what_is_used_is_there_whatever_the_store_does() -> None:
    """The store is down, loses answers, drops history and sends stale state.

    Endpoints drain, exit, expire and return, their addresses are reused, peers send old
    rows, and the instance freezes and restarts.
    """
    explore(DirectoryMachine, EXAMPLES, STEPS)


def test_what_is_used_is_there_with_peers_that_are_not_late() -> None:
    """The same failures, without late rows about removed endpoints."""
    explore(PunctualPeersMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
