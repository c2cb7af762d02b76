"""Stand-in for a model engine that batches continuously."""

from .answers import count_tokens, expected_answer, prefix_marks
from .settings import EngineSettings, FencingMode, ModelSpec
from .standin import EngineStandin

__all__ = [
    "EngineSettings",
    "EngineStandin",
    "FencingMode",
    "ModelSpec",
    "count_tokens",
    "expected_answer",
    "prefix_marks",
]
