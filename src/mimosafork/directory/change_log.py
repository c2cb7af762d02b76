"""Logs changes of the configuration and the endpoints."""

import logging
from datetime import timedelta

from ..routing.changes import TableChanges
from ..telemetry.catalogue.directory import (
    ENDPOINT_DRAINING,
    ENDPOINT_GONE,
    ENDPOINT_HELD,
    ENDPOINT_LISTED,
    ENTRY_UNREADABLE,
    EVACUATION_ENDED,
    EVACUATION_STARTED,
    TABLE_KEPT,
    TABLE_TAKEN,
)
from ..telemetry.logs import log_event
from .current_table import TableKept
from .errors import UnreadableRowError
from .follower import MILLISECOND
from .messages import (
    DirectoryEntry,
    EndpointChanged,
    EndpointState,
    EvacuationChanged,
    TableChanged,
    UpdateOrigin,
)
from .rows import Row

logger = logging.getLogger(__name__)

MAX_FIELD_CHARS = 300
"""Maximum length of a log field whose content comes from a row."""

HELD = "held"
"""State name of an endpoint that stays in use although its row is missing."""


def log_table(changed: TableChanged, silence: timedelta | None) -> None:
    """Log a configuration change.

    Parameters
    ----------
    silence : timedelta or None
        Time since the store's last answer about the configuration.
    """
    before = changed.before
    log_event(
        logger,
        TABLE_TAKEN,
        version=changed.table.version,
        source=changed.origin.value,
        before=None if before is None else before.version,
        changes=TableChanges(before, changed.table),
        age_ms=None if silence is None else silence // MILLISECOND,
    )


def log_kept(kept: TableKept, row: Row, origin: UpdateOrigin) -> None:
    """Log that the configuration in force is kept although the store holds another."""
    log_event(
        logger,
        TABLE_KEPT,
        version=kept.stored,
        source=origin.value,
        kept=kept.kept,
        why=kept.reason.value,
        era=row.version.era,
    )


def log_evacuation(changed: EvacuationChanged, silence: timedelta | None) -> None:
    """Log that the evacuation of a zone has begun or ended.

    Parameters
    ----------
    silence : timedelta or None
        Time since the store's last answer about the operator's rows.
    """
    age = silence if changed.origin is UpdateOrigin.STORE else changed.age
    log_event(
        logger,
        EVACUATION_STARTED if changed.evacuated else EVACUATION_ENDED,
        zone=truncate_field(changed.zone),
        source=changed.origin.value,
        version=changed.version.number,
        era=changed.version.era,
        age_ms=None if age is None else age // MILLISECOND,
    )


def log_endpoint(changed: EndpointChanged) -> None:
    """Log the new state of an endpoint."""
    entry = changed.entry
    if entry.state is EndpointState.GONE:
        event = ENDPOINT_GONE
    elif entry.state is EndpointState.DRAINING:
        event = ENDPOINT_DRAINING
    elif entry.missing_version is not None:
        event = ENDPOINT_HELD
    else:
        event = ENDPOINT_LISTED
    log_event(
        logger,
        event,
        endpoint=changed.endpoint,
        service=entry.listed.service,
        address=entry.listed.address,
        source=changed.origin.value,
        zone=entry.listed.zone,
        before=None if changed.before is None else state_name(changed.before),
    )


def state_name(entry: DirectoryEntry) -> str:
    """Return the name of an endpoint's state."""
    return HELD if entry.missing_version is not None else entry.state.value


def log_unreadable(row: Row, origin: UpdateOrigin, error: UnreadableRowError) -> None:
    """Log a row that cannot be decoded."""
    log_event(
        logger,
        ENTRY_UNREADABLE,
        version=row.version.number,
        era=row.version.era,
        row=truncate_field(row.key),
        source=origin.value,
        why=truncate_field(str(error)),
    )


def truncate_field(text: str) -> str:
    """Return a text truncated to the maximum length of a log field."""
    return text if len(text) <= MAX_FIELD_CHARS else f"{text[:MAX_FIELD_CHARS]}..."
