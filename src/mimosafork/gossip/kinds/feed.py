"""Words that the store told nothing new of the endpoints."""

from datetime import timedelta
from typing import Any, cast

import msgspec

from ...directory.feed_update import FeedUpdate
from ...directory.row_version import RowVersion
from ..ids import IdReader, IdWriter
from .base import Kind, register

KEY = 0


class FeedWordCodec:
    """Both versions; the second as its distance from the first, which is short."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        word = cast(FeedUpdate, value)
        since, followed = word.since.number, word.followed.number
        return [since, followed - since]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        fields: Any = msgspec.convert(packed, tuple[int, int])
        since, further = fields
        return FeedUpdate(RowVersion(0, since), RowVersion(0, since + further))


class FeedUpdateEra:
    """Adds the era of both versions."""

    def pack(self, value: object) -> object:
        """Return what travels."""
        return cast(FeedUpdate, value).followed.era

    def apply(self, value: object, packed: object) -> object:
        """Return the value with its era."""
        word, era = cast(FeedUpdate, value), msgspec.convert(packed, int)
        return FeedUpdate(word.since._replace(era=era), word.followed._replace(era=era))


FEED = register(
    Kind(
        7,
        FeedWordCodec(),
        coalesce=timedelta(milliseconds=150),
        relay_after=timedelta(milliseconds=50),
        lifetime=timedelta(seconds=5),
        extension=FeedUpdateEra(),
    )
)
"""A word is good for 1.9 s. It goes with other news or a heartbeat where it can, and is
a third of a second old after the four hops that reach most of 200 instances."""
