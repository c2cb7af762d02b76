"""Limits when a gang may start and how much of the fleet it may use."""

from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.plugins import Refuse
from ...kernel.records import RequestRecord
from ..engine_load import EngineLoad
from ..prediction import fleet_policy
from .plan import split, total_room

YIELD_BACKLOG_S = 0.5
"""Queued work of long prompts, over all engines, above which a gang waits."""

YIELD_SHARE = 0.2
"""Maximum part of the time to its deadline that a gang waits for other prompts."""


def gang_memory_share(
    record: RequestRecord,
    pairs: list[tuple[Endpoint, EngineLoad]],
    context: Context,
) -> float | None:
    """Return the part of each engine's memory that the gang may use.

    The share of long prompts, if the prompt fits into that share of an idle fleet;
    else all memory; None if the prompt does not fit into the whole fleet.
    """
    request = record.request
    for share in (fleet_policy(context).long_share, 1.0):
        rooms = total_room(pairs, share)
        if split(request.prompt_tokens, request.max_tokens, rooms) is not None:
            return share
    return None


def should_yield(
    record: RequestRecord,
    pairs: list[tuple[Endpoint, EngineLoad]],
    context: Context,
) -> bool:
    """Return whether a gang should wait for other long prompts.

    A gang holds memory on several engines for a minute, and its deadline is usually
    many minutes away, so it is the best candidate to wait during a short burst.
    """
    given = record.request.deadline - record.submitted_at
    if context.now - record.submitted_at > YIELD_SHARE * given:
        return False
    now_s = context.now.total_seconds()
    waiting = sum(load.levels(now_s)[1] for _, load in pairs)
    return waiting > YIELD_BACKLOG_S * sum(load.rate for _, load in pairs)


def refuse_oversized_prompt(record: RequestRecord) -> Refuse:
    """Return the refusal of a prompt that does not fit into the whole fleet."""
    detail = (
        f"the prompt has {record.request.prompt_tokens} tokens, more than the engines "
        "hold together"
    )
    return Refuse(Problem(ProblemCode.PROMPT_TOO_LONG, detail))
