"""The small server for operators, balancers and metrics."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import cherrypy
import msgspec

from .application import quiet_application

JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Page:
    """One answer of the operations server."""

    status: HTTPStatus
    content_type: str
    body: bytes


PageSource = Callable[[], Page]


def json_page(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Page:
    """Return a page with a value as JSON."""
    return Page(status, JSON_TYPE, msgspec.json.encode(value))


class OpsPages:
    """The pages by path; adapters add theirs before the server starts."""

    def __init__(self) -> None:
        self.pages: dict[str, PageSource] = {}

    def add(self, path: str, source: PageSource) -> None:
        """Serve a page; `source` is called in a thread of the server."""
        self.pages[path] = source

    @cherrypy.expose
    def default(self, *parts: str, **query: str) -> bytes:
        """Answer with the page of this path."""
        source = self.pages.get("/" + "/".join(parts))
        if source is None or cherrypy.request.method not in {"GET", "HEAD"}:
            raise cherrypy.HTTPError(HTTPStatus.NOT_FOUND)
        page = source()
        cherrypy.response.status = int(page.status)
        cherrypy.response.headers["Content-Type"] = page.content_type
        return page.body


def make_ops_app(pages: OpsPages) -> cherrypy.Application:
    """Return the WSGI application of the pages."""
    return quiet_application(pages)
