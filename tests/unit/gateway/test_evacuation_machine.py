"""Stateful tests of evacuated zones under arbitrary disturbances."""

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from mimosafork.directory.rows import Row, RowPage
from mimosafork.directory.zone_state import ZoneState
from mimosafork.ids import AvailabilityZoneId
from mimosafork.kernel.core import TICK

from ...support.directories import evacuated
from ...support.functions import function_tests
from ...support.gateway_tables import KEYS
from ...support.machines import explore
from ...support.versions import version as version_of
from .test_gateway_machine import (
    ADDRESSES,
    BOTH,
    TICKS_AFTER,
    WHICH,
    Disturbance,
    GatewayMachine,
)

EXAMPLES = 60
STEPS = 60

ZONES = ("zone-a", "zone-b")
CALLS = 8


class EvacuationMachine(GatewayMachine):
    """The operator evacuates zones, and the news comes late, twice or from peers.

    Attributes
    ----------
    written : list of Row
        All changes, in the order of their versions.
    told : dict of str to Row
        The newest change of each zone of which the instance was told.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written: list[Row] = []
        self.told: dict[str, Row] = {}

    @rule(zone=st.sampled_from(ZONES), ended=BOTH)
    def operator_changes_evacuation(self, zone: str, ended: bool) -> None:
        """Write or remove the row of a zone."""
        number = self.gateway.next_version()
        self.written.append(evacuated(zone, number, ended=ended))

    @precondition(lambda self: self.written)
    @rule(which=WHICH, ticks_after=TICKS_AFTER)
    def peer_tells(self, which: int, ticks_after: int) -> None:
        """Deliver a change, new or old, as a peer does."""
        row = self.written[-1 - which % len(self.written)]
        self.note_told(row)
        state = ZoneState(not row.removed, row.version)
        zone = AvailabilityZoneId(zone_of(row))
        self.gateway.directory.offer_evacuation(zone, state)
        self.gateway.run(TICK * ticks_after)

    @rule(whole=BOTH, ticks_after=TICKS_AFTER)
    def store_answers(self, whole: bool, ticks_after: int) -> None:
        """Deliver all rows, or all changes, as the store does."""
        for row in self.written:
            self.note_told(row)
        version = version_of(self.gateway.version)
        consumer = self.gateway.directory.configuration_follower.consumer
        if whole:
            newest = {zone_of(row): row for row in self.written}
            rows = tuple(row for row in newest.values() if not row.removed)
            consumer.apply_snapshot(RowPage(rows, version))
        else:
            consumer.apply_changes(RowPage(tuple(self.written), version))
        self.gateway.run(TICK * ticks_after)

    @rule(address=ADDRESSES, zone=st.sampled_from(ZONES), route=WHICH, from_store=BOTH)
    def row_overtakes_connections(
        self, address: str, zone: str, route: int, from_store: bool
    ) -> None:
        """Evacuate a zone while attempts wait for connections to an endpoint."""
        self.gateway.reach(address, False)
        for number in range(CALLS):
            name = self.routes[route % len(self.routes)]
            self.gateway.call(name, f"{len(self.gateway.calls)}.{number}", KEYS[0])
        self.operator_changes_evacuation(zone, ended=False)
        if from_store:
            self.store_answers(whole=False, ticks_after=0)
        else:
            self.peer_tells(which=0, ticks_after=0)
        self.gateway.reach(address, True)

    def note_told(self, row: Row) -> None:
        """Record what the instance must know before it is told."""
        zone = zone_of(row)
        known = self.told.get(zone)
        if known is None or known.version < row.version:
            self.told[zone] = row
        self.gateway.evacuated_zones = {
            each for each, row in self.told.items() if not row.removed
        }


def zone_of(row: Row) -> str:
    """Return the zone of a row."""
    return row.key.rpartition(" ")[2]


class CutEvacuationMachine(EvacuationMachine):
    """Calls that wait for connections, hedge and resume while zones are evacuated."""

    routes = ("stream", "safe")
    disturbances = frozenset({Disturbance.CUTS, Disturbance.LEAVING})


class HugeEvacuationMachine(EvacuationMachine):
    """Prompts larger than one engine, whose helpers' zones are evacuated."""

    routes = ("huge",)
    disturbances = frozenset({Disturbance.MEMORY, Disturbance.CUTS})


def test_no_request_reaches_an_evacuated_zone_whatever_happens() -> None:
    """A path that forgets the check sends a request to a zone that is shut down."""
    explore(EvacuationMachine, EXAMPLES, STEPS)


def test_no_waiting_attempt_reaches_an_evacuated_zone() -> None:
    """An attempt was placed before the row arrived and gets its connection later."""
    explore(CutEvacuationMachine, EXAMPLES, STEPS)


def test_no_helper_or_reservation_is_used_in_an_evacuated_zone() -> None:
    """A host in another zone would let helpers of the evacuated one read prompts."""
    explore(HugeEvacuationMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)
