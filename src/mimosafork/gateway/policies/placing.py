"""Places calls by the load of this instance and its peers on each engine."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import singledispatchmethod

from msgspec.structs import replace

from ...ids import AttemptNumber, EndpointId, RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.lifecycle import QUEUE_MISSES
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptHedged,
    AttemptRestored,
    FirstToken,
)
from ...kernel.messages.base import Message
from ...kernel.messages.routing import (
    PeerWorkChanged,
    PeerWorkReplaced,
    PeerWorkUnknown,
)
from ...kernel.messages.sharing import PublishWork, PublishWorkEnd
from ...kernel.plugins import (
    Placement,
    PlacementFailed,
    Placer,
    PluginFinder,
    Refuse,
    RequestConcluded,
    Wait,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import (
    Assignment,
    EngineView,
    PlacementRequest,
    RejectRequest,
    Shortage,
)
from ...placement.load_tracker import InFlightRequest, LoadTracker
from ...placement.memory import needs_reservations
from ...placement.overload import slot_release_time, typical_answer_time
from ...placement.policy import choose
from ...routing.engine import EngineFigures
from .account_shares import AccountShares
from .capacity_waits import CapacityWaits
from .dispatch_places import place_on, prefill_helpers
from .evacuated_zones import evacuated_problem
from .fleet_view import FleetView
from .full_rejections import FullRejections, reports_full
from .home_regions import HomeRegions
from .peer_forwarding import PeerForwarding
from .placement_requests import (
    RETRY_AFTER,
    overloaded_problem,
    placement_request,
)
from .published_prefills import has_long_prefill
from .quarantining import CrashQuarantine
from .reserving import MemoryKeeper
from .retrying import RETRY_BUDGET_EXHAUSTED, BudgetedRetry
from .send_permits import SendPermits


def all_engines(views: Sequence[EngineView]) -> Sequence[EngineView]:
    """Return all engines."""
    return views


@register("work-placer")
class WorkPlacer(Placer):
    """Runs the placement policy on the tracked load of all instances.

    Attributes
    ----------
    engine_subset : callable
        Returns the subset of a service's engines that this instance uses.
    predicted_first_token_at : dict of RequestId to timedelta
        Monotonic instant of the predicted first token of a call's latest assignment.
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.memory = MemoryKeeper()
        self.quarantine = CrashQuarantine()
        self.retry = BudgetedRetry()
        self.permits = SendPermits()
        self.forwarding = PeerForwarding()
        self.shares: AccountShares | None = None
        self.homes = HomeRegions()
        self.load_tracker = LoadTracker()
        self.engine_subset: Callable[[Sequence[EngineView]], Sequence[EngineView]] = (
            all_engines
        )
        self.waits = CapacityWaits()
        self.predicted_first_token_at: dict[RequestId, timedelta] = {}
        self.full_rejections = FullRejections()
        self.placed_attempts: dict[RequestId, AttemptNumber] = {}
        """Number of each call's attempt whose load is tracked."""
        self.hedged_attempts: dict[RequestId, AttemptNumber] = {}
        """Number of each call's hedged attempt, open beside the next one."""

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)
        self.memory = find(MemoryKeeper) or self.memory
        self.quarantine = find(CrashQuarantine) or self.quarantine
        self.retry = find(BudgetedRetry) or self.retry
        self.permits = SendPermits.of(find)
        self.forwarding = find(PeerForwarding) or self.forwarding
        self.permits.rate_limits.in_flight = self.load_tracker.own
        self.waits.permits = self.permits
        self.shares = find(AccountShares)
        if self.shares is not None:
            self.waits.latest_wait = self.shares.latest_wait
            self.waits.retry_after = self.shares.retry_after
            self.shares.waits = self.waits
        self.homes = find(HomeRegions) or self.homes

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Return the placement of a call."""
        assert self.fleet is not None
        # Calls that were accepted before their content was quarantined may wait or be
        # retried; each would crash one more endpoint.
        objection = self.quarantine.rejection_for(record.request, context.now)
        if objection is not None:
            return Refuse(objection)
        if self.quarantine.must_wait(record, context):
            return Wait("suspected-content")
        service = ServiceId(record.request.target)
        if self.fleet.all_evacuated(service):
            return Refuse(evacuated_problem())
        forwarded = self.forwarding.place(record, context)
        if forwarded is not None:
            return forwarded
        endpoints = self.homes.endpoints_for(record.request)
        objection = self.homes.objection(record.request, endpoints, context.now)
        if objection is not None:
            return Refuse(objection)
        views = [each.view(context.now) for each in endpoints]
        if self.memory.is_backing_off(record.request_id, context.now):
            return Wait(Shortage.MEMORY.value)
        figures = self.figures_of(service)
        engines = self._eligible_engines(views, figures, context.now)
        if self.shares is not None:
            engines = self.shares.without_released(record, engines, context.now)
            if views and not engines:
                return Wait(Shortage.SHARE.value)
        ask = self._placement_request(record, figures, context)
        choice = choose(
            ask, engines, self.load_tracker, figures, context.now, context.random
        )
        if isinstance(choice, Assignment):
            if not self.retry.charge_retry(record.request, context):
                return Refuse(overloaded_problem(RETRY_BUDGET_EXHAUSTED, RETRY_AFTER))
            return self._assign(choice, ask, record, context)
        if isinstance(choice, RejectRequest):
            return Refuse(overloaded_problem(choice.reason.value, choice.retry_after))
        return self.waits.decide(record, choice, endpoints, context)

    def _eligible_engines(
        self,
        views: Sequence[EngineView],
        figures: EngineFigures | None,
        now: timedelta,
    ) -> Sequence[EngineView]:
        """Return the engines that a call may be placed on now.

        Engines with a limit of which this instance has a share are used outside its
        subset too: only few instances have a share, and often none whose subset has the
        engine.
        """
        eligible = self.permits.eligible(views, now)
        if figures is None:
            return eligible
        subset = self.engine_subset(eligible)
        if eligible is views or len(subset) == len(eligible):
            return subset
        used = {view.endpoint for view in subset}
        shared = [view for view in eligible if view.rate_limited and view.usable]
        return [*subset, *(each for each in shared if each.endpoint not in used)]

    def could_place_elsewhere(self, record: RequestRecord, context: Context) -> bool:
        """Return whether a running call could be placed on another endpoint now.

        Has no side effects. Assignments that need reservations do not count, as engines
        may deny the memory.
        """
        if self.fleet is None or record.current is None:
            return False
        if self.quarantine.rejection_for(record.request, context.now):
            return False
        service = ServiceId(record.request.target)
        if len(context.state.waiting.waiting_for(service)) >= QUEUE_MISSES:
            return False
        endpoints = self.homes.endpoints_for(record.request)
        views = [each.view(context.now) for each in endpoints]
        figures = self.figures_of(service)
        engines = self._eligible_engines(views, figures, context.now)
        ask = self._placement_request(record, figures, context)
        avoid = ask.avoid | {record.current.endpoint}
        ask = replace(ask, avoid=avoid, may_have_run=True)
        choice = choose(
            ask, engines, self.load_tracker, figures, context.now, context.random
        )
        return (
            isinstance(choice, Assignment)
            and choice.host not in avoid
            and not choice.reservations
        )

    def _assign(
        self,
        place: Assignment,
        ask: PlacementRequest,
        record: RequestRecord,
        context: Context,
    ) -> Placement:
        """Track the load of an assigned call and publish it to peers."""
        work = place.to_in_flight_request(ask, context.now)
        self.load_tracker.record(work)
        self.permits.reserve(work.request, work.host)
        self._note_placed(work.host, context.now)
        self.placed_attempts[work.request] = AttemptNumber(len(record.attempts) + 1)
        self.waits.forget(record.request_id)
        if self.shares is not None:
            self.shares.placed(record, context.now)
        self._record_prediction(place, record.request_id, context.now)
        context.emit(PublishWork(work))
        if place.reservations:
            return self.memory.begin(place, record, context)
        return place_on(place, record.request, prefill_helpers(place))

    def _note_placed(self, endpoint: EndpointId, now: timedelta) -> None:
        """Space the placements on an endpoint that was in a backoff until recently."""
        known = None if self.fleet is None else self.fleet.endpoints.get(endpoint)
        if known is not None:
            known.backoff.note_placed(now)

    def _record_prediction(
        self, place: Assignment, request_id: RequestId, now: timedelta
    ) -> None:
        """Record the predicted first token for the log; plain calls have none."""
        self.predicted_first_token_at.pop(request_id, None)
        if place.predicted_first_token > timedelta(0):
            self.predicted_first_token_at[request_id] = (
                now + place.predicted_first_token
            )

    def _placement_request(
        self, record: RequestRecord, figures: EngineFigures | None, context: Context
    ) -> PlacementRequest:
        """Return the placement request, excluding engines known to lack memory."""
        rejecting_load = self.full_rejections.rejecting_load(
            record.request_id, context.now
        )
        ask = replace(
            placement_request(record, figures, context), running_ceiling=rejecting_load
        )
        if figures is None or not needs_reservations(ask, figures):
            return ask
        return replace(
            ask, avoid=ask.avoid | self.memory.engines_short_of_memory(context.now)
        )

    def figures_of(self, service: ServiceId) -> EngineFigures | None:
        """Return the engine parameters of a service; None for a plain service."""
        return None if self.fleet is None else self.fleet.figures_of(service)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Track the load of own and peer calls."""

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        if self.placed_attempts.get(message.request_id) == message.attempt:
            self._forget_hedged(message.request_id)
        self.load_tracker.record_first_token(message.request_id, context.now)
        work = self.load_tracker.own.get(message.request_id)
        if work is not None and has_long_prefill(work):
            context.emit(PublishWork(work))

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        work = self.load_tracker.own.get(message.request_id)
        # The next attempt may already have been placed; keep its load.
        if (
            work is not None
            and self.placed_attempts.get(work.request) == message.attempt
        ):
            self._end_load(message.request_id, context)
            self._record_rejection(work, message, context)
        elif self.hedged_attempts.get(message.request_id) == message.attempt:
            self._forget_hedged(message.request_id)
            if work is None:
                context.emit(PublishWorkEnd(message.request_id))

    @handle.register
    def _(self, message: AttemptHedged, context: Context) -> None:
        # Peers keep counting this attempt until the next one replaces it.
        if self.load_tracker.rename(message.request_id, hedged_id(message.request_id)):
            self.hedged_attempts[message.request_id] = message.attempt

    @handle.register
    def _(self, message: AttemptRestored, context: Context) -> None:
        self.waits.forget(message.request_id)
        if self.hedged_attempts.pop(message.request_id, None) is None:
            return
        self.load_tracker.remove(message.request_id)
        work = self.load_tracker.rename(
            hedged_id(message.request_id), message.request_id
        )
        self.placed_attempts[message.request_id] = message.attempt
        if work is not None:
            context.emit(PublishWork(work))

    @handle.register
    def _(self, message: PlacementFailed, context: Context) -> None:
        request_id = RequestId(message.request_id)
        if request_id in self.load_tracker.own:
            self._end_load(request_id, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        request_id = message.record.request_id
        self.waits.forget(request_id)
        self.predicted_first_token_at.pop(request_id, None)
        self.full_rejections.forget(request_id)
        self.placed_attempts.pop(request_id, None)
        was_hedged = self._forget_hedged(request_id)
        if was_hedged or request_id in self.load_tracker.own:
            self._end_load(request_id, context)

    def _forget_hedged(self, request_id: RequestId) -> bool:
        """Stop tracking the hedged attempt of a call; return whether there was one.

        It occupies a slot of its engine until it ends, and is tracked under its own id.
        """
        self.load_tracker.remove(hedged_id(request_id))
        return self.hedged_attempts.pop(request_id, None) is not None

    @handle.register
    def _(self, message: PeerWorkReplaced, context: Context) -> None:
        self.load_tracker.replace_peer(message.instance, message.works, context.now)

    @handle.register
    def _(self, message: PeerWorkChanged, context: Context) -> None:
        self.load_tracker.update_peer(
            message.instance, message.works, message.ended, context.now
        )

    @handle.register
    def _(self, message: PeerWorkUnknown, context: Context) -> None:
        self.load_tracker.remove_peer(message.instance)

    def _record_rejection(
        self, work: InFlightRequest, failure: AttemptFailed, context: Context
    ) -> None:
        """Record that an engine rejected a call because it is full.

        A call with reserved memory may have lost its reservation, which says nothing
        about free slots.
        """
        known = self.fleet.endpoints.get(work.host) if self.fleet is not None else None
        if known is None or work.held or not reports_full(failure, known.listed):
            return
        # An endpoint that requests a backoff may have free slots.
        if known.backoff.active(context.now):
            return
        figures = self.figures_of(known.listed.service)
        if figures is None:
            return
        slots, stay = known.listed.slots, typical_answer_time(figures)
        running = self.load_tracker.record_rejection(
            work.host, slots, stay, context.now
        )
        until = context.now + slot_release_time(figures)
        self.full_rejections.record(work.request, running, until)

    def _end_load(self, request_id: RequestId, context: Context) -> None:
        self.load_tracker.remove(request_id)
        if request_id not in self.hedged_attempts:
            context.emit(PublishWorkEnd(request_id))


def hedged_id(request_id: RequestId) -> RequestId:
    """Return the tracking id of a call's hedged attempt."""
    return RequestId(f"{request_id} hedged")
