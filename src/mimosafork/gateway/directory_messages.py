"""Messages to the kernel about changes of the directory."""

from functools import singledispatch

from ..directory.messages import (
    DirectoryChange,
    EndpointChanged,
    EndpointState,
    EvacuationChanged,
    TableChanged,
)
from ..kernel.messages.base import Message
from ..kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuated,
    ZoneEvacuationEnded,
)


@singledispatch
def kernel_message(change: DirectoryChange) -> Message | None:
    """Return the message about a change; None if nothing takes effect."""
    raise TypeError(f"no message about {change!r}")


@kernel_message.register
def _(change: TableChanged) -> Message | None:
    return RoutingTableChanged(change.table)


@kernel_message.register
def _(change: EvacuationChanged) -> Message | None:
    if not change.takes_effect:
        return None
    if change.evacuated:
        return ZoneEvacuated(change.zone)
    return ZoneEvacuationEnded(change.zone)


@kernel_message.register
def _(change: EndpointChanged) -> Message | None:
    if change.entry.takes_new_work:
        return EndpointUsable(change.entry.listed)
    final = change.entry.state is EndpointState.DRAINING
    return EndpointLeaving(change.endpoint, final)
