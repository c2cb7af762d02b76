"""Tests of the gauge of tokens reserved on engines by own calls."""

from datetime import timedelta
from random import Random
from typing import Any, cast

from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.gauges import GatewayGauges
from mimosafork.gateway.policies.reservations import ReservationState
from mimosafork.gateway.policies.reserving import RESERVATION_TTL, MemoryKeeper
from mimosafork.ids import RequestId
from mimosafork.kernel.messages.requests import CallerGone, Submit
from mimosafork.platform.calls import PreparedDialect
from mimosafork.telemetry.catalogue.gateway_metrics import MEMORY_RESERVED
from mimosafork.telemetry.metrics import Metrics

from ...support.functions import function_tests
from ...support.reserving_engines import (
    HUGE,
    ReservingBench,
    huge_request,
    reserving_bench,
)


def tokens_of(bench: ReservingBench, state: ReservationState) -> int:
    keeper = bench.kernel.plugin(MemoryKeeper)
    return keeper.reserved_tokens(bench.clock.monotonic())[state]


def submit_huge(bench: ReservingBench) -> None:
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))


def test_held_tokens_are_those_that_the_engines_hold() -> None:
    bench = reserving_bench()
    assert tokens_of(bench, ReservationState.HELD) == 0
    submit_huge(bench)
    engines = bench.engines.values()
    held = sum(each.tokens for e in engines for each in e.reservations.values())
    assert held >= HUGE
    assert tokens_of(bench, ReservationState.HELD) == held
    assert tokens_of(bench, ReservationState.UNSURE) == 0
    bench.serve(CallerGone(RequestId("r")))
    assert tokens_of(bench, ReservationState.HELD) == 0


def test_tokens_of_an_unanswered_order_are_unsure() -> None:
    """An engine does not answer an order, so it is unknown whether it reserved memory.

    Counting it as held could report memory that is free; omitting it would hide memory
    that an engine may lack for seconds.
    """
    bench = reserving_bench()
    for engine in bench.engines.values():
        engine.silent = True
    submit_huge(bench)
    (order,) = bench.unanswered_orders
    assert tokens_of(bench, ReservationState.UNSURE) == cast(Any, order).tokens
    assert tokens_of(bench, ReservationState.HELD) == 0


def test_tokens_of_an_expired_reservation_are_unsure() -> None:
    """The instance is frozen for longer than the time to live."""
    bench = reserving_bench()
    submit_huge(bench)
    held = tokens_of(bench, ReservationState.HELD)
    bench.run(RESERVATION_TTL + timedelta(milliseconds=10), ticking=False)
    assert tokens_of(bench, ReservationState.HELD) == 0
    assert tokens_of(bench, ReservationState.UNSURE) == held


def test_metrics_page_shows_tokens_by_state() -> None:
    bench = reserving_bench()
    gateway = Gateway(
        bench.kernel, PreparedDialect(), bench.clock, Random(1), lambda: None
    )
    metrics = Metrics()
    gauges = GatewayGauges(gateway, cast(Any, None), None)
    metrics.observe(MEMORY_RESERVED, gauges.reserved_tokens)
    submit_huge(bench)
    held = tokens_of(bench, ReservationState.HELD)
    lines = metrics.page().decode().splitlines()
    shown = [x for x in lines if x.startswith(MEMORY_RESERVED.exposed_name)]
    values = {
        line.split('state="')[1].split('"')[0]: line.split()[-1] for line in shown
    }
    assert values == {"held": str(float(held)), "unsure": "0.0"}


load_tests = function_tests(__name__)
