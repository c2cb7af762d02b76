"""What the metrics page reads from its owners when it is asked for."""

import logging
import resource
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from ..ids import ServiceId
from ..telemetry.catalogue.gateway import (
    CALLS_OPEN,
    CALLS_WAITING,
    CONNECTIONS_IDLE,
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
    ROWS_CALLS,
    TABLE_AGE,
    TABLE_VERSION,
    WORK_KNOWN,
)
from ..telemetry.catalogue.lifecycle import LOG_DROPS, LOG_LEFT_OUT
from ..telemetry.instruments import Instrument
from ..telemetry.pipeline import DroppingHandler
from ..telemetry.readings import Reading, ReadingSource
from .gateway import Gateway
from .instance_view import LiveInstanceView
from .policies.reservations import ReservationState
from .policies.reserving import MemoryKeeper

KILOBYTE = 1024


class Observer(Protocol):
    """What reads observable instruments."""

    def observe(self, instrument: Instrument, source: ReadingSource) -> None:
        """Have an instrument read from a source."""


class StoreCounts(Protocol):
    """Calls of the platform's store so far."""

    answered: int
    unanswered: int


class GatewayGauges:
    """Reads the state of an instance.

    Parameters
    ----------
    gateway : Gateway
    outlook : Outlook
        What is known of endpoints and peers.
    store : StoreCounts or None
    """

    def __init__(
        self, gateway: Gateway, outlook: LiveInstanceView, store: StoreCounts | None
    ) -> None:
        self.gateway = gateway
        self.outlook = outlook
        self.store = store

    def join(self, page: Observer) -> None:
        """Have all instruments read from here."""
        page.observe(CALLS_OPEN, lambda: [Reading(len(self.gateway.calls))])
        page.observe(CALLS_WAITING, self.waiting)
        page.observe(CONNECTIONS_IDLE, self.idle)
        page.observe(WORK_KNOWN, self.work)
        page.observe(MEMORY_RESERVED, self.reserved_tokens)
        page.observe(LOAD_AGE, lambda: aged(self.outlook.load_age()))
        page.observe(TABLE_AGE, self.table_ages)
        page.observe(TABLE_VERSION, self.version)
        page.observe(ENDPOINTS_KNOWN, self.endpoints)
        page.observe(REPEATS_LEFT, lambda: self.by_service(self.repeats_left))
        page.observe(
            REPEATS_SENT, lambda: self.by_service(self.outlook.retry.retries_sent)
        )
        page.observe(
            REPEATS_SHARERS, lambda: [Reading(self.outlook.retry.slack_sharers())]
        )
        page.observe(PEERS_HEARD, self.peers)
        page.observe(GOSSIP_SENT, self.gossip_bytes)
        page.observe(GOSSIP_DATAGRAMS, self.datagrams)
        page.observe(ROWS_CALLS, self.rows)
        page.observe(MEMORY_PEAK, peak_memory)
        page.observe(LOG_DROPS, dropped_lines)
        page.observe(LOG_LEFT_OUT, left_out_lines)

    def waiting(self) -> Iterable[Reading]:
        """Return how many calls wait."""
        return [Reading(len(self.gateway.kernel.state.waiting))]

    def idle(self) -> Iterable[Reading]:
        """Return how many kept connections are free."""
        return [Reading(sum(map(len, self.gateway.pool.idle.values())))]

    def work(self) -> Iterable[Reading]:
        """Return how many calls are known to run."""
        book = self.outlook.book
        told = sum(len(works) for works in book.peers.values())
        return [
            Reading(len(book.own), (("whose", "own"),)),
            Reading(told, (("whose", "peers"),)),
        ]

    def reserved_tokens(self) -> Iterable[Reading]:
        """Return the tokens that own calls hold on engines."""
        keeper = self.gateway.kernel.plugin(MemoryKeeper)
        tokens = keeper.reserved_tokens(self.gateway.clock.monotonic())
        return [
            Reading(tokens[state], (("state", state.value),))
            for state in ReservationState
        ]

    def table_ages(self) -> Iterable[Reading]:
        """Return when the store last told each table."""
        directory = self.outlook.directory
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
        """Return the version in force."""
        table = self.outlook.directory.table
        return [] if table is None else [Reading(table.version)]

    def services(self) -> list[ServiceId]:
        """Return the services of the configuration in force."""
        table = self.outlook.directory.table
        return [] if table is None else list(table.services)

    def endpoints(self) -> Iterable[Reading]:
        """Return how many endpoints each service has."""
        found = []
        for service in self.services():
            inputs = self.outlook.inputs(service)
            for state, count in (("listed", inputs.listed), ("usable", inputs.usable)):
                labels = (("service", str(service)), ("state", state))
                found.append(Reading(count, labels))
        return found

    def repeats_left(self, service: ServiceId) -> float:
        """Return for how many repeats this instance has room."""
        return self.outlook.retry.available_retries(
            service, self.gateway.clock.monotonic()
        )

    def by_service(self, value: Callable[[ServiceId], float]) -> Iterable[Reading]:
        """Return a value of each service."""
        return [
            Reading(value(service), (("service", str(service)),))
            for service in self.services()
        ]

    def peers(self) -> Iterable[Reading]:
        """Return how many peers are heard."""
        return [Reading(len(self.outlook.sharing.known_peers))]

    def gossip_bytes(self) -> Iterable[Reading]:
        """Return what was sent to peers."""
        gossip = self.outlook.sharing.gossip
        return [] if gossip is None else [Reading(gossip.exchange.counters.sent_bytes)]

    def datagrams(self) -> Iterable[Reading]:
        """Return the datagrams by what became of them."""
        gossip = self.outlook.sharing.gossip
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

    def rows(self) -> Iterable[Reading]:
        """Return the calls of the store by their end."""
        if self.store is None:
            return []
        return [
            Reading(self.store.answered, (("result", "answered"),)),
            Reading(self.store.unanswered, (("result", "unanswered"),)),
        ]


def aged(age: timedelta | None) -> list[Reading]:
    """Return an age, if there is one."""
    return [] if age is None else [Reading(age.total_seconds())]


def peak_memory() -> list[Reading]:
    """Return the most memory that this process has held."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return [Reading(peak * KILOBYTE)]


def log_handlers() -> list[DroppingHandler]:
    """Return what takes this process's log records; none without a log."""
    handlers = logging.getLogger().handlers
    return [each for each in handlers if isinstance(each, DroppingHandler)]


def dropped_lines() -> list[Reading]:
    """Return how many log records their reader was too slow for."""
    return [Reading(sum(each.dropped for each in log_handlers()))]


def left_out_lines() -> list[Reading]:
    """Return how many log records the budget of lines left out."""
    budgets = [each.budget for each in log_handlers() if each.budget is not None]
    return [Reading(sum(each.total for each in budgets))]
