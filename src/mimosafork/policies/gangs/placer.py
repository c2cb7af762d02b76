"""Places prompts beyond one engine's memory on a gang of engines.

Memory of all members is reserved before anything is prefilled, one member after the
other in order of engine id, each for a limited time. A refusal frees all reservations
and the request is queued again. A gang never waits while it holds memory, so two gangs
can't deadlock, and of two gangs that compete for the same engines the one that reserved
the first of these is not blocked by the other.
"""

from datetime import timedelta
from functools import singledispatchmethod

from ...ids import RequestId, ReservationId, StreamId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    ImportFailed,
    ImportKv,
    KvImported,
    MemoryReserved,
    PrefillSegment,
    ReservationFailed,
    ReserveMemory,
    SegmentFailed,
    SegmentPrefilled,
)
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.recovery import HoldingKind
from ...kernel.messages.requests import RequestKind
from ...kernel.plugins import (
    NotApplicable,
    Placed,
    Placement,
    PlacementFailed,
    PlacementPending,
    PlaceOn,
    Placer,
    PluginFinder,
    Refuse,
    RequestConcluded,
    Wait,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ..deadlines import DeadlineCheck
from ..engine_load import DEFAULT_PREFILL_RATE, SentRequest
from ..prediction import Prediction
from ..priorities import AgeingPriorities
from .allowance import gang_memory_share, refuse_oversized_prompt, should_yield
from .gang import Gang, Member, Step, make_gang
from .plan import free_room, split

MAX_GANG_FAILURES = 3
"""Gangs of one request that may fail for reasons other than lack of memory."""

MEAN_PAUSE_S = 1.0
"""Mean pause before a failed gang is retried."""

MIN_RESERVATION_TTL = timedelta(seconds=10)
"""Time to live of a reservation, on top of twice the predicted time until the prefill
of its segment begins; it ends with the deadline at the latest. After it an engine frees
the reservations of a crashed instance."""


@register("gangs")
class GangPlacer(Placer):
    """Reserves memory, then prefills and transfers the KV cache segment by segment."""

    order = 70

    def __init__(self) -> None:
        self.prediction = Prediction()
        self.priorities: AgeingPriorities | None = None
        self.deadlines: DeadlineCheck | None = None
        self.gangs: dict[RequestId, Gang] = {}
        self.gang_counts: dict[RequestId, int] = {}
        self.failures: dict[RequestId, int] = {}
        self.not_before: dict[RequestId, timedelta] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that gang placement queries."""
        self.prediction = find(Prediction) or self.prediction
        self.priorities = find(AgeingPriorities)
        self.deadlines = find(DeadlineCheck)

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Start a gang, wait for memory, or refuse a prompt beyond the fleet."""
        request = record.request
        if request.kind is RequestKind.SERVICE:
            return NotApplicable()
        if not self.prediction.exceeds_one_engine(request):
            return NotApplicable()
        pairs = [
            (endpoint, self.prediction.load_of(endpoint))
            for endpoint in context.state.fleet.serving(request.target)
        ]
        share = gang_memory_share(record, pairs, context)
        if share is None:
            return refuse_oversized_prompt(record)
        late = self.deadlines and self.deadlines.late(record, 0.0, context)
        if late:
            return late
        if context.now < self.not_before.get(request.request_id, context.now):
            return Wait("gang-pause")
        usable = [pair for pair in pairs if pair[0].accepts_new_requests(context.now)]
        if should_yield(record, usable, context):
            return Wait("gang-yields")
        rooms = free_room(usable, share)
        segments = split(request.prompt_tokens, request.max_tokens, rooms)
        if segments is None:
            return Wait("gang-room")
        number = self.gang_counts.get(request.request_id, 0) + 1
        self.gang_counts[request.request_id] = number
        gang = make_gang(request.request_id, number, segments)
        self.gangs[request.request_id] = gang
        self._reserve_next(gang, record, context)
        return PlacementPending()

    def _reserve_next(
        self, gang: Gang, record: RequestRecord, context: Context
    ) -> None:
        """Request the next reservation, or start prefilling after the last one."""
        if gang.next_reservation >= 2 * len(gang.members):
            self._prefill(gang, record, context)
            return
        index, is_placeholder = divmod(gang.next_reservation, 2)
        gang.next_reservation += 1
        member = gang.members[index]
        segment = member.segment
        if is_placeholder and segment.import_tokens == 0:
            self._reserve_next(gang, record, context)
            return
        tokens = segment.import_tokens if is_placeholder else segment.tokens
        if not is_placeholder:
            is_last = index == len(gang.members) - 1
            tokens += record.request.max_tokens if is_last else 1
        name = member.placeholder if is_placeholder else member.reservation
        gang.hold(member, HoldingKind.RESERVATION, name)
        self._count_memory(member, name, tokens, context)
        context.emit(
            ReserveMemory(
                request_id=gang.request_id,
                reservation=name,
                endpoint=member.endpoint,
                address=member.address,
                tokens=tokens,
                time_to_live=self._time_to_live(record, segment.first, context),
            )
        )

    def _count_memory(
        self, member: Member, name: str, tokens: int, context: Context
    ) -> None:
        load = self.prediction.load_of(member.segment.endpoint)
        sent = SentRequest(context.now.total_seconds(), 0, tokens, is_long=True)
        load.send(RequestId(name), sent)

    def _time_to_live(
        self, record: RequestRecord, first: int, context: Context
    ) -> timedelta:
        """Return the reservation time for a segment that begins at a token."""
        whole_s = self.prediction.alone_s(record.request, DEFAULT_PREFILL_RATE)
        before_s = whole_s * first / max(1, record.request.prompt_tokens)
        kept = MIN_RESERVATION_TTL + timedelta(seconds=2 * before_s)
        return min(kept, record.request.deadline - context.now)

    def _prefill(self, gang: Gang, record: RequestRecord, context: Context) -> None:
        """Prefill the current segment, or dispatch the request with the last one."""
        member = gang.current
        segment = member.segment
        imports = (gang.import_id,) if gang.import_id is not None else ()
        priority = 0
        if self.priorities is not None:
            gang.begun_at = gang.begun_at or context.now
            priority = self.priorities.engine_priority(
                record, segment.endpoint, context.now, gang.begun_at
            )
        if gang.is_last:
            gang.step = Step.RUNNING
            place = PlaceOn(
                endpoint=member.endpoint,
                incarnation=member.incarnation,
                address=member.address,
                priority=priority,
                imports=imports,
                imported_tokens=segment.first,
                reservation=member.reservation,
            )
            context.post(Placed(gang.request_id, place))
            return
        gang.step = Step.PREFILLING
        gang.stream_id = StreamId(gang.name("s", gang.current_index))
        gang.hold(member, HoldingKind.STREAM, gang.stream_id)
        record.prefill_may_have_run = True
        context.emit(
            PrefillSegment(
                request_id=gang.request_id,
                stream_id=gang.stream_id,
                endpoint=member.endpoint,
                incarnation=member.incarnation,
                address=member.address,
                deadline=record.request.deadline,
                priority=priority,
                first=segment.first,
                tokens=segment.tokens,
                reservation=member.reservation,
                imports=imports,
            )
        )

    def _import(
        self, gang: Gang, record: RequestRecord, handle: str, context: Context
    ) -> None:
        """Let the next engine import the KV cache of all segments so far."""
        source = gang.current
        gang.current_index += 1
        member = gang.current
        gang.step = Step.IMPORTING
        gang.import_id = ReservationId(gang.name("i", gang.current_index))
        self._free(gang, member.placeholder, context)
        gang.hold(member, HoldingKind.RESERVATION, gang.import_id)
        tokens = member.segment.import_tokens
        self._count_memory(member, gang.import_id, tokens, context)
        context.emit(
            ImportKv(
                request_id=gang.request_id,
                import_id=gang.import_id,
                endpoint=member.endpoint,
                address=member.address,
                source=source.address,
                handle=handle,
                time_to_live=min(
                    MIN_RESERVATION_TTL, record.request.deadline - context.now
                ),
            )
        )

    def _free(self, gang: Gang, holding_id: str, context: Context) -> None:
        holding = gang.holdings.pop(holding_id, None)
        if holding is None:
            return
        context.emit(
            FreeOwnHolding(holding.endpoint, holding.address, holding.kind, holding_id)
        )
        load = self.prediction.loads.get(holding.endpoint)
        if load is not None:
            load.finish(RequestId(holding_id))

    def _release_gang(self, request_id: RequestId, context: Context) -> Gang | None:
        """Free all holdings of a request's gang, in the order of their requests."""
        gang = self.gangs.pop(request_id, None)
        if gang is not None:
            for holding_id in list(gang.holdings):
                self._free(gang, holding_id, context)
        return gang

    def _fail(self, gang: Gang, failure: GangStepFailure, context: Context) -> None:
        """Free all holdings and requeue the request, or refuse it."""
        request_id = gang.request_id
        self._release_gang(request_id, context)
        pause_s = MEAN_PAUSE_S * (0.5 + context.random.random())
        self.not_before[request_id] = context.now + timedelta(seconds=pause_s)
        if failure is not GangStepFailure.NO_MEMORY:
            self.failures[request_id] = self.failures.get(request_id, 0) + 1
        refuse = None
        if self.failures.get(request_id, 0) >= MAX_GANG_FAILURES:
            detail = f"{MAX_GANG_FAILURES} gangs of engines failed: {failure.value}"
            problem = Problem(ProblemCode.ENDPOINT_FAILED, detail)
            refuse = Refuse(problem, Outcome.FAILED)
        context.post(PlacementFailed(request_id, refuse))

    def _gang_at_step(
        self, request_id: RequestId, step: Step, context: Context
    ) -> tuple[Gang, RequestRecord] | None:
        """Return the request's gang if it is in this step; None for late answers."""
        gang = self.gangs.get(request_id)
        record = context.state.requests.get(request_id)
        if gang is None or record is None or gang.step is not step:
            return None
        return gang, record

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Advance a gang, or release its holdings."""

    @handle.register
    def _(self, message: MemoryReserved, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.RESERVING, context)
        if found is not None and message.reservation in found[0].holdings:
            self._reserve_next(*found, context)

    @handle.register
    def _(self, message: ReservationFailed, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.RESERVING, context)
        if found is not None and message.reservation in found[0].holdings:
            self._fail(found[0], message.failure, context)

    @handle.register
    def _(self, message: SegmentPrefilled, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.PREFILLING, context)
        if found is None or found[0].stream_id != message.stream_id:
            # The gang was given up while this answer was in transit. Without this
            # the export would be held until the deadline.
            kind = HoldingKind.EXPORT
            context.emit(
                FreeOwnHolding(message.endpoint, message.address, kind, message.handle)
            )
            return
        gang, record = found
        self._note_prefilled(gang, message.handle, context)
        self._import(gang, record, message.handle, context)

    def _note_prefilled(self, gang: Gang, handle: str, context: Context) -> None:
        """Replace the holdings of a prefilled segment by its export.

        The stream has consumed its reservation and import, and has ended.
        """
        member = gang.current
        for name in (gang.stream_id, member.reservation, gang.import_id):
            if name is not None and gang.holdings.pop(name, None) is not None:
                self.prediction.load_of(member.segment.endpoint).finish(RequestId(name))
        gang.hold(member, HoldingKind.EXPORT, handle)
        self._count_memory(member, handle, member.segment.tokens, context)

    @handle.register
    def _(self, message: SegmentFailed, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.PREFILLING, context)
        if found is not None and found[0].stream_id == message.stream_id:
            self._fail(found[0], message.failure, context)

    @handle.register
    def _(self, message: KvImported, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.IMPORTING, context)
        if found is not None and found[0].import_id == message.import_id:
            self._prefill(*found, context)

    @handle.register
    def _(self, message: ImportFailed, context: Context) -> None:
        found = self._gang_at_step(message.request_id, Step.IMPORTING, context)
        if found is not None and found[0].import_id == message.import_id:
            self._fail(found[0], message.failure, context)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self._release_gang(message.request_id, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        request_id = message.record.request_id
        self._release_gang(request_id, context)
        self.gang_counts.pop(request_id, None)
        self.failures.pop(request_id, None)
        self.not_before.pop(request_id, None)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for gang in list(self.gangs.values()):
            if gang.step is not Step.RUNNING and _has_lost_member(gang, context):
                self._fail(gang, GangStepFailure.FAILED, context)


def _has_lost_member(gang: Gang, context: Context) -> bool:
    """Return whether an engine has crashed or restarted since the gang began.

    Its segment of the KV cache is lost. Without a restart of the gang the answer would
    miss a part of the prompt, or the gang would wait for an engine that lost its state.
    """
    endpoints = context.state.fleet.endpoints
    for member, incarnation in zip(gang.members, gang.incarnations, strict=True):
        endpoint = endpoints.get(member.endpoint)
        if endpoint is None or endpoint.entry.incarnation != incarnation:
            return True
    return False
