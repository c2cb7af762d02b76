"""Decisions for a call whose key is claimed by another call."""

from datetime import timedelta
from enum import Enum

from ...kernel.context import Context
from ...kernel.messages.claims import Claim, ClaimState
from ...kernel.messages.requests import Request, RequestKind
from ...kernel.plugins import Proceed, Refuse
from ...kernel.records import RequestRecord
from . import problems
from .keys import needs_claim

CLOCK_SKEW_MARGIN = timedelta(seconds=5)
"""Allowance for clock skew between instances before a deadline counts as passed.
Too small a margin costs a worse answer, never a second run."""


class NextStep(Enum):
    """Next step towards the earlier call's answer."""

    REFUSE_BODY = "refuse-body"
    REPLAY = "replay"
    SEARCH = "search"
    NOTHING = "nothing"


def next_step(request: Request, existing: Claim) -> NextStep:
    """Return how to find the answer of the call that holds the key."""
    if existing.body_digest != request.body_digest:
        return NextStep.REFUSE_BODY
    if existing.answer_kept:
        return NextStep.REPLAY
    return NextStep.SEARCH if request.kind is RequestKind.MODEL else NextStep.NOTHING


def decide_without_run(
    record: RequestRecord, existing: Claim | None, context: Context
) -> Proceed | Refuse:
    """Return the decision when no stream was found to attach to.

    Only an idempotent request gets `Proceed`: a non-idempotent one is never started
    while another call may have run it.
    """
    required = needs_claim(record.request)
    if existing is None:
        return _refuse_resume(record) if required else Proceed()
    if existing.state is ClaimState.CLAIMED and not owner_ended(existing, context):
        return problems.in_progress()
    if not required:
        return Proceed()
    if existing.answer_kept:
        return problems.earlier_call_unreadable()
    return problems.outcome_unknown(
        "an earlier call with this key has run or may have run"
    )


def _refuse_resume(record: RequestRecord) -> Refuse:
    """Refuse to resume an answer of which there is no record."""
    if record.claim is not None and record.claim.confirmed:
        return problems.outcome_unknown("the call has begun before and left no trace")
    return problems.earlier_call_unreadable()


def owner_ended(existing: Claim, context: Context) -> bool:
    """Return whether the owner of a claim can no longer finish it.

    Silence is no proof, since the owner may be partitioned or frozen. The claim's
    deadline must have passed, or the platform must list the owner no longer or with
    a newer incarnation.
    """
    if existing.time_left < -CLOCK_SKEW_MARGIN:
        return True
    identity, instances = context.state.identity, context.state.fleet.instances
    if existing.owner == identity.instance:
        return existing.incarnation < identity.incarnation
    listed = instances.get(existing.owner)
    if listed is None:
        # A list that lacks this instance is too old to show removed instances.
        return identity.instance in instances
    return existing.incarnation < listed.incarnation
