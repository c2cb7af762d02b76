"""Calls of a run, drawn from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import exp
from random import Random

from .deployments import CallClass, Deployment

HINT_SPREAD = 0.5
"""Sigma of the logarithm of expected by real answer length."""
ANSWER_WEIGHT = 10
"""An answer's token counts as so many of a prompt in a call's size."""
MOST_WORTH = 4.0


@dataclass(frozen=True, slots=True)
class Call:
    """One caller's request.

    Attributes
    ----------
    at_s : float
        When the caller sends it.
    hint_tokens : int
        Answer length that the caller expects.
    weight : float
        Its worth against the mean of its class.
    entry : int or None
        Number of the entry instance that it comes to; None for chance.
    """

    number: int
    kind: CallClass
    at_s: float
    prompt_tokens: int
    answer_tokens: int
    hint_tokens: int
    weight: float
    entry: int | None = None


def flood_factor(kind: CallClass, at_s: float, deployment: Deployment) -> float:
    """Return the factor of a class's rate; floods alternate, a long one first."""
    cycle = deployment.flood_s + deployment.gap_s
    turn, rest = divmod(at_s, cycle)
    if rest < deployment.gap_s:
        return 1.0
    return kind.long_flood if int(turn) % 2 == 0 else kind.short_flood


def arrivals(
    kind: CallClass, deployment: Deployment, duration_s: float, random: Random
) -> Iterator[float]:
    """Yield the instants of a class's calls: a Poisson process, thinned."""
    most = max(1.0, kind.short_flood, kind.long_flood)
    at_s = random.expovariate(kind.per_s * most)
    while at_s < duration_s:
        if random.random() * most < flood_factor(kind, at_s, deployment):
            yield at_s
        at_s += random.expovariate(kind.per_s * most)


def drawn(mean: float, spread: float, most: float, random: Random) -> float:
    """Return a log-normal length, cut off at the top."""
    return min(most, mean * exp(random.gauss(-spread * spread / 2, spread)))


def weight_of(kind: CallClass, prompt: int, answer: int, event_tokens: int) -> float:
    """Return a call's worth against the mean of its class, by its size."""
    mean = kind.prompt_mean + ANSWER_WEIGHT * kind.events_mean * event_tokens
    return min(MOST_WORTH, 0.3 + 0.7 * (prompt + ANSWER_WEIGHT * answer) / mean)


def generate(deployment: Deployment, duration_s: float, seed: int) -> list[Call]:
    """Return the calls of a run, in the order of their instants."""
    random = Random(seed)
    event_tokens = deployment.event_tokens
    calls: list[Call] = []
    for kind in deployment.classes:
        for at_s in arrivals(kind, deployment, duration_s, random):
            size = (kind.prompt_mean, kind.prompt_spread, kind.prompt_most)
            prompt = max(100, round(drawn(*size, random)))
            size = (kind.events_mean, kind.events_spread, kind.events_most)
            answer = max(1, round(drawn(*size, random))) * event_tokens
            hint = max(1, round(answer * exp(random.gauss(0.0, HINT_SPREAD))))
            weight = weight_of(kind, prompt, answer, event_tokens)
            calls.append(Call(0, kind, at_s, prompt, answer, hint, weight))
    calls.sort(key=lambda call: call.at_s)
    return [replace(each, number=number) for number, each in enumerate(calls)]
