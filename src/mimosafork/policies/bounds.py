"""How much may wait at an engine, and how much of it long prompts may hold.

Work beyond the bounds waits at the entry instances, where it can still go to
whichever engine is free first. Within them the engine has enough to do until the
next report.
"""

from functools import singledispatchmethod

from ..kernel.configuration import FleetPolicy
from ..kernel.context import Context
from ..kernel.messages.base import Message
from ..kernel.messages.configuration import ConfigurationReceived
from ..kernel.plugins import Plugin, PluginFinder
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .engine_load import SHORT_BACKLOG_S, EngineLoad
from .prediction import Prediction, fleet_policy
from .scoring import Candidate

LONG_BACKLOG_S = 2.0
"""Work of long prompts that may wait there when a further long one is sent."""

SHORT_MEMORY_SHARE = 0.95
"""Part of an engine's memory up to which short requests are sent. The rest is for
what other instances send before the next report."""

LONG_MEMORY_SHARE_BASE = 0.6
LONG_MEMORY_SHARE_GROWTH = 0.5
"""Long prompts are sent up to the first part of an engine's memory, and the second
part of `long_share` more. What they leave is for short ones alone."""

IDLE_MEMORY_SHARE = 0.05
"""An engine with less than this part of its memory in use takes any prompt that it
can hold."""


@register("engine-bounds")
class EngineBounds(Plugin):
    """Tells whether an engine has room for a request."""

    def __init__(self) -> None:
        self.prediction = Prediction()
        self.long_share = FleetPolicy().long_share

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Keep the prediction."""
        self.prediction = find(Prediction) or self.prediction

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Keep up with settings."""

    @handle.register
    def _(self, message: ConfigurationReceived, context: Context) -> None:
        self.long_share = fleet_policy(context).long_share

    def with_room(
        self, record: RequestRecord, candidates: list[Candidate], context: Context
    ) -> list[Candidate]:
        """Return the candidates to which a request may be sent now."""
        request = record.request
        memory = request.prompt_tokens + request.max_tokens
        now_s = context.now.total_seconds()
        is_long = self.prediction.is_long(request)
        blocking = self.prediction.blocking(request)
        found = []
        for candidate in candidates:
            load = self.prediction.load_of(candidate.endpoint)
            if not self._has_memory(load, memory, is_long):
                continue
            short, long = load.levels(now_s)
            if is_long:
                has_room = self._has_long_room(load, memory, long)
            else:
                has_room = short + blocking * long <= SHORT_BACKLOG_S * load.rate
            if has_room:
                found.append(candidate)
        return found

    def _has_memory(self, load: EngineLoad, memory: int, is_long: bool) -> bool:
        """Return whether an engine's memory has room for a request."""
        if load.capacity == 0:
            return True
        if memory > load.capacity:
            return False
        if load.memory_used < IDLE_MEMORY_SHARE * load.capacity:
            return True
        fill = SHORT_MEMORY_SHARE
        if is_long:
            fill = LONG_MEMORY_SHARE_BASE + LONG_MEMORY_SHARE_GROWTH * self.long_share
        return load.memory_used + memory <= fill * load.capacity

    def _has_long_room(self, load: EngineLoad, memory: int, waiting: float) -> bool:
        """Bound what long prompts hold of an engine's memory and prefill.

        One alone is always let in, whatever its size. Without the bound a few of
        them fill the memory of every engine, and short requests wait for it, however
        high their priority.
        """
        held = load.long_memory
        if (
            load.capacity
            and held > 0
            and held + memory > self.long_share * load.capacity
        ):
            return False
        return waiting <= LONG_BACKLOG_S * load.rate
