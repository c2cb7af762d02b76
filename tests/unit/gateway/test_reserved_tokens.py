"""The tokens that own calls hold on engines are told as they are known to be held."""

from datetime import timedelta
from random import Random
from typing import Any, cast

from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.gauges import GatewayGauges
from mimosafork.gateway.policies.reservations import ReservationState
from mimosafork.gateway.policies.reserving import RESERVATION_TTL, MemoryKeeper
from mimosafork.ids import RequestId
from mimosafork.kernel.messages.requests import CallerGone, Submit
from mimosafork.telemetry.catalogue.gateway import MEMORY_RESERVED
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


def begun(bench: ReservingBench) -> None:
    bench.serve(Submit(huge_request("r", bench.clock.monotonic())))


def test_held_tokens_are_those_that_the_engines_hold() -> None:
    bench = reserving_bench()
    assert tokens_of(bench, ReservationState.HELD) == 0
    begun(bench)
    engines = bench.engines.values()
    held = sum(each.tokens for e in engines for each in e.reservations.values())
    assert held >= HUGE
    assert tokens_of(bench, ReservationState.HELD) == held
    assert tokens_of(bench, ReservationState.UNSURE) == 0
    bench.serve(CallerGone(RequestId("r")))
    assert tokens_of(bench, ReservationState.HELD) == 0


def test_tokens_whose_order_has_no_answer_are_unsure() -> None:
    """An engine answers no order: nobody knows whether it has set memory aside.

    Counted as held, the page would show memory that nobody holds; left out, it would
    hide what an engine may lack for seconds.
    """
    bench = reserving_bench()
    for engine in bench.engines.values():
        engine.silent = True
    begun(bench)
    (order,) = bench.unanswered_orders
    assert tokens_of(bench, ReservationState.UNSURE) == cast(Any, order).tokens
    assert tokens_of(bench, ReservationState.HELD) == 0


def test_tokens_whose_time_may_be_over_are_unsure() -> None:
    """The instance stands still for longer than a reservation lasts."""
    bench = reserving_bench()
    begun(bench)
    held = tokens_of(bench, ReservationState.HELD)
    bench.run(RESERVATION_TTL + timedelta(milliseconds=10), ticking=False)
    assert tokens_of(bench, ReservationState.HELD) == 0
    assert tokens_of(bench, ReservationState.UNSURE) == held


def test_metrics_page_tells_tokens_by_state() -> None:
    bench = reserving_bench()
    gateway = Gateway(
        bench.kernel, cast(Any, None), bench.clock, Random(1), lambda: None
    )
    metrics = Metrics()
    gauges = GatewayGauges(gateway, cast(Any, None), None)
    metrics.observe(MEMORY_RESERVED, gauges.reserved_tokens)
    begun(bench)
    held = tokens_of(bench, ReservationState.HELD)
    lines = metrics.page().decode().splitlines()
    shown = [x for x in lines if x.startswith(MEMORY_RESERVED.exposed_name)]
    values = {
        line.split('state="')[1].split('"')[0]: line.split()[-1] for line in shown
    }
    assert values == {"held": str(float(held)), "unsure": "0.0"}


load_tests = function_tests(__name__)
