"""The gateway's metrics page shows calls by what became of them."""

import asyncio
from datetime import timedelta
from typing import Any, cast

from mimosafork.gateway.call_metrics import CallMetrics
from mimosafork.gateway.metrics_page import MetricsConnection
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.telemetry.catalogue.gateway import CALL_FIRST_PART_TIME, CALLS
from mimosafork.telemetry.metrics import Metrics
from tests.support.functions import function_tests


class Wire(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: Any) -> None:
        """Keep some bytes."""
        self.written += bytes(data)

    def close(self) -> None:
        """Note that it is closed."""
        self.closed = True


class EndedCall:
    """The parts of a call that are counted."""

    class request:  # noqa: N801
        """What the kernel knew of it."""

        target = "letters"
        prompt_tokens = 20_000

    status = 503
    arrived_at = timedelta(seconds=10)
    first_sent_at = timedelta(seconds=10, milliseconds=250)
    longest_pause = timedelta(milliseconds=40)


def asked(request: bytes, page: bytes = b"a 1\n") -> Wire:
    connection, wire = MetricsConnection(lambda: page), Wire()
    connection.connection_made(wire)
    connection.data_received(request)
    return wire


def test_page_is_served_at_its_path_and_the_connection_kept() -> None:
    wire = asked(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
    assert wire.written.count(b"HTTP/1.1 200 OK\r\n") == 2
    assert wire.written.endswith(b"\r\n\r\na 1\n")
    assert b"Content-Type: text/plain; version=0.0.4" in wire.written
    assert not wire.closed


def test_other_paths_and_nonsense_get_no_page() -> None:
    assert b"404" in asked(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").written
    nonsense = asked(b"\x00\x01 nonsense\r\n\r\n")
    assert nonsense.closed
    assert b"a 1" not in nonsense.written


def test_calls_are_counted_by_what_became_of_them() -> None:
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
