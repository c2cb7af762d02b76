"""Which versions of configuration and list of endpoints an instance has."""

from typing import Any, cast

import msgspec

from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0

Order = tuple[int, ...]
"""Tells which of two versions of one matter is newer; opaque here. The last number is
the row's version, by which the release before compares; an empty one is older than all
others."""


class Versions(msgspec.Struct, frozen=True):
    """What an instance has, and can hand over.

    Parameters
    ----------
    configuration : Order
        Of the newest configuration; empty for none.
    listing : Order
        Of the newest list of endpoints; empty for none.
    """

    configuration: Order = ()
    listing: Order = ()


class VersionsCodec:
    """The versions of the rows in a list of three, of which the second is unused."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        versions = cast(Versions, value)
        return [row_version(versions.configuration), b"", row_version(versions.listing)]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value, which is older than all others without its addition."""
        msgspec.convert(packed, tuple[int, bytes, int])
        return Versions()


class VersionsOrders:
    """Adds how the versions are ordered."""

    def pack(self, value: object) -> object:
        """Return what travels."""
        versions = cast(Versions, value)
        return [versions.configuration, versions.listing]

    def apply(self, value: object, packed: object) -> object:
        """Return the value with its orders."""
        fields: Any = msgspec.convert(packed, tuple[Order, Order])
        return Versions(*fields)


def row_version(order: Order) -> int:
    """Return the number by which the release before compares."""
    return order[-1] if order else 0


CONFIGURATION = register(Kind(1, VersionsCodec(), extension=VersionsOrders()))
