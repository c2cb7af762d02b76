"""Computes the next order that brings an engine to the configured versions."""

from collections.abc import Mapping

from ..ids import AdapterId, ModelId, OrderId
from ..kernel.configuration import ModelPolicy
from ..kernel.messages.orders import Order, OrderKind, StateRead


def next_order(
    state: StateRead,
    models: Mapping[ModelId, ModelPolicy],
    seen: frozenset[ModelId],
    order_id: OrderId,
) -> Order | None:
    """Return the next order for an engine, or None if it has the wanted versions.

    An engine with another version of a model loads the wanted one beside it and
    unloads the old one when the new one is ready. Models that the engine never had
    are not loaded, and models that are no longer configured stay.

    Parameters
    ----------
    seen : frozenset of ModelId
        Models that this incarnation of the engine has reported. One that is missing
        now was unloaded by a late order of an earlier lease holder and is loaded
        again.
    """
    for name, policy in models.items():
        loaded = [each for each in state.models if each.model == name]
        if not loaded and name not in seen:
            continue
        wanted = [each for each in loaded if each.version == policy.version]
        if not wanted:
            kind = OrderKind.LOAD_MODEL
            return Order(order_id, kind, model=name, version=policy.version)
        if not wanted[0].is_ready:
            continue
        for old in loaded:
            if old.version != policy.version:
                kind = OrderKind.UNLOAD_MODEL
                return Order(order_id, kind, model=name, version=old.version)
        for adapter in policy.adapters:
            if adapter not in state.adapters:
                kind = OrderKind.LOAD_ADAPTER
                return Order(order_id, kind, adapter=AdapterId(adapter))
    return None


def confirming_order(
    state: StateRead, models: Mapping[ModelId, ModelPolicy], order_id: OrderId
) -> Order | None:
    """Return an order that changes nothing but carries the fencing number."""
    for each in state.models:
        policy = models.get(each.model)
        if policy is not None and policy.version == each.version:
            kind = OrderKind.LOAD_MODEL
            return Order(order_id, kind, model=each.model, version=each.version)
    return None
