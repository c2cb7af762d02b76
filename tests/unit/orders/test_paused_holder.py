"""A paused holder that wakes up does no lasting harm, whoever checks numbers."""

from collections.abc import Callable
from datetime import timedelta

from mimosafork.ids import EndpointId, OrderId
from mimosafork.kernel.messages.fleet import FencingMode
from mimosafork.kernel.messages.leases import Duty
from mimosafork.kernel.messages.orders import (
    Order,
    OrderKind,
    OrderResult,
    SendOrder,
)
from mimosafork.leases.keeper import TTL
from mimosafork.policies.rollout import STATE_READ_INTERVAL
from tests.support.functions import function_tests
from tests.support.order_zone import LOAD_TIME, MODEL, Member, OrderZone

SECOND = timedelta(seconds=1)


def nap(zone: OrderZone, sleeper: Member, want: str) -> Callable[[], None]:
    """Return a pause in which others take over and the operator changes his mind."""

    def pause() -> None:
        sleeper.asleep = True
        zone.want(want)
        zone.run(4 * TTL)
        sleeper.asleep = False

    return pause


def late_orders(zone: OrderZone) -> int:
    return sum(engine.late_orders for engine in zone.engines.values())


def all_loaded(zone: OrderZone) -> list[set[str]]:
    return [{each.version for each in e.models} for e in zone.engines.values()]


def test_order_that_waited_through_a_pause_is_not_sent() -> None:
    """The holder sleeps with a load in its queue, past its lease.

    At waking, the load comes due. Endpoints that ignore fencing numbers would
    take it although another holder has long brought them elsewhere.
    """
    zone = OrderZone(3, FencingMode.IGNORED, load_interval=10 * SECOND)
    zone.run(SECOND)
    sleeper = zone.holder
    zone.want("2")
    zone.run_until(lambda: len(sleeper.orders.loads) > 0)
    nap(zone, sleeper, "1")()
    sleeper.budget.due = zone.clock.monotonic()
    sleeper.orders.idle()
    assert not sleeper.orders.loads
    assert late_orders(zone) == 0
    zone.run(4 * TTL)
    assert zone.versions() == [{"1"}] * 3


def test_order_under_way_in_a_pause_is_refused_by_checking_engines() -> None:
    """The holder is paused in the moment between its look at the lease and sending.

    No look at a clock helps there. The engine has seen a larger number.
    """
    zone = OrderZone(engines=3, mode=FencingMode.CHECKED)
    zone.run(SECOND)
    sleeper = zone.holder
    sleeper.http.before_order["load-model"] = nap(zone, sleeper, "3")
    zone.want("2")
    zone.run_until(lambda: not sleeper.http.before_order)
    assert late_orders(zone) == 1
    zone.run(2 * TTL)
    assert not any("2" in each for each in zone.versions())


def test_engine_learns_the_new_number_although_nothing_changes() -> None:
    """As before, but the operator goes back, so that the new holder orders nothing.

    The engine would then hold the late order for a new one, and load.
    """
    zone = OrderZone(engines=3, mode=FencingMode.CHECKED)
    zone.run(SECOND)
    sleeper = zone.holder
    sleeper.http.before_order["load-model"] = nap(zone, sleeper, "1")
    zone.want("2")
    zone.run_until(lambda: not sleeper.http.before_order)
    assert late_orders(zone) == 1
    assert all_loaded(zone) == [{"1"}] * 3


def test_order_under_way_in_a_pause_is_put_right_on_ignoring_engines() -> None:
    """The same pause, and the engine takes the late order.

    The new holder finds the strange version at its next look and removes it. The
    wanted one answered all the time.
    """
    zone = OrderZone(engines=3, mode=FencingMode.IGNORED)
    zone.run(SECOND)
    sleeper = zone.holder
    sleeper.http.before_order["load-model"] = nap(zone, sleeper, "1")
    zone.want("2")
    zone.run_until(lambda: not sleeper.http.before_order)
    assert "2" in all_loaded(zone)[0]
    served: list[bool] = []
    zone.on_step.append(lambda: served.append(all(zone.versions())))
    zone.run(STATE_READ_INTERVAL + LOAD_TIME + 2 * SECOND)
    assert all_loaded(zone) == [{"1"}] * 3
    assert all(served)


def test_late_unload_is_put_right_on_ignoring_engines() -> None:
    """Worse: the late order unloads the version that has become wanted again.

    An engine without any version looks like one that was never meant to have the
    model; the new holder must remember that it had.
    """
    zone = OrderZone(engines=3, mode=FencingMode.IGNORED)
    zone.run(SECOND)
    sleeper = zone.holder
    sleeper.http.before_order["unload-model"] = nap(zone, sleeper, "1")
    zone.want("2")
    zone.run_until(lambda: not sleeper.http.before_order)
    assert late_orders(zone) == 1
    assert zone.versions().count(set()) == 1
    zone.run(STATE_READ_INTERVAL + LOAD_TIME + 4 * SECOND)
    assert zone.versions() == [{"1"}] * 3


def test_lease_must_outlast_the_call_on_engines_that_ignore_numbers() -> None:
    """Two seconds of lease are enough to begin an order and not to end it."""
    zone = OrderZone(engines=1, members=1)
    zone.run(SECOND)
    (member,) = zone.members
    lease = member.view.current(Duty.ORDERS)
    assert lease is not None
    order = Order(OrderId("o"), OrderKind.LOAD_MODEL, MODEL, "1")
    results = {}
    for left in (6 * SECOND, 2 * SECOND, -SECOND):
        zone.clock.instant = lease.valid_until - left
        for mode in FencingMode:
            command = SendOrder(
                EndpointId("e0"), "127.0.0.1:1", mode, order, lease.fencing, False
            )
            results[left, mode] = member.orders.sender.send(command).result
    assert results == {
        (6 * SECOND, FencingMode.CHECKED): OrderResult.ACCEPTED,
        (6 * SECOND, FencingMode.IGNORED): OrderResult.ACCEPTED,
        (2 * SECOND, FencingMode.CHECKED): OrderResult.ACCEPTED,
        (2 * SECOND, FencingMode.IGNORED): OrderResult.NOT_SENT,
        (-SECOND, FencingMode.CHECKED): OrderResult.NOT_SENT,
        (-SECOND, FencingMode.IGNORED): OrderResult.NOT_SENT,
    }


load_tests = function_tests(__name__)
