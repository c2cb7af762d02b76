"""Observable instruments, read from their owners when metrics are scraped."""

import logging
import resource
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from ..ids import ServiceId
from ..quarantine.register import QuarantineState
from ..telemetry.catalogue.cold_endpoints import COLD_REFUSALS, ENDPOINTS_COLD
from ..telemetry.catalogue.connectivity import CALLS_RESTRICTED
from ..telemetry.catalogue.contents import CONTENTS_QUARANTINED, CONTENTS_SUSPECTED
from ..telemetry.catalogue.directory import (
    ENDPOINTS_EVACUATED,
    ENDPOINTS_HELD,
    STORE_ERA,
    ZONES_EVACUATED,
)
from ..telemetry.catalogue.gateway_metrics import (
    CALLS_FORWARDED,
    CALLS_OPEN,
    CALLS_WAITING,
    CONNECTIONS_IDLE,
    CONNECTIONS_OPENED,
    ENDPOINTS_KNOWN,
    GOSSIP_DATAGRAMS,
    GOSSIP_SENT,
    LOAD_AGE,
    MEMORY_PEAK,
    MEMORY_RESERVED,
    PEERS_HEARD,
    REPEATS_LEFT,
    REPEATS_SENT,
    REPEATS_SHARERS,
    RESPONSES_SKIPPED,
    ROWS_CALLS,
    SERVICES_UNREACHABLE,
    TABLE_AGE,
    TABLE_VERSION,
    WORK_KNOWN,
)
from ..telemetry.catalogue.lifecycle import LOG_DROPS, LOG_LEFT_OUT
from ..telemetry.catalogue.scheduling import ACCOUNTS_TRACKED
from ..telemetry.instruments import Instrument
from ..telemetry.pipeline import DroppingHandler
from ..telemetry.readings import Reading, ReadingSource
from .gateway import Gateway
from .instance_view import LiveInstanceView
from .policies.account_shares import AccountShares
from .policies.cold_endpoints import ColdEndpoints
from .policies.connectivity import EndpointConnectivity
from .policies.home_regions import HomeRegions
from .policies.peer_forwarding import PeerForwarding
from .policies.quarantining import CrashQuarantine
from .policies.reservations import ReservationState
from .policies.reserving import MemoryKeeper

BYTES_PER_KIBIBYTE = 1024


class InstrumentRegistry(Protocol):
    """Registry of observable instruments."""

    def observe(self, instrument: Instrument, source: ReadingSource) -> None:
        """Register the source of an instrument."""


class StoreCallCounts(Protocol):
    """Numbers of calls to the platform's store so far."""

    answered: int
    unanswered: int


class GatewayGauges:
    """Observable instruments of an instance.

    Parameters
    ----------
    gateway : Gateway
    instance_view : LiveInstanceView
        Current state of endpoints and peers.
    store : StoreCallCounts or None
    """

    def __init__(
        self,
        gateway: Gateway,
        instance_view: LiveInstanceView,
        store: StoreCallCounts | None,
    ) -> None:
        self.gateway = gateway
        self.instance_view = instance_view
        self.store = store

    def register(self, registry: InstrumentRegistry) -> None:
        """Register the sources of all instruments."""
        registry.observe(CALLS_OPEN, lambda: [Reading(len(self.gateway.calls))])
        registry.observe(CALLS_WAITING, self.waiting)
        registry.observe(CALLS_FORWARDED, self.forwarded_calls)
        registry.observe(CALLS_RESTRICTED, self.restricted_calls)
        registry.observe(SERVICES_UNREACHABLE, self.unreachable_services)
        registry.observe(CONTENTS_QUARANTINED, self.quarantined_contents)
        registry.observe(CONTENTS_SUSPECTED, self.suspected_contents)
        registry.observe(ACCOUNTS_TRACKED, self.tracked_accounts)
        registry.observe(CONNECTIONS_IDLE, self.idle)
        registry.observe(
            CONNECTIONS_OPENED, lambda: [Reading(self.gateway.pool.opened_count)]
        )
        registry.observe(
            RESPONSES_SKIPPED, lambda: [Reading(self.gateway.pool.skipped_count)]
        )
        registry.observe(WORK_KNOWN, self.known_calls)
        registry.observe(MEMORY_RESERVED, self.reserved_tokens)
        registry.observe(LOAD_AGE, lambda: age_readings(self.instance_view.load_age()))
        registry.observe(TABLE_AGE, self.table_ages)
        registry.observe(TABLE_VERSION, self.version)
        registry.observe(ENDPOINTS_KNOWN, self.endpoints)
        registry.observe(ENDPOINTS_HELD, self.held_endpoints)
        registry.observe(STORE_ERA, self.store_era)
        registry.observe(ENDPOINTS_COLD, self.cold_endpoints)
        registry.observe(COLD_REFUSALS, self.cold_refusals)
        registry.observe(ZONES_EVACUATED, self.evacuated_zones)
        registry.observe(ENDPOINTS_EVACUATED, self.evacuated_endpoints)
        registry.observe(REPEATS_LEFT, lambda: self.per_service(self.retries_left))
        registry.observe(
            REPEATS_SENT,
            lambda: self.per_service(self.instance_view.retry.retries_sent),
        )
        registry.observe(
            REPEATS_SHARERS, lambda: [Reading(self.instance_view.retry.slack_sharers())]
        )
        registry.observe(PEERS_HEARD, self.peers)
        registry.observe(GOSSIP_SENT, self.gossip_bytes)
        registry.observe(GOSSIP_DATAGRAMS, self.datagrams)
        registry.observe(ROWS_CALLS, self.store_calls)
        registry.observe(MEMORY_PEAK, peak_memory)
        registry.observe(LOG_DROPS, dropped_records)
        registry.observe(LOG_LEFT_OUT, suppressed_records)

    def forwarded_calls(self) -> Iterable[Reading]:
        """Return the numbers of calls that run at peers, and for peers."""
        sent = len(self.gateway.kernel.plugin(PeerForwarding).forwarded)
        calls = self.gateway.calls.values()
        received = sum(call.request.forwarded_by is not None for call in calls)
        return [
            Reading(sent, (("direction", "out"),)),
            Reading(received, (("direction", "in"),)),
        ]

    def restricted_calls(self) -> Iterable[Reading]:
        """Return the number of calls that have home regions."""
        return [Reading(len(self.gateway.kernel.plugin(HomeRegions).restricted))]

    def unreachable_services(self) -> Iterable[Reading]:
        """Return the number of services that can't be reached from here."""
        services = self.gateway.kernel.plugin(EndpointConnectivity).services
        return [Reading(sum(each.unreachable for each in services.values()))]

    def quarantined_contents(self) -> Iterable[Reading]:
        """Return the numbers of contents that are refused, by state."""
        register = self.gateway.kernel.plugin(CrashQuarantine).register
        now = self.gateway.clock.monotonic()
        states = Counter(register.state(each, now) for each in register.decisions)
        shown = (QuarantineState.QUARANTINED, QuarantineState.TRIAL)
        return [Reading(states[each], (("state", each.value),)) for each in shown]

    def suspected_contents(self) -> Iterable[Reading]:
        """Return the number of contents with evidence against them."""
        ledger = self.gateway.kernel.plugin(CrashQuarantine).ledger
        return [Reading(len(ledger.by_content))]

    def waiting(self) -> Iterable[Reading]:
        """Return the number of waiting calls."""
        return [Reading(len(self.gateway.kernel.state.waiting))]

    def tracked_accounts(self) -> Iterable[Reading]:
        """Return the numbers of accounts with recent work; none without shares."""
        shares = self.gateway.kernel.find(AccountShares)
        if shares is None:
            return []
        found = []
        for service, queue in shares.queues.items():
            counts = {
                "tracked": len(queue.usage.by_account),
                "behind": shares.log.behind_at(service),
            }
            for state, count in counts.items():
                labels = (("service", str(service)), ("state", state))
                found.append(Reading(count, labels))
        return found

    def idle(self) -> Iterable[Reading]:
        """Return the number of idle pooled connections."""
        return [Reading(sum(map(len, self.gateway.pool.idle.values())))]

    def known_calls(self) -> Iterable[Reading]:
        """Return the numbers of known running calls, own and of peers."""
        book = self.instance_view.book
        peer_calls = sum(len(works) for works in book.peers.values())
        return [
            Reading(len(book.own), (("whose", "own"),)),
            Reading(peer_calls, (("whose", "peers"),)),
        ]

    def reserved_tokens(self) -> Iterable[Reading]:
        """Return the tokens that own calls have reserved on engines."""
        keeper = self.gateway.kernel.plugin(MemoryKeeper)
        tokens = keeper.reserved_tokens(self.gateway.clock.monotonic())
        return [
            Reading(tokens[state], (("state", state.value),))
            for state in ReservationState
        ]

    def table_ages(self) -> Iterable[Reading]:
        """Return the time since the store last confirmed each table."""
        directory = self.instance_view.directory
        ages = {
            "configuration": directory.table_age,
            "endpoints": directory.listing_age,
        }
        return [
            Reading(age.total_seconds(), (("table", table),))
            for table, age in ages.items()
            if age is not None
        ]

    def version(self) -> Iterable[Reading]:
        """Return the version of the configuration in force."""
        table = self.instance_view.directory.table
        return [] if table is None else [Reading(table.version)]

    def services(self) -> list[ServiceId]:
        """Return the services of the configuration in force."""
        table = self.instance_view.directory.table
        return [] if table is None else list(table.services)

    def endpoints(self) -> Iterable[Reading]:
        """Return the numbers of endpoints of each service."""
        found = []
        for service in self.services():
            inputs = self.instance_view.inputs(service)
            for state, count in (("listed", inputs.listed), ("usable", inputs.usable)):
                labels = (("service", str(service)), ("state", state))
                found.append(Reading(count, labels))
        return found

    def held_endpoints(self) -> Iterable[Reading]:
        """Return the number of endpoints in use that the store does not list."""
        entries = self.instance_view.directory.endpoints.values()
        return [Reading(sum(each.missing_version is not None for each in entries))]

    def cold_endpoints(self) -> Iterable[Reading]:
        """Return the number of endpoints that may be cold."""
        cold = self.gateway.kernel.plugin(ColdEndpoints)
        return [Reading(len(cold.enforced(self.gateway.clock.monotonic())))]

    def cold_refusals(self) -> Iterable[Reading]:
        """Return the number of calls refused because endpoints may be cold."""
        return [Reading(self.gateway.kernel.plugin(ColdEndpoints).refused)]

    def evacuated_zones(self) -> Iterable[Reading]:
        """Return the number of evacuated zones, those without endpoints too."""
        return [Reading(len(self.instance_view.fleet.evacuations.zones))]

    def evacuated_endpoints(self) -> Iterable[Reading]:
        """Return the number of endpoints that are not used as their zone is."""
        return [Reading(self.instance_view.fleet.evacuated_endpoints())]

    def store_era(self) -> Iterable[Reading]:
        """Return the era of the store."""
        era = self.instance_view.directory.era.current
        return [] if era is None else [Reading(era)]

    def retries_left(self, service: ServiceId) -> float:
        """Return how many retries of a service this instance may still send."""
        return self.instance_view.retry.available_retries(
            service, self.gateway.clock.monotonic()
        )

    def per_service(self, value: Callable[[ServiceId], float]) -> Iterable[Reading]:
        """Return a reading for each service."""
        return [
            Reading(value(service), (("service", str(service)),))
            for service in self.services()
        ]

    def peers(self) -> Iterable[Reading]:
        """Return the number of live peers."""
        return [Reading(len(self.instance_view.gossip_adapter.live_peers))]

    def gossip_bytes(self) -> Iterable[Reading]:
        """Return the bytes of gossip sent to peers."""
        gossip = self.instance_view.gossip_adapter.gossip
        return [] if gossip is None else [Reading(gossip.exchange.counters.sent_bytes)]

    def datagrams(self) -> Iterable[Reading]:
        """Return the numbers of gossip datagrams by result."""
        gossip = self.instance_view.gossip_adapter.gossip
        if gossip is None:
            return []
        counters = gossip.exchange.counters
        counts = {
            "sent": counters.sent,
            "received": counters.received,
            "refused": counters.refused,
            "stale": counters.stale,
            "repeated": counters.repeated,
        }
        return [Reading(count, (("result", name),)) for name, count in counts.items()]

    def store_calls(self) -> Iterable[Reading]:
        """Return the numbers of store calls by result."""
        if self.store is None:
            return []
        return [
            Reading(self.store.answered, (("result", "answered"),)),
            Reading(self.store.unanswered, (("result", "unanswered"),)),
        ]


def age_readings(age: timedelta | None) -> list[Reading]:
    """Return a reading in seconds, or none without an age."""
    return [] if age is None else [Reading(age.total_seconds())]


def peak_memory() -> list[Reading]:
    """Return the process's peak resident memory."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return [Reading(peak * BYTES_PER_KIBIBYTE)]


def log_handlers() -> list[DroppingHandler]:
    """Return the handlers of this process's log that can drop records."""
    handlers = logging.getLogger().handlers
    return [each for each in handlers if isinstance(each, DroppingHandler)]


def dropped_records() -> list[Reading]:
    """Return the number of log records dropped because their reader was too slow."""
    return [Reading(sum(each.dropped for each in log_handlers()))]


def suppressed_records() -> list[Reading]:
    """Return the number of log records suppressed by the rate limit."""
    budgets = [each.budget for each in log_handlers() if each.budget is not None]
    return [Reading(sum(each.total for each in budgets))]
