"""The plug-ins that ship with the product; importing this registers them all."""

from . import (
    admission,
    baselines,
    cache_index,
    claims,
    endpoint_words,
    membership,
    model_rights,
    priorities,
    quarantine,
    recovery,
    reporting,
    retry,
    rollout,
)

__all__ = [
    "DEFAULT_PLUGINS",
    "admission",
    "baselines",
    "cache_index",
    "claims",
    "endpoint_words",
    "membership",
    "model_rights",
    "priorities",
    "quarantine",
    "recovery",
    "reporting",
    "retry",
    "rollout",
]

DEFAULT_PLUGINS = (
    "known-target",
    "model-rights",
    "claims",
    "attach-to-run",
    "answer-keeper",
    "least-requests",
    "bounded-retry",
    "first-come",
    "membership",
    "endpoint-words",
    "cache-index",
    "rollout",
    "recovery",
    "quarantine",
    "sole-run",
    "reporting",
)
"""Names of the plug-ins that a server runs unless its settings say otherwise."""
