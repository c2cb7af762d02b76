"""The kinds of state, one a module; each registers itself."""

from . import (
    configuration,
    connectivity,
    doubt,
    endpoints,
    feed,
    limits,
    load,
    pulse,
    suspicion,
)

__all__ = [
    "configuration",
    "connectivity",
    "doubt",
    "endpoints",
    "feed",
    "limits",
    "load",
    "pulse",
    "suspicion",
]
