"""Random spread of placements over engines while peers' reports are late.

All instances with the same information find the same engine cheapest. Their information
lags by the report delay, so requests that start in the meantime go to engines that are
no longer the best. The less is known, the more it pays to spread.
"""

from .plan import NOISE_COST

SPREAD_PER_UNREPORTED = 0.16
"""Random cost for each request that starts before its report arrives."""
UNREPORTED_PER_REJECTION = 1.0
"""Assumed unreported requests for each overload rejection per second: the delay of
reports that do arrive says nothing about missing ones. A higher value would spread
calls onto engines that reject some without being overloaded, which look the same."""
MAX_SPREAD_COST = 2.0
"""With more, placement would be entirely random."""


def spread_cost(
    per_s: float, report_delay_s: float, rejected_per_s: float = 0.0
) -> float:
    """Return the maximum random cost of an engine.

    Without it, under high load, with reports a tenth of a second late or missing behind
    a network partition, all instances would fill one engine after the other: the latest
    requests are unknown to all, and each engine seems the least loaded until it rejects
    calls. Where reports are on time and no engine is overloaded, the cost is
    `NOISE_COST`.

    Parameters
    ----------
    per_s : float
        Request starts per second.
    report_delay_s : float
        Mean age of requests when they are first reported.
    rejected_per_s : float
        Overload rejections per second of calls of this instance.
    """
    unreported = per_s * report_delay_s + UNREPORTED_PER_REJECTION * rejected_per_s
    return min(MAX_SPREAD_COST, max(NOISE_COST, SPREAD_PER_UNREPORTED * unreported))
