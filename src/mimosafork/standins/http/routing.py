"""Finding the handler of a request by its method and path."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote

from .messages import Exchange, HttpAnswer, HttpRequest, error_answer


@dataclass(frozen=True, slots=True)
class Call:
    """A request with the values that its path holds.

    Parameters
    ----------
    request : HttpRequest
        The request.
    exchange : Exchange
        The way back, for handlers that answer later or by events.
    values : Mapping of str to str
        The unquoted path segments under the names in the route's pattern.
    """

    request: HttpRequest
    exchange: Exchange
    values: Mapping[str, str]


Handler = Callable[[Call], HttpAnswer | None]


class Router:
    """Routes such as `GET /v1/streams/{stream_id}`.

    A handler returns its answer, or None when it answers by the exchange.
    """

    def __init__(self) -> None:
        self.routes: list[tuple[str, list[str], Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route; a segment in braces takes any one path segment."""
        self.routes.append((method, pattern.split("/"), handler))

    def knows(self, request: HttpRequest) -> bool:
        """Say whether a route fits the request's method and path."""
        segments = request.path.split("/")
        return any(
            method == request.method and _match(pattern, segments) is not None
            for method, pattern, _ in self.routes
        )

    def dispatch(self, request: HttpRequest, exchange: Exchange) -> HttpAnswer | None:
        """Call the handler of a request, or answer that there is none."""
        segments = request.path.split("/")
        path_known = False
        for method, pattern, handler in self.routes:
            values = _match(pattern, segments)
            if values is None:
                continue
            path_known = True
            if method == request.method:
                return handler(Call(request, exchange, values))
        if path_known:
            return error_answer(HTTPStatus.METHOD_NOT_ALLOWED, "no such method here")
        return error_answer(HTTPStatus.NOT_FOUND, "no such path")


def _match(pattern: list[str], segments: list[str]) -> dict[str, str] | None:
    if len(pattern) != len(segments):
        return None
    values = {}
    for expected, segment in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            values[expected[1:-1]] = unquote(segment)
        elif expected != segment:
            return None
    return values
