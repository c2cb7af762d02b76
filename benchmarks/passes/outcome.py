"""What became of a call, and the figures over many."""

from collections.abc import Sequence
from dataclasses import dataclass

from mimosafork.placement.choice import Assignment

from .traffic import Call

BANDS = (
    ("to 10k", 0, 10_000),
    ("to 24k", 10_000, 24_000),
    ("to 64k", 24_000, 64_000),
    ("to 120k", 64_000, 120_000),
    ("to 250k", 120_000, 250_000),
    ("to 405k", 250_000, 405_000),
    ("over", 405_000, 1_000_000),
)
"""Names and limits in prompt tokens."""


@dataclass(slots=True)
class Outcome:
    """One call's answer as its caller saw it.

    Attributes
    ----------
    first_ms : float or None
        First event since the caller's first attempt.
    longest_pause_ms : float
        Between two events.
    forecast_ms : float or None
        What its last placement foretold for that.
    engines : int
        Host and helpers of its last placement.
    refused, abandoned, turned_away, moved : int
        Times that this happened to it.
    """

    call: Call
    first_ms: float | None = None
    longest_pause_ms: float = 0.0
    last_s: float = 0.0
    complete: bool = False
    refused: int = 0
    abandoned: int = 0
    turned_away: int = 0
    moved: int = 0
    forecast_ms: float | None = None
    engines: int = 0

    def placed(self, place: Assignment, at_s: float) -> None:
        """Note what a placement foretells."""
        self.forecast_ms = (at_s - self.call.at_s) * 1e3 + (
            place.predicted_first_token.total_seconds() * 1e3
        )
        self.engines = 1 + len(place.helpers)

    def hear(self, at_s: float, tries: int) -> None:
        """Note an event."""
        if self.first_ms is None:
            self.first_ms = (at_s - self.call.at_s) * 1e3
        else:
            pause_ms = (at_s - self.last_s) * 1e3
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_s = at_s

    def start_again(self) -> None:
        """Forget an attempt that came to nothing; its time still counts."""
        self.complete = False

    @property
    def on_time(self) -> bool:
        """Whether the answer earns its full worth."""
        kind = self.call.kind
        return (
            self.complete
            and self.first_ms is not None
            and self.first_ms <= kind.objective_ms
            and self.longest_pause_ms <= kind.pause_ms
        )

    @property
    def earned(self) -> float:
        """Worth that the answer earns."""
        kind = self.call.kind
        worth = kind.worth if self.on_time else kind.late_worth
        return worth * self.call.weight if self.complete else 0.0

    @property
    def owed(self) -> float:
        """Worth that it could have earned."""
        return self.call.kind.worth * self.call.weight


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """Figures of one group of calls.

    Attributes
    ----------
    on_time, served, refused, earned : float
        Shares of all calls; the last one of the worth owed.
    late_first, late_pause : float
        Shares of all calls that were late by their first event or by a pause.
    """

    calls: int
    on_time: float
    late_first: float
    late_pause: float
    served: float
    refused: float
    earned: float
    first_p50_ms: float
    first_p95_ms: float
    pause_p95_ms: float


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of any values, 0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def figures_of(outcomes: Sequence[Outcome]) -> ClassFigures:
    """Return the figures of some calls."""
    count = max(1, len(outcomes))
    heard = [each for each in outcomes if each.first_ms is not None]
    firsts = [each.first_ms for each in heard if each.first_ms is not None]
    return ClassFigures(
        calls=len(outcomes),
        on_time=sum(each.on_time for each in outcomes) / count,
        late_first=sum(
            (each.first_ms or 0.0) > each.call.kind.objective_ms for each in heard
        )
        / count,
        late_pause=sum(
            each.longest_pause_ms > each.call.kind.pause_ms for each in heard
        )
        / count,
        served=sum(each.complete for each in outcomes) / count,
        refused=sum(each.refused > 0 for each in outcomes) / count,
        earned=earned_share(outcomes),
        first_p50_ms=quantile(firsts, 0.5),
        first_p95_ms=quantile(firsts, 0.95),
        pause_p95_ms=quantile([each.longest_pause_ms for each in heard], 0.95),
    )


def earned_share(outcomes: Sequence[Outcome]) -> float:
    """Return the worth earned of that owed."""
    owed = sum(each.owed for each in outcomes)
    return sum(each.earned for each in outcomes) / owed if owed else 0.0
