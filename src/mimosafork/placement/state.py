"""One engine as a placement sees it: its load, and how long things take on it.

Times are milliseconds as floats, as each placement calculates hundreds of them.
"""

from dataclasses import dataclass

from ..routing.engine import EngineFigures
from .choice import EngineView
from .work import EngineLoad

COLD_PACE = 1.5
"""How much slower an engine is taken to be just after its start."""
PAUSE_SLACK_MS = 70.0
"""A pass that stays so far below a pause is safe from what is not yet known."""
REST_OF_PASS = 0.5
"""Share of a running pass that is left on average."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """One engine, with what is the same for all sizes of a part.

    Attributes
    ----------
    pace : float
        How many times longer than stated its work takes.
    order : float
        Its place in the order that all instances share, from 0 to 1.
    penalty : float
        Added to the cost of using it.
    pass_ms : float
        Length of a pass without reading; a single step without writers.
    host_ms, helper_ms : float
        Until the first event of a request without a prompt, had it the engine as its
        host or as a helper.
    calm_ms : float
        Reading that can be added without any risk for its writers' pauses.
    """

    view: EngineView
    load: EngineLoad
    pace: float
    order: float
    penalty: float
    pass_ms: float
    host_ms: float
    helper_ms: float
    calm_ms: float

    @property
    def has_slot(self) -> bool:
        """Whether it may be host of one more request."""
        return self.load.running < self.view.slots

    @property
    def can_help(self) -> bool:
        """Whether it may read a part of one more request of another host."""
        return self.load.helping < self.view.slots

    def done_ms(self, read_ms: float, helping: bool) -> float:
        """Return when the first event comes if a part is sent now.

        Parameters
        ----------
        read_ms : float
            Reading of the part on an engine of the stated speed.
        helping : bool
            Parts for other hosts go ahead of the engine's own.
        """
        wait_ms = self.helper_ms if helping else self.host_ms
        return wait_ms + read_ms * self.pace

    def longest_pass(self, read_ms: float) -> float:
        """Return the length of a pass in which all promised reading is done."""
        return self.pass_ms + self.load.reading_ms + read_ms * self.pace


def state_of(
    view: EngineView,
    load: EngineLoad,
    figures: EngineFigures,
    order: float = 0.0,
    penalty: float = 0.0,
) -> EngineState:
    """Return an engine's state.

    Beside writers, a pass that runs already ends before a new part is read; the first
    event comes with the end of the part's own pass.
    """
    pace = pace_of(view)
    pass_ms = pass_length(load, figures) * pace
    wait_ms = pass_ms
    if load.writers:
        wait_ms += REST_OF_PASS * (pass_ms + load.reading_ms)
    tightest = min((pace.pause_ms for pace in load.paces), default=float("inf"))
    return EngineState(
        view=view,
        load=load,
        pace=pace,
        order=order,
        penalty=penalty,
        pass_ms=pass_ms,
        host_ms=wait_ms + load.reading_ms,
        helper_ms=wait_ms + load.helping_ms,
        calm_ms=tightest - PAUSE_SLACK_MS - pass_ms - load.reading_ms,
    )


def pace_of(view: EngineView) -> float:
    """Return how many times longer than stated an endpoint's work takes."""
    return max(1.0, view.pace) * (COLD_PACE if view.cold else 1.0)


def pass_length(load: EngineLoad, figures: EngineFigures) -> float:
    """Return the milliseconds of a pass without reading."""
    if not load.writers:
        return figures.step_ms
    step = figures.step_ms + figures.per_sequence_ms * load.writers
    step += figures.context_ms_per_k * load.context_tokens / 1e3
    return step * max(1, figures.stride)
