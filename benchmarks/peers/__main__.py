"""``python -m benchmarks.peers``: the cost of the exchange, at the design size."""

import argparse
import gc
import statistics

from . import calls, memory, spread
from .zone import SimulatedZone, ZoneSize

WARM_UP_S = 30.0
MEASURED_S = 30.0
WORDS = 10


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=55)
    parser.add_argument("--endpoints", type=int, default=100)
    parser.add_argument("--zones", type=int, default=6)
    options = parser.parse_args()
    size = ZoneSize(options.zones, options.instances, options.endpoints)
    print(size)
    zone = SimulatedZone(size)
    listed = zone.listed()
    for node in zone.nodes.values():
        zone.tell(node, listed)
    zone.run(WARM_UP_S)
    zone.reset()
    # All nodes are in one process here; without this its collector would go over
    # the state of all of them on one node's time.
    gc.collect()
    gc.freeze()
    zone.run(MEASURED_S)
    show(zone)
    show_spread(zone)
    show_calls(calls.measure())
    probe = calls.measure_probe()
    print(
        f"one load probe: {probe.overhead_bytes:.0f} bytes, "
        f"{probe.segments:.1f} segments, {probe.processor_us:.0f} us of processor"
    )
    for row in [memory.exchanged_state(zone), *memory.measure()]:
        total = row.each * row.count / 1024
        print(f"{row.name:34} {row.each:9.0f} bytes, {row.count}: {total:8.0f} KiB")


def show(zone: SimulatedZone) -> None:
    """Print the cost a node and second."""
    usages = [node.usage for node in zone.nodes.values()]
    rows = {
        "payload bytes sent and received": [
            (each.sent + each.received) / MEASURED_S for each in usages
        ],
        "calls made and answered": [each.calls / MEASURED_S for each in usages],
        "exchange, ms of processor": [
            each.exchange_s / MEASURED_S * 1e3 for each in usages
        ],
        "kernel, ms of processor": [
            each.kernel_s / MEASURED_S * 1e3 for each in usages
        ],
    }
    for name, values in rows.items():
        print(
            f"{name:34} mean {statistics.mean(values):9.2f}"
            f"  most {max(values):9.2f} a second"
        )
    for name, times in sorted(zone.published.items()):
        rate = len(times) / MEASURED_S
        print(f"published in the zone: {name:30} {rate:8.2f} a second")


def show_spread(zone: SimulatedZone) -> None:
    """Print how fresh what the instances know is."""
    for name, own_zone in (("the zone", True), ("other zones", False)):
        age = spread.ages(zone, own_zone)
        print(
            f"age of load of {name}: median {age.median:.1f} s, "
            f"95 of 100 {age.p95:.1f} s, most {age.most:.1f} s"
        )
    words = [spread.word_spread_s(zone, number) for number in range(WORDS)]
    print(
        f"a drain is known to all instances of the zone after: median "
        f"{statistics.median(words):.1f} s, most {max(words):.1f} s of {WORDS}"
    )


def show_calls(cost: calls.CallCost) -> None:
    """Print the cost of one call beside its payload."""
    headers = cost.segments * calls.TCP_IP_HEADER_BYTES
    print(
        f"one call: {cost.overhead_bytes:.0f} bytes beside its messages, "
        f"{cost.segments:.1f} segments ({headers:.0f} bytes of headers), "
        f"{cost.processor_us:.0f} us of processor on both sides together"
    )


if __name__ == "__main__":
    main()
