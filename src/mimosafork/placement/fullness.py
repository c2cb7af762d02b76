"""What an engine's word that it is full says of work that nobody has told of.

Words of running work come late, or not at all: from behind a cut, from an instance that
has just been killed, or to one that has just started. An engine that turns a call away
as it is full tells in the same moment that more runs there than is known.
"""

from datetime import timedelta
from math import ceil

import msgspec
from msgspec.structs import replace

from ..ids import EndpointId
from ..routing.engine import EngineFigures

FULL_SHARE = 1.5
"""An engine that is full has at least so many times its slots to do: it lets a few
requests wait besides those that run."""

LEAST_STAY = timedelta(milliseconds=300)
LONGEST_STAY = timedelta(seconds=2)
"""Bounds of what a usual answer is taken to last: one that states a wrong length, or
none, must neither make a rejection worth nothing nor let an engine stand idle."""

LEAST_TURN = timedelta(milliseconds=100)
"""Below this two rejections of one call say the same."""


class FullWord(msgspec.Struct, frozen=True):
    """An engine's word that it was full.

    Attributes
    ----------
    unheard : int
        Requests that ran there beyond those that were known.
    stay : timedelta
        How long a usual answer lasts: after it, what was there then has ended.
    """

    said_at: timedelta
    unheard: int
    stay: timedelta

    def left(self, now: timedelta) -> int:
        """Return how many of the unheard requests are still taken to run."""
        share = 1.0 - (now - self.said_at) / self.stay
        return ceil(self.unheard * share) if share > 0.0 else 0


class FullWords(msgspec.Struct):
    """The newest word of each engine that was full lately.

    Guard: believed to be the emptiest, an engine would be sent call after call, each
    learning for itself that it is full and taking a repeat from all instances. What it
    said counts as running work for all calls of this instance. It is forgotten evenly
    within the time of a usual answer, as the ends of unheard work aren't heard either,
    and one by one as old work there is heard of after all.
    """

    words: dict[EndpointId, FullWord] = msgspec.field(default_factory=dict)

    def note(self, endpoint: EndpointId, word: FullWord) -> None:
        """Take an engine's word; it replaces a former one.

        One that is full once more, so soon after it had seemed to have room, has more
        waiting than was thought: that is believed for twice as long.
        """
        now = word.said_at
        self.words = {
            name: each
            for name, each in self.words.items()
            if now - each.said_at < each.stay
        }
        former = self.words.get(endpoint)
        if former is not None:
            word = replace(word, stay=min(LONGEST_STAY, 2 * former.stay))
        self.words[endpoint] = word

    def unheard(self, endpoint: EndpointId, now: timedelta) -> int:
        """Return how many requests are taken to run beyond those that are known."""
        word = self.words.get(endpoint)
        if word is None:
            return 0
        return word.left(now)

    def heard_of(self, endpoint: EndpointId, started_at: timedelta) -> None:
        """Count a work that is heard of now no more among the unheard."""
        word = self.words.get(endpoint)
        if word is not None and word.unheard and started_at <= word.said_at:
            self.words[endpoint] = replace(word, unheard=word.unheard - 1)


def stay_of(figures: EngineFigures) -> timedelta:
    """Return how long a usual answer lasts on an engine whose slots are taken."""
    step_ms = figures.step_ms + figures.per_sequence_ms * figures.slots
    lasts = timedelta(milliseconds=figures.likely_answer * step_ms)
    return min(LONGEST_STAY, max(LEAST_STAY, lasts))


def turn_of(figures: EngineFigures) -> timedelta:
    """Return within what time an answer ends on an engine whose slots are taken."""
    return max(LEAST_TURN, stay_of(figures) / max(1, figures.slots))


class Crowd(msgspec.Struct, frozen=True):
    """What a call that was turned away knows of engines that seem to have room.

    Attributes
    ----------
    running : int
        Of an engine with so many requests, or more, nothing better is to be expected.
    until : timedelta
        By then an answer has ended on engines that are full now.
    """

    running: int
    until: timedelta


def crowd_after(former: Crowd | None, running: int, until: timedelta) -> Crowd:
    """Return what a call knows after a further engine has turned it away.

    Guard: what had filled one engine unheard has filled those that seemed as busy. A
    call that goes from one to the next costs a repeat each time, and has no chance. A
    first rejection leaves it those that seem to have nothing to do: an engine may also
    turn calls away without being full.

    Parameters
    ----------
    running : int
        Requests that the engine was believed to run when it turned the call away.
    """
    least = max(1, running) if former is None else min(former.running, running)
    return Crowd(least, until)
