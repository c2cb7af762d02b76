"""Log lines and metrics of calls: outcome, deciding rule and its inputs."""

import logging
from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from ..ids import ServiceId
from ..kernel.messages.attempts import AttemptFailed
from ..kernel.messages.base import Effect
from ..kernel.messages.dispatch import Dispatch, RestoreAttempt
from ..kernel.messages.outcomes import Conclude
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.timers import WakeAt
from ..routing.table import RoutingTable
from ..telemetry.catalogue.gateway import (
    ATTEMPT_FAILED,
    ATTEMPT_OUT_OF_TIME,
    ATTEMPT_RESTORED,
    CALL_ENDED,
    CALL_NOT_SERVED,
    CALL_REFUSED,
)
from ..telemetry.logs import log_event
from .attempt_diagnostics import AttemptDiagnostics, NameList
from .call import Call
from .call_metrics import CallMetrics
from .dialect import CallMetadata
from .failure_labels import OUT_OF_TIME, failure_label
from .instance_view import EmptyInstanceView, InstanceView, LogFields, milliseconds
from .intake import CallRefusal
from .policies.home_regions import HomeRegions
from .policies.placing import WorkPlacer
from .policies.quarantining import CrashQuarantine
from .policies.retrying import BudgetedRetry
from .request_reader import RequestMessage

logger = logging.getLogger(__name__)

ROUTING = "routing"
"""Rule name for calls without a matching route or key in the configuration."""

RULE_BY_PROBLEM = {
    ProblemCode.QUARANTINED: CrashQuarantine.name,
    ProblemCode.OVERLOADED: WorkPlacer.name,
    ProblemCode.NO_ENDPOINT: BudgetedRetry.name,
    ProblemCode.NO_HOME_ENDPOINT: HomeRegions.name,
    ProblemCode.ENDPOINT_FAILED: BudgetedRetry.name,
    ProblemCode.DEADLINE_PASSED: "deadline",
    ProblemCode.CALLER_GONE: "caller",
    ProblemCode.SHUTTING_DOWN: "stop",
}
"""Plug-in or event that decides that a call ends with a problem."""

LIST_SEPARATOR = ","


class CallLog:
    """Writes a log line for each failed attempt and for the end of each call.

    Parameters
    ----------
    clock : Clock
        The kernel's clock.

    Attributes
    ----------
    instance_view : InstanceView
        Provides the inputs of decisions.
    meter : CallMetrics or None
        Updates the metrics; None without a metrics page.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.instance_view: InstanceView = EmptyInstanceView()
        self.meter: CallMetrics | None = None

    def placed(self, call: Call, dispatch: Dispatch) -> None:
        """Record the placement of an attempt and its inputs for later log lines."""
        if call.placed_at is None:
            call.placed_at = self.clock.monotonic()
        call.endpoints.append(dispatch.endpoint)
        call.helpers = dispatch.helpers
        placement = self.instance_view.attempt_placement(dispatch)
        call.diagnostics = AttemptDiagnostics(placement)
        call.zones.append(placement.zone)
        if call.first_sent_at is None:
            call.first_token_at = placement.first_token_at
        call.inputs = self.instance_view.inputs(ServiceId(call.request.target))
        if self.meter is not None:
            self.meter.count_attempt(call)

    def refused(
        self,
        message: RequestMessage,
        metadata: CallMetadata,
        refusal: CallRefusal,
        table: RoutingTable | None,
    ) -> None:
        """Log a call that is refused before it is submitted to the kernel."""
        if self.meter is not None:
            self.meter.count_rejected_call(refusal.reason)
        inputs = self.instance_view.inputs(ServiceId(""))
        log_event(
            logger,
            CALL_REFUSED,
            call=metadata.call_id,
            reason=refusal.reason,
            status=int(refusal.status),
            host=message.head.host,
            path=message.head.path,
            version=None if table is None else table.version,
            rule=ROUTING,
            table_age_ms=milliseconds(inputs.table_age),
            peers=inputs.peers,
        )

    def attempt_failed(
        self, call: Call, failure: AttemptFailed, reused: bool, then: Iterable[Effect]
    ) -> None:
        """Log an attempt without a complete response, and the decision on it.

        Parameters
        ----------
        reused : bool
            Whether its connection had served another call.
        then : iterable of Effect
            The effects that the kernel decided.
        """
        now = self.clock.monotonic()
        time_left = call.request.deadline - now
        label = failure_label(failure, time_left)
        if self.meter is not None:
            self.meter.count_failed_attempt(call, label)
        log_event(
            logger,
            ATTEMPT_OUT_OF_TIME if label == OUT_OF_TIME else ATTEMPT_FAILED,
            call=call.metadata.call_id,
            **self._call_fields(call),
            endpoint=failure.endpoint,
            zone=call.diagnostics.placement.zone,
            own_zone=self.instance_view.own_zone,
            helpers=helpers_of(call),
            helper_zones=helper_zones_of(call),
            attempt=failure.attempt,
            kind=label,
            exposure=failure.exposure.value,
            repeatability=call.request.repeatability.value,
            content=call.request.body_digest,
            parts=parts_of(call),
            status=failure.status,
            refusal=failure.refusal,
            fault_at=failure.fault_at,
            events=call.events_sent,
            dropped=call.events_dropped or None,
            last_event=call.last_event_id,
            reused=reused,
            **connection_fields(call),
            after_ms=milliseconds(now - call.arrived_at),
            since_event_ms=since_event(call, now),
            expected_ms=since_arrival(call, call.first_token_at),
            first_ms=since_arrival(call, call.first_sent_at),
            left_ms=milliseconds(time_left),
            rule=BudgetedRetry.name,
            then=describe_decision(then),
            **self.instance_view.inputs(ServiceId(call.request.target)).fields(),
        )

    def restored(self, call: Call, dispatch: Dispatch) -> None:
        """Log that a silent attempt is continued, as no other one answered first."""
        log_event(
            logger,
            ATTEMPT_RESTORED,
            call=call.metadata.call_id,
            **self._call_fields(call),
            endpoint=dispatch.endpoint,
            attempt=dispatch.attempt,
            events=call.events_sent,
            after_ms=milliseconds(self.clock.monotonic() - call.arrived_at),
            since_event_ms=since_event(call, self.clock.monotonic()),
        )

    def ended(self, call: Call, conclusion: Conclude) -> None:
        """Log the end of a call; the line of a served call is shorter."""
        if self.meter is not None:
            self.meter.count_ended_call(call, conclusion)
        if conclusion.problem is None:
            self._served(call, conclusion)
        else:
            self._not_served(call, conclusion)

    def _served(self, call: Call, conclusion: Conclude) -> None:
        inputs = call.inputs.fields() if call.inputs is not None else {}
        log_event(
            logger,
            CALL_ENDED,
            call=call.metadata.call_id,
            **self._call_fields(call),
            status=call.status,
            attempts=conclusion.attempts,
            **self._progress_fields(call),
            **inputs,
        )

    def _not_served(self, call: Call, conclusion: Conclude) -> None:
        problem = conclusion.problem
        assert problem is not None
        log_event(
            logger,
            CALL_NOT_SERVED,
            call=call.metadata.call_id,
            **self._call_fields(call),
            outcome=conclusion.outcome.value,
            status=call.status,
            cut=call.cut,
            rule=RULE_BY_PROBLEM.get(problem.code, "kernel"),
            why=problem.code.value,
            detail=problem.detail,
            repeatability=call.request.repeatability.value,
            content=call.request.body_digest,
            parts=parts_of(call),
            allowed_ms=milliseconds(call.request.deadline - call.arrived_at),
            attempts=conclusion.attempts,
            exposures=NameList(tuple(each.value for each in conclusion.exposures)),
            own_zone=self.instance_view.own_zone,
            **self._progress_fields(call),
            since_event_ms=since_event(call, self.clock.monotonic()),
            load_age_ms=milliseconds(self.instance_view.load_age()),
            **self.instance_view.inputs(ServiceId(call.request.target)).fields(),
        )

    def _call_fields(self, call: Call) -> LogFields:
        return {
            "instance": self.instance_view.own_instance,
            "route": call.route.name,
            "account": call.account,
            "service": call.request.target,
            "version": call.table_version,
            "forwarded_by": call.request.forwarded_by,
            "home_regions": home_regions_of(call),
        }

    def _progress_fields(self, call: Call) -> LogFields:
        terms = call.request.terms
        return {
            "objective_ms": None if terms is None else milliseconds(terms.objective),
            "longest_gap_ms": None
            if terms is None
            else milliseconds(terms.longest_pause),
            "endpoints": LIST_SEPARATOR.join(call.endpoints),
            "zones": NameList(tuple(call.zones)) if any(call.zones) else None,
            "helpers": helpers_of(call),
            "helper_zones": helper_zones_of(call),
            **connection_fields(call),
            "prompt_tokens": call.request.prompt_tokens,
            "events": call.events_sent,
            "dropped": call.events_dropped or None,
            "waited_ms": since_arrival(call, call.placed_at),
            "first_ms": since_arrival(call, call.first_sent_at),
            "expected_ms": since_arrival(call, call.first_token_at),
            "pause_ms": milliseconds(call.longest_pause),
            "total_ms": since_arrival(call, self.clock.monotonic()),
        }


def home_regions_of(call: Call) -> str | None:
    """Return the home regions of a call at its arrival; None for no restriction."""
    regions = call.request.home_regions
    return None if regions is None else LIST_SEPARATOR.join(sorted(regions))


def parts_of(call: Call) -> str | None:
    """Return the shared parts of a call's prompt; None if it has none."""
    return LIST_SEPARATOR.join(call.request.prompt_parts) or None


def helpers_of(call: Call) -> str | None:
    """Return the helpers of a call's latest attempt; None if it had none."""
    return LIST_SEPARATOR.join(each.endpoint for each in call.helpers) or None


def helper_zones_of(call: Call) -> NameList | None:
    """Return the zones of a call's latest helpers, in order; None without any."""
    zones = call.diagnostics.placement.helper_zones
    return NameList(zones) if any(zones) else None


def connection_fields(call: Call) -> LogFields:
    """Return how the connection of the latest attempt began and ended."""
    notes = call.diagnostics
    use = notes.connection
    return {
        "connect_ms": milliseconds(notes.connect_time),
        "connection": None if use is None else use.number,
        "earlier_calls": None if use is None else use.earlier_calls,
        "same_call": (use is not None and use.same_call) or None,
        "sent_ms": since_arrival(call, notes.sent_at),
        "response": notes.response,
        "unidentified": notes.unidentified or None,
        "ending": notes.connection_loss,
        "unframed": notes.unframed or None,
        "partial_event_bytes": notes.partial_event_bytes or None,
    }


def since_event(call: Call, now: timedelta) -> int | None:
    """Return the milliseconds since the last event; None if there was none."""
    return None if call.last_sent_at is None else milliseconds(now - call.last_sent_at)


def since_arrival(call: Call, instant: timedelta | None) -> int | None:
    """Return the milliseconds since a call's first byte; None if the time is None."""
    return None if instant is None else milliseconds(instant - call.arrived_at)


def describe_decision(effects: Iterable[Effect]) -> str:
    """Return a description of what follows a failed attempt."""
    kinds = {type(effect) for effect in effects}
    if Conclude in kinds:
        return "given up"
    if RestoreAttempt in kinds:
        return "goes on"
    return "tried again" if kinds & {WakeAt, Dispatch} else "waits"
