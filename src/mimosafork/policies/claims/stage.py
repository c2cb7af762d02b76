"""Claims a request's key before any byte of the request is sent."""

from datetime import timedelta
from functools import singledispatchmethod
from itertools import count

from ...ids import ClaimId
from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.claims import (
    AnswerReplayed,
    Claim,
    ClaimLost,
    ClaimTimedOut,
    ClaimUnavailable,
    ClaimWon,
    FindStream,
    PaceClaims,
    ReplayAnswer,
    SearchTimedOut,
    StreamLocation,
    StreamSearched,
    WriteClaim,
)
from ...kernel.messages.fleet import InstancesListed
from ...kernel.messages.requests import RequestKind
from ...kernel.plugins import (
    Answered,
    Bypass,
    Hold,
    PlaceOn,
    Proceed,
    RequestConcluded,
    ReviewDecision,
    Stage,
    StageCleared,
)
from ...kernel.records import HeldClaim, RequestRecord
from ...kernel.registry import register
from . import problems
from .existing import NextStep, decide_without_run, next_step
from .keys import (
    FIRST_GENERATION,
    claim_key_of,
    needs_claim,
    stream_base_of,
    wants_claim,
)
from .pending import ClaimPhase, PendingClaim
from .search import candidate_endpoints, candidate_stream_ids

REQUIRED_CLAIM_TIMEOUT = timedelta(seconds=3)
"""Time that a request which needs its claim waits for the store."""

OPTIONAL_CLAIM_TIMEOUT = timedelta(milliseconds=100)
"""Time that a request which may run unclaimed waits; it delays the first token."""

STORE_OUTAGE_BACKOFF = timedelta(seconds=5)
"""Time after a store timeout in which requests that may run unclaimed don't wait for
the store; the next requests then check whether it answers again."""

SEARCH_TIMEOUT = timedelta(seconds=2)
MAX_TAKEOVERS = 2


@register("claims")
class ClaimStage(Stage):
    """Lets one call run for each key, and finds its answer for the others.

    Without it, a treasurer whose connection broke sends a filing again through
    another instance and two drafts reach the trustee. The claim is a conditional
    write: the store accepts one of all calls with the key, and no call that needs
    its claim runs while the result of the write is unknown.
    """

    order = 35

    def __init__(self) -> None:
        self.pending: dict[str, PendingClaim] = {}
        self.serial = count(1)
        self.store_backoff_until = timedelta(0)
        self.paced_instances = 1

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Hold a claimed request until the store answers or times out."""
        request = record.request
        if not wants_claim(request):
            return Proceed()
        required = needs_claim(request)
        self._write_claim(record, FIRST_GENERATION, None, context)
        if required or self.store_backoff_until <= context.now:
            return Hold()
        # The store timed out recently: an idempotent request does not wait for
        # it, and the claim is written if possible.
        pending = self.pending[record.request_id]
        if request.resume_offset:
            self._search(record, pending, context)
            return Hold()
        del self.pending[record.request_id]
        return Proceed()

    def _write_claim(
        self,
        record: RequestRecord,
        generation: int,
        replaces: ClaimId | None,
        context: Context,
    ) -> None:
        request, identity = record.request, context.state.identity
        name = f"{identity.instance}.{identity.incarnation}.{next(self.serial)}"
        claim = Claim(
            claim_id=ClaimId(name),
            body_digest=request.body_digest,
            owner=identity.instance,
            incarnation=identity.incarnation,
            generation=generation,
            time_left=request.deadline - context.now,
        )
        key, required = claim_key_of(request), needs_claim(request)
        record.stream_id_prefix = stream_base_of(request, generation)
        record.claim = HeldClaim(key, claim.claim_id)
        pending = self.pending.setdefault(record.request_id, PendingClaim())
        pending.phase = ClaimPhase.CLAIMING
        context.emit(WriteClaim(record.request_id, key, claim, required, replaces))
        timeout = REQUIRED_CLAIM_TIMEOUT if required else OPTIONAL_CLAIM_TIMEOUT
        context.wake_after(timeout, ClaimTimedOut(record.request_id, claim.claim_id))

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to answers of the store and the engines."""

    @handle.register
    def _(self, message: ClaimWon, context: Context) -> None:
        self.store_backoff_until = timedelta(0)
        record = self._record_of_claim(message, context)
        if record is None or record.claim is None:
            return
        record.claim.confirmed = True
        pending = self._in_phase(record, ClaimPhase.CLAIMING)
        if pending is None:
            return
        record.stream_id_prefix = stream_base_of(record.request, message.generation)
        if record.request.resume_offset:
            self._search(record, pending, context)
        else:
            self._clear(record, Proceed(), context)

    @handle.register
    def _(self, message: ClaimLost, context: Context) -> None:
        self.store_backoff_until = timedelta(0)
        record = self._record_of_claim(message, context)
        if record is None:
            return
        pending = self._in_phase(record, ClaimPhase.CLAIMING)
        if pending is None:
            # An idempotent request went on without waiting and may run already;
            # its answer is not stored, since it lacks the claim.
            return
        record.claim = None
        # If the other call's run is lost, an idempotent request starts its own,
        # which a resend has to find by the key as well.
        following = message.existing.generation + 1
        record.stream_id_prefix = stream_base_of(record.request, following)
        pending.existing = message.existing
        self._follow_existing(record, pending, message.existing, context)

    @handle.register
    def _(self, message: ClaimUnavailable, context: Context) -> None:
        self._without_store(message, context)

    @handle.register
    def _(self, message: ClaimTimedOut, context: Context) -> None:
        self._without_store(message, context)

    @handle.register
    def _(self, message: StreamSearched, context: Context) -> None:
        self._finish_search(message, message.place, context)

    @handle.register
    def _(self, message: SearchTimedOut, context: Context) -> None:
        self._finish_search(message, None, context)

    @handle.register
    def _(self, message: AnswerReplayed, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        pending = self._in_phase(record, ClaimPhase.REPLAYING)
        if record is None or pending is None:
            return
        if message.delivered:
            self._clear(record, Answered(), context)
        elif record.request.kind is RequestKind.MODEL:
            self._search(record, pending, context)
        else:
            self._without_run(record, pending, context)

    @handle.register
    def _(self, message: InstancesListed, context: Context) -> None:
        instances = max(1, len(context.state.fleet.instances))
        if instances != self.paced_instances:
            self.paced_instances = instances
            context.emit(PaceClaims(instances))

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.pending.pop(message.record.request_id, None)

    def _follow_existing(
        self,
        record: RequestRecord,
        pending: PendingClaim,
        existing: Claim,
        context: Context,
    ) -> None:
        """Find the answer of the call that holds the key."""
        step = next_step(record.request, existing)
        if step is NextStep.REFUSE_BODY:
            self._clear(record, problems.key_reused(), context)
            return
        record.may_have_run_elsewhere = True
        if step is NextStep.REPLAY:
            pending.phase = ClaimPhase.REPLAYING
            key, offset = claim_key_of(record.request), record.request.resume_offset
            context.emit(ReplayAnswer(record.request_id, key, offset))
        elif step is NextStep.SEARCH:
            self._search(record, pending, context)
        else:
            self._without_run(record, pending, context)

    def _search(
        self, record: RequestRecord, pending: PendingClaim, context: Context
    ) -> None:
        pending.phase = ClaimPhase.SEARCHING
        existing = pending.existing
        search = FindStream(
            request_id=record.request_id,
            noted=existing.place if existing else None,
            stream_ids=candidate_stream_ids(record, existing, context),
            endpoints=candidate_endpoints(record, context),
        )
        context.emit(search)
        context.wake_after(SEARCH_TIMEOUT, SearchTimedOut(record.request_id))

    def _finish_search(
        self,
        message: StreamSearched | SearchTimedOut,
        place: StreamLocation | None,
        context: Context,
    ) -> None:
        record = context.state.requests.get(message.request_id)
        pending = self._in_phase(record, ClaimPhase.SEARCHING)
        if record is None or pending is None:
            return
        if place is None:
            self._without_run(record, pending, context)
            return
        record.attached_run = PlaceOn(
            place.endpoint,
            place.incarnation,
            place.address,
            stream_id=place.stream_id,
            attach=True,
        )
        self._clear(record, Bypass(), context)

    def _without_run(
        self, record: RequestRecord, pending: PendingClaim, context: Context
    ) -> None:
        """Decide for a request whose earlier call left no stream to attach to."""
        decision = decide_without_run(record, pending.existing, context)
        existing = pending.existing
        may_take_over = isinstance(decision, Proceed) and existing is not None
        if may_take_over and existing and pending.takeovers < MAX_TAKEOVERS:
            pending.takeovers += 1
            generation = existing.generation + 1
            self._write_claim(record, generation, existing.claim_id, context)
            return
        self._clear(record, decision, context)

    def _without_store(
        self, message: ClaimUnavailable | ClaimTimedOut, context: Context
    ) -> None:
        record = self._record_of_claim(message, context)
        pending = self._in_phase(record, ClaimPhase.CLAIMING)
        if record is None or pending is None:
            return
        self.store_backoff_until = context.now + STORE_OUTAGE_BACKOFF
        if record.request.resume_offset:
            self._search(record, pending, context)
        elif needs_claim(record.request):
            # Nothing has been sent, so "not run" is true whatever the store did;
            # the claim is withdrawn when the request is concluded.
            self._clear(record, problems.store_unavailable(), context)
        else:
            self._clear(record, Proceed(), context)

    def _record_of_claim(
        self,
        message: ClaimWon | ClaimLost | ClaimUnavailable | ClaimTimedOut,
        context: Context,
    ) -> RequestRecord | None:
        """Return the record that still has the claim of a message."""
        record = context.state.requests.get(message.request_id)
        if record is None or record.claim is None:
            return None
        return record if record.claim.claim_id == message.claim_id else None

    def _in_phase(
        self, record: RequestRecord | None, phase: ClaimPhase
    ) -> PendingClaim | None:
        if record is None:
            return None
        pending = self.pending.get(record.request_id)
        return pending if pending is not None and pending.phase is phase else None

    def _clear(
        self, record: RequestRecord, decision: ReviewDecision, context: Context
    ) -> None:
        self.pending.pop(record.request_id, None)
        context.post(StageCleared(record.request_id, self.name, decision))
