"""Log lines about accounts that are ranked behind others."""

from datetime import timedelta
from logging import getLogger

from ...ids import AccountId, ServiceId
from ...telemetry.catalogue.scheduling import ACCOUNT_RANKED_LAST, ACCOUNT_WITHIN_SHARE
from ...telemetry.logs import log_event

logger = getLogger(__name__)

LOG_INTERVAL = timedelta(seconds=10)
"""Shortest time between two lines that an account of a service is ranked last."""

MAX_LOGGED = 64
"""Accounts whose latest line is remembered; while there are as many, further accounts
are not logged."""


class ShareLog:
    """Logs when an account goes beyond its fair share while others wait, and the end.

    Attributes
    ----------
    behind : dict
        When each account of a service was logged, and last ranked behind others.
    """

    def __init__(self) -> None:
        self.behind: dict[tuple[ServiceId, AccountId], tuple[timedelta, timedelta]] = {}

    def ranked(
        self, service: ServiceId, levels: dict[AccountId, int], now: timedelta
    ) -> None:
        """Log the accounts that others go before from now on."""
        self._log_ends(now)
        if len(levels) <= 1:
            return
        lowest = min(levels.values())
        for account, level in levels.items():
            if level == lowest:
                continue
            key = (service, account)
            known = self.behind.get(key)
            if known is not None:
                self.behind[key] = (known[0], now)
            elif len(self.behind) < MAX_LOGGED:
                self.behind[key] = (now, now)
                log_event(
                    logger,
                    ACCOUNT_RANKED_LAST,
                    account=account,
                    service=service,
                    steps=level,
                    accounts=len(levels),
                )

    def behind_at(self, service: ServiceId) -> int:
        """Return the number of accounts that are ranked behind others at a service."""
        return sum(known == service for known, _ in self.behind)

    def _log_ends(self, now: timedelta) -> None:
        """Log the end of those that were not ranked behind others for a while."""
        for key, (since, latest) in list(self.behind.items()):
            if now - latest < LOG_INTERVAL:
                continue
            del self.behind[key]
            service, account = key
            log_event(
                logger,
                ACCOUNT_WITHIN_SHARE,
                account=account,
                service=service,
                for_ms=int((latest - since) / timedelta(milliseconds=1)),
            )
