"""Runs that ended with their endpoint, successes, and quarantined contents.

Number 3 belonged to suspicions of bodies alone, and is not used again while instances
of that version may be in a fleet.
"""

from datetime import timedelta
from typing import Annotated, cast

import msgspec

from ...ids import AccountId, Digest, EndpointId
from ..ids import IdReader, IdWriter
from .base import Kind, register

Milliseconds = Annotated[int, msgspec.Meta(ge=-(10**12), le=10**12)]
Text = Annotated[str, msgspec.Meta(max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Phase = Annotated[int, msgspec.Meta(ge=0, le=2)]
Parts = Annotated[list[Text], msgspec.Meta(max_length=64)]
Accounts = Annotated[list[Text], msgspec.Meta(max_length=8)]


class RunNote(msgspec.Struct, frozen=True):
    """A run that ended with its endpoint.

    Attributes
    ----------
    phase : int
        Value of its `RunPhase`.
    sent_ms : int
        From the placement of the attempt to the end.
    """

    endpoint: EndpointId
    content: Digest
    account: AccountId
    parts: tuple[Digest, ...]
    phase: int
    sent_ms: int


class RunCodec:
    """A list, with the index of the endpoint's id."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        note = cast(RunNote, value)
        endpoint = ids.index(note.endpoint)
        parts = list(note.parts)
        return [
            endpoint,
            note.content,
            note.account,
            parts,
            note.phase,
            note.sent_ms,
        ]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        endpoint, content, account, parts, phase, sent_ms = msgspec.convert(
            packed, tuple[int, Text, Text, Parts, Phase, Milliseconds]
        )
        return RunNote(
            ids.endpoint(endpoint),
            Digest(content),
            AccountId(account),
            tuple(Digest(part) for part in parts),
            phase,
            sent_ms,
        )


class RefutationCodec:
    """Milliseconds from an answered request to the note; the key is the endpoint."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        return value

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        return msgspec.convert(packed, Milliseconds)


class SuccessNote(msgspec.Struct, frozen=True):
    """A success of a content; the key is the content.

    Attributes
    ----------
    age_ms : int
        Time between the success and the note.
    """

    age_ms: int


class SuccessCodec:
    """The age alone."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        return cast(SuccessNote, value).age_ms

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        return SuccessNote(msgspec.convert(packed, Milliseconds))


class QuarantineNote(msgspec.Struct, frozen=True):
    """A decision on a content; the key is the content.

    Attributes
    ----------
    age_ms, left_ms : int
        From the decision to the note, and from the note to the end of the quarantine.
    """

    accounts: tuple[AccountId, ...]
    age_ms: int
    left_ms: int
    level: int
    crashes: int
    lifted: bool


class QuarantineCodec:
    """A list of the fields."""

    def pack(self, value: object, ids: IdWriter) -> object:
        """Return what travels."""
        note = cast(QuarantineNote, value)
        accounts = list(note.accounts)
        return [
            accounts,
            note.age_ms,
            note.left_ms,
            note.level,
            note.crashes,
            note.lifted,
        ]

    def unpack(self, packed: object, ids: IdReader) -> object:
        """Return the value."""
        accounts, age_ms, left_ms, level, crashes, lifted = msgspec.convert(
            packed, tuple[Accounts, Milliseconds, Milliseconds, Count, Count, bool]
        )
        return QuarantineNote(
            tuple(AccountId(account) for account in accounts),
            age_ms,
            left_ms,
            level,
            crashes,
            lifted,
        )


SOON = timedelta(milliseconds=5)

INTERRUPTED_RUNS = register(
    Kind(
        10,
        RunCodec(),
        coalesce=SOON,
        lifetime=timedelta(minutes=2),
        outlives_silence=True,
    )
)
REFUTATIONS = register(
    Kind(
        11,
        RefutationCodec(),
        coalesce=SOON,
        lifetime=timedelta(minutes=10),
        outlives_silence=True,
    )
)
SUCCESSES = register(
    Kind(
        12,
        SuccessCodec(),
        coalesce=SOON,
        lifetime=timedelta(minutes=1),
        outlives_silence=True,
    )
)
QUARANTINES = register(
    Kind(
        13,
        QuarantineCodec(),
        coalesce=SOON,
        lifetime=timedelta(hours=2),
        outlives_silence=True,
    )
)
