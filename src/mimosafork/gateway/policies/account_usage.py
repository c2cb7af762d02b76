"""Recent work of each client account at one service, with decay."""

from collections.abc import Collection
from datetime import timedelta
from math import exp

import msgspec

from ...ids import AccountId
from ...placement.fair_share import unpenalized_work

USAGE_SPAN = timedelta(seconds=10)
"""Work counts by a factor of e less after this time."""

FORGET_AFTER = 3 * USAGE_SPAN
"""An account that has placed nothing for this time no longer counts as a competitor."""

MAX_ACCOUNTS = 256
"""Accounts that are tracked for a service; further ones replace the least used."""

STEPS_PER_SHARE = 16
"""Steps in which the work beyond a share is compared. With whole shares, an account
somewhat beyond its share was ranked beside one that floods, and got a part by the
number of its calls."""

MAX_EXPONENT = 30.0
"""Growth of the weight of new work after which all work is rescaled."""


class AccountWork(msgspec.Struct):
    """Work of an account, in the scale of its service, and when it was last added."""

    work: float
    at: timedelta


class ServiceUsage:
    """Recent work of the accounts at one service.

    The weight of new work grows instead of that of old work shrinking, so that nothing
    is recalculated while time passes: only proportions are of interest.
    """

    def __init__(self, now: timedelta) -> None:
        self.by_account: dict[AccountId, AccountWork] = {}
        self.total = 0.0
        self.origin = now
        self.used_at = now

    def add(self, account: AccountId, work: float, now: timedelta) -> None:
        """Add work to an account; negative work is taken back."""
        self.used_at = now
        scaled = work * exp(self._exponent(now))
        known = self.by_account.get(account)
        if known is None:
            self._make_room(now)
            known = self.by_account[account] = AccountWork(0.0, now)
        # Work that is taken back has decayed less than what it was added to.
        scaled = max(scaled, -known.work)
        known.work += scaled
        known.at = now
        self.total += scaled

    def levels(
        self, waiting: Collection[AccountId], now: timedelta
    ) -> dict[AccountId, int]:
        """Return how far each waiting account is beyond its fair share.

        Returns
        -------
        dict of AccountId to int
            0 within the share; otherwise by how many steps it is beyond, so that of two
            large accounts the one with more work goes last.
        """
        self._forget_idle(now)
        accounts = len(self.by_account.keys() | set(waiting))
        share = unpenalized_work(self.total, accounts, 1 / accounts)
        if share <= 0.0:
            return dict.fromkeys(waiting, 0)
        return {
            account: level_of(self.by_account[account].work / share)
            if account in self.by_account
            else 0
            for account in waiting
        }

    def _exponent(self, now: timedelta) -> float:
        exponent = (now - self.origin) / USAGE_SPAN
        if exponent <= MAX_EXPONENT:
            return exponent
        factor = exp(-exponent)
        for each in self.by_account.values():
            each.work *= factor
        self.total = sum(each.work for each in self.by_account.values())
        self.origin = now
        return 0.0

    def _forget_idle(self, now: timedelta) -> None:
        idle = [
            account
            for account, each in self.by_account.items()
            if now - each.at > FORGET_AFTER
        ]
        for account in idle:
            self.total -= self.by_account.pop(account).work

    def _make_room(self, now: timedelta) -> None:
        if len(self.by_account) < MAX_ACCOUNTS:
            return
        self._forget_idle(now)
        if len(self.by_account) >= MAX_ACCOUNTS:
            least = min(self.by_account, key=lambda each: self.by_account[each].work)
            self.total -= self.by_account.pop(least).work


def level_of(shares: float) -> int:
    """Return by how many steps work is beyond the share; 0 within it."""
    return 1 + int((shares - 1.0) * STEPS_PER_SHARE) if shares > 1.0 else 0
