"""Engines that answer a kernel's gang effects and track their holdings."""

from collections.abc import Iterable
from functools import singledispatchmethod

from mimosafork.kernel.messages.base import Effect, Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ImportFailed,
    ImportKv,
    KvImported,
    MemoryReserved,
    PrefillSegment,
    ReservationFailed,
    ReserveMemory,
    SegmentPrefilled,
)

from .kernels import Bench


class GangEngines:
    """Answers effects at once, except for kinds that are held back.

    Attributes
    ----------
    held : dict of str to int
        Memory by holding id, of all engines together.
    by_engine : dict of str to dict
        Memory by holding id, by engine.
    held_back : list of Effect
        Effects of the kinds in `holding_back`, not answered.
    failing : dict of type to GangStepFailure
        Kinds of effects that are answered with a failure.
    """

    def __init__(self, bench: Bench, capacity: int = 400_000) -> None:
        self.bench = bench
        self.capacity = capacity
        self.by_engine: dict[str, dict[str, int]] = {}
        self.holding_back: set[type[Effect]] = set()
        self.held_back: list[Effect] = []
        self.failing: dict[type[Effect], GangStepFailure] = {}
        self.order: list[str] = []
        self.most_held: dict[str, int] = {}

    @property
    def held(self) -> dict[str, int]:
        """All holdings."""
        return {
            name: tokens
            for holdings in self.by_engine.values()
            for name, tokens in holdings.items()
        }

    def serve(self, effects: Iterable[Effect]) -> None:
        """Answer effects, and the effects that follow from the answers."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if type(effect) in self.holding_back:
                self.held_back.append(effect)
                continue
            for message in self.answer(effect):
                waiting += self.bench.handle(message)

    def release_one(self) -> Effect:
        """Answer the oldest effect that is held back."""
        effect = self.held_back.pop(0)
        for message in self.answer(effect):
            self.serve(self.bench.handle(message))
        return effect

    def hold(self, engine: str, name: str, tokens: int) -> bool:
        """Allocate memory; return whether enough was free."""
        holdings = self.by_engine.setdefault(engine, {})
        if sum(holdings.values()) + tokens > self.capacity:
            return False
        holdings[name] = tokens
        self.most_held[engine] = max(
            self.most_held.get(engine, 0), sum(holdings.values())
        )
        return True

    @singledispatchmethod
    def answer(self, effect: Effect) -> list[Message]:
        """Return an engine's answers; none to effects that don't concern it."""
        return []

    @answer.register
    def _(self, effect: ReserveMemory) -> list[Message]:
        self.order.append(effect.endpoint)
        failure = self.failing.get(ReserveMemory)
        if failure is None:
            if self.hold(effect.endpoint, effect.reservation, effect.tokens):
                return [MemoryReserved(effect.request_id, effect.reservation)]
            failure = GangStepFailure.NO_MEMORY
        return [ReservationFailed(effect.request_id, effect.reservation, failure)]

    @answer.register
    def _(self, effect: PrefillSegment) -> list[Message]:
        holdings = self.by_engine.setdefault(effect.endpoint, {})
        del holdings[effect.reservation]
        for name in effect.imports:
            del holdings[name]
        handle = f"kv-{effect.stream_id}"
        self.hold(effect.endpoint, handle, effect.tokens)
        return [
            SegmentPrefilled(
                effect.request_id,
                effect.stream_id,
                effect.endpoint,
                effect.address,
                handle,
            )
        ]

    @answer.register
    def _(self, effect: ImportKv) -> list[Message]:
        failure = self.failing.get(ImportKv)
        if failure is not None:
            return [ImportFailed(effect.request_id, effect.import_id, failure)]
        assert effect.handle in self.held, "an export that is not there"
        self.hold(effect.endpoint, effect.import_id, 1_000)
        return [KvImported(effect.request_id, effect.import_id)]

    @answer.register
    def _(self, effect: Dispatch) -> list[Message]:
        """Consume reservation and imports; the stream frees them when it ends."""
        holdings = self.by_engine.setdefault(effect.endpoint, {})
        for name in [*effect.imports, *filter(None, [effect.reservation])]:
            holdings.pop(name, None)
        return []

    @answer.register
    def _(self, effect: FreeOwnHolding) -> list[Message]:
        self.by_engine.get(effect.endpoint, {}).pop(effect.holding_id, None)
        return []
