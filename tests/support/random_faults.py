"""Faults of endpoints that are drawn for each request from a seeded source."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

from mimosafork.standins.prepared.faults import (
    CloseAfter,
    CrashOnAnswer,
    CrashOnRun,
    CutAnswer,
    EarlyAnswer,
    EarlyEnd,
    ExtraAnswer,
    Fault,
    Flood,
    Framing,
    Garbage,
    Hang,
    LostAnswer,
    Mute,
    OwnError,
    Script,
    Shed,
    Slow,
    UnboundedAnswer,
)
from mimosafork.standins.prepared.http import Request

DOWN = timedelta(milliseconds=400)
FLOOD_PAUSE = timedelta(milliseconds=20)
UNSIGNED_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

FaultMaker = Callable[[Random], Fault]


def repeated_answer(random: Random) -> Fault:
    """Return a fault by which an answer, also a refusal, comes again."""
    if random.random() < 0.6:
        return ExtraAnswer(late=True)
    return ExtraAnswer(delay=timedelta(milliseconds=random.choice((1, 5, 20, 80))))


def shed(random: Random) -> Fault:
    """Return a refusal, which may come again at the place of the next answer."""
    later = timedelta(milliseconds=50) if random.random() < 0.2 else None
    return Shed(random.choice((429, 503)), later, late_copy=random.random() < 0.5)


def short_delay(random: Random) -> timedelta:
    """Return some milliseconds."""
    return timedelta(milliseconds=random.randint(1, 300))


REPEATING: tuple[FaultMaker, ...] = (repeated_answer, repeated_answer, shed)
"""Only answers that come again, and refusals."""

MIXED: tuple[FaultMaker, ...] = (
    *REPEATING,
    *REPEATING,
    lambda random: CutAnswer(random.randint(0, 2), reset=random.random() < 0.5),
    lambda random: Garbage(),
    lambda random: Garbage(UNSIGNED_REFUSAL),
    lambda random: LostAnswer(silent=random.random() < 0.3),
    lambda random: UnboundedAnswer(reset=random.random() < 0.5),
    lambda random: EarlyEnd(random.randint(1, 200), random.choice(list(Framing))),
    lambda random: OwnError(random.choice((500, 503, 429, 504))),
    lambda random: Hang(),
    lambda random: Mute(),
    lambda random: Slow(short_delay(random)),
    lambda random: EarlyAnswer(short_delay(random)),
    lambda random: CloseAfter(),
    lambda random: CrashOnRun(DOWN),
    lambda random: CrashOnAnswer(down=DOWN),
    lambda random: Flood(b"x" * 64, after_answer=True, pause=FLOOD_PAUSE),
)
"""Every fault that an endpoint of the stand-ins has."""


class RandomScript(Script):
    """Draws a fault for a share of the requests.

    Parameters
    ----------
    random : random.Random
    share : float
        Of the requests that meet a fault.
    makers : tuple of callable
        Each is as likely as the others.
    """

    def __init__(
        self, random: Random, share: float, makers: tuple[FaultMaker, ...]
    ) -> None:
        super().__init__()
        self.random = random
        self.share = share
        self.makers = makers

    def take(self, request: Request, request_id: str) -> Fault | None:
        """Return the fault that a request meets, if any."""
        if self.random.random() >= self.share:
            return None
        return self.random.choice(self.makers)(self.random)
