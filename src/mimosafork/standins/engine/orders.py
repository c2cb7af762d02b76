"""What the engine was ordered to be: role, models, adapters, draining."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..errors import BadRequestError
from ..refusals import RefusalReason, RefusedError
from .messages import (
    LoadedModel,
    ModelEntry,
    ModelState,
    Order,
    OrderKind,
    StateAnswer,
)
from .settings import EngineSettings, FencingMode

OrderHandler = Callable[[Order, float], None]


@dataclass(frozen=True, slots=True)
class Loading:
    """A model or adapter with the instant from which it serves."""

    name: str
    version: str
    ready_s: float


class EngineState:
    """The state that orders change.

    Parameters
    ----------
    settings : EngineSettings
        The state to begin with, and how orders are taken.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.role = settings.role
        self.draining = False
        self.fencing = 0
        self.models = [Loading(m.model, m.version, 0.0) for m in settings.models]
        self.adapters = [Loading(name, "", 0.0) for name in settings.adapters]
        self._handlers: dict[OrderKind, OrderHandler] = {
            OrderKind.LOAD_MODEL: self._load_model,
            OrderKind.UNLOAD_MODEL: self._unload_model,
            OrderKind.LOAD_ADAPTER: self._load_adapter,
            OrderKind.SET_ROLE: self._set_role,
            OrderKind.DRAIN: partial(self._set_draining, True),
            OrderKind.UNDRAIN: partial(self._set_draining, False),
        }

    def take(self, order: Order, now_s: float) -> None:
        """Take an order; one that is fulfilled already changes nothing.

        Raises
        ------
        RefusedError
            If the engine checks fencing numbers and has seen a newer one.
        BadRequestError
            If the order lacks what its kind needs.
        """
        is_checked = self.settings.fencing is FencingMode.CHECKED
        if is_checked and order.fencing < self.fencing:
            raise RefusedError(
                RefusalReason.STALE_FENCING,
                f"{order.fencing} is older than {self.fencing}",
            )
        self._handlers[order.kind](order, now_s)
        self.fencing = max(self.fencing, order.fencing)

    def ready_models(self, now_s: float) -> tuple[LoadedModel, ...]:
        """List the models that serve."""
        return tuple(
            LoadedModel(model.name, model.version)
            for model in self.models
            if model.ready_s <= now_s
        )

    def ready_adapters(self, now_s: float) -> tuple[str, ...]:
        """List the adapters that serve."""
        return tuple(a.name for a in self.adapters if a.ready_s <= now_s)

    def serves(self, model: str, adapter: str | None, now_s: float) -> bool:
        """Say whether a model serves, with the adapter if one is named."""
        if all(loaded.model != model for loaded in self.ready_models(now_s)):
            return False
        return adapter is None or adapter in self.ready_adapters(now_s)

    def describe(self, incarnation: int, now_s: float) -> StateAnswer:
        """Return the state as callers read it."""
        return StateAnswer(
            incarnation=incarnation,
            role=self.role,
            models=[
                ModelEntry(model.name, model.version, _model_state(model, now_s))
                for model in self.models
            ],
            adapters=list(self.ready_adapters(now_s)),
            fencing=self.fencing,
            draining=self.draining,
        )

    def _load_model(self, order: Order, now_s: float) -> None:
        name = _needed(order.model, "model")
        version = _needed(order.version, "version")
        if any(m.name == name and m.version == version for m in self.models):
            return
        self.models.append(Loading(name, version, self._ready_s(now_s)))

    def _unload_model(self, order: Order, now_s: float) -> None:
        name = _needed(order.model, "model")
        self.models = [
            model
            for model in self.models
            if model.name != name or order.version not in (None, model.version)
        ]

    def _load_adapter(self, order: Order, now_s: float) -> None:
        name = _needed(order.adapter, "adapter")
        if all(adapter.name != name for adapter in self.adapters):
            self.adapters.append(Loading(name, "", self._ready_s(now_s)))

    def _set_role(self, order: Order, now_s: float) -> None:
        self.role = _needed(order.role, "role")

    def _set_draining(self, draining: bool, order: Order, now_s: float) -> None:
        self.draining = draining

    def _ready_s(self, now_s: float) -> float:
        return now_s + self.settings.load_time.total_seconds()


def _model_state(model: Loading, now_s: float) -> ModelState:
    return ModelState.READY if model.ready_s <= now_s else ModelState.LOADING


def _needed(value: str | None, name: str) -> str:
    if not value:
        raise BadRequestError(f"this order needs {name!r}")
    return value
