"""What endpoints announce about themselves in their responses."""

from functools import singledispatchmethod

from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.endpoint_statements import (
    BackoffRequested,
    BackoffUnreadable,
    LeavingAnnounced,
    MarkDraining,
)
from ...kernel.messages.routing import EndpointLeaving
from ...kernel.plugins import Plugin, PluginFinder
from ...kernel.registry import register
from .endpoint_health import EndpointHealth
from .fleet_view import FleetView
from .statement_log import StatementLog


@register("endpoint-statements")
class EndpointStatements(Plugin):
    """Applies what endpoints announce in their responses."""

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.log = StatementLog()

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Apply an announcement."""

    @handle.register
    def _(self, message: LeavingAnnounced, context: Context) -> None:
        known = self._current(message)
        if known is not None:
            self.log.leaving(known.listed)
            context.post(EndpointLeaving(message.endpoint, final=True))
            context.emit(MarkDraining(message.endpoint))

    @handle.register
    def _(self, message: BackoffRequested, context: Context) -> None:
        known = self._current(message)
        if known is not None:
            self.log.backoff(known.listed, message.duration)
            known.backoff.extend(message.duration, context.now)

    @handle.register
    def _(self, message: BackoffUnreadable, context: Context) -> None:
        self.log.unreadable_backoff(message.endpoint, context.now)

    def _current(
        self, message: LeavingAnnounced | BackoffRequested
    ) -> EndpointHealth | None:
        """Return the endpoint that a response is about, if it may receive requests.

        A response to a request that was sent before the present incarnation was listed
        may be an earlier incarnation's.
        """
        if self.fleet is None:
            return None
        known = self.fleet.responding(message.endpoint)
        if known is None or message.requested_at < known.listed_at:
            return None
        return known
