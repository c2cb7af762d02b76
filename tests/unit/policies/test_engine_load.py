"""Estimate of an engine's load between its reports."""

from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import Incarnation, RequestId
from mimosafork.kernel.fleet import Endpoint
from mimosafork.policies.engine_load import EngineLoad, SentRequest
from tests.support.functions import function_tests
from tests.support.kernels import engine_entry, load_report

RATE = 30_000.0


def reported(sequence: int, at_s: float, waiting: int = 0, memory: int = 0) -> Endpoint:
    """Return an engine with a report of its state at an instant."""
    report = replace(
        load_report("e1", sequence), waiting_prefill_tokens=waiting, kv_used=memory
    )
    endpoint = Endpoint(engine_entry("e1"), report)
    endpoint.reported_at = timedelta(seconds=at_s)
    return endpoint


def short(at_s: float, work: int) -> SentRequest:
    """Return a short request sent at an instant."""
    return SentRequest(at_s, work, work + 100, is_long=False)


def test_own_dispatches_since_the_report_count() -> None:
    """All requests of half a second go to the engine that looked idle.

    Requests sent before the report are included in it. Those sent after it have to be
    added, or the engine still looks idle.
    """
    load = EngineLoad(Incarnation(1))
    load.send(RequestId("before"), short(0.5, 9_000))
    load.send(RequestId("after"), short(1.2, 6_000))
    load.report(reported(1, at_s=1.0, waiting=3_000, memory=3_100))
    assert load.levels(1.2) == (6_000.0, 0.0)
    assert load.memory_used == 3_100 + 6_100


def test_levels_drain_while_time_passes() -> None:
    load = EngineLoad(Incarnation(1))
    load.report(reported(1, at_s=0.0, waiting=15_000))
    assert load.levels(0.25) == (7_500.0, 0.0)
    assert load.levels(10.0) == (0.0, 0.0)
    load.send(RequestId("r"), short(10.0, 3_000))
    assert load.levels(10.0) == (3_000.0, 0.0)


def test_short_work_is_drained_first() -> None:
    load = EngineLoad(Incarnation(1))
    load.send(RequestId("long"), SentRequest(0.0, 100_000, 100_100, is_long=True))
    load.send(RequestId("short"), short(0.0, 30_000))
    assert load.levels(1.0) == (0.0, 100_000.0)
    assert load.levels(2.0) == (0.0, 70_000.0)


def test_waiting_work_beyond_the_short_bound_counts_as_long() -> None:
    """Short requests avoid an engine that would serve them at once.

    Another instance has a long prompt there. The report does not show this, but the
    backlog of short prompts never exceeds its bound.
    """
    load = EngineLoad(Incarnation(1))
    load.report(reported(1, at_s=0.0, waiting=200_000))
    assert load.levels(0.0) == (30_000.0, 170_000.0)


def test_finished_request_is_removed_once() -> None:
    load = EngineLoad(Incarnation(1))
    load.send(RequestId("long"), SentRequest(0.0, 100_000, 100_100, is_long=True))
    assert load.first_token(RequestId("long")) is not None
    assert load.first_token(RequestId("long")) is None
    assert load.own_long_waiting == 0
    assert load.long_memory == 100_100
    load.finish(RequestId("long"))
    load.finish(RequestId("long"))
    assert load.long_memory == 0
    assert load.memory_used == 0


def test_engine_clock_follows_the_report_numbers() -> None:
    """Requests of an instance whose clock is wrong always go first, or last.

    Priorities are compared at the engine, so they are derived from the sequence numbers
    of its reports and not from an instance's clock.
    """
    load = EngineLoad(Incarnation(1))
    for number in range(1, 200):
        load.report(reported(number, at_s=1_000 + 0.1 * number))
    first = load.clock_ticks(timedelta(seconds=1_000 + 0.1 * 199))
    later = load.clock_ticks(timedelta(seconds=1_000 + 0.1 * 199 + 0.5))
    assert abs(first - 199) < 1e-6
    assert abs(later - first - 5) < 0.1


load_tests = function_tests(__name__)
