"""A fault in this program shows as a problem body and as an event."""

import logging
from http import HTTPStatus
from types import SimpleNamespace
from typing import Any
from wsgiref.util import setup_testing_defaults

import msgspec

from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.server import application
from mimosafork.server.errors import RejectedError
from mimosafork.server.front import Front, make_app
from mimosafork.server.gateway import CALLER_KEY
from mimosafork.telemetry.formats import PlainFormatter
from tests.support.functions import function_tests


class Lines(logging.Handler):
    """Keep formatted lines."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(PlainFormatter())
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


def models_call() -> dict[str, Any]:
    """Return the environment of ``GET /v1/models``."""
    environ: dict[str, Any] = {}
    setup_testing_defaults(environ)
    connection = SimpleNamespace(request=SimpleNamespace())
    target = "/v1/models"
    return environ | {
        "PATH_INFO": target,
        "REQUEST_URI": target,
        CALLER_KEY: connection,
    }


def broken(headers: object) -> None:
    raise RuntimeError("no such thing")


def test_fault_is_told_to_the_caller_and_logged_with_its_trace() -> None:
    """A caller gets a 500, and nobody can find out why.

    A handler raises what nobody foresaw. The caller is told that nothing was run,
    without a trace; the operator finds a number and the trace in the log.
    """
    app: Any = make_app(Front(SimpleNamespace(identify=broken)))  # type: ignore[arg-type]
    environ = models_call()
    statuses: list[str] = []
    handler = Lines()
    application.logger.addHandler(handler)
    try:
        parts = app(
            environ, lambda status, headers, error=None: statuses.append(status)
        )
        body = b"".join(parts)
    finally:
        application.logger.removeHandler(handler)
    assert statuses[0].startswith(str(HTTPStatus.INTERNAL_SERVER_ERROR.value))
    assert msgspec.json.decode(body)["outcome"] == "not-run"
    assert b"no such thing" not in body
    (line,) = handler.lines
    assert "MF1203" in line
    assert "RuntimeError: no such thing" in line


def test_refused_call_is_counted_by_its_code() -> None:
    """Callers with an old key are refused, and the operator's page shows nothing."""
    codes: list[ProblemCode] = []

    def refuse(headers: object) -> None:
        raise RejectedError(ProblemCode.UNAUTHORIZED, "nobody has this API key")

    limits = SimpleNamespace(body_bytes=100)
    intake = SimpleNamespace(
        identify=refuse, note_rejection=codes.append, limits=limits
    )
    app: Any = make_app(Front(intake))  # type: ignore[arg-type]
    environ = models_call()
    statuses: list[str] = []
    list(app(environ, lambda status, *rest: statuses.append(status)))
    assert statuses[0].startswith(str(HTTPStatus.UNAUTHORIZED.value))
    assert codes == [ProblemCode.UNAUTHORIZED]


load_tests = function_tests(__name__)
