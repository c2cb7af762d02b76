"""How often the calls of each account and kind were placed recently."""

from typing import NamedTuple

import msgspec

from ...ids import AccountId

HALVE_AT = 512
"""Calls after which all numbers are halved, so that the latest count most."""

MIN_KEPT = 0.25
"""Groups with fewer calls than this are forgotten when the numbers are halved. A call
belongs to two groups, and one call alone is forgotten with the third halving, so that
there are at most 6 x `HALVE_AT` groups."""


class CallKind(NamedTuple):
    """Calls of one priority and lane."""

    priority: int
    lane: str


class GroupCalls(msgspec.Struct):
    """Numbers of calls of a group that left the queue, and that were placed."""

    ended: float = 0.0
    placed: float = 0.0

    @property
    def share(self) -> float:
        """Share that was placed; 0 before any call."""
        return self.placed / self.ended if self.ended else 0.0


class ServedShares:
    """Shares of the calls that were placed, by account and by kind."""

    def __init__(self) -> None:
        self.groups: dict[AccountId | CallKind, GroupCalls] = {}
        self.calls = 0

    def count(self, account: AccountId, kind: CallKind, placed: bool) -> None:
        """Count a call that has left the queue."""
        for group in (account, kind):
            calls = self.groups.setdefault(group, GroupCalls())
            calls.ended += 1.0
            calls.placed += placed
        self.calls += 1
        if self.calls >= HALVE_AT:
            self._halve()

    def share(self, account: AccountId, kind: CallKind) -> float:
        """Return the share of the less often placed group of a call."""
        known = (self.groups.get(account), self.groups.get(kind))
        return min(0.0 if each is None else each.share for each in known)

    def _halve(self) -> None:
        self.calls = 0
        for group, calls in list(self.groups.items()):
            calls.ended /= 2
            calls.placed /= 2
            if calls.ended < MIN_KEPT:
                del self.groups[group]
