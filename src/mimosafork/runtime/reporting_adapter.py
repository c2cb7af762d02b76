"""Turns the kernel's reports into metrics and numbered log events."""

import threading
from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod
from logging import getLogger
from typing import Final

from ..ids import EndpointId, InstanceId
from ..kernel.messages.base import Effect
from ..kernel.messages.outcomes import Outcome
from ..kernel.messages.peers import MemberState
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.reports import (
    EndpointCondition,
    EndpointView,
    FleetReport,
    OrderReport,
    RequestReport,
)
from ..telemetry.catalogue.endpoints import (
    ENDPOINT_EJECTED,
    ENDPOINT_LEAVING,
    ENDPOINT_REACHABLE,
    ENDPOINT_UNREACHABLE,
    ENDPOINTS,
)
from ..telemetry.catalogue.lifecycle import PROCESS_THREADS
from ..telemetry.catalogue.orders import LEASES, ORDERS
from ..telemetry.catalogue.peers import (
    PEER_JOINED,
    PEER_LEFT,
    PEER_LOST,
    PEERS,
)
from ..telemetry.catalogue.requests import (
    ATTEMPTS,
    CALLER_GONE,
    FIRST_TOKEN_TIME,
    REQUEST_DURATION,
    REQUEST_FINISHED,
    REQUEST_REFUSED,
    REQUESTS,
    REQUESTS_WAITING,
)
from ..telemetry.lengths import length_band
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics, Reading
from .kernel_task import KernelTask

logger = getLogger(__name__)

UNKNOWN_TARGETS: Final = {ProblemCode.UNKNOWN_MODEL, ProblemCode.UNKNOWN_SERVICE}
NO_TARGET: Final = "none"
NO_CODE: Final = "none"

CONDITION_EVENTS: Final = {
    EndpointCondition.UNREACHABLE: ENDPOINT_UNREACHABLE,
    EndpointCondition.LEAVING: ENDPOINT_LEAVING,
    EndpointCondition.EJECTED: ENDPOINT_EJECTED,
}

EMPTY_REPORT: Final = FleetReport({}, {}, waiting_requests=0, leases=0)


class ReportingAdapter:
    """Counts and logs what the kernel reports; runs in the kernel's thread.

    It only adds to counters in memory and to the log's queue, neither of which
    waits for anything.

    Parameters
    ----------
    metrics : Metrics
        Of this instance.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.fleet = EMPTY_REPORT
        metrics.observe(ENDPOINTS, self.count_endpoints)
        metrics.observe(PEERS, self.count_peers)
        metrics.observe(REQUESTS_WAITING, self.count_waiting)
        metrics.observe(LEASES, self.count_leases)
        metrics.observe(PROCESS_THREADS, count_threads)

    def register(self, kernel_task: KernelTask) -> None:
        """Take the kernel's reports."""
        kernel_task.register(RequestReport, self.take)
        kernel_task.register(FleetReport, self.take)
        kernel_task.register(OrderReport, self.take)

    def start(self) -> None:
        """Do nothing: there is no task."""

    def stop(self) -> None:
        """Do nothing: there is no task."""

    @singledispatchmethod
    def take(self, report: Effect) -> None:
        """Take a report."""

    @take.register
    def _(self, report: RequestReport) -> None:
        target = target_label(report)
        code = report.code.value if report.code is not None else NO_CODE
        outcome = report.outcome.value
        add, record = self.metrics.add, self.metrics.record
        add(REQUESTS, target=target, outcome=outcome, code=code)
        seconds = report.duration.total_seconds()
        record(REQUEST_DURATION, seconds, target=target, outcome=outcome)
        if report.first_token_after is not None:
            after_s = report.first_token_after.total_seconds()
            length = length_band(report.prompt_tokens)
            record(FIRST_TOKEN_TIME, after_s, target=target, length=length)
        for attempt in report.attempts:
            add(ATTEMPTS, target=target, result=attempt.value)
        log_request(report, target, code)

    @take.register
    def _(self, report: FleetReport) -> None:
        former, self.fleet = self.fleet, report
        for name, view in report.endpoints.items():
            log_endpoint(name, former.endpoints.get(name), view)
        for peer, state in report.peers.items():
            log_member(peer, former.peers.get(peer), state)

    @take.register
    def _(self, report: OrderReport) -> None:
        kind, result = report.kind.value, report.result.value
        self.metrics.add(ORDERS, kind=kind, result=result)

    def count_endpoints(self) -> Iterable[Reading]:
        """Return the number of endpoints in each condition, zeros included."""
        found = Counter(view.condition for view in self.fleet.endpoints.values())
        return [
            Reading(found[each], (("state", each.value),)) for each in EndpointCondition
        ]

    def count_peers(self) -> Iterable[Reading]:
        """Return the number of peers in each state, zeros included."""
        found = Counter(self.fleet.peers.values())
        return [Reading(found[each], (("state", each.value),)) for each in MemberState]

    def count_waiting(self) -> Iterable[Reading]:
        """Return how many requests wait for an endpoint."""
        return [Reading(self.fleet.waiting_requests)]

    def count_leases(self) -> Iterable[Reading]:
        """Return how many leases this instance holds."""
        return [Reading(self.fleet.leases)]


def count_threads() -> Iterable[Reading]:
    """Return how many threads this process has."""
    return [Reading(threading.active_count())]


def target_label(report: RequestReport) -> str:
    """Return the target under which a request is counted.

    A caller may ask for any name. Counted under it, each wrong name would add time
    series that stay until the process ends: memory grows and the metrics page
    becomes too long to read. Names that nobody serves share one label.
    """
    return NO_TARGET if report.code in UNKNOWN_TARGETS else str(report.target)


def log_request(report: RequestReport, target: str, code: str) -> None:
    """Log how a request ended."""
    if report.code is ProblemCode.CALLER_GONE:
        attempts = len(report.attempts)
        log_event(logger, CALLER_GONE, request=report.request_id, attempts=attempts)
        return
    if report.outcome is Outcome.NOT_RUN:
        log_event(
            logger,
            REQUEST_REFUSED,
            request=report.request_id,
            account=report.account,
            target=target,
            code=code,
        )
        return
    log_event(
        logger,
        REQUEST_FINISHED,
        request=report.request_id,
        account=report.account,
        target=target,
        outcome=report.outcome.value,
        attempts=len(report.attempts),
        duration_s=round(report.duration.total_seconds(), 3),
        code=code,
    )


def log_endpoint(
    name: EndpointId, former: EndpointView | None, view: EndpointView
) -> None:
    """Log a change of an endpoint's condition."""
    if former == view or (former is None and view.condition in ORDINARY):
        return
    event = CONDITION_EVENTS.get(view.condition)
    if event is not None:
        log_event(logger, event, endpoint=name, incarnation=view.incarnation)
    elif former is not None and former.condition in CONDITION_EVENTS:
        log_event(
            logger, ENDPOINT_REACHABLE, endpoint=name, incarnation=view.incarnation
        )


ORDINARY: Final = {EndpointCondition.LIVE, EndpointCondition.UNREPORTED}


def log_member(
    name: InstanceId, former: MemberState | None, state: MemberState
) -> None:
    """Log a change of what is known of a peer."""
    if former is state:
        return
    if state is MemberState.LIVE:
        log_event(logger, PEER_JOINED, peer=name)
    elif state is MemberState.DRAINING:
        log_event(logger, PEER_LEFT, peer=name)
    else:
        log_event(logger, PEER_LOST, peer=name)
