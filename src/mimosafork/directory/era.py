"""The era of the store: how often it has been restored from a copy."""

import logging
from collections.abc import Callable

from ..telemetry.catalogue.directory import STORE_RESTORED
from ..telemetry.logs import log_event
from .row_version import RowVersion

logger = logging.getLogger(__name__)


class StoreEra:
    """The latest era that the store's answers have stated to this instance.

    Attributes
    ----------
    current : int or None
        None before the first answer.
    listeners : list of callable
        Called with each later era, on the loop of the followers.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.listeners: list[Callable[[int], None]] = []

    def observe(self, version: RowVersion, known: RowVersion) -> None:
        """Record the era of an answer.

        Parameters
        ----------
        version : RowVersion
            Newest version of the store.
        known : RowVersion
            Newest version that was known before.
        """
        before, era = self.current, version.era
        if before is not None and era <= before:
            return
        self.current = era
        if before is None:
            return
        log_event(
            logger,
            STORE_RESTORED,
            era=era,
            before=before,
            version=version.number,
            known=known.number,
        )
        for listener in self.listeners:
            listener(era)
