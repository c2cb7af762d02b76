"""The calls of a played day, as calls for the model of engines.

Each comes at the same instant to the same instance with the same prompt and answer.
What a line doesn't tell is drawn from the seed: the caller's expectation of the
answer's length, and the length of an answer that was not completed.
"""

from collections.abc import Sequence
from dataclasses import replace
from math import exp
from random import Random
from statistics import median

from .as_played import SeenPlace
from .deployments import CallClass, Deployment
from .entry import CALLER_S
from .outcome import Outcome
from .played import SeenCall, engines_of, instances_of
from .traffic import HINT_SPREAD, Call, drawn, weight_of

AGAIN_S = 15.0
"""A caller comes again within its limit, if at all."""


def classes_of(
    seen: Sequence[SeenCall], deployment: Deployment
) -> dict[str, CallClass]:
    """Return the class of each route; those with longer prompts are later ones.

    Raises
    ------
    ValueError
        If there are not as many routes as classes.
    """
    prompts: dict[str, list[int]] = {}
    for call in seen:
        prompts.setdefault(call.route, []).append(call.prompt_tokens)
    routes = sorted(prompts, key=lambda route: median(prompts[route]))
    kinds = sorted(deployment.classes, key=lambda kind: kind.prompt_mean)
    return dict(zip(routes, kinds, strict=True))


def first_attempts(seen: Sequence[SeenCall]) -> list[SeenCall]:
    """Return the calls without those that a caller sent again after a failure.

    The lines have no mark for them: the same account's same prompt length on the same
    route, after one that was not served, is taken as one.
    """
    kept: list[SeenCall] = []
    failed: dict[tuple[str, str, int], float] = {}
    for call in seen:
        key = (call.route, call.account, call.prompt_tokens)
        if call.at_s - failed.get(key, -AGAIN_S) >= AGAIN_S:
            kept.append(call)
        if not call.served:
            failed[key] = call.ended_s
    return kept


def calls_of(
    seen: Sequence[SeenCall], deployment: Deployment, seed: int
) -> tuple[Call, ...]:
    """Return the model's calls, in the order of `first_attempts`."""
    random = Random(seed)
    kinds = classes_of(seen, deployment)
    entries = {name: number for number, name in enumerate(instances_of(seen))}
    calls = [
        replace(
            call_of(each, kinds[each.route], deployment.event_tokens, random),
            entry=entries[each.instance],
        )
        for each in first_attempts(seen)
    ]
    return tuple(replace(each, number=n) for n, each in enumerate(calls))


def call_of(seen: SeenCall, kind: CallClass, event_tokens: int, random: Random) -> Call:
    """Return one call of the model."""
    size = (kind.events_mean, kind.events_spread, kind.events_most)
    guess = max(1, round(drawn(*size, random)))
    events = seen.events if seen.served and seen.events else max(guess, seen.events)
    answer = events * event_tokens
    hint = max(1, round(answer * exp(random.gauss(0.0, HINT_SPREAD))))
    weight = weight_of(kind, seen.prompt_tokens, answer, event_tokens)
    at_s = max(0.0, seen.at_s - CALLER_S)
    return Call(0, kind, at_s, seen.prompt_tokens, answer, hint, weight)


def places_of(seen: Sequence[SeenCall]) -> tuple[SeenPlace, ...]:
    """Return where the calls were, in the order of `first_attempts`."""
    numbers = {name: number for number, name in enumerate(engines_of(seen))}
    return tuple(
        SeenPlace(
            tuple(numbers[name] for name in each.endpoints),
            tuple(numbers[name] for name in each.helpers),
        )
        for each in first_attempts(seen)
    )


def seen_outcomes(seen: Sequence[SeenCall], calls: Sequence[Call]) -> list[Outcome]:
    """Return what became of the calls on the played day, as their callers saw it.

    A call that was sent again and served then is counted as not served.
    """
    outcomes = []
    for each, call in zip(first_attempts(seen), calls, strict=True):
        outcome = Outcome(call, complete=each.served, engines=len(each.engines))
        if each.first_ms is not None:
            outcome.first_ms = each.first_ms + 2e3 * CALLER_S
            outcome.longest_pause_ms = each.pause_ms or 0.0
        outcomes.append(outcome)
    return outcomes
