"""Messages about crashes, as peers publish them."""

from collections.abc import Iterable
from datetime import timedelta

from mimosafork.ids import AccountId, Digest, EndpointId
from mimosafork.kernel.messages.crashes import (
    InterruptedRun,
    PeerRunInterrupted,
    RunPhase,
)

ACCOUNT = AccountId("account-a")
MOMENT = timedelta(milliseconds=1)


def interrupted(
    content: Digest,
    at: timedelta,
    parts: tuple[Digest, ...] = (),
    phase: RunPhase = RunPhase.PENDING,
    account: AccountId = ACCOUNT,
    ran: timedelta = MOMENT,
) -> InterruptedRun:
    """Return a run that ended at an instant, some time after it was sent."""
    return InterruptedRun(content, account, parts, phase, at - ran, at)


def peer_crashes(
    content: Digest, endpoints: Iterable[str], at: timedelta
) -> list[PeerRunInterrupted]:
    """Return the reports of a peer that a content has crashed endpoints."""
    return [
        PeerRunInterrupted(EndpointId(name), interrupted(content, at))
        for name in sorted(endpoints)
    ]
