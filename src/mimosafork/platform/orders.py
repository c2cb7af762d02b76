"""Translates orders about an engine's memory, and their answers."""

from datetime import timedelta
from functools import singledispatch
from http import HTTPStatus

import msgspec

from ..gateway.dialect import OrderMessage
from ..kernel.messages.base import Effect
from ..kernel.messages.placement import FreeOwnHolding, GangStepFailure, ReserveMemory
from . import names

MILLISECOND = timedelta(milliseconds=1)

DONE = frozenset({HTTPStatus.OK})
SHORT_OF_MEMORY = frozenset({HTTPStatus.CONFLICT})
"""The memory is taken, or too many reservations are outstanding."""


@singledispatch
def order_of(effect: Effect) -> OrderMessage:
    """Return what has an engine carry out an effect.

    Raises
    ------
    TypeError
        If the platform has no such order.
    """
    raise TypeError(f"no order for {type(effect).__name__}")


@order_of.register
def _(effect: ReserveMemory) -> OrderMessage:
    return message_of(
        {
            names.OPERATION: names.RESERVE,
            names.ID: effect.reservation,
            names.TOKENS: effect.tokens,
            names.HOLD_MS: int(effect.time_to_live / MILLISECOND),
        }
    )


@order_of.register
def _(effect: FreeOwnHolding) -> OrderMessage:
    return message_of({names.OPERATION: names.RELEASE, names.ID: effect.holding_id})


def message_of(document: dict[str, object]) -> OrderMessage:
    """Return an order's path and body."""
    return OrderMessage(names.ORDER_PATH, msgspec.json.encode(document))


def failure_of(status: int) -> GangStepFailure | None:
    """Return what an answer's status says; None if the order is done."""
    if status in DONE:
        return None
    if status in SHORT_OF_MEMORY:
        return GangStepFailure.NO_MEMORY
    return GangStepFailure.REFUSED
