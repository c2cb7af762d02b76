"""The two deployments of today, as the benchmark sees them."""

from dataclasses import dataclass, field

from .fake_engine import EngineModel


@dataclass(frozen=True, slots=True)
class Weights:
    """What a deployment's score is made of; the parts add up to one.

    Attributes
    ----------
    short_slowdown, long_first_token, goodput : float
    """

    short_slowdown: float
    long_first_token: float
    goodput: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment.

    Attributes
    ----------
    zone_s : float
        One way between two availability zones, in seconds.
    client_s : float
        One way between a client and its entry instance.
    accounts : tuple of float
        Part of the traffic that each account sends, the largest first.
    long_share : float
        The one setting that trades short against long prompts.
    """

    name: str
    engines: int
    services: int
    entry_instances: int
    zone_s: float
    client_s: float
    accounts: tuple[float, ...]
    long_share: float
    weights: Weights
    zones: int = 3
    inside_zone_s: float = 0.00015
    engine: EngineModel = field(default_factory=EngineModel)

    def zone_of(self, index: int) -> str:
        """Return the availability zone of the so-manieth instance or endpoint."""
        return f"az-{index % self.zones + 1}"

    def one_way_s(self, zone: str, other: str) -> float:
        """Return the time that bytes take between two availability zones."""
        return self.inside_zone_s if zone == other else self.zone_s


VOCES = Deployment(
    name="Voces",
    engines=14,
    services=3,
    entry_instances=8,
    zone_s=0.001,
    client_s=0.002,
    accounts=(0.34, 0.24, 0.15, 0.08, 0.06, 0.04, 0.03, 0.03, 0.02, 0.01),
    long_share=0.6,
    weights=Weights(short_slowdown=0.3, long_first_token=0.5, goodput=0.2),
)

DALA = Deployment(
    name="Dala",
    engines=16,
    services=3,
    entry_instances=8,
    zone_s=0.0003,
    client_s=0.0015,
    accounts=(0.30, 0.25, 0.16, 0.09, 0.06, 0.05, 0.03, 0.03, 0.02, 0.01),
    long_share=0.4,
    weights=Weights(short_slowdown=0.5, long_first_token=0.3, goodput=0.2),
)

DEPLOYMENTS = (VOCES, DALA)
