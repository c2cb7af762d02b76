"""Rate limits as instances tell each other about them."""

from datetime import timedelta

from ..gossip.kinds.limits import LimitNote
from ..kernel.messages.rate_limits import LimitStatement

PEER_DELAY_TOLERANCE = timedelta(milliseconds=500)
"""A delayed note appears newer than it is. The end of a limit counts only if it is
newer than the limit by more than this."""

MILLISECOND = timedelta(milliseconds=1)


def limit_note(statement: LimitStatement) -> LimitNote:
    """Return the note that peers receive about a statement."""
    response_time = statement.received_at - statement.requested_at
    return LimitNote(statement.per_s, int(response_time / MILLISECOND))


def peer_statement(note: LimitNote, age: timedelta, now: timedelta) -> LimitStatement:
    """Return a peer's statement in times of the own clock."""
    received_at = now - age
    requested_at = received_at - note.response_ms * MILLISECOND - PEER_DELAY_TOLERANCE
    return LimitStatement(note.per_s, requested_at, received_at)
