"""Words about endpoints that are leaving or gone."""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum
from typing import cast

import msgspec

from ...directory.row_version import RowVersion
from ..ids import IdReader, IdWriter
from .base import Kind, register


class Word(IntEnum):
    """What is said of an endpoint; the higher is the stricter."""

    LEAVING = 1
    GONE = 2


class EndpointWord(msgspec.Struct, frozen=True):
    """A word about an endpoint, from the version of its row that said so."""

    word: Word
    version: RowVersion


class EndpointWordCodec:
    """A word as a list of two."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        said = cast(EndpointWord, value)
        return [int(said.word), said.version.number]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        word, number = msgspec.convert(packed, tuple[Word, int])
        return EndpointWord(word, RowVersion(0, number))


class EndpointWordEra:
    """Adds the era of the row."""

    def pack(self, value: object) -> object:
        """Return what travels."""
        return cast(EndpointWord, value).version.era

    def apply(self, value: object, packed: object) -> object:
        """Return the value with its era."""
        said = cast(EndpointWord, value)
        version = said.version._replace(era=msgspec.convert(packed, int))
        return EndpointWord(said.word, version)


def newest(words: Iterable[EndpointWord]) -> EndpointWord:
    """Return the newest word; among those of one version, the strictest."""
    return max(words, key=lambda said: (said.version, said.word))


ENDPOINTS = register(
    Kind(
        2,
        EndpointWordCodec(),
        coalesce=timedelta(milliseconds=5),
        lifetime=timedelta(seconds=10),
        outlives_silence=True,
        extension=EndpointWordEra(),
    )
)
