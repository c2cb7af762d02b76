"""Whether an event of an engine is the one that its caller is waiting for."""

from dataclasses import dataclass
from enum import Enum

from ..ids import AttemptNumber, StreamId


class Judgement(Enum):
    """What to do with an event."""

    NEXT = "next"
    """It is the expected one."""
    CROSSED = "crossed"
    """It belongs to another stream: drop it."""
    LATE = "late"
    """It belongs to another attempt: drop it."""
    REPEATED = "repeated"
    """Its tokens have been delivered before: drop it."""
    GAP = "gap"
    """Tokens before it are missing, so that the stream is broken."""


DROPPED = frozenset({Judgement.CROSSED, Judgement.LATE, Judgement.REPEATED})


@dataclass(slots=True)
class ChunkSequence:
    """Tells an attempt's next event from all others.

    Guards against answers that come late or crossed: an engine that mixes up
    connections, or a middle box that repeats bytes, would otherwise put another
    caller's tokens, or the same ones twice, into an answer. Each event names its
    stream, attempt and offset, and only the one expected on all three counts is
    let through.

    Attributes
    ----------
    offset : int
        Offset of the next token.
    """

    stream_id: StreamId
    attempt: AttemptNumber
    offset: int

    def judge(
        self, stream_id: str, attempt: int, offset: int, tokens: int
    ) -> Judgement:
        """Return what an event is; move on if it is the next one."""
        if stream_id != self.stream_id:
            return Judgement.CROSSED
        if attempt != self.attempt:
            return Judgement.LATE
        if offset == self.offset:
            self.offset = offset + tokens
            return Judgement.NEXT
        if offset > self.offset:
            return Judgement.GAP
        if offset + tokens <= self.offset:
            return Judgement.REPEATED
        # The event holds both delivered and new tokens. Text can't be cut at a
        # token's border from here, so that the new ones can't be had from it.
        return Judgement.GAP
