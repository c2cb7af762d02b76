"""Which versions of configuration and list of endpoints an instance has."""

from typing import Any, cast

import msgspec

from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0


class Versions(msgspec.Struct, frozen=True):
    """What an instance has, and can hand over.

    Parameters
    ----------
    configuration : int
        Row version of the newest configuration, 0 for none.
    digest : bytes
        First bytes of a digest of it.
    listing : int
        Version of the newest list of endpoints, 0 for none.
    """

    configuration: int = 0
    digest: bytes = b""
    listing: int = 0


class VersionsCodec:
    """Versions as a list of three."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        versions = cast(Versions, value)
        return [versions.configuration, versions.digest, versions.listing]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        fields: Any = msgspec.convert(packed, tuple[int, bytes, int])
        return Versions(*fields)


CONFIGURATION = register(Kind(1, VersionsCodec()))
