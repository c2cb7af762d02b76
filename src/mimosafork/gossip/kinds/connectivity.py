"""Which services an instance reaches, and where it accepts forwarded calls."""

from datetime import timedelta
from typing import Annotated, cast

import msgspec

from ...ids import ServiceId
from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Connectivity(msgspec.Struct, frozen=True):
    """What an instance publishes of itself.

    Attributes
    ----------
    forwarding_port : int or None
        None if it accepts no forwarded calls.
    unreachable : frozenset of ServiceId
        Services of which it reaches no endpoint.
    """

    forwarding_port: int | None
    unreachable: frozenset[ServiceId] = frozenset()


class ConnectivityCodec:
    """The port, and the services in order."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        published = cast(Connectivity, value)
        return [published.forwarding_port, sorted(published.unreachable)]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        port, unreachable = msgspec.convert(packed, tuple[Port | None, list[str]])
        return Connectivity(port, frozenset(map(ServiceId, unreachable)))


CONNECTIVITY = register(
    Kind(9, ConnectivityCodec(), coalesce=timedelta(milliseconds=5))
)
