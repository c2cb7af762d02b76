"""Small stand-ins for the outside systems, as docs/PLATFORM.md describes them."""

from .base import Standin
from .engine import (
    EngineSettings,
    EngineStandin,
    FencingMode,
    ModelSpec,
    count_tokens,
    expected_answer,
    prefix_marks,
)
from .instances import InstanceListStandin
from .objects import ObjectStandin
from .service import ServiceSettings, ServiceStandin
from .table import TableLimits, TableStandin

__all__ = [
    "EngineSettings",
    "EngineStandin",
    "FencingMode",
    "InstanceListStandin",
    "ModelSpec",
    "ObjectStandin",
    "ServiceSettings",
    "ServiceStandin",
    "Standin",
    "TableLimits",
    "TableStandin",
    "count_tokens",
    "expected_answer",
    "prefix_marks",
]
