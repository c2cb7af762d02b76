"""What one run of the tool has measured, and how it is kept."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from .budget import Direct
from .fit import Slope

ROOT = Path(__file__).resolve().parents[2]
MEASURED = ROOT / "docs" / "capacity" / "measured.json"


@dataclass(frozen=True, slots=True)
class PathPoint:
    """The data path at one number of streams held, through one entry instance.

    Attributes
    ----------
    first_p95_ms, gap_p95_ms : float
        First byte of a new request, and time between two chunks.
    chunk_us, request_us : float
        Processor time of a chunk and of a short request.
    """

    streams: int
    first_p95_ms: float
    gap_p95_ms: float
    chunk_us: float
    request_us: float
    resident_mb: float
    threads: int


@dataclass(frozen=True, slots=True)
class Results:
    """All measurements of one run."""

    slopes: dict[str, Slope]
    direct: Direct
    path: list[PathPoint]


def save(results: Results) -> None:
    """Write the results to ``docs/capacity/measured.json``."""
    MEASURED.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=2)
    MEASURED.write_bytes(encoded + b"\n")


def load() -> Results:
    """Read the results of the last run that was kept."""
    return msgspec.json.decode(MEASURED.read_bytes(), type=Results)
