"""How an engine of the prepared platform writes, and what fits into it."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """How an engine writes, and what fits into it.

    Attributes
    ----------
    memory : int
        Tokens that fit.
    events : int
        Length of an answer whose request does not say how many tokens it wants.
    tokens_per_event : int
        Tokens in one event.
    gap : timedelta
        Pause between events; the endpoint's `speed` divides it.
    model : str
        The model that is loaded.
    hold_max : timedelta
        Longest time for which memory is set aside at once.
    stall : timedelta
        Work whose helper is gone stalls for so long before it is broken off.
    """

    memory: int = 400_000
    events: int = 4
    tokens_per_event: int = 20
    gap: timedelta = timedelta(0)
    model: str = "m"
    hold_max: timedelta = timedelta(seconds=20)
    stall: timedelta = timedelta(milliseconds=50)
