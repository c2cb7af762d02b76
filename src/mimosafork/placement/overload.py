"""Overload rejections as evidence of running requests that no peer has reported.

Reports of running requests arrive late or not at all: from behind a network partition,
from an instance that was just killed, or to one that just started. An engine that
rejects a call as overloaded shows that it runs more than was reported.
"""

from datetime import timedelta
from math import ceil

import msgspec
from msgspec.structs import replace

from ..ids import EndpointId
from ..routing.engine import EngineFigures

OVERLOAD_FACTOR = 1.5
"""An overloaded engine has at least this many times its slots of requests: it queues a
few besides those that run."""

MIN_ANSWER_TIME = timedelta(milliseconds=300)
MAX_ANSWER_TIME = timedelta(seconds=2)
"""Bounds of the typical answer time. A service that states a wrong answer length, or
none, must neither make a rejection meaningless nor keep an engine idle."""

MIN_SLOT_RELEASE_TIME = timedelta(milliseconds=100)
"""Lower bound of `slot_release_time`; two rejections closer together show the same."""


class OverloadReport(msgspec.Struct, frozen=True):
    """An engine's rejection of a call because it was overloaded.

    Attributes
    ----------
    unreported : int
        Requests that ran there beyond the reported ones.
    answer_time : timedelta
        Time after which the requests of that moment are assumed to have ended: the
        duration of a typical answer, or longer after repeated reports.
    """

    received_at: timedelta
    unreported: int
    answer_time: timedelta

    def remaining(self, now: timedelta) -> int:
        """Return how many unreported requests are assumed to be still running."""
        share = 1.0 - (now - self.received_at) / self.answer_time
        return ceil(self.unreported * share) if share > 0.0 else 0


class OverloadReports(msgspec.Struct):
    """The latest overload report of each engine that was overloaded recently.

    Without them, an engine that seems the least loaded would get call after call, each
    finding out for itself that the engine is overloaded and taking a retry from the
    budget of all instances. A report counts as running requests for all calls of this
    instance. It decays linearly over its answer time, as the ends of unreported
    requests aren't reported either, and by one with each older request there that is
    reported after all.
    """

    by_endpoint: dict[EndpointId, OverloadReport] = msgspec.field(default_factory=dict)

    def record(self, endpoint: EndpointId, report: OverloadReport) -> None:
        """Record an overload report, which replaces an earlier one of the engine.

        A report that replaces one that still counts means that more is queued there
        than was estimated, so it lasts twice as long as the earlier one, up to
        `MAX_ANSWER_TIME`.
        """
        now = report.received_at
        self.by_endpoint = {
            name: each
            for name, each in self.by_endpoint.items()
            if now - each.received_at < each.answer_time
        }
        previous = self.by_endpoint.get(endpoint)
        if previous is not None:
            report = replace(
                report, answer_time=min(MAX_ANSWER_TIME, 2 * previous.answer_time)
            )
        self.by_endpoint[endpoint] = report

    def unreported(self, endpoint: EndpointId, now: timedelta) -> int:
        """Return the estimated running requests beyond the reported ones."""
        report = self.by_endpoint.get(endpoint)
        if report is None:
            return 0
        return report.remaining(now)

    def count_reported(self, endpoint: EndpointId, started_at: timedelta) -> None:
        """Stop counting a request as unreported once a peer has reported it."""
        report = self.by_endpoint.get(endpoint)
        if (
            report is not None
            and report.unreported
            and started_at <= report.received_at
        ):
            self.by_endpoint[endpoint] = replace(
                report, unreported=report.unreported - 1
            )


def typical_answer_time(figures: EngineFigures) -> timedelta:
    """Return the duration of a typical answer on an engine with all slots taken."""
    step_ms = figures.step_ms + figures.per_sequence_ms * figures.slots
    answer_time = timedelta(milliseconds=figures.expected_answer_tokens * step_ms)
    return min(MAX_ANSWER_TIME, max(MIN_ANSWER_TIME, answer_time))


def slot_release_time(figures: EngineFigures) -> timedelta:
    """Return the time until an answer ends on an engine with all slots taken."""
    return max(
        MIN_SLOT_RELEASE_TIME, typical_answer_time(figures) / max(1, figures.slots)
    )


class LoadCeiling(msgspec.Struct, frozen=True):
    """Limit on the load of engines that a rejected call may still be sent to.

    Attributes
    ----------
    running : int
        Engines with this many requests or more are assumed to be overloaded as well.
    until : timedelta
        By then an answer has ended on engines that are full now.
    """

    running: int
    until: timedelta


def lower_ceiling(
    previous: LoadCeiling | None, running: int, until: timedelta
) -> LoadCeiling:
    """Return the load ceiling of a call after a further engine has rejected it.

    The unreported requests that filled one engine have filled those that seemed as
    busy. Without a ceiling, a call would try one after the other and spend a retry each
    time without a chance. After a first rejection, engines that seem idle are still
    tried, as an engine may also reject calls without being overloaded.

    Parameters
    ----------
    running : int
        Estimated running requests of the engine when it rejected the call.
    """
    ceiling = max(1, running) if previous is None else min(previous.running, running)
    return LoadCeiling(ceiling, until)
