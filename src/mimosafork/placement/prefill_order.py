"""When a prompt that several engines read waits for those that are being read.

An engine reads the parts of other hosts' prompts newest first. A prompt whose parts
are sent while an older one is being read goes ahead of it on each engine that both
use: in a flood of long prompts the newest are on time, and the oldest wait until the
flood is over. Sent one after the other they take the same time of the engines, and
most of them are on time.
"""

from .choice import PlacementRequest
from .forecast import FIRST_EVENT_SLACK, EngineState
from .plan import Plan

MIN_BACKLOG_MS = 60.0
"""Reading that is worth no wait; waiting requests are looked at every 50 ms."""
LATE_SHARE = 0.4
"""Share of a late request's time within which its first token must be foretold."""


def should_wait_for_older_prefill(ask: PlacementRequest, plan: Plan) -> bool:
    """Return whether a prompt loses nothing by letting older ones be read first.

    The plan foretells its first token behind all reading that is promised already. As
    long as that is surely on time, the wait costs the request nothing. One that would
    be late even if it went first has its worth yet when its caller still waits, and
    would only make others late. Both waits end by themselves: the reading that is
    promised now passes, and so does the time left.
    """
    if not plan.helpers:
        return False
    if not any(prefills_for_others(state) for state in (plan.host, *plan.helpers)):
        return False
    objective_ms = ask.objective.total_seconds() * 1e3
    if plan.done_ms <= objective_ms * (1.0 - FIRST_EVENT_SLACK):
        return True
    gang = (plan.host, *plan.helpers)
    first_ms = plan.done_ms - max(state.prefill_backlog_ms for state in gang)
    left_ms = ask.time_left.total_seconds() * 1e3
    return first_ms > objective_ms and plan.done_ms <= left_ms * LATE_SHARE


def prefills_for_others(state: EngineState) -> bool:
    """Return whether an engine still reads a part of another host's prompt."""
    return state.load.helping > 0 and state.prefill_backlog_ms >= MIN_BACKLOG_MS
