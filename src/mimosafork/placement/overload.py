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

OVERLOAD_FACTOR = 1.5
"""An engine that is full has at least so many times its slots to do: it lets a few
requests wait besides those that run."""

MIN_ANSWER_TIME = timedelta(milliseconds=300)
MAX_ANSWER_TIME = timedelta(seconds=2)
"""Bounds of what a usual answer is taken to last: one that states a wrong length, or
none, must neither make a rejection worth nothing nor let an engine stand idle."""

MIN_SLOT_RELEASE_TIME = timedelta(milliseconds=100)
"""Below this two rejections of one call say the same."""


class OverloadReport(msgspec.Struct, frozen=True):
    """An engine's word that it was full.

    Attributes
    ----------
    unheard : int
        Requests that ran there beyond those that were known.
    stay : timedelta
        How long a usual answer lasts: after it, what was there then has ended.
    """

    received_at: timedelta
    unreported: int
    answer_time: timedelta

    def remaining(self, now: timedelta) -> int:
        """Return how many of the unheard requests are still taken to run."""
        share = 1.0 - (now - self.received_at) / self.answer_time
        return ceil(self.unreported * share) if share > 0.0 else 0


class OverloadReports(msgspec.Struct):
    """The newest word of each engine that was full lately.

    Guard: believed to be the emptiest, an engine would be sent call after call, each
    learning for itself that it is full and taking a repeat from all instances. What it
    said counts as running work for all calls of this instance. It is forgotten evenly
    within the time of a usual answer, as the ends of unheard work aren't heard either,
    and one by one as old work there is heard of after all.
    """

    by_endpoint: dict[EndpointId, OverloadReport] = msgspec.field(default_factory=dict)

    def record(self, endpoint: EndpointId, word: OverloadReport) -> None:
        """Take an engine's word; it replaces a former one.

        One that is full once more, so soon after it had seemed to have room, has more
        waiting than was thought: that is believed for twice as long.
        """
        now = word.received_at
        self.by_endpoint = {
            name: each
            for name, each in self.by_endpoint.items()
            if now - each.received_at < each.answer_time
        }
        former = self.by_endpoint.get(endpoint)
        if former is not None:
            word = replace(
                word, answer_time=min(MAX_ANSWER_TIME, 2 * former.answer_time)
            )
        self.by_endpoint[endpoint] = word

    def unreported(self, endpoint: EndpointId, now: timedelta) -> int:
        """Return how many requests are taken to run beyond those that are known."""
        word = self.by_endpoint.get(endpoint)
        if word is None:
            return 0
        return word.remaining(now)

    def count_reported(self, endpoint: EndpointId, started_at: timedelta) -> None:
        """Count a work that is heard of now no more among the unheard."""
        word = self.by_endpoint.get(endpoint)
        if word is not None and word.unreported and started_at <= word.received_at:
            self.by_endpoint[endpoint] = replace(word, unreported=word.unreported - 1)


def typical_answer_time(figures: EngineFigures) -> timedelta:
    """Return how long a usual answer lasts on an engine whose slots are taken."""
    step_ms = figures.step_ms + figures.per_sequence_ms * figures.slots
    lasts = timedelta(milliseconds=figures.expected_answer_tokens * step_ms)
    return min(MAX_ANSWER_TIME, max(MIN_ANSWER_TIME, lasts))


def slot_release_time(figures: EngineFigures) -> timedelta:
    """Return within what time an answer ends on an engine whose slots are taken."""
    return max(
        MIN_SLOT_RELEASE_TIME, typical_answer_time(figures) / max(1, figures.slots)
    )


class LoadCeiling(msgspec.Struct, frozen=True):
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


def lower_ceiling(
    former: LoadCeiling | None, running: int, until: timedelta
) -> LoadCeiling:
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
    return LoadCeiling(least, until)
