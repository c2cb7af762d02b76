"""What can be wrong with the store, and how it turns calls away."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from http import HTTPStatus

from .http import Answer, Connection, Header, Request

LOSE_ALL = -1
NO_DELAY = timedelta(0)


class Refusal(Enum):
    """How the store turns a call away."""

    SILENT = "silent"
    UNAVAILABLE = "503"
    TOO_MANY = "429"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """Callers that are refused while all others are served.

    Attributes
    ----------
    addresses : frozenset of str
        Source addresses (loopback has 127.0.0.2 and so on).
    header, values
        Or a header of the call that has one of these values.
    """

    how: Refusal
    addresses: frozenset[str] = frozenset()
    header: str = ""
    values: frozenset[str] = frozenset()

    def applies(self, request: Request) -> bool:
        """Say whether this call's sender is one of them."""
        if request.peer in self.addresses:
            return True
        return bool(self.header) and request.header(self.header) in self.values


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """What is wrong with the store, until it is told otherwise.

    Attributes
    ----------
    down : Refusal or None
        Calls are turned away, and nothing is done.
    tables : frozenset of str
        `down` goes for calls about these tables only; empty for all calls.
    delay : timedelta
        Calls are carried out and answered this much later.
    lost_answers : int
        So many writes more are done and not answered; `LOSE_ALL` for all of them.
        Their channels deliver nothing further.
    late_by : timedelta
        Writes get no answer and are done this much later, if they still may be.
    stale_reads : bool
        Reads see the rows as they were when this began.
    """

    down: Refusal | None = None
    tables: frozenset[str] = frozenset()
    delay: timedelta = NO_DELAY
    lost_answers: int = 0
    late_by: timedelta = NO_DELAY
    stale_reads: bool = False
    turned_away: TurnedAway | None = None


NO_FAULTS = StoreFaults()


def refuse(refusal: Refusal, connection: Connection, stamp: Header) -> None:
    """Turn a call away; an answer carries the header that all of them do."""
    match refusal:
        case Refusal.SILENT:
            connection.fall_silent()
        case Refusal.RESET:
            connection.reset()
        case Refusal.UNAVAILABLE:
            answer = Answer(HTTPStatus.SERVICE_UNAVAILABLE, headers=(stamp,))
            connection.write(answer.encode())
        case Refusal.TOO_MANY:
            answer = Answer(HTTPStatus.TOO_MANY_REQUESTS, headers=(stamp,))
            connection.write(answer.encode())
