"""A sign of life for those whom an instance's datagrams don't reach directly.

It goes before all other kinds, as words of an origin that is not heard are passed over.
"""

from datetime import timedelta

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


SLOWLY = timedelta(milliseconds=250)
"""Over the seven hops that reach 330 instances a pulse becomes two seconds old; silence
counts after eight. When it was passed on after 25 ms, each pulse of each instance made
a datagram of its own to each partner, which mostly knew it by another way already."""

PULSE = register(Kind(0, PulseCodec(), coalesce=SLOWLY, relay_after=SLOWLY))
