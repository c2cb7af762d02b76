"""Whether and how much of the fleet a gang may take."""

from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.plugins import Refuse
from ...kernel.records import RequestRecord
from ..engine_load import EngineLoad
from ..prediction import fleet_policy
from .plan import split, whole_room

YIELD_BACKLOG_S = 0.5
"""Work of long prompts, over all engines, from which on a gang waits."""

YIELD_SHARE = 0.2
"""Part of its time that a gang waits at most for others."""


def long_part(
    record: RequestRecord,
    pairs: list[tuple[Endpoint, EngineLoad]],
    context: Context,
) -> float | None:
    """Return the part of each engine that the gang may take.

    That of long prompts, if the idle fleet could hold the prompt so; else all;
    None if even that is not enough.
    """
    request = record.request
    for share in (fleet_policy(context).long_share, 1.0):
        rooms = whole_room(pairs, share)
        if split(request.prompt_tokens, request.max_tokens, rooms) is not None:
            return share
    return None


def should_yield(
    record: RequestRecord,
    pairs: list[tuple[Endpoint, EngineLoad]],
    context: Context,
) -> bool:
    """Return whether a gang had better wait for other long prompts.

    It holds memory on several engines for a minute, and its caller has given it
    many minutes: under a short burst it is what can wait best.
    """
    given = record.request.deadline - record.submitted_at
    if context.now - record.submitted_at > YIELD_SHARE * given:
        return False
    now_s = context.now.total_seconds()
    waiting = sum(load.levels(now_s)[1] for _, load in pairs)
    return waiting > YIELD_BACKLOG_S * sum(load.rate for _, load in pairs)


def refuse_oversized_prompt(record: RequestRecord) -> Refuse:
    """Return the refusal of a prompt that the whole fleet could not hold."""
    detail = (
        f"the prompt has {record.request.prompt_tokens} tokens, more than the engines "
        "hold together"
    )
    return Refuse(Problem(ProblemCode.PROMPT_TOO_LONG, detail))
