"""The size to design for, from the users' first letter, and what follows from it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DesignSize:
    """The size in two years.

    Attributes
    ----------
    control_core_share, control_bytes, control_bytes_per_s
        What one node may spend on control.
    store_writes_per_s, store_reads_per_s
        What the platform's table service takes, all nodes together.
    """

    nodes: int = 330
    endpoints: int = 600
    accelerators: int = 4_800
    requests_per_s: int = 6_300
    tokens_per_s: int = 2_100_000
    accounts: int = 2_100
    models: int = 6
    regions: int = 3
    availability_zones: int = 6
    changes_per_day: int = 1_300
    change_in_force_s: float = 11.0
    failures_per_day: int = 8
    restarts_per_day: int = 88
    control_core_share: float = 0.042
    control_bytes: int = 64 * 1024 * 1024
    control_bytes_per_s: int = 27 * 1024
    store_writes_per_s: int = 300
    store_reads_per_s: int = 2_000

    @property
    def requests_per_node_s(self) -> float:
        """Requests a second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node_s(self) -> float:
        """Answer tokens a second through one node."""
        return self.tokens_per_s / self.nodes

    @property
    def streams_per_node(self) -> float:
        """Streams held at once by one node, a token every 67 ms each."""
        return self.tokens_per_node_s * 0.067

    @property
    def endpoints_per_zone(self) -> float:
        """Endpoints of one availability zone."""
        return self.endpoints / self.availability_zones

    @property
    def nodes_per_zone(self) -> float:
        """Entry instances of one availability zone."""
        return self.nodes / self.availability_zones
