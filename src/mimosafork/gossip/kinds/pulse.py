"""A sign of life for those whom an instance's datagrams don't reach directly.

It goes before all other kinds, as words of an origin that is not heard are passed over.
"""

from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0


class PulseCodec:
    """Says nothing more than that it was said."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        return True

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        return True


PULSE = register(Kind(0, PulseCodec()))
