"""Logs changes of endpoint health, once per change."""

import logging
from datetime import timedelta
from typing import Protocol

import msgspec

from ...routing.listing import ListedEndpoint
from ...telemetry.catalogue.gateway import (
    ENDPOINT_BACK,
    ENDPOINT_LEFT_ALONE,
    ENDPOINT_OUT,
    ENDPOINT_SUSPECTED,
)
from ...telemetry.logs import log_event

logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)


class LoggedHealth(Protocol):
    """Fields of an endpoint's health that are logged."""

    listed: ListedEndpoint
    unusable_until: timedelta
    suspect_until: timedelta
    misses: int
    failure_rate: float
    suspected_at: timedelta | None

    def usable(self, now: timedelta) -> bool:
        """Return whether the endpoint may receive new requests."""

    def suspect(self, now: timedelta) -> bool:
        """Return whether the endpoint is used only as a last resort."""


class HealthStatus(msgspec.Struct, frozen=True):
    """Health of an endpoint at one moment, for comparison after an update."""

    usable: bool
    suspect: bool

    @classmethod
    def of(cls, known: LoggedHealth, now: timedelta) -> "HealthStatus":
        """Return the current status of an endpoint."""
        return cls(known.usable(now), known.suspect(now))


def log_suspicion(
    known: LoggedHealth, before: HealthStatus, why: str, now: timedelta
) -> None:
    """Log that an endpoint became ejected or suspected.

    Parameters
    ----------
    before : HealthStatus
        Status before the outcome of the attempt was recorded.
    why : str
        Outcome of the attempt.
    """
    after = HealthStatus.of(known, now)
    if before.usable and not after.usable:
        event, until = ENDPOINT_LEFT_ALONE, known.unusable_until
    elif after.suspect and not before.suspect:
        event, until = ENDPOINT_SUSPECTED, known.suspect_until
    else:
        return
    if known.suspected_at is None:
        known.suspected_at = now
    log_event(
        logger,
        event,
        endpoint=known.listed.endpoint,
        service=known.listed.service,
        why=why,
        for_ms=(until - now) // MILLISECOND,
        misses=known.misses,
        failure_rate=round(known.failure_rate, 2),
    )


def log_reinstated(known: LoggedHealth, now: timedelta) -> None:
    """Log that a suspected endpoint is healthy again."""
    if known.suspected_at is None or not known.usable(now) or known.suspect(now):
        return
    log_event(
        logger,
        ENDPOINT_BACK,
        endpoint=known.listed.endpoint,
        service=known.listed.service,
        after_ms=(now - known.suspected_at) // MILLISECOND,
        failure_rate=round(known.failure_rate, 2),
    )
    known.suspected_at = None


def log_ejected(known: LoggedHealth, final: bool) -> None:
    """Log that an endpoint receives no new requests any more.

    Parameters
    ----------
    final : bool
        Whether this holds until the endpoint is restarted.
    """
    log_event(
        logger,
        ENDPOINT_OUT,
        endpoint=known.listed.endpoint,
        service=known.listed.service,
        final=final,
    )
