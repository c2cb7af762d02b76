"""Serves the metrics page."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from .page_connection import PageConnection, PageResponse

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def new_metrics() -> "Metrics":
    """Return new metrics; to be called in a thread of its own.

    OpenTelemetry's SDK takes over half a second of a small machine to load. An
    instance is ready without it, and its loop must not stand still meanwhile.
    """
    from ..telemetry.metrics import Metrics

    return Metrics()


class MetricsConnection(PageConnection):
    """Answers each request for the page, and others with 404.

    Parameters
    ----------
    page : callable
        Returns the page as it is now.
    """

    def __init__(self, page: Callable[[], bytes]) -> None:
        super().__init__()
        self.page = page

    def respond(self, path: str) -> PageResponse:
        """Answer with the page, as it is now."""
        if path != METRICS_PATH:
            return PageResponse(HTTPStatus.NOT_FOUND, content_type=CONTENT_TYPE)
        return PageResponse(HTTPStatus.OK, self.page(), CONTENT_TYPE)
