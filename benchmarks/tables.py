"""Tables of results for people."""

from collections.abc import Mapping

from .results import RunResult
from .workload import Band

FIRST_TOKEN_BANDS = (Band.SHORT, Band.MIDDLE, Band.LONG, Band.GANG, Band.SERVICE)


def table(cells: Mapping[str, RunResult]) -> str:
    """Return one load's results, a line each policy and band."""
    lines = [
        f"{'policy':15}{'band':>10}{'calls':>7}{'first token p50':>17}{'p95':>8}"
        f"{'p99':>8}{'slowdown p50':>14}{'p99':>8}{'in time':>9}{'refused':>9}"
    ]
    for name, result in cells.items():
        for band in FIRST_TOKEN_BANDS:
            each = result.bands[band]
            first = each.first_token_s
            slow = each.slowdown
            lines.append(
                f"{name:15}{band.value:>10}{each.calls:7}{first.p50:15.2f} s"
                f"{first.p95:8.2f}{first.p99:8.2f}{slow.p50:14.1f}{slow.p99:8.1f}"
                f"{each.in_time:9.1%}{each.refused:9.1%}"
            )
    for name, result in cells.items():
        lines.append(
            f"{name:15} goodput {result.goodput:.2f} calls/s, "
            f"{result.goodput_tokens / 1000:.0f}k tokens/s; wasted prefill "
            f"{result.wasted:.2%}; fairness {result.fairness:.3f}, smallest account "
            f"{result.account_in_time[-1]:.1%} in time; {result.refusals} refused, "
            f"come back after p50 {result.retry_after_s.p50:.1f} s"
        )
    return "\n".join(lines)


def honesty_line(name: str, refused: int, tried: int, late: int) -> str:
    """Return what would have become of refused calls."""
    if tried == 0:
        return f"{name}, load 1.5: {refused} refused, none of them was tried"
    return (
        f"{name}, load 1.5: {refused} refused; of {tried} let in all the same in "
        f"another run {late} were late ({late / tried:.0%} rightly refused)"
    )


def flood_line(name: str, usual: RunResult, flood: RunResult) -> str:
    """Return what the largest account's flood did to the smallest account."""
    return (
        f"{name}, the largest account floods (load 0.9 to 1.5): smallest account in "
        f"time {usual.account_in_time[-1]:.1%} before, "
        f"{flood.account_in_time[-1]:.1%} then; largest "
        f"{usual.account_in_time[0]:.1%} and {flood.account_in_time[0]:.1%}"
    )
