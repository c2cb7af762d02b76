"""Writes docs/CAPACITY.md from measured results; every figure comes from them."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from mimosafork.claims.writer import FLEET_TRANSACTIONS_PER_S, LARGEST_BATCH

from .budget import KEYED_SHARE, Cost, StoreLoad, control_costs, store_loads
from .design_size import DesignSize
from .fit import Slope
from .results import ROOT, PathPoint, Results

PAGE = ROOT / "docs" / "CAPACITY.md"
TEXT = Path(__file__).with_name("page.md")
SIZE = DesignSize()
SECONDS_A_DAY = 86_400


def render(results: Results) -> str:
    """Return the page."""
    costs = control_costs(results.slopes, results.direct)
    loads = store_loads()
    values = {
        "size": _size_table(),
        "slopes": _slope_table(results.slopes.values()),
        "control": _control_table(costs),
        "verdicts": _verdicts(costs),
        "store": _store_table(loads),
        "path": _path_table(results.path),
        **_data_path_values(results),
        **_claim_values(),
        **_loss_values(),
    }
    return TEXT.read_text(encoding="utf-8").format(**values)


def write(results: Results) -> None:
    """Write the page."""
    PAGE.write_text(render(results), encoding="utf-8")


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "| --- " * len(head) + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _size_table() -> str:
    rows = [
        ("entry instances (nodes)", f"{SIZE.nodes}"),
        ("endpoints (model replicas)", f"{SIZE.endpoints}"),
        ("availability zones, regions", f"{SIZE.availability_zones}, {SIZE.regions}"),
        ("nodes and endpoints of a zone", _zone()),
        ("requests a second, of a node", _pair(SIZE.requests_per_s)),
        ("tokens a second, of a node", _pair(SIZE.tokens_per_s)),
        ("streams of a node at once", f"{SIZE.streams_per_node:.0f}"),
        ("client accounts, models", f"{SIZE.accounts}, {SIZE.models}"),
        ("configuration changes a day", f"{SIZE.changes_per_day}"),
        ("failures, restarts a day", f"{SIZE.failures_per_day}, {_restarts()}"),
    ]
    return _table(("what", "how many"), rows)


def _zone() -> str:
    return f"{SIZE.nodes_per_zone:.0f}, {SIZE.endpoints_per_zone:.0f}"


def _pair(total: int) -> str:
    return f"{total:,}, {total / SIZE.nodes:,.1f}"


def _restarts() -> str:
    return str(SIZE.restarts_per_day)


def _slope_table(slopes: Iterable[Slope]) -> str:
    rows = [
        (
            slope.name,
            slope.grows,
            f"{slope.slope:.4g} {slope.unit}",
            f"{slope.low:.4g} to {slope.high:.4g}",
            f"{slope.intercept:.4g}",
            f"`{slope.module}`",
        )
        for slope in slopes
    ]
    head = ("slope", "for one more of", "cost", "spread", "at none", "module")
    return _table(head, rows)


def _control_table(costs: Sequence[Cost]) -> str:
    rows = [
        (
            cost.mechanism,
            cost.how,
            f"{cost.us_per_s / 1e4:.2f} %",
            f"{cost.memory / 2**20:.1f}",
            f"{cost.bytes_per_s / 1024:.1f}",
            f"`{cost.module}`",
        )
        for cost in costs
    ]
    us, memory, traffic = _sums(costs)
    total = (
        "**together**",
        "",
        f"**{us / 1e4:.2f} %**",
        f"**{memory / 2**20:.1f}**",
        f"**{traffic / 1024:.1f}**",
        "",
    )
    head = ("mechanism", "rate and slope", "of a core", "MB", "KB/s", "module")
    return _table(head, [*rows, total])


def _sums(costs: Sequence[Cost]) -> tuple[float, float, float]:
    us = sum(cost.us_per_s for cost in costs)
    memory = sum(cost.memory for cost in costs)
    traffic = sum(cost.bytes_per_s for cost in costs)
    return us, memory, traffic


def _verdicts(costs: Sequence[Cost]) -> str:
    us, memory, traffic = _sums(costs)
    bare = max(cost.memory for cost in costs)
    rows = [
        _verdict("processor", us / 1e4, SIZE.control_core_share * 100, "% of a core"),
        _verdict("memory", memory / 2**20, SIZE.control_bytes / 2**20, "MB"),
        _verdict(
            "memory without the bare process",
            (memory - bare) / 2**20,
            SIZE.control_bytes / 2**20,
            "MB",
        ),
        _verdict("traffic", traffic / 1024, SIZE.control_bytes_per_s / 1024, "KB/s"),
    ]
    return _table(("of a node", "worked out", "bound", "verdict"), rows)


def _verdict(what: str, value: float, bound: float, unit: str) -> Sequence[str]:
    factor = value / bound
    word = "fits" if factor <= 1 else "**does not fit**"
    return what, f"{value:.1f} {unit}", f"{bound:.1f}", f"{word}, {factor:.2f} of it"


def _store_table(loads: Sequence[StoreLoad]) -> str:
    rows = [
        (
            load.mechanism,
            load.how,
            f"{load.reads:.1f}",
            f"{load.writes:.1f}",
            f"`{load.module}`",
        )
        for load in loads
    ]
    reads = sum(load.reads for load in loads)
    writes = sum(load.writes for load in loads)
    total = ("**together**", "", f"**{reads:.1f}**", f"**{writes:.1f}**", "")
    bound = (
        "bound",
        "",
        f"{SIZE.store_reads_per_s}",
        f"{SIZE.store_writes_per_s} (several hundred)",
        "",
    )
    head = ("mechanism", "how", "reads/s", "transactions/s", "module")
    return _table(head, [*rows, total, bound])


def _path_table(points: Sequence[PathPoint]) -> str:
    rows = [
        (
            f"{point.streams}",
            f"{point.first_p95_ms:.1f}",
            f"{point.gap_p95_ms:.1f}",
            f"{point.chunk_us:.0f}",
            f"{point.request_us:.0f}",
            f"{point.resident_mb:.0f}",
            f"{point.threads}",
        )
        for point in points
    ]
    head = (
        "streams",
        "first byte p95, ms",
        "gap p95, ms",
        "us a chunk",
        "us a request",
        "MB",
        "threads",
    )
    return _table(head, rows)


def _data_path_values(results: Results) -> dict[str, str]:
    most = max(results.path, key=lambda point: point.streams)
    least = min(results.path, key=lambda point: point.streams)
    chunks = SIZE.tokens_per_node_s * most.chunk_us / 1e4
    requests = SIZE.requests_per_node_s * most.request_us / 1e4
    growth = (most.resident_mb - least.resident_mb) * 1024
    per_stream = growth / (most.streams - least.streams)
    return {
        "measured_streams": f"{most.streams}",
        "chunk_core": f"{chunks:.0f}",
        "request_core": f"{requests:.1f}",
        "path_core": f"{chunks + requests:.0f}",
        "stream_kb": f"{per_stream:.0f}",
        "chunks_of_node": f"{SIZE.tokens_per_node_s:,.0f}",
        "requests_of_node": f"{SIZE.requests_per_node_s:.1f}",
        "streams_of_node": f"{SIZE.streams_per_node:.0f}",
        "path_mb": f"{most.resident_mb:.0f}",
    }


def _claim_values() -> dict[str, str]:
    per_node = FLEET_TRANSACTIONS_PER_S / SIZE.nodes
    zone_writers = SIZE.availability_zones * 2
    return {
        "keyed_share": f"{KEYED_SHARE:.0%}",
        "claim_rate": f"{FLEET_TRANSACTIONS_PER_S:.0f}",
        "claim_turn_s": f"{1 / per_node:.1f}",
        "claim_batch": f"{LARGEST_BATCH}",
        "claim_writers": f"{zone_writers}",
        "claim_funnel_ms": f"{1000 * zone_writers / FLEET_TRANSACTIONS_PER_S:.0f}",
    }


def _loss_values() -> dict[str, str]:
    left = SIZE.availability_zones - 1
    streams = SIZE.streams_per_node * SIZE.availability_zones / left
    tokens = SIZE.tokens_per_node_s * SIZE.availability_zones / left
    gone = SIZE.streams_per_node * SIZE.nodes_per_zone
    restarts = SECONDS_A_DAY / 60 / SIZE.restarts_per_day
    return {
        "loss_streams": f"{streams:.0f}",
        "loss_tokens": f"{tokens:,.0f}",
        "loss_gone": f"{gone:,.0f}",
        "restart_every_min": f"{restarts:.0f}",
        "restart_streams": f"{SIZE.streams_per_node:.0f}",
    }
