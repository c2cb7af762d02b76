"""Engines that crash, turn slow or fail a part of their calls, at set times.

The instances learn of a crash by the list of endpoints and of slowness by the engine's
own report, each as late as `LIST_LAG_S` and `REPORT_LAG_S` say; of failures by the
calls that fail. An engine that has just failed a call counts as suspect for a while.
"""

from dataclasses import dataclass, field
from enum import Enum

from msgspec.structs import replace

from mimosafork.ids import EndpointId
from mimosafork.placement.choice import EngineView

LIST_LAG_S = 0.8
"""An engine leaves the list, or comes back, so long after it happened."""
REPORT_LAG_S = 0.5
"""A slower pace is reported so late."""
SUSPECT_S = 2.0
"""An engine that failed a call is taken last for so long."""


class FaultKind(Enum):
    """What befalls an engine."""

    CRASH = "crash"
    SLOW = "slow"
    GREY = "grey"


@dataclass(frozen=True, slots=True)
class Fault:
    """Trouble of one engine.

    Attributes
    ----------
    engine : int
        Its number.
    strength : float
        How many times slower; or the share of calls that fail; of no meaning to a
        crash.
    """

    kind: FaultKind
    engine: int
    at_s: float
    for_s: float
    strength: float = 1.0

    def holds(self, instant_s: float, lag_s: float = 0.0) -> bool:
        """Return whether the fault is there, or known to be there so late."""
        return self.at_s + lag_s <= instant_s < self.at_s + self.for_s + lag_s


TROUBLES = (
    Fault(FaultKind.CRASH, 1, 6.0, 4.5),
    Fault(FaultKind.SLOW, 4, 14.0, 6.5, 5.0),
    Fault(FaultKind.GREY, 7, 22.0, 6.5, 0.45),
    Fault(FaultKind.CRASH, 9, 25.0, 4.5),
)
"""One of each kind, and a second crash."""


@dataclass(frozen=True, slots=True)
class Troubles:
    """The faults of a run, and what instances know of them."""

    faults: tuple[Fault, ...] = ()

    def at(self, number: int, kind: FaultKind, instant_s: float) -> Fault | None:
        """Return a fault of one engine that is there now."""
        for fault in self.faults:
            if fault.engine == number and fault.kind is kind and fault.holds(instant_s):
                return fault
        return None

    def known(self, number: int, view: EngineView, instant_s: float) -> EngineView:
        """Return an engine's view as the list and the reports have it now."""
        usable, pace = True, 1.0
        for fault in self.faults:
            if fault.engine != number:
                continue
            if fault.kind is FaultKind.CRASH and fault.holds(instant_s, LIST_LAG_S):
                usable = False
            if fault.kind is FaultKind.SLOW and fault.holds(instant_s, REPORT_LAG_S):
                pace = fault.strength
        if usable and pace == 1.0:
            return view
        return replace(view, usable=usable, slowdown=pace)


@dataclass(slots=True)
class Suspects:
    """Engines that failed calls of one instance lately."""

    until_s: dict[EndpointId, float] = field(default_factory=dict)

    def note(self, endpoint: EndpointId, instant_s: float) -> None:
        """Take an engine last from now on for a while."""
        self.until_s[endpoint] = instant_s + SUSPECT_S

    def marked(self, view: EngineView, instant_s: float) -> EngineView:
        """Return an engine's view with what this instance holds against it."""
        if self.until_s.get(view.endpoint, 0.0) <= instant_s:
            return view
        return replace(view, suspect=True)
