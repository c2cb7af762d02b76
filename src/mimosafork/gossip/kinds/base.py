"""What a kind of state is, and the registry of kinds."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..errors import BadDatagramError, DuplicateStateKindError
from ..ids import IdReader, IdWriter

Key = int | str | bytes
"""Tells the words of one kind from each other."""

KIND_LIMIT = 16
"""Numbers of kinds are below it, so that kind and origin share a small number."""


class Codec(Protocol):
    """Turns values into plain lists and numbers, and back."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        ...

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value.

        Raises
        ------
        msgspec.ValidationError, BadDatagramError
            If it isn't one.
        """
        ...


class Extension(Protocol):
    """Adds to the packed form of a value what the release before does not read.

    The codec of that release would refuse a longer list, and with it the datagram; the
    two releases would take each other for dead. It passes over the additions, which
    stand at the end of a datagram.
    """

    def pack(self, value: object) -> object:
        """Return the addition."""
        ...

    def apply(self, value: object, packed: object) -> object:
        """Return a value, as its codec read it, with its addition.

        Raises
        ------
        msgspec.ValidationError
            If the addition is not in this form.
        """
        ...


class Kind(msgspec.Struct, frozen=True):
    """A kind of state.

    Parameters
    ----------
    number : int
        In datagrams; the lowest goes first where bytes are short, after evacuations.
    coalesce : timedelta
        A change waits so long for others to go with it.
    relay_after : timedelta
        The same where another instance passes it on.
    lifetime : timedelta or None
        A word is forgotten so long after it was said.
    outlives_silence : bool
        It is kept while its origin is silent.
    relayed : bool
        In a large fleet it is passed on to all; else it is told to those whom its
        origin names, by itself.
    extension : Extension or None
        What is added to the packed values.
    """

    number: int
    codec: Codec
    coalesce: timedelta = timedelta(milliseconds=25)
    relay_after: timedelta = timedelta(milliseconds=25)
    lifetime: timedelta | None = None
    outlives_silence: bool = False
    relayed: bool = True
    extension: Extension | None = None


KINDS: dict[int, Kind] = {}


def register(kind: Kind) -> Kind:
    """Add a kind.

    Raises
    ------
    DuplicateStateKindError
        If its number is taken or too high.
    """
    if kind.number in KINDS or not 0 <= kind.number < KIND_LIMIT:
        raise DuplicateStateKindError(f"no kind can have number {kind.number}")
    KINDS[kind.number] = kind
    return kind


def kind_of(number: int) -> Kind:
    """Return the kind with a number.

    Raises
    ------
    BadDatagramError
        If there is none.
    """
    kind = KINDS.get(number)
    if kind is None:
        raise BadDatagramError(f"no kind has number {number}")
    return kind
