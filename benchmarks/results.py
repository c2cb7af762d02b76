"""What a run has shown, by prompt length and by account."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from .deployments import DEPLOYMENTS, Deployment
from .simulation import Simulation
from .workload import Band, Call, alone_s

NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Of a quantity, NaN without any values."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True)
class BandResult:
    """One band of prompt lengths.

    Attributes
    ----------
    first_token_s : Percentiles
        A call that was let in and never had a token counts with the time until
        its final answer. Refused calls are left out and counted by themselves.
    slowdown : Percentiles
        First token against the same call alone on an idle fleet.
    in_time : float
        Part of the calls that were answered whole within their time.
    refused : float
        Part that was refused as not run.
    """

    calls: int
    first_token_s: Percentiles
    slowdown: Percentiles
    in_time: float
    refused: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run.

    Attributes
    ----------
    goodput : float
        Calls a second that were answered whole within their time, services left
        out.
    goodput_tokens : float
        Their prompt tokens a second.
    wasted : float
        Part of the prefilled tokens whose request was never answered in time.
    account_in_time : tuple of float
        Part of each account's calls answered in time, the largest account first.
    """

    bands: dict[Band, BandResult]
    goodput: float
    goodput_tokens: float
    wasted: float
    account_in_time: tuple[float, ...]
    refusals: int
    retry_after_s: Percentiles

    @property
    def fairness(self) -> float:
        """Jain's index over the accounts' parts answered in time; 1 is even."""
        parts = self.account_in_time
        squares = sum(part * part for part in parts)
        return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def percentile(ordered: Sequence[float], part: float) -> float:
    """Return the value below which `part` of the sorted values lie."""
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def percentiles(values: Iterable[float]) -> Percentiles:
    """Return the percentiles that are reported."""
    ordered = sorted(values)
    points = (percentile(ordered, part) for part in (0.5, 0.95, 0.99))
    return Percentiles(*points)


def evaluate(simulation: Simulation, duration_s: float) -> RunResult:
    """Return what a finished simulation has shown."""
    deployment = simulation.deployment
    calls = simulation.calls
    model_calls = [call for call in calls if call.band is not Band.SERVICE]
    good = [call for call in model_calls if call.done_in_time]
    totals = [each.engine.totals for each in simulation.engines.values()]
    prefilled = sum(each.prefilled for each in totals)
    refused = [call for call in model_calls if was_refused(call)]
    return RunResult(
        bands={
            band: _band(deployment, [call for call in calls if call.band is band])
            for band in Band
        },
        goodput=len(good) / duration_s,
        goodput_tokens=sum(call.prompt_tokens for call in good) / duration_s,
        wasted=sum(each.wasted for each in totals) / max(1, prefilled),
        account_in_time=tuple(
            _in_time([call for call in model_calls if call.account == account])
            for account in range(len(deployment.accounts))
        ),
        refusals=len(refused),
        retry_after_s=percentiles(
            call.retry_after_s for call in refused if call.retry_after_s is not None
        ),
    )


def was_refused(call: Call) -> bool:
    """Return whether a call was refused as not run before its time was over."""
    return call.outcome == NOT_RUN and call.problem != "deadline-passed"


def _band(deployment: Deployment, calls: list[Call]) -> BandResult:
    let_in = [call for call in calls if not was_refused(call)]
    waits = [_wait_s(call) for call in let_in]
    slowdowns = [
        wait_s / _alone_s(deployment.name, call.prompt_tokens)
        for call, wait_s in zip(let_in, waits, strict=True)
        if call.band is not Band.SERVICE
    ]
    refused = len(calls) - len(let_in)
    return BandResult(
        calls=len(calls),
        first_token_s=percentiles(waits),
        slowdown=percentiles(slowdowns),
        in_time=_in_time(calls),
        refused=refused / len(calls) if calls else 0.0,
    )


def _wait_s(call: Call) -> float:
    end_s = call.first_token_s if call.first_token_s is not None else call.end_s
    if end_s is None:
        raise ValueError(f"call {call.number} never had its final answer")
    return end_s - call.arrival_s


def _in_time(calls: list[Call]) -> float:
    if not calls:
        return float("nan")
    return sum(call.done_in_time for call in calls) / len(calls)


@lru_cache(maxsize=100_000)
def _alone_s(name: str, prompt_tokens: int) -> float:
    deployment = next(each for each in DEPLOYMENTS if each.name == name)
    return alone_s(deployment, prompt_tokens)
