"""The pages of an entry instance for operators and balancers."""

from http import HTTPStatus

from ..relay.counters import RelayCounters
from ..server.ops import OpsPages, Page, json_page
from ..telemetry.catalogue.lifecycle import STREAMS_IN_PROGRESS
from ..telemetry.catalogue.requests import (
    CALLERS_GONE,
    CHUNKS,
    CHUNKS_DROPPED,
    STREAMS_STALLED,
)
from ..telemetry.metrics import CONTENT_TYPE, Metrics, Reading
from .fleet_page import fleet_body
from .health import Health
from .kernel_task import KernelTask
from .readiness import Readiness


def add_pages(
    pages: OpsPages, kernel_task: KernelTask, health: Health, readiness: Readiness
) -> None:
    """Serve health, readiness and the fleet as this instance sees it."""

    def healthy() -> Page:
        failed = health.failed_tasks()
        status = HTTPStatus.SERVICE_UNAVAILABLE if failed else HTTPStatus.OK
        return json_page({"healthy": not failed, "failed_tasks": failed}, status)

    def ready() -> Page:
        why = readiness.why_not()
        status = HTTPStatus.OK if why is None else HTTPStatus.SERVICE_UNAVAILABLE
        return json_page({"ready": why is None, "why": why}, status)

    pages.add("/healthz", healthy)
    pages.add("/readyz", ready)
    pages.add("/fleet", lambda: json_page(kernel_task.inspect(fleet_body)))


def dropped(counters: RelayCounters) -> list[Reading]:
    """Return how many events were dropped, by reason."""
    return [
        Reading(count, (("reason", judgement.value),))
        for judgement, count in list(counters.dropped.items())
    ]


def add_metrics(pages: OpsPages, metrics: Metrics, counters: RelayCounters) -> None:
    """Serve the metrics in Prometheus' text format."""
    metrics.observe(STREAMS_IN_PROGRESS, lambda: [Reading(counters.streams)])
    metrics.observe(CHUNKS, lambda: [Reading(counters.events)])
    metrics.observe(CHUNKS_DROPPED, lambda: dropped(counters))
    metrics.observe(STREAMS_STALLED, lambda: [Reading(counters.stalled)])
    metrics.observe(CALLERS_GONE, lambda: [Reading(counters.callers_gone)])
    pages.add("/metrics", lambda: Page(HTTPStatus.OK, CONTENT_TYPE, metrics.page()))
