"""Order of the requests that wait for a target, as the queue discipline decides."""

from collections.abc import Sequence
from typing import NamedTuple

from ..ids import ModelId, RequestId, ServiceId
from .context import Context
from .messages.problems import Problem
from .plugins import QueueDiscipline, Surplus
from .records import RequestRecord


class Ranking(NamedTuple):
    """Waiting requests in order, and those for which the discipline raised."""

    ranked: list[RequestRecord]
    faulted: list[RequestId]


def rank_waiting(
    discipline: QueueDiscipline, target: ModelId | ServiceId, context: Context
) -> Ranking:
    """Return the requests that wait for a target, the first to go first."""
    ranks: dict[RequestId, float] = {}
    ranked = []
    faulted = []
    for record in context.state.waiting.waiting_for(target):
        try:
            ranks[record.request_id] = discipline.rank(record, context.now)
        except Exception as error:
            context.faults.append(error)
            faulted.append(record.request_id)
            continue
        ranked.append(record)
    ranked.sort(key=lambda record: ranks[record.request_id])
    if len(ranked) > 1:
        try:
            ranked = discipline.arrange(ranked, context.now)
        except Exception as error:
            context.faults.append(error)
    return Ranking(ranked, faulted)


def surplus_of(
    discipline: QueueDiscipline,
    target: ModelId | ServiceId,
    ranked: list[RequestRecord],
    context: Context,
) -> Sequence[Surplus]:
    """Return the ranked requests that still wait and are refused now."""
    waiting = context.state.waiting.by_target.get(target)
    if waiting is None:
        return ()
    left = [record for record in ranked if record.request_id in waiting]
    try:
        return discipline.surplus(left, context.now)
    except Exception as error:
        context.faults.append(error)
        return ()


def final_problem(
    discipline: QueueDiscipline, problem: Problem, context: Context
) -> Problem:
    """Return the problem that a request ends with."""
    try:
        return discipline.final_problem(problem, context.random)
    except Exception as error:
        context.faults.append(error)
        return problem
