"""Words that the store told nothing new of the endpoints."""

from datetime import timedelta
from typing import Any, cast

import msgspec

from ...directory.feed_update import FeedUpdate
from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0


class FeedWordCodec:
    """Both versions; the second as its distance from the first, which is short."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        word = cast(FeedUpdate, value)
        return [word.since, word.followed - word.since]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        fields: Any = msgspec.convert(packed, tuple[int, int])
        since, further = fields
        return FeedUpdate(since, since + further)


FEED = register(
    Kind(
        7,
        FeedWordCodec(),
        coalesce=timedelta(milliseconds=150),
        relay_after=timedelta(milliseconds=50),
        lifetime=timedelta(seconds=5),
    )
)
"""A word is good for 1.9 s. It goes with other news or a heartbeat where it can, and is
a third of a second old after the four hops that reach most of 200 instances."""
