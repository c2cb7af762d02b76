"""The kinds of state, one a module; each registers itself."""

from . import (
    configuration,
    connectivity,
    crashes,
    doubt,
    endpoints,
    evacuations,
    feed,
    limits,
    load,
    pulse,
)

__all__ = [
    "configuration",
    "connectivity",
    "crashes",
    "doubt",
    "endpoints",
    "evacuations",
    "feed",
    "limits",
    "load",
    "pulse",
]
