"""Log lines about endpoints that may be cold."""

from collections import Counter
from collections.abc import Mapping
from logging import getLogger

from ...ids import EndpointId
from ...telemetry.catalogue.cold_endpoints import (
    COLD_BOUND_ENFORCED,
    COLD_BOUND_LIFTED,
)
from ...telemetry.logs import log_event
from .cold_endpoint import ColdReason

logger = getLogger(__name__)

MAX_NAMES = 20
"""Endpoints that a line names; all of them may change at the same time."""


class ColdLog:
    """Logs for which endpoints the bound is enforced, as changes since the last time.

    Attributes
    ----------
    enforced : mapping of EndpointId to ColdReason
        As of the last line.
    """

    def __init__(self) -> None:
        self.enforced: Mapping[EndpointId, ColdReason] = {}

    def update(self, enforced: Mapping[EndpointId, ColdReason]) -> None:
        """Log what has changed, in at most one line for each direction."""
        begun = sorted(enforced.keys() - self.enforced.keys())
        ended = sorted(self.enforced.keys() - enforced.keys())
        self.enforced = enforced
        if begun:
            reasons = Counter(enforced[each].value for each in begun)
            log_event(
                logger,
                COLD_BOUND_ENFORCED,
                count=len(begun),
                endpoints=",".join(begun[:MAX_NAMES]),
                reasons=", ".join(
                    f"{name} {reasons[name]}" for name in sorted(reasons)
                ),
            )
        if ended:
            log_event(
                logger,
                COLD_BOUND_LIFTED,
                count=len(ended),
                endpoints=",".join(ended[:MAX_NAMES]),
            )
