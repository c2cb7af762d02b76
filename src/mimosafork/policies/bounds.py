"""Bounds an engine's backlog, and the part of it that long prompts may hold.

Work beyond the bounds queues at the entry instances, from where it can still go to
the first engine with capacity. Work within them keeps the engine busy until the next
report.
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
"""Queued work of long prompts up to which an engine is sent another one."""

SHORT_MEMORY_SHARE = 0.95
"""Part of an engine's memory up to which short requests are sent. The rest absorbs
what other instances send before the next report."""

LONG_MEMORY_SHARE_BASE = 0.6
LONG_MEMORY_SHARE_GROWTH = 0.5
"""Long prompts are sent while an engine's memory use stays below the base plus the
growth times `long_share`. The remaining memory is reserved for short prompts."""

IDLE_MEMORY_SHARE = 0.05
"""An engine with less than this part of its memory in use accepts any prompt that
fits into its memory."""


@register("engine-bounds")
class EngineBounds(Plugin):
    """Checks whether an engine has capacity for a request."""

    def __init__(self) -> None:
        self.prediction = Prediction()
        self.long_share = FleetPolicy().long_share

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the prediction."""
        self.prediction = find(Prediction) or self.prediction

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Apply changed settings."""

    @handle.register
    def _(self, message: ConfigurationReceived, context: Context) -> None:
        self.long_share = fleet_policy(context).long_share

    def with_room(
        self, record: RequestRecord, candidates: list[Candidate], context: Context
    ) -> list[Candidate]:
        """Return the candidates that have capacity for a request now."""
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
        """Return whether a request fits into an engine's memory."""
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

        A single long prompt is always accepted, whatever its size. Without the bound
        a few long prompts fill the memory of every engine, and short requests wait
        for it whatever their priority.
        """
        held = load.long_memory
        if (
            load.capacity
            and held > 0
            and held + memory > self.long_share * load.capacity
        ):
            return False
        return waiting <= LONG_BACKLOG_S * load.rate
