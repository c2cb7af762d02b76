"""Contents that are quarantined, and the trials by which quarantines end."""

from collections import OrderedDict
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum

import msgspec
from msgspec.structs import replace

from ..ids import AccountId, Digest, RequestId
from ..kernel.messages.crashes import Quarantine
from ..kernel.messages.problems import Problem, ProblemCode

QUARANTINE_TIME = timedelta(minutes=10)
"""Duration of the first quarantine of a content; each further one is twice as long."""

MAX_QUARANTINE_TIME = timedelta(hours=1)
TRIAL_TIME = timedelta(seconds=30)
"""Time between two trials of a content, of which each may crash an endpoint."""

MAX_QUARANTINES = 256
ACCOUNTS_FOR_ALL = 2
"""A content that crashed endpoints for so many accounts is refused to all. The requests
of one account must not have a part refused to the others that use it."""

SAME_DECISION = timedelta(milliseconds=500)
"""Tolerance of the time of a decision that several instances have published."""


class QuarantineState(Enum):
    """State of a content."""

    CLEAR = "clear"
    QUARANTINED = "quarantined"
    TRIAL = "trial"
    """Its time is over: single requests are admitted until one succeeds or crashes."""


class Trial(msgspec.Struct, frozen=True):
    """The latest request that was admitted as a trial."""

    request_id: RequestId
    at: timedelta


class QuarantineRegister:
    """The latest decision on each content.

    Attributes
    ----------
    decisions : OrderedDict of Digest to Quarantine
        Those that were lifted as well, as an older decision may be received later.
    rank : callable
        Returns the rank of this instance among all for a content; that of rank 0 admits
        trials.
    """

    def __init__(self) -> None:
        self.decisions: OrderedDict[Digest, Quarantine] = OrderedDict()
        self.trials: dict[Digest, Trial] = {}
        self.rank: Callable[[Digest], int] = lambda content: 0

    def state(self, content: Digest, now: timedelta) -> QuarantineState:
        """Return the state of a content."""
        known = self.decisions.get(content)
        if known is None or known.lifted:
            return QuarantineState.CLEAR
        if now < known.until:
            return QuarantineState.QUARANTINED
        if now < known.until + MAX_QUARANTINE_TIME:
            return QuarantineState.TRIAL
        return QuarantineState.CLEAR

    def decide(
        self,
        content: Digest,
        accounts: frozenset[AccountId],
        crashes: int,
        now: timedelta,
    ) -> Quarantine | None:
        """Quarantine a content; return the decision, None if nothing changes.

        A further crash changes the decision only if it comes from a new account, or
        from a trial.
        """
        known = self.decisions.get(content)
        state = self.state(content, now)
        level = 0
        if known is not None and state is not QuarantineState.CLEAR:
            merged = merged_accounts(known.accounts, accounts)
            if state is QuarantineState.QUARANTINED:
                if merged == known.accounts:
                    return None
                return self._put(replace(known, accounts=merged, decided_at=now))
            level, accounts = known.level + 1, frozenset(merged)
        duration = min(MAX_QUARANTINE_TIME, QUARANTINE_TIME * 2**level)
        return self._put(
            Quarantine(
                content,
                merged_accounts((), accounts),
                decided_at=now,
                until=now + duration,
                level=level,
                crashes=crashes,
            )
        )

    def lift(self, content: Digest, now: timedelta) -> Quarantine | None:
        """End a quarantine; return the decision, None if there was none."""
        known = self.decisions.get(content)
        if known is None or known.lifted:
            return None
        return self._put(replace(known, decided_at=now, until=now, lifted=True))

    def receive(self, decision: Quarantine) -> Quarantine | None:
        """Apply a decision of a peer; return the result, None if nothing changes."""
        known = self.decisions.get(decision.content)
        if known is None:
            return None if decision.lifted else self._put(decision)
        difference = decision.decided_at - known.decided_at
        if abs(difference) <= SAME_DECISION and known.lifted == decision.lifted:
            merged = merged_accounts(known.accounts, frozenset(decision.accounts))
            level = max(known.level, decision.level)
            if merged == known.accounts and level == known.level:
                return None
            return self._put(replace(known, accounts=merged, level=level))
        return self._put(decision) if difference > timedelta(0) else None

    def objection(
        self,
        content: Digest,
        account: AccountId,
        request_id: RequestId,
        now: timedelta,
    ) -> Problem | None:
        """Return the problem of a request with a content; None if it may be sent."""
        state = self.state(content, now)
        if state is QuarantineState.CLEAR:
            return None
        known = self.decisions[content]
        if not applies_to(known, account):
            return None
        if state is QuarantineState.TRIAL and self._admit(content, request_id, now):
            return None
        retry_after = max(known.until - now, TRIAL_TIME)
        detail = f"{content} crashed {known.crashes} endpoints"
        return Problem(ProblemCode.QUARANTINED, detail, retry_after)

    def _admit(self, content: Digest, request_id: RequestId, now: timedelta) -> bool:
        latest = self.trials.get(content)
        if latest is not None:
            if latest.request_id == request_id:
                return True
            if now - latest.at < TRIAL_TIME:
                return False
        if self.rank(content) > 0:
            return False
        self.trials[content] = Trial(request_id, now)
        return True

    def _put(self, decision: Quarantine) -> Quarantine:
        self.decisions[decision.content] = decision
        self.decisions.move_to_end(decision.content)
        self.trials.pop(decision.content, None)
        while len(self.decisions) > MAX_QUARANTINES:
            content, _ = self.decisions.popitem(last=False)
            self.trials.pop(content, None)
        return decision


def is_forgotten(until: datetime, now: datetime) -> bool:
    """Return whether a stored decision has ended so long ago that it means nothing."""
    return now >= until + MAX_QUARANTINE_TIME


def applies_to(decision: Quarantine, account: AccountId) -> bool:
    """Return whether a decision concerns the requests of an account."""
    if not decision.accounts or len(decision.accounts) >= ACCOUNTS_FOR_ALL:
        return True
    return account in decision.accounts


def merged_accounts(
    known: tuple[AccountId, ...], more: frozenset[AccountId]
) -> tuple[AccountId, ...]:
    """Return at most as many accounts as it takes to refuse all."""
    added = [*known, *sorted(more - set(known))]
    return tuple(added[:ACCOUNTS_FOR_ALL])
