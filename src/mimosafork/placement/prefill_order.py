"""Order of prefills of prompts that are split over several engines.

An engine prefills parts for other hosts newest first. A prompt whose parts are sent
during the prefill of an older one overtakes it on each engine that both use: under a
burst of long prompts the newest are on time, and the oldest wait until the burst is
over. Sent one after the other they take the same engine time, and most are on time.
"""

from .choice import PlacementRequest
from .forecast import FIRST_EVENT_SLACK, EngineState
from .plan import Plan

MIN_BACKLOG_MS = 60.0
"""Shorter backlogs are ignored, as waiting requests are checked every 50 ms."""
LATE_SHARE = 0.4
"""Share of a late request's time left within which its first token must be predicted.
"""


def should_wait_for_older_prefill(request: PlacementRequest, plan: Plan) -> bool:
    """Return whether a prompt loses nothing by waiting for older prefills.

    The plan predicts the first token behind all assigned prefill. While that is safely
    on time, waiting costs the request nothing. A request that would be late even
    without the backlog keeps its value as long as its caller waits, and would only make
    others late. Both waits end by themselves, as the backlog shrinks and the time left
    passes.
    """
    if not plan.helpers:
        return False
    if not any(prefills_for_others(state) for state in (plan.host, *plan.helpers)):
        return False
    objective_ms = request.objective.total_seconds() * 1e3
    if plan.done_ms <= objective_ms * (1.0 - FIRST_EVENT_SLACK):
        return True
    gang = (plan.host, *plan.helpers)
    first_ms = plan.done_ms - max(state.prefill_backlog_ms for state in gang)
    left_ms = request.time_left.total_seconds() * 1e3
    return first_ms > objective_ms and plan.done_ms <= left_ms * LATE_SHARE


def prefills_for_others(state: EngineState) -> bool:
    """Return whether an engine still prefills a part of another host's prompt."""
    return state.load.helping > 0 and state.prefill_backlog_ms >= MIN_BACKLOG_MS
