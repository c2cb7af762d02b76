"""Kernels with the claim plug-ins, and what the claim adapter would tell them."""

from collections.abc import Sequence
from contextlib import AbstractContextManager
from datetime import timedelta
from typing import Any

from mimosafork.ids import ClaimId, Digest, Incarnation, InstanceId, RequestId, StreamId
from mimosafork.kernel.context import Context
from mimosafork.kernel.messages.attempts import AttemptFailed
from mimosafork.kernel.messages.claims import (
    Claim,
    ClaimLost,
    ClaimTimedOut,
    ClaimUnavailable,
    ClaimWon,
    StreamLocation,
    StreamSearched,
    WriteClaim,
)
from mimosafork.kernel.messages.requests import Repeatability, Request
from mimosafork.kernel.plugins import Plugin, RetryDecision, RetryLater, RetryPolicy
from mimosafork.kernel.records import RequestRecord
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.claims.attach import AttachToRun
from mimosafork.policies.claims.closing import AnswerKeeper
from mimosafork.policies.claims.stage import ClaimStage
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from tests.support.kernels import Bench, engine_entry, model_request, running_kernel

ONCE = Repeatability.NON_IDEMPOTENT
BODY = Digest("body-of-key")
OTHER_OWNER = InstanceId("i2")


class CarelessRetry(RetryPolicy):
    """Repeats everything at once, whatever it is."""

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Repeat."""
        return RetryLater(timedelta(0))


def claim_plugins(retry: RetryPolicy | None = None) -> list[Plugin]:
    """Return the plug-ins of a kernel that claims keys."""
    return [
        KnownTarget(),
        ClaimStage(),
        AttachToRun(),
        AnswerKeeper(),
        LeastRequests(),
        retry or BoundedRetry(),
        FirstCome(),
    ]


def claiming_kernel(
    endpoints: Sequence[str] = ("e1", "e2"), retry: RetryPolicy | None = None
) -> AbstractContextManager[Bench]:
    """Give a kernel that claims keys, with idle engines."""
    entries = [engine_entry(name) for name in endpoints]
    return running_kernel(claim_plugins(retry), entries)


def once(name: str, key: str | None = "key", **changes: object) -> Request:
    """Return a non-idempotent request."""
    fields: dict[str, Any] = {"body_digest": BODY, "idempotency_key": key}
    return model_request(name, repeatability=ONCE, **(fields | changes))


def keyed(name: str, key: str = "key", **changes: object) -> Request:
    """Return an idempotent request with a key."""
    fields: dict[str, Any] = {"body_digest": BODY, "idempotency_key": key}
    return model_request(name, **(fields | changes))


def written(bench: Bench, name: str) -> WriteClaim:
    """Return the newest claim that was written for a request."""
    found = [each for each in bench.emitted(WriteClaim) if each.request_id == name]
    return found[-1]


def won(bench: Bench, name: str) -> ClaimWon:
    """Return the store's word that a request's claim holds."""
    effect = written(bench, name)
    return ClaimWon(
        RequestId(name), effect.claim.claim_id, generation=effect.claim.generation
    )


def unavailable(bench: Bench, name: str) -> ClaimUnavailable:
    """Return the word that the store can't be asked."""
    return ClaimUnavailable(RequestId(name), written(bench, name).claim.claim_id)


def overdue(bench: Bench, name: str) -> ClaimTimedOut:
    """Return the timer of a claim that the store says nothing about."""
    return ClaimTimedOut(RequestId(name), written(bench, name).claim.claim_id)


def lost(bench: Bench, name: str, existing: Claim) -> ClaimLost:
    """Return the word that another call has the key."""
    return ClaimLost(RequestId(name), written(bench, name).claim.claim_id, existing)


def other_claim(
    owner: str = OTHER_OWNER,
    time_left: timedelta = timedelta(seconds=30),
    incarnation: int = 1,
) -> Claim:
    """Return the claim of a call at another instance."""
    return Claim(
        claim_id=ClaimId(f"{owner}.1.1"),
        body_digest=BODY,
        owner=InstanceId(owner),
        incarnation=Incarnation(incarnation),
        generation=0,
        time_left=time_left,
    )


def found(name: str, endpoint: str = "e2", stream_id: str = "s.1") -> StreamSearched:
    """Return the word that an engine has the stream."""
    entry = engine_entry(endpoint)
    place = StreamLocation(
        StreamId(stream_id), entry.endpoint, entry.incarnation, entry.address
    )
    return StreamSearched(RequestId(name), place)


def not_found(name: str) -> StreamSearched:
    """Return the word that no engine has the stream."""
    return StreamSearched(RequestId(name), None)
