"""Tests of the gateway's metrics page and its call metrics."""

import asyncio
from datetime import timedelta
from typing import Any, cast

from mimosafork.gateway.call_metrics import CallMetrics
from mimosafork.gateway.metrics_page import MetricsConnection
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.telemetry.catalogue.gateway_metrics import (
    CALL_FIRST_PART_TIME,
    CALLS,
)
from mimosafork.telemetry.metrics import Metrics
from tests.support.functions import function_tests


class RecordingTransport(asyncio.Transport):
    """Records written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: Any) -> None:
        """Record written bytes."""
        self.written += bytes(data)

    def close(self) -> None:
        """Record the close."""
        self.closed = True


class EndedCall:
    """The parts of a call that metrics read."""

    class request:  # noqa: N801
        """The call's kernel request."""

        target = "letters"
        prompt_tokens = 20_000

    status = 503
    arrived_at = timedelta(seconds=10)
    first_sent_at = timedelta(seconds=10, milliseconds=250)
    longest_pause = timedelta(milliseconds=40)


def request_page(request: bytes, page: bytes = b"a 1\n") -> RecordingTransport:
    connection, transport = MetricsConnection(lambda: page), RecordingTransport()
    connection.connection_made(transport)
    connection.data_received(request)
    return transport


def test_page_is_served_at_its_path_and_the_connection_kept() -> None:
    transport = request_page(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
    assert transport.written.count(b"HTTP/1.1 200 OK\r\n") == 2
    assert transport.written.endswith(b"\r\n\r\na 1\n")
    assert b"Content-Type: text/plain; version=0.0.4" in transport.written
    assert not transport.closed


def test_other_paths_and_invalid_requests_get_no_page() -> None:
    assert b"404" in request_page(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").written
    invalid = request_page(b"\x00\x01 nonsense\r\n\r\n")
    assert invalid.closed
    assert b"a 1" not in invalid.written


def test_calls_are_counted_by_outcome() -> None:
    metrics = Metrics()
    meter = CallMetrics(metrics)
    problem = Problem(ProblemCode.OVERLOADED, "all slots are taken")
    end = Conclude(cast(Any, "1"), Outcome.NOT_RUN, 0, problem)
    meter.count_ended_call(cast(Any, EndedCall), end)
    lines = metrics.page().decode().splitlines()
    (count,) = [x for x in lines if x.startswith(CALLS.exposed_name)]
    assert 'why="overloaded"' in count
    assert 'status="503"' in count
    assert count.endswith(" 1.0")
    first = CALL_FIRST_PART_TIME.exposed_name
    (total,) = [x for x in lines if x.startswith(f"{first}_sum")]
    assert 'length="up to 100k"' in total
    assert total.endswith(" 0.25")


load_tests = function_tests(__name__)
