"""Kernel: owns the state and turns messages into effects."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger
from random import Random
from typing import TypeVar, cast

from ..clock import Clock
from ..ids import RequestId
from ..telemetry.catalogue.lifecycle import KERNEL_FAULT
from ..telemetry.logs import log_event
from .context import Context, InstanceIdentity, KernelState
from .errors import KernelError
from .fleet import Fleet
from .lifecycle import Lifecycle
from .messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptHedged,
    AttemptSent,
    ConnectionOpening,
    DispatchFaulted,
    FirstToken,
    HedgedAttemptResumed,
    RetryDue,
)
from .messages.base import Effect, Message, Tick
from .messages.configuration import ConfigurationChanged, ConfigurationReceived
from .messages.fleet import InstancesListed, LoadReported, ProbeFailed
from .messages.lifecycle import DrainBegun, StopNow
from .messages.peers import AnnounceDrain
from .messages.requests import CallerGone, Submit
from .plugins import (
    CompletionCleared,
    Finisher,
    Placed,
    PlacementFailed,
    Placer,
    Plugin,
    QueueDiscipline,
    RetryPolicy,
    Stage,
    StageCleared,
)
from .queue import WaitingQueue

logger = getLogger(__name__)

TICK = timedelta(milliseconds=50)
"""Interval at which adapters send `Tick`."""

P = TypeVar("P", bound=Plugin)


class Kernel:
    """Makes all scheduling decisions of one entry instance.

    Not thread-safe: one task owns it.

    Parameters
    ----------
    identity : InstanceIdentity
    clock : Clock
    random : random.Random
        Seeded by the caller.
    plugins : sequence of Plugin
        Exactly one `RetryPolicy` and one `QueueDiscipline` among them.

    Raises
    ------
    KernelError
        If a role is missing or filled twice.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        clock: Clock,
        random: Random,
        plugins: Sequence[Plugin],
    ) -> None:
        self.clock = clock
        self.random = random
        self.plugins = list(plugins)
        self.state = KernelState(identity, Fleet(), WaitingQueue())
        self.lifecycle = Lifecycle(
            stages=_all_of(plugins, Stage),
            placers=_all_of(plugins, Placer),
            retry=_only_one_of(plugins, RetryPolicy),
            discipline=_only_one_of(plugins, QueueDiscipline),
            finishers=_all_of(plugins, Finisher),
        )
        # The handlers of a message type are looked up once. Each attribute access of a
        # singledispatchmethod creates a new function, which costs as much as the
        # dispatch: 7,972 of 66,152 function calls a second under overload with 64
        # instances (`python -m benchmarks.instance_cost`).
        self.steps: dict[type[Message], Callable[..., None] | None] = {}
        self.listeners: dict[type[Message], list[Callable[..., None]]] = {}
        for plugin in self.plugins:
            plugin.resolve_dependencies(self.find)

    def handle(self, message: Message) -> list[Effect]:
        """Handle a message and the messages that it triggers; return the effects.

        Messages that plug-ins post are handled in order before this returns.

        Exceptions are caught for each step. A propagated exception would discard the
        effects decided before it, such as final answers: callers would wait forever
        and endpoints would keep running abandoned requests. The other plug-ins still
        receive the message, the effects are still returned, and a request that could
        not make progress any more is concluded.
        """
        context = Context(self.clock.monotonic(), self.random, self.state)
        current = message
        while True:
            kind = type(current)
            if kind not in self.listeners:
                self._register(kind)
            step = self.steps[kind]
            if step is not None:
                self._advance(step, current, context)
            for listener in self.listeners[kind]:
                self._deliver(listener, current, context)
            if not context.posted:
                break
            current = context.posted.popleft()
        for fault in context.faults:
            name = type(message).__name__
            log_event(logger, KERNEL_FAULT, exc_info=fault, message=name)
        return context.effects

    def _advance(
        self, step: Callable[..., None], message: Message, context: Context
    ) -> None:
        try:
            step(message, context)
        except Exception as error:
            context.faults.append(error)
            self.lifecycle.end_faulted(_request_of(message), context)

    def _deliver(
        self, listener: Callable[..., None], message: Message, context: Context
    ) -> None:
        try:
            listener(message, context)
        except Exception as error:
            context.faults.append(error)
            self.lifecycle.end_held(_request_of(message), context)

    def plugin(self, kind: type[P]) -> P:
        """Return the plug-in of a class, for tests and status pages."""
        return _only_one_of(self.plugins, kind)

    def find(self, kind: type[P]) -> P | None:
        """Return the plug-in of a class; None if it is not enabled."""
        found = _all_of(self.plugins, kind)
        return found[0] if found else None

    def _register(self, kind: type[Message]) -> None:
        """Look up who handles a message type; most types concern few."""
        self.steps[kind] = _handler_of(self, "advance", kind)
        handlers = (_handler_of(plugin, "handle", kind) for plugin in self.plugins)
        self.listeners[kind] = [each for each in handlers if each is not None]

    @singledispatchmethod
    def advance(self, message: Message, context: Context) -> None:
        """Update the kernel's own state for a message, before the plug-ins run."""

    @advance.register
    def _(self, message: Submit, context: Context) -> None:
        self.lifecycle.submit(message.request, context)

    @advance.register
    def _(self, message: StageCleared, context: Context) -> None:
        self.lifecycle.stage_cleared(message, context)

    @advance.register
    def _(self, message: Placed, context: Context) -> None:
        self.lifecycle.placed(message, context)

    @advance.register
    def _(self, message: PlacementFailed, context: Context) -> None:
        self.lifecycle.placement_failed(message, context)

    @advance.register
    def _(self, message: ConnectionOpening | AttemptSent, context: Context) -> None:
        self.lifecycle.note_sending(message, context)

    @advance.register
    def _(self, message: FirstToken, context: Context) -> None:
        self.lifecycle.first_token(message, context)

    @advance.register
    def _(self, message: AttemptFinished, context: Context) -> None:
        self.lifecycle.attempt_finished(message, context)

    @advance.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self.lifecycle.attempt_failed(message, context)

    @advance.register
    def _(self, message: AttemptHedged, context: Context) -> None:
        self.lifecycle.attempt_hedged(message, context)

    @advance.register
    def _(self, message: HedgedAttemptResumed, context: Context) -> None:
        self.lifecycle.hedged_resumed(message, context)

    @advance.register
    def _(self, message: DispatchFaulted, context: Context) -> None:
        self.lifecycle.dispatch_faulted(message.failure, context)

    @advance.register
    def _(self, message: RetryDue, context: Context) -> None:
        self.lifecycle.retry_due(message, context)

    @advance.register
    def _(self, message: CallerGone, context: Context) -> None:
        self.lifecycle.caller_gone(message.request_id, context)

    @advance.register
    def _(self, message: CompletionCleared, context: Context) -> None:
        self.lifecycle.completion_cleared(message, context)

    @advance.register
    def _(self, message: Tick, context: Context) -> None:
        self.lifecycle.expire(context)
        for target in list(self.state.waiting.by_target):
            self.lifecycle.place_waiting(target, context)

    @advance.register
    def _(self, message: DrainBegun, context: Context) -> None:
        self.state.draining = True
        context.emit(AnnounceDrain())

    @advance.register
    def _(self, message: StopNow, context: Context) -> None:
        self.state.stopping = True
        self.lifecycle.end_all(context)

    @advance.register
    def _(self, message: InstancesListed, context: Context) -> None:
        self.state.fleet.apply_list(message, context.now)

    @advance.register
    def _(self, message: LoadReported, context: Context) -> None:
        own = message.probed_by is None
        self.state.fleet.apply_report(message.report, context.now, own)

    @advance.register
    def _(self, message: ProbeFailed, context: Context) -> None:
        self.state.fleet.apply_failure(message.endpoint, context.now, own=True)

    @advance.register
    def _(self, message: ConfigurationReceived, context: Context) -> None:
        known = self.state.configuration
        # A stale read or a slow peer may deliver an older revision after a newer
        # one. Applying it would revert an accepted change.
        if known is None or message.configuration.revision > known.revision:
            self.state.configuration = message.configuration
            context.emit(ConfigurationChanged(message.configuration))


def _request_of(message: Message) -> RequestId | None:
    """Return the id of the request that a message refers to, if any."""
    if isinstance(message, Submit):
        return message.request.request_id
    return getattr(message, "request_id", None)


def _all_of(plugins: Sequence[Plugin], kind: type[P]) -> list[P]:
    return [plugin for plugin in plugins if isinstance(plugin, kind)]


def _only_one_of(plugins: Sequence[Plugin], kind: type[P]) -> P:
    found = _all_of(plugins, kind)
    if len(found) != 1:
        raise KernelError(
            f"{len(found)} plug-ins are a {kind.__name__}, expected exactly one"
        )
    return found[0]


def _handler_of(
    owner: object, name: str, kind: type[Message]
) -> Callable[..., None] | None:
    """Return the bound handler that is registered for a message type, if any.

    Inherited handlers count: the first method of that name in the method resolution
    order is used, as in a call.
    """
    holder = next(cls for cls in type(owner).__mro__ if name in vars(cls))
    method = vars(holder)[name]
    if not isinstance(method, singledispatchmethod):
        raise KernelError(f"{name} of {holder.__name__} is not a singledispatchmethod")
    handler = method.dispatcher.dispatch(kind)
    if handler is method.dispatcher.registry[object]:
        return None
    return cast(Callable[..., None], handler.__get__(owner, type(owner)))
