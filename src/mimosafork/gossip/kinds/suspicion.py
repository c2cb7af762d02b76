"""Requests that are suspected of crashing endpoints."""

from collections.abc import Iterable
from datetime import timedelta
from typing import cast

import msgspec

from ...ids import EndpointId
from ..ids import IdReader, IdWriter
from .base import Kind, register


class Suspicion(msgspec.Struct, frozen=True):
    """What is known of a request's digest.

    Parameters
    ----------
    crashed : frozenset of EndpointId
        Endpoints that crashed while they ran it.
    cleared : bool
        It ran and nothing crashed.
    """

    crashed: frozenset[EndpointId]
    cleared: bool = False


class SuspicionCodec:
    """Indexes of ids, and the flag."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        suspicion = cast(Suspicion, value)
        crashed = [ids.index(each) for each in sorted(suspicion.crashed)]
        return [crashed, suspicion.cleared]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        crashed, cleared = msgspec.convert(packed, tuple[list[int], bool])
        return Suspicion(frozenset(ids.endpoint(each) for each in crashed), cleared)


def union(known: Iterable[Suspicion]) -> Suspicion:
    """Join what several instances know: all crashes, and cleared if one says so."""
    every = tuple(known)
    crashed = frozenset[EndpointId]().union(*(each.crashed for each in every))
    return Suspicion(crashed, any(each.cleared for each in every))


SUSPICION = register(
    Kind(
        3,
        SuspicionCodec(),
        lifetime=timedelta(seconds=60),
        outlives_silence=True,
    )
)
