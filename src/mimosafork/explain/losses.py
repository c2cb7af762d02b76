"""Which calls earned less than they could have, and why."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from . import events
from .lines import LogLine

LATE_SHARE = 0.25
"""Share of its value that a late answer earns, where the operator states none."""

NO_OBJECTIVE = 0
"""Objective of calls whose line states none."""

ENDS = frozenset({events.SERVED, events.NOT_SERVED})


class LateReason(Enum):
    """Why an answer was late; the first that fits counts."""

    WAITED = "late: waited for a place"
    RETRIED = "late: sent again before its first event"
    FORECAST = "late: placed although the forecast was late"
    SLOWER = "late: first event later than forecast"
    PLAIN = "late: the endpoint took too long"
    MOVED = "long gap: moved to another endpoint"
    GAP = "long gap: at one endpoint"


@dataclass(frozen=True, slots=True)
class Valuation:
    """What answers are worth to the operator.

    Attributes
    ----------
    values : mapping of int to float
        Value of an answer that is on time, by the objective of its request type in
        milliseconds; 1 where there is none.
    late_share : float
        Share of it that a late answer earns.
    """

    values: Mapping[int, float] = field(default_factory=dict)
    late_share: float = LATE_SHARE

    def value(self, objective_ms: int) -> float:
        """Return the value of an answer of one request type."""
        return self.values.get(objective_ms, 1.0)


@dataclass(frozen=True, slots=True)
class Loss:
    """What one call lost.

    Attributes
    ----------
    objective_ms : int
        Tells the request type.
    reason : str
        Why it was late or not served.
    lost : float
        Of its value.
    ended_at : datetime
        Wall time at its instance.
    """

    call: str
    objective_ms: int
    reason: str
    lost: float
    ended_at: datetime
    zone: str
    account: str


@dataclass(frozen=True, slots=True)
class LossGroup:
    """Losses that have something in common."""

    name: str
    calls: int
    lost: float


@dataclass(frozen=True, slots=True)
class LossReport:
    """All calls of a log, and what was lost by them.

    Attributes
    ----------
    offered : float
        Value of all calls that reached an endpoint's route.
    calls : int
        Their number.
    losses : tuple of Loss
        In the order of the calls' ends.
    """

    offered: float
    calls: int
    losses: tuple[Loss, ...]

    @property
    def lost(self) -> float:
        """Value that was lost in all."""
        return sum(loss.lost for loss in self.losses)

    def by(self, name_of: Callable[[Loss], str]) -> list[LossGroup]:
        """Return the losses grouped by a name, the largest group first."""
        return grouped(self.losses, name_of)

    def worst_windows(self, length: timedelta) -> list[LossGroup]:
        """Return the losses by time, each group named by its window's begin."""
        if not self.losses:
            return []
        first = min(loss.ended_at for loss in self.losses)

        def window_of(loss: Loss) -> str:
            begin = first + (loss.ended_at - first) // length * length
            return begin.isoformat(timespec="milliseconds")

        return grouped(self.losses, window_of)


def grouped(losses: Iterable[Loss], name_of: Callable[[Loss], str]) -> list[LossGroup]:
    """Return losses grouped by a name, the largest group first."""
    groups: defaultdict[str, list[float]] = defaultdict(list)
    for loss in losses:
        groups[name_of(loss)].append(loss.lost)
    found = [LossGroup(name, len(lost), sum(lost)) for name, lost in groups.items()]
    return sorted(found, key=lambda group: -group.lost)


def wanted(event: str, raw: bytes) -> bool:
    """Choose the lines of calls' ends."""
    return event in ENDS


def report_of(lines: Iterable[LogLine], valuation: Valuation) -> LossReport:
    """Return what the calls of a log lost.

    Parameters
    ----------
    lines : iterable of LogLine
        Ends of calls, by time; others are passed over.
    valuation : Valuation
        What answers are worth.
    """
    ends = [line for line in lines if line.event in ENDS]
    zones = zones_of_instances(ends)
    losses = [
        loss
        for line in ends
        if (loss := loss_of(line, valuation, zones.get(line.instance, ""))) is not None
    ]
    offered = sum(valuation.value(line.number("objective_ms")) for line in ends)
    return LossReport(offered, len(ends), tuple(losses))


def zones_of_instances(lines: Iterable[LogLine]) -> dict[str, str]:
    """Return the zones of the instances, which only lines of failures state."""
    return {line.instance: zone for line in lines if (zone := line.text("own_zone"))}


def loss_of(line: LogLine, valuation: Valuation, zone: str) -> Loss | None:
    """Return what a call lost; None if its answer was on time.

    Parameters
    ----------
    zone : str
        Of its instance; empty if it is not known.
    """
    objective_ms = line.number("objective_ms")
    value = valuation.value(objective_ms)
    if line.event == events.NOT_SERVED:
        reason, lost = failure_reason(line), value
    else:
        late = late_reason(line)
        if late is None:
            return None
        reason, lost = late.value, value * (1.0 - valuation.late_share)
    return Loss(
        call=line.text("call"),
        objective_ms=objective_ms,
        reason=reason,
        lost=lost,
        ended_at=line.instant,
        zone=zone,
        account=line.text("account"),
    )


def failure_reason(line: LogLine) -> str:
    """Return why a call was not served, by the rule that ended it."""
    why = line.text("why")
    detail = line.text("detail")
    cut = "cut" if line.fields.get("cut") else "not served"
    return f"{cut}: {why}" + (f", {detail}" if detail else "")


def late_reason(line: LogLine) -> LateReason | None:
    """Return why a served call was late; None if it was on time."""
    objective_ms = line.number("objective_ms")
    if objective_ms == NO_OBJECTIVE:
        return None
    if not line.number("events"):
        on_time = line.number("total_ms") <= objective_ms
        return None if on_time else plain_reason(line)
    if line.number("first_ms") > objective_ms:
        return first_event_reason(line, objective_ms)
    longest_ms = line.number("longest_gap_ms")
    if longest_ms and line.number("pause_ms") > longest_ms:
        return LateReason.MOVED if line.number("attempts") > 1 else LateReason.GAP
    return None


def plain_reason(line: LogLine) -> LateReason:
    """Return why an answer that comes whole was late."""
    if line.number("waited_ms") > line.number("objective_ms"):
        return LateReason.WAITED
    return LateReason.RETRIED if line.number("attempts") > 1 else LateReason.PLAIN


def first_event_reason(line: LogLine, objective_ms: int) -> LateReason:
    """Return why the first event of a stream was late."""
    if line.number("attempts") > 1:
        return LateReason.RETRIED
    took_ms = line.number("first_ms") - line.number("waited_ms")
    if took_ms <= objective_ms:
        return LateReason.WAITED
    if line.number("expected_ms") > objective_ms:
        return LateReason.FORECAST
    return LateReason.SLOWER
