"""How far apart instances choose that don't know of one another's last calls.

The engine that costs least is the same one to all instances that know the same. What
they know is late by the way of a word: so many works as begin meanwhile go to engines
that they no longer suit. The less is known, the more it is worth to spread.
"""

from .plan import NOISE_COST

SPREAD_PER_UNREPORTED = 0.16
"""Cost by which engines differ by chance, for each work that begins before its word
comes."""
UNREPORTED_PER_REJECTION = 1.0
"""Works of which nothing is known, for each call that a full engine turns away in a
second: of words that are missing no age tells. More than one would spread calls onto
engines that turn some away without being full, which can't be told from full ones."""
MAX_SPREAD_COST = 2.0
"""Beyond it a choice goes by chance alone."""


def spread_cost(per_s: float, late_s: float, rejected_per_s: float = 0.0) -> float:
    """Return the cost by which engines differ by chance.

    Guard: in a flood whose words come a tenth of a second late, or not at all from
    behind a cut, all instances fill one engine after the other: the works that are to
    come are unknown to all, and each engine is the emptiest until it turns calls away.
    Where words come in time and no engine is full, the spread is the usual one.

    Parameters
    ----------
    per_s : float
        Works that begin in a second.
    late_s : float
        How old works are when they are heard of.
    rejected_per_s : float
        Calls of this instance that full engines turn away in a second.
    """
    unheard = per_s * late_s + UNREPORTED_PER_REJECTION * rejected_per_s
    return min(MAX_SPREAD_COST, max(NOISE_COST, SPREAD_PER_UNREPORTED * unheard))
