"""Kinds of entries, which register themselves.

To add one: a frozen slotted dataclass that derives from
`mimosafork.kernel.messages.peers.PeerValue`, and in a module of this package a
subclass of `EntryKind` under `@register_kind`, imported in ``__init__``.
"""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import Any, ClassVar, Generic, TypeVar, cast, get_type_hints

import msgspec

from ...kernel.messages.base import Message
from ...kernel.messages.peers import Origin, PeerValue, Scope
from ...network.decoding import UNDECODABLE
from ..errors import DuplicateKindError, InvalidPeerMessageError, UnknownKindError

V = TypeVar("V", bound=PeerValue)


class EntryKind(ABC, Generic[V]):
    """Codec and rules of one kind of entry.

    Attributes
    ----------
    number : int
        Names the kind on the wire; never used again for another.
    value_type : type
        The `PeerValue` that it carries.
    scopes : frozenset of Scope
        How far entries of the kind may travel.
    time_to_live : timedelta
        An entry that its owner has not renewed for so long is dropped.
    max_bytes : int
        Longest encoded value; a longer one is refused on either side.
    """

    number: ClassVar[int]
    value_type: ClassVar[type[PeerValue]]
    scopes: ClassVar[frozenset[Scope]]
    time_to_live: ClassVar[timedelta]
    max_bytes: ClassVar[int]

    @abstractmethod
    def encode(self, value: V) -> bytes:
        """Return the value's bytes."""

    @abstractmethod
    def decode(self, data: bytes) -> V:
        """Return the value.

        Raises
        ------
        InvalidPeerMessageError
            If the bytes are no value of this kind.
        """

    @abstractmethod
    def message(self, key: str, value: V, origin: Origin) -> Message:
        """Return what the kernel is told when the entry is heard."""

    def supersedes(self, new: V, old: V) -> bool:
        """Return whether a newer version of its owner may replace an older one.

        Versions already order an owner's entries. A kind overrides this when its
        values carry an order of their own that must not go back.
        """
        return True


class ArrayKind(EntryKind[V]):
    """A kind whose values are encoded as a MessagePack array of their fields.

    `value_type` must be a struct whose fields have types that msgspec knows.
    """

    def __init__(self) -> None:
        hints = get_type_hints(self.value_type)
        self.names = list(cast(Any, self.value_type).__struct_fields__)
        shape = tuple(hints[name] for name in self.names)
        self.decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
            tuple.__class_getitem__(shape)
        )

    def encode(self, value: V) -> bytes:
        """Return the fields as an array."""
        return msgspec.msgpack.encode([getattr(value, name) for name in self.names])

    def decode(self, data: bytes) -> V:
        """Return the value, its types checked."""
        try:
            return cast(V, self.value_type(*self.decoder.decode(data)))
        except (*UNDECODABLE, ValueError, TypeError) as error:
            name = self.value_type.__name__
            raise InvalidPeerMessageError(f"no {name}: {error}") from error


K = TypeVar("K", bound=type[EntryKind[Any]])

_BY_NUMBER: dict[int, EntryKind[Any]] = {}
_BY_TYPE: dict[type[PeerValue], EntryKind[Any]] = {}


def register_kind(kind: K) -> K:
    """Enter a kind; a class decorator.

    Raises
    ------
    DuplicateKindError
        If its number or value type is taken.
    """
    made = kind()
    if made.number in _BY_NUMBER:
        raise DuplicateKindError(f"two kinds have the number {made.number}")
    if made.value_type in _BY_TYPE:
        name = made.value_type.__name__
        raise DuplicateKindError(f"two kinds carry {name}")
    _BY_NUMBER[made.number] = made
    _BY_TYPE[made.value_type] = made
    return kind


def kind_numbered(number: int) -> EntryKind[Any] | None:
    """Return the kind of a number; None if a newer program's peer sent it."""
    return _BY_NUMBER.get(number)


def kind_of(value: PeerValue) -> EntryKind[Any]:
    """Return the kind that carries a value.

    Raises
    ------
    UnknownKindError
        If nobody registered one.
    """
    kind = _BY_TYPE.get(type(value))
    if kind is None:
        raise UnknownKindError(f"no kind carries {type(value).__name__}")
    return kind
