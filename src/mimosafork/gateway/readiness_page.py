"""Answers the balancer's question whether this instance takes new connections."""

from collections.abc import Callable
from http import HTTPStatus

from .page_connection import PageConnection, PageResponse


class ReadyConnection(PageConnection):
    """Answers each request with 200 or 503.

    It runs in the loop that serves the callers, so that a loop which stands still
    answers nothing and is taken out of rotation.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self.is_ready = is_ready

    def respond(self, path: str) -> PageResponse:
        """Answer by the status alone, whatever the path."""
        ready = self.is_ready()
        return PageResponse(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
