"""Multiplies measured slopes out to the design size."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from mimosafork.claims.writer import FLEET_TRANSACTIONS_PER_S
from mimosafork.kernel.core import TICK
from mimosafork.kernel.messages.leases import Duty
from mimosafork.leases.keeper import RENEWALS_PER_TTL, TTL
from mimosafork.peers.task import FAN_OUT
from mimosafork.policies.membership import WATCHERS
from mimosafork.settings.model import PeersSection, PlatformSection
from mimosafork.watch.task import EVENTS_PERIOD, MIN_PROBE_SPACING

from .design_size import DesignSize
from .fit import Slope
from .peer_probes import FAR_WORDS, ZONE_WORDS

SIZE = DesignSize()
SECONDS_A_DAY = 86_400
KEYED_SHARE = 0.1
"""Assumed share of requests that carry an idempotency key; the letters give none."""
CLAIM_WRITES = 3
"""Writes of a keyed request's row: claimed, placed, ended with its answer."""


@dataclass(frozen=True, slots=True)
class Direct:
    """What was measured at the design size itself, not by a slope.

    Attributes
    ----------
    gossip_bytes, gossip_us : float
        A node's gossip a second in a zone of the design size.
    bare_process : int
        Bytes resident after the imports.
    load_probe_bytes : int
        One load probe, both ways.
    """

    gossip_bytes: float
    gossip_us: float
    bare_process: int
    load_probe_bytes: int


@dataclass(frozen=True, slots=True)
class Cost:
    """What one mechanism costs one node.

    Attributes
    ----------
    how : str
        Rate times slope, for the reader.
    us_per_s, memory, bytes_per_s : float
        Processor time, memory and traffic.
    """

    mechanism: str
    module: str
    how: str
    us_per_s: float = 0.0
    memory: float = 0.0
    bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreLoad:
    """What all nodes together ask of the table service in a second."""

    mechanism: str
    module: str
    how: str
    reads: float = 0.0
    writes: float = 0.0


def control_costs(slopes: Mapping[str, Slope], direct: Direct) -> list[Cost]:
    """Return the control costs of one node at the design size."""
    return [
        _decisions(slopes),
        _ticks(slopes),
        _reports(slopes),
        _gossip(slopes, direct),
        _exchange_calls(slopes),
        _watching(slopes, direct),
        _instance_list(slopes),
        _configuration(slopes),
        _claims(slopes),
        _process(direct),
    ]


def _at(slope: Slope, number: float) -> float:
    """Return the fitted cost of so many; never less than the slope's own part."""
    return slope.slope * number + max(0.0, slope.intercept)


def _decisions(slopes: Mapping[str, Slope]) -> Cost:
    rate = SIZE.requests_per_node_s
    time = slopes["request_time"].slope
    held = slopes["request_memory"].slope
    return Cost(
        "decisions on requests",
        slopes["request_time"].module,
        f"{rate:.1f} requests/s x {time:.0f} us; "
        f"{SIZE.streams_per_node:.0f} in progress x {held:.0f} B",
        us_per_s=rate * time,
        memory=SIZE.streams_per_node * held,
    )


def _ticks(slopes: Mapping[str, Slope]) -> Cost:
    rate = timedelta(seconds=1) / TICK
    requests = slopes["tick_time_per_request"].slope * SIZE.streams_per_node
    one = requests + _at(slopes["tick_time_per_endpoint"], SIZE.endpoints)
    return Cost(
        "deadlines and queues looked at",
        slopes["tick_time_per_request"].module,
        f"{rate:.0f} ticks/s x {one:.0f} us with {SIZE.streams_per_node:.0f} requests "
        f"and {SIZE.endpoints} endpoints",
        us_per_s=rate * one,
    )


def _reports(slopes: Mapping[str, Slope]) -> Cost:
    rate = ZONE_WORDS + FAR_WORDS
    time = slopes["report_time"].slope
    memory = slopes["endpoint_memory"].slope
    return Cost(
        "view of the endpoints",
        slopes["report_time"].module,
        f"{rate} reports/s x {time:.0f} us; {SIZE.endpoints} endpoints x "
        f"{memory:.0f} B",
        us_per_s=rate * time,
        memory=SIZE.endpoints * memory,
    )


def _gossip(slopes: Mapping[str, Slope], direct: Direct) -> Cost:
    peers = SIZE.nodes_per_zone
    memory = slopes["gossip_memory_per_peer"].slope
    return Cost(
        "gossip",
        slopes["gossip_bytes_per_node"].module,
        f"measured whole: {peers:.0f} nodes, {ZONE_WORDS} + {FAR_WORDS} loads/s",
        us_per_s=direct.gossip_us,
        memory=peers * peers * memory / 2,
        bytes_per_s=direct.gossip_bytes,
    )


def _exchange_calls(slopes: Mapping[str, Slope]) -> Cost:
    calls = 2 * FAN_OUT
    time = slopes["exchange_call_time"].slope
    return Cost(
        "gRPC under the gossip",
        slopes["exchange_call_time"].module,
        f"{calls} calls/s, both sides x {time:.0f} us",
        us_per_s=calls * time,
    )


def _watching(slopes: Mapping[str, Slope], direct: Direct) -> Cost:
    defaults = PeersSection.model_fields["probe_period"].default
    each = WATCHERS * SIZE.endpoints_per_zone / SIZE.nodes_per_zone
    loads = min(
        each / defaults.total_seconds(), timedelta(seconds=1) / MIN_PROBE_SPACING
    )
    events = each / WATCHERS / EVENTS_PERIOD.total_seconds()
    rate = loads + events
    time = slopes["load_probe_time"].slope
    return Cost(
        "probes of endpoints",
        slopes["load_probe_time"].module,
        f"{rate:.1f} calls/s x {time:.0f} us and {direct.load_probe_bytes} B",
        us_per_s=rate * time,
        bytes_per_s=rate * direct.load_probe_bytes,
    )


def _instance_list(slopes: Mapping[str, Slope]) -> Cost:
    entries = SIZE.nodes + SIZE.endpoints
    period = PlatformSection.model_fields["instances_period"].default.total_seconds()
    changes = 2 * (SIZE.restarts_per_day + SIZE.failures_per_day) / SECONDS_A_DAY
    whole = slopes["list_bytes_per_entry"].slope * entries
    check = _at(slopes["list_check_time"], entries)
    apply = _at(slopes["list_apply_time"], entries)
    read = _at(slopes["list_read_time"], entries)
    return Cost(
        "instance list",
        slopes["list_bytes_per_entry"].module,
        f"a check every {period:.0f} s x {check + apply:.0f} us and 400 B; "
        f"{changes * SECONDS_A_DAY:.0f} changes/day x {whole / 1024:.0f} KB",
        us_per_s=(check + apply) / period + changes * read,
        bytes_per_s=400 / period + changes * whole,
    )


def _configuration(slopes: Mapping[str, Slope]) -> Cost:
    rate = SIZE.changes_per_day / SECONDS_A_DAY
    one = _at(slopes["configuration_change_time"], SIZE.accounts)
    memory = _at(slopes["configuration_memory"], SIZE.accounts)
    state = slopes["account_memory"].slope * SIZE.accounts
    period = PlatformSection.model_fields["configuration_period"].default
    return Cost(
        "configuration and accounts",
        slopes["configuration_change_time"].module,
        f"{SIZE.changes_per_day} changes/day x {one / 1000:.0f} ms; "
        f"{SIZE.accounts} accounts; a read every {period.total_seconds():.0f} s",
        us_per_s=rate * one,
        memory=memory + state,
        bytes_per_s=400 / period.total_seconds() + rate * 4_000,
    )


def _claims(slopes: Mapping[str, Slope]) -> Cost:
    rate = SIZE.requests_per_node_s * KEYED_SHARE
    time = slopes["claim_time"].slope
    return Cost(
        "claims",
        slopes["claim_time"].module,
        f"{rate:.1f} keyed requests/s x {CLAIM_WRITES} writes x {time:.0f} us",
        us_per_s=rate * CLAIM_WRITES * time,
        bytes_per_s=rate * CLAIM_WRITES * 700,
    )


def _process(direct: Direct) -> Cost:
    return Cost(
        "the bare process (interpreter and libraries)",
        "all",
        "measured after the imports",
        memory=float(direct.bare_process),
    )


def store_loads() -> list[StoreLoad]:
    """Return what all nodes together ask of the table service."""
    period = PlatformSection.model_fields["configuration_period"].default
    holders = SIZE.availability_zones * len(Duty)
    observers = SIZE.nodes * len(Duty) - holders
    ttl = TTL.total_seconds()
    keyed = SIZE.requests_per_s * KEYED_SHARE
    return [
        StoreLoad(
            "configuration reads",
            "configuration/follower.py",
            f"{SIZE.nodes} nodes, one row every {period.total_seconds():.0f} s",
            reads=SIZE.nodes / period.total_seconds(),
        ),
        StoreLoad(
            "configuration changes",
            "configuration/apply.py",
            f"{SIZE.changes_per_day} a day, one transaction each; "
            "each node reads the steps",
            reads=SIZE.nodes * SIZE.changes_per_day / SECONDS_A_DAY,
            writes=SIZE.changes_per_day / SECONDS_A_DAY,
        ),
        StoreLoad(
            "leases",
            "leases/keeper.py",
            f"{holders} holders renew {RENEWALS_PER_TTL} times in {ttl:.0f} s, "
            f"{observers} observers look once in {ttl:.0f} s",
            reads=observers / ttl,
            writes=holders * RENEWALS_PER_TTL / ttl,
        ),
        StoreLoad(
            "claims",
            "claims/writer.py",
            f"{keyed:.0f} keyed requests/s x {CLAIM_WRITES} rows, paced to "
            f"{FLEET_TRANSACTIONS_PER_S:.0f} transactions/s over all nodes",
            writes=min(FLEET_TRANSACTIONS_PER_S, keyed * CLAIM_WRITES),
        ),
    ]
