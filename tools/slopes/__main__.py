"""Measure all slopes, print them and write docs/CAPACITY.md."""

import argparse
import logging
import sys
from collections.abc import Sequence

from benchmarks.path import Times
from benchmarks.path import run as run_path

from . import (
    call_probes,
    kernel_probes,
    page,
    peer_probes,
    platform_probes,
    results,
    store_probes,
)
from .budget import Direct
from .fit import REPEATS, Slope, fit
from .probe import PROBES

PATH_STREAMS = (50, 200, 400)
PROBE_MODULES = (
    call_probes,
    kernel_probes,
    peer_probes,
    platform_probes,
    store_probes,
)


def main(argv: Sequence[str] | None = None) -> int:
    """Measure, or write the page again from the last kept run.

    Returns
    -------
    int
        0 unless something could not be measured, which raises.
    """
    parser = argparse.ArgumentParser(prog="python -m tools.slopes", description=__doc__)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument(
        "--page-only", action="store_true", help="write the page from the kept run"
    )
    options = parser.parse_args(argv)
    if not options.page_only:
        results.save(measure(options.repeats))
    page.write(results.load())
    return 0


def measure(repeats: int) -> results.Results:
    """Run all probes and print each as it ends."""
    logging.disable(logging.INFO)
    slopes = {}
    for name, probe in PROBES.items():
        slopes[name] = fit(probe, repeats)
        print(line(slopes[name]))
        sys.stdout.flush()
    return results.Results(slopes, measure_direct(), measure_path())


def measure_direct() -> Direct:
    """Measure what is not a slope."""
    direct = Direct(
        gossip_bytes=peer_probes.whole_zone_bytes(),
        gossip_us=peer_probes.whole_zone_time(),
        bare_process=call_probes.bare_process_bytes(),
        load_probe_bytes=call_probes.load_report_bytes(),
    )
    print(f"gossip of a node at the design size: {direct.gossip_bytes:.0f} bytes/s")
    print(f"and its processor time: {direct.gossip_us:.0f} us/s")
    print(f"bare process: {direct.bare_process / 2**20:.1f} MB")
    return direct


def measure_path() -> list[results.PathPoint]:
    """Run the data path's benchmark through an entry instance."""
    lines = run_path(PATH_STREAMS, ("relay",), Times())
    return [
        results.PathPoint(
            streams=each.streams,
            first_p95_ms=each.first_p95_ms,
            gap_p95_ms=each.gap_p95_ms,
            chunk_us=each.chunk_cost_us,
            request_us=each.request_cost_us,
            resident_mb=each.resident_mb,
            threads=each.threads,
        )
        for each in lines
    ]


def line(slope: Slope) -> str:
    """Return a slope as a line of text."""
    return (
        f"{slope.name}: {slope.slope:.4g} {slope.unit} for one more of {slope.grows} "
        f"({slope.low:.4g} to {slope.high:.4g}), {slope.intercept:.4g} at none, "
        f"last step over first {slope.curvature:.2f}"
    )


if __name__ == "__main__":
    sys.exit(main())
