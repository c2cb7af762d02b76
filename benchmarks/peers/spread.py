"""How old what instances know is, and how fast a word is known to all."""

from dataclasses import dataclass

from .zone import SimulatedZone, endpoint_name, zone_name

LONGEST_S = 30.0
STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Ages:
    """Ages in seconds of the load that instances know of endpoints."""

    median: float
    p95: float
    most: float


def ages(zone: SimulatedZone, own_zone: bool) -> Ages:
    """Return the ages over all instances and endpoints, of one zone or the others."""
    now = zone.clock.monotonic()
    found = sorted(
        (now - endpoint.reported_at).total_seconds()
        for node in zone.nodes.values()
        if node.kernel is not None
        for endpoint in node.kernel.state.fleet.endpoints.values()
        if endpoint.report is not None
        and (endpoint.entry.availability_zone == zone_name(0)) == own_zone
    )
    count = len(found)
    return Ages(found[count // 2], found[int(count * 0.95)], found[-1])


def word_spread_s(zone: SimulatedZone, number: int) -> float:
    """Return how long it takes until all know that an endpoint drains."""
    endpoint = endpoint_name(0, number)
    zone.draining.add(endpoint)
    passed_s = 0.0
    while passed_s < LONGEST_S:
        zone.run(STEP_S)
        passed_s += STEP_S
        known = [
            node.kernel.state.fleet.endpoints[endpoint].draining
            for node in zone.nodes.values()
            if node.kernel is not None
        ]
        if all(known):
            return passed_s
    raise AssertionError(f"not known to all after {LONGEST_S} s")
