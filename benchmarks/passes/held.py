"""Hold the forecast and the model against a played day.

``python -m benchmarks.passes held LOG --deployment NAME`` reads the output of a day
with the lines of all instances and states, by length of prompt: what was seen, the
error of placement's forecast, what the model gives for the same arrivals, and what its
engines give where each call is placed as on that day.
"""

import argparse
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

from .deployments import DEPLOYMENTS, Deployment
from .forecasts import Forecast, forecast_of
from .outcome import Outcome, earned_share, quantile
from .play import Run, play
from .played import SeenCall, read_log
from .policies import POLICIES
from .replay import calls_of, first_attempts, places_of, seen_outcomes

HELD_BANDS = (
    ("below 8k", 0, 8_000),
    ("8k-64k", 8_000, 64_000),
    ("64k-512k", 64_000, 512_000),
    ("over 512k", 512_000, 1_000_001),
)
"""Names and limits in prompt tokens."""
SEEDS = 3


@dataclass(frozen=True, slots=True)
class Errors:
    """How far a prediction is off, in milliseconds.

    Attributes
    ----------
    bias_ms : float
        Median of seen less predicted: above 0 where it came later.
    median_ms, p90_ms : float
        Of the absolute error.
    """

    count: int
    bias_ms: float
    median_ms: float
    p90_ms: float


def errors(pairs: Sequence[tuple[float, float]]) -> Errors:
    """Return the errors of pairs of seen and predicted milliseconds."""
    if not pairs:
        return Errors(0, 0.0, 0.0, 0.0)
    off = [seen - predicted for seen, predicted in pairs]
    sizes = [abs(each) for each in off]
    return Errors(len(pairs), median(off), median(sizes), quantile(sizes, 0.9))


@dataclass(frozen=True, slots=True)
class Held:
    """A played day beside its forecasts and one run of the model.

    Attributes
    ----------
    seen : list of SeenCall
        Without callers' second attempts.
    forecasts : list of Forecast or None
    played, modelled, placed : list of Outcome
        Of the same calls on the day, in the model, and in the model with the places
        of the day.
    """

    seen: list[SeenCall]
    forecasts: list[Forecast | None]
    played: list[Outcome]
    modelled: list[Outcome]
    placed: list[Outcome]


def forecasts_of(
    calls: Sequence[SeenCall], deployment: Deployment
) -> list[Forecast | None]:
    """Return the forecasts of a day's calls, in the order of `first_attempts`."""
    seen = first_attempts(calls)
    return [forecast_of(call, calls, deployment.figures) for call in seen]


def hold(
    calls: Sequence[SeenCall],
    forecasts: list[Forecast | None],
    deployment: Deployment,
    policy: str,
    seed: int,
) -> Held:
    """Return a day's calls beside what was to be expected of them."""
    model_calls = calls_of(calls, deployment, seed)
    last_s = max(call.ended_s for call in calls)
    run = Run(deployment, policy, seed, last_s, model_calls)
    placed = replace(run, places=places_of(calls))
    return Held(
        first_attempts(calls),
        forecasts,
        seen_outcomes(calls, model_calls),
        list(play(run).outcomes),
        list(play(placed).outcomes),
    )


def forecast_pairs(held: Held, low: int, high: int) -> list[tuple[float, float]]:
    """Return first events of a band, seen and foretold."""
    pairs = []
    for call, forecast in zip(held.seen, held.forecasts, strict=True):
        if forecast is None or call.first_ms is None or call.waited_ms is None:
            continue
        if low <= call.prompt_tokens < high:
            pairs.append((call.first_ms - call.waited_ms, forecast.first_ms))
    return pairs


def pause_pairs(held: Held, low: int, high: int) -> list[tuple[float, float]]:
    """Return largest pauses of a band, seen and foretold by the host's longest pass."""
    return [
        (call.pause_ms, forecast.pause_ms)
        for call, forecast in zip(held.seen, held.forecasts, strict=True)
        if forecast is not None and call.pause_ms is not None
        if low <= call.prompt_tokens < high
    ]


def model_pairs(
    played: Sequence[Outcome],
    modelled: Sequence[Outcome],
    low: int,
    high: int,
    value: Callable[[Outcome], float | None],
) -> list[tuple[float, float]]:
    """Return some value of a band's calls, seen and in the model."""
    pairs = []
    for seen, model in zip(played, modelled, strict=True):
        ours, theirs = value(seen), value(model)
        if ours is None or theirs is None:
            continue
        if low <= seen.call.prompt_tokens < high:
            pairs.append((ours, theirs))
    return pairs


def first_of(outcome: Outcome) -> float | None:
    """Return an outcome's first event."""
    return outcome.first_ms


def pause_of(outcome: Outcome) -> float | None:
    """Return an outcome's largest pause, if it had two events."""
    return outcome.longest_pause_ms or None


HEAD = (
    f"{'prompt tokens':14}{'what':26}{'calls':>6}{'seen p50':>10}{'p90':>7}"
    f"{'told p50':>10}{'p90':>7}{'bias':>8}{'error p50':>11}{'p90':>7}"
)


def line(band: str, what: str, pairs: Sequence[tuple[float, float]]) -> str:
    """Return one line of the table, in milliseconds."""
    off = errors(pairs)
    seen = [each for each, _ in pairs]
    told = [each for _, each in pairs]
    return (
        f"{band:14}{what:26}{off.count:6}{quantile(seen, 0.5):10.0f}"
        f"{quantile(seen, 0.9):7.0f}{quantile(told, 0.5):10.0f}"
        f"{quantile(told, 0.9):7.0f}{off.bias_ms:8.0f}{off.median_ms:11.0f}"
        f"{off.p90_ms:7.0f}"
    )


def report(helds: Sequence[Held]) -> str:
    """Return the table of a day; the model's lines are over all seeds."""
    lines = [HEAD]
    for band, low, high in HELD_BANDS:
        held = helds[0]
        if not any(low <= call.prompt_tokens < high for call in held.seen):
            lines.append(f"{band:14}no calls")
            continue
        lines.append(line(band, "first, forecast", forecast_pairs(held, low, high)))
        lines.append(line(band, "pause, forecast", pause_pairs(held, low, high)))
        runs = {
            "model": [(each.played, each.modelled) for each in helds],
            "engines": [(each.played, each.placed) for each in helds],
        }
        for name, pairs in runs.items():
            for what, value in (("first", first_of), ("pause", pause_of)):
                found = [
                    p for run in pairs for p in model_pairs(*run, low, high, value)
                ]
                lines.append(line(band, f"{what}, {name}", found))
    lines.append(worths(helds))
    return "\n".join(lines)


def worths(helds: Sequence[Held]) -> str:
    """Return what calls earned on the day and in the model."""
    seeds = [earned_share(held.modelled) for held in helds]
    placed = [earned_share(held.placed) for held in helds]
    on_time = sum(each.on_time for each in helds[0].played) / len(helds[0].played)
    model = [sum(e.on_time for e in held.modelled) / len(held.played) for held in helds]
    return (
        f"earned of the worth of streamed calls: played "
        f"{earned_share(helds[0].played):.3f}, model {sum(seeds) / len(seeds):.3f} "
        f"(seeds {' '.join(f'{each:.3f}' for each in seeds)}), "
        f"model with the day's places {sum(placed) / len(placed):.3f}; on time: played "
        f"{on_time:.3f}, model {sum(model) / len(model):.3f}"
    )


def main(argv: Sequence[str]) -> None:
    """Hold one day, or several of one deployment, against the model."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.passes held")
    parser.add_argument("logs", type=Path, nargs="+", help="output of days")
    names = [each.name for each in DEPLOYMENTS]
    parser.add_argument("--deployment", choices=names, required=True)
    parser.add_argument("--policy", choices=sorted(POLICIES), default="mimosafork")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    options = parser.parse_args(argv)
    deployment = next(d for d in DEPLOYMENTS if d.name == options.deployment)
    for log in options.logs:
        calls = read_log(log)
        seeds = range(1, options.seeds + 1)
        told = forecasts_of(calls, deployment)
        helds = [hold(calls, told, deployment, options.policy, seed) for seed in seeds]
        print(f"\n{log.name}: {len(calls)} streamed calls, {len(seeds)} seeds")
        print(report(helds))
