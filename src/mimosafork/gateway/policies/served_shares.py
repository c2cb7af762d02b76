"""How often the calls of each account and kind were placed recently."""

from math import inf
from typing import NamedTuple

import msgspec

from ...ids import AccountId

HALVE_AT = 512
"""Calls after which all numbers are halved, so that the latest count most."""

ASSUMED_CALLS = 2.0
"""Calls with the usual result that are added to those of a group: a few calls say
little, and a rare kind without any would seem to be starved."""

STARVED = 0.5
"""Accounts and kinds that are placed less often than this part of all calls go first
among overdue calls, so that they are served more than a quarter as often."""

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

    def share(self, expected: float) -> float:
        """Return the share that was placed; the expected one before any call."""
        calls = self.ended + ASSUMED_CALLS
        return (self.placed + expected * ASSUMED_CALLS) / calls


NO_CALLS = GroupCalls()


class ServedShares:
    """Shares of the calls that were placed, by account and by kind."""

    def __init__(self) -> None:
        self.groups: dict[AccountId | CallKind, GroupCalls] = {}
        self.all = GroupCalls()
        self.calls = 0

    def count(self, account: AccountId, kind: CallKind, placed: bool) -> None:
        """Count a call that has left the queue."""
        groups = (account, kind)
        of_groups = [self.groups.setdefault(each, GroupCalls()) for each in groups]
        for calls in (self.all, *of_groups):
            calls.ended += 1.0
            calls.placed += placed
        self.calls += 1
        if self.calls >= HALVE_AT:
            self._halve()

    def starvation(self, account: AccountId, kind: CallKind) -> float:
        """Return how often a call's account or kind is placed, compared with all calls.

        Returns
        -------
        float
            Share of the less often placed of the two, relative to that of all calls;
            infinite unless it is below `STARVED`.
        """
        overall = self.all.share(1.0)
        least = min(
            self.groups.get(group, NO_CALLS).share(overall) for group in (account, kind)
        )
        return least / overall if least < STARVED * overall else inf

    def _halve(self) -> None:
        self.calls = 0
        self.all.ended /= 2
        self.all.placed /= 2
        for group, calls in list(self.groups.items()):
            calls.ended /= 2
            calls.placed /= 2
            if calls.ended < MIN_KEPT:
                del self.groups[group]
