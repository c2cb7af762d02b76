"""Values of the placement and of the model that an experiment varies.

Most are constants of a module. They are read each time that they are used, so setting
one holds for the runs that follow in the same process; `turned` sets it back.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import ModuleType

from mimosafork.placement import admission, forecast, memory, plan, race

from . import entry
from .play import USUAL_LOAD, Run


class UnknownKnobError(ValueError):
    """There is no knob of that name."""


@dataclass(frozen=True, slots=True)
class Knob:
    """One value.

    Attributes
    ----------
    module : module or None
        Where the constant stands; None for the load of a run.
    attribute : str
        Name of the constant.
    """

    module: ModuleType | None
    attribute: str

    def now(self) -> float:
        """Return the value that it has when nothing turns it."""
        if self.module is None:
            return USUAL_LOAD
        return float(getattr(self.module, self.attribute))


KNOBS: dict[str, Knob] = {
    "load": Knob(None, "load"),
    "news-age": Knob(entry, "NEWS_S"),
    "silent-share": Knob(entry, "SILENT_SHARE"),
    "helper-cost": Knob(plan, "HELPER_COST"),
    "opening-cost": Knob(plan, "PAUSE_LOSS_COST_PER_S"),
    "order-cost": Knob(plan, "ORDER_COST"),
    "noise-cost": Knob(plan, "NOISE_COST"),
    "race-time": Knob(race, "REPORT_DELAY_S"),
    "delay-cost": Knob(plan, "DELAY_COST_PER_MS"),
    "small-prompt": Knob(plan, "SHORT_PREFILL_MS"),
    "late-loss": Knob(forecast, "LATE_LOSS"),
    "tokens-of-worth": Knob(forecast, "TOKENS_PER_REQUEST_VALUE"),
    "pause-slack": Knob(forecast, "PAUSE_SLACK_MS"),
    "first-event-slack": Knob(forecast, "FIRST_EVENT_SLACK"),
    "usual-memory": Knob(memory, "MAX_PROMPT_MEMORY_SHARE"),
    "taken-share": Knob(admission, "MIN_TAKEN_SLOT_SHARE"),
}


def knob_of(name: str) -> Knob:
    """Return a knob.

    Raises
    ------
    UnknownKnobError
        If there is none of that name.
    """
    if name not in KNOBS:
        raise UnknownKnobError(
            f"no knob {name!r}; there are {', '.join(sorted(KNOBS))}"
        )
    return KNOBS[name]


@contextmanager
def turned(name: str, value: float, run: Run) -> Iterator[Run]:
    """Give a run with one knob at some value, and set it back afterwards."""
    knob = knob_of(name)
    if knob.module is None:
        yield replace(run, load=value)
        return
    before = knob.now()
    setattr(knob.module, knob.attribute, value)
    try:
        yield run
    finally:
        setattr(knob.module, knob.attribute, before)


def values(low: float, high: float, steps: int) -> tuple[float, ...]:
    """Return evenly spaced values, both ends among them."""
    if steps < 2:
        return (low,)
    return tuple(low + (high - low) * step / (steps - 1) for step in range(steps))
