"""The kinds of state, one a module; each registers itself."""

from . import configuration, doubt, endpoints, load, pulse, spending, suspicion

__all__ = [
    "configuration",
    "doubt",
    "endpoints",
    "load",
    "pulse",
    "spending",
    "suspicion",
]
