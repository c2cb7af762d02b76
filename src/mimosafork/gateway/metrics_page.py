"""HTTP endpoint of the metrics page."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from .page_connection import PageConnection, PageResponse

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def create_metrics() -> "Metrics":
    """Create the metrics; must be called outside the event loop's thread.

    OpenTelemetry's SDK takes over half a second to import on a small machine. The
    instance is ready without it, and its event loop must not block meanwhile.
    """
    from ..telemetry.metrics import Metrics

    return Metrics()


class MetricsConnection(PageConnection):
    """Answers requests for the metrics page, and others with 404.

    Parameters
    ----------
    page : callable
        Returns the current page.
    """

    def __init__(self, page: Callable[[], bytes]) -> None:
        super().__init__()
        self.page = page

    def respond(self, path: str) -> PageResponse:
        """Respond with the current page."""
        if path != METRICS_PATH:
            return PageResponse(HTTPStatus.NOT_FOUND, content_type=CONTENT_TYPE)
        return PageResponse(HTTPStatus.OK, self.page(), CONTENT_TYPE)
