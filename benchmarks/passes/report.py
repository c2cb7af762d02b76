"""Tables of a comparison, for people."""

from collections.abc import Mapping, Sequence

from .outcome import BANDS, ClassFigures, Outcome, earned_share, figures_of
from .play import Played

HEAD = (
    f"{'policy':15}{'calls of':>10}{'count':>7}{'on time':>9}{'late first':>11}"
    f"{'late pause':>11}{'served':>8}{'refused':>8}{'earned':>8}"
    f"{'first p50':>11}{'p95':>8}{'pause p95':>11}"
)


def line(policy: str, group: str, each: ClassFigures) -> str:
    """Return one line of a table."""
    return (
        f"{policy:15}{group:>10}{each.calls:7}{each.on_time:9.1%}"
        f"{each.late_first:11.1%}{each.late_pause:11.1%}{each.served:8.1%}"
        f"{each.refused:8.1%}{each.earned:8.1%}{each.first_p50_ms:8.0f} ms"
        f"{each.first_p95_ms:8.0f}{each.pause_p95_ms:8.0f} ms"
    )


def table(cells: Mapping[str, Sequence[Played]]) -> str:
    """Return one deployment's figures: classes and length bands for each policy."""
    lines = [HEAD]
    for policy, runs in cells.items():
        outcomes = [outcome for run in runs for outcome in run.outcomes]
        kinds = list(dict.fromkeys(each.call.kind.name for each in outcomes))
        for kind in sorted(kinds):
            group = [each for each in outcomes if each.call.kind.name == kind]
            lines.append(line(policy, kind, figures_of(group)))
        for name, low, high in BANDS:
            group = [e for e in outcomes if low <= e.call.prompt_tokens < high]
            lines.append(line(policy, name, figures_of(group)))
    lines.extend(summary(policy, runs) for policy, runs in cells.items())
    return "\n".join(lines)


def summary(policy: str, runs: Sequence[Played]) -> str:
    """Return a policy's worth over all, and of each seed."""
    outcomes: list[Outcome] = [each for run in runs for each in run.outcomes]
    seeds = " ".join(f"{earned_share(run.outcomes):.3f}" for run in runs)
    preempted = sum(run.preempted for run in runs)
    wall = sum(run.wall_s for run in runs) / len(runs)
    return (
        f"{policy:15} earned {earned_share(outcomes):.3f} of the worth owed "
        f"(seeds {seeds}); {preempted} preempted; {wall:.1f} s a run"
    )
