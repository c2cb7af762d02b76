"""Readiness endpoint for the load balancer."""

from collections.abc import Callable
from http import HTTPStatus

from .page_connection import PageConnection, PageResponse


class ReadinessConnection(PageConnection):
    """Answers each request with 200 or 503.

    It runs in the event loop that serves callers, so that an instance whose loop is
    blocked stops answering and is taken out of rotation.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self.is_ready = is_ready

    def respond(self, path: str) -> PageResponse:
        """Respond with a status only, whatever the path."""
        ready = self.is_ready()
        return PageResponse(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
