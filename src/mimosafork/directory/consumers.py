"""Applies the pages that the followers read to the directory."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

from .messages import UpdateOrigin
from .row_version import RowVersion
from .rows import Row, RowPage

if TYPE_CHECKING:
    from .directory import Directory

MISSED_DETECTION_PROBABILITY = 0.001
"""Accepted probability that no instance detects in time that all connections stall."""
LONGEST_WAIT = timedelta(seconds=10)
"""Half of the store's history retention."""


def long_poll_wait(usual: timedelta, peers: int) -> timedelta:
    """Return the long poll timeout of the configuration for a number of peers.

    A stalled connection is detected when its long poll times out. If the connections
    of all instances stall at once, the first to detect it reads the configuration and
    sends it to its peers. The polls of the instances are spread over time, so with this
    timeout one of them detects it within the usual time, except with a probability of
    `MISSED_DETECTION_PROBABILITY`. Longer polls save calls to the store; with 64
    instances they save a share of 0.6.

    Parameters
    ----------
    usual : timedelta
        Timeout of an instance without peers.
    """
    if peers == 0:
        return usual
    found_by_one = 1.0 - MISSED_DETECTION_PROBABILITY ** (1.0 / (peers + 1))
    return min(usual / found_by_one, max(usual, LONGEST_WAIT))


class ConfigurationConsumer:
    """Applies the operator's rows to the directory.

    Evacuations are applied first: a configuration that begins to apply may let calls
    in.

    Parameters
    ----------
    directory : Directory
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether what is in force is newer than the page, or than a row of it."""
        if self.directory.evacuations.is_newer_than(page.version):
            return True
        known = self.directory.raw_configuration
        if known is None:
            return False
        rows = self.directory.split_rows(page.rows).configurations
        return any(row.version < known.version for row in rows)

    def apply_snapshot(self, page: RowPage) -> None:
        """Apply all rows.

        Zones without a row are not evacuated; without a configuration, the current one
        stays in force.
        """
        split = self.directory.split_rows(page.rows)
        versions = {
            zone: state.version for zone, state in split.zones if state.evacuated
        }
        for change in self.directory.evacuations.apply_read(versions, page.version):
            self.directory.publish_evacuation(change)
        self.apply_configurations(split.configurations)

    def apply_changes(self, page: RowPage) -> None:
        """Apply changed rows."""
        split = self.directory.split_rows(page.rows)
        evacuations = self.directory.evacuations
        for change in evacuations.apply_rows(split.zones, page.version):
            self.directory.publish_evacuation(change)
        self.apply_configurations(split.configurations)

    def apply_configurations(self, rows: Iterable[Row]) -> None:
        """Apply rows of the configuration."""
        for row in rows:
            self.directory.apply_configuration(row, UpdateOrigin.STORE)

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return a timeout that grows with the number of peers."""
        return long_poll_wait(usual, self.directory.peer_count())

    def apply_no_change(self, version: RowVersion) -> None:
        """Do nothing: peers' updates do not replace answers about the configuration."""

    @property
    def is_uncertain(self) -> bool:
        """Always False: the configuration has no uncertain state."""
        return False


class EndpointConsumer:
    """Applies the endpoints' rows to the directory.

    Parameters
    ----------
    directory : Directory
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether the known state of an endpoint is newer than its row."""
        return self.directory.endpoint_registry.is_newer_than(page.rows)

    def apply_snapshot(self, page: RowPage) -> None:
        """Apply all rows, and the removals implied by missing ones."""
        book = self.directory.endpoint_registry
        book.begin_era(page.version.era)
        self.apply_rows(page.rows + book.missing_from(page.rows, page.version))
        book.record_followed(page.version)

    def apply_changes(self, page: RowPage) -> None:
        """Apply changed rows."""
        self.apply_rows(page.rows)
        self.directory.endpoint_registry.record_followed(page.version)

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return the usual timeout, or the rest of an uncertain period if shorter.

        Guard: endpoints that are missing after an outage are resolved when an answer is
        applied. A long poll that outlasts the uncertain period would delay this by its
        whole timeout, and endpoints that left would get calls for seconds more.
        """
        if not self.directory.endpoint_registry.has_missing:
            return usual
        return min(usual, self.directory.health.uncertainty_left)

    def apply_no_change(self, version: RowVersion) -> None:
        """Advance the followed version and resolve missing endpoints."""
        self.directory.endpoint_registry.record_followed(version)
        self.directory.resolve_missing()

    @property
    def is_uncertain(self) -> bool:
        """Whether missing or reappeared rows are yet to be resolved."""
        book = self.directory.endpoint_registry
        return (
            book.has_missing
            or bool(book.removed.reappeared)
            or book.health.is_uncertain
        )

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows, then resolve missing endpoints."""
        for row in rows:
            self.directory.apply_endpoint(row, UpdateOrigin.STORE)
        self.directory.resolve_missing()
