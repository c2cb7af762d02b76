"""Attaches requests to streams that already run, instead of running them again."""

from ...kernel.context import Context
from ...kernel.messages.attempts import Exposure, FailureKind
from ...kernel.messages.fleet import EndpointKind
from ...kernel.messages.requests import Repeatability
from ...kernel.plugins import NotApplicable, Placement, PlaceOn, Placer
from ...kernel.records import Attempt, RequestRecord
from ...kernel.registry import register
from .problems import outcome_unknown

DUPLICATE_STREAM_REFUSAL = "duplicate"
"""Refusal by an engine that already has the stream."""


@register("attach-to-run")
class AttachToRun(Placer):
    """Places a request on the stream that answers it, if there is one.

    It precedes all other placers, so it is also the last check against a second run:
    whatever a retry policy decides, a non-idempotent request that may have run is
    attached or ended here, never dispatched again. Without it, a connection that
    breaks in mid-answer creates two drafts of one filing.
    """

    order = 1

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Attach or refuse the request, or leave it to the other placers."""
        if record.attached_run is not None:
            if _may_attach(record, record.attached_run, context):
                return record.attached_run
            record.attached_run = None
            record.may_have_run_elsewhere = True
        own = _own_stream(record, context)
        if own is not None:
            return own
        if must_not_start(record):
            return outcome_unknown(
                "the run was lost from sight and may not be repeated"
            )
        return NotApplicable()

    def can_reattach(self, record: RequestRecord, context: Context) -> bool:
        """Return whether the next attempt would attach, and so start no run.

        A retry policy calls it before it gives up a non-idempotent request.
        """
        if record.attached_run is not None:
            return _may_attach(record, record.attached_run, context)
        return _own_stream(record, context) is not None


def must_not_start(record: RequestRecord) -> bool:
    """Return whether another start could run a non-idempotent request twice."""
    if record.request.repeatability is Repeatability.IDEMPOTENT:
        return False
    if record.may_have_run_elsewhere:
        return True
    return any(each.exposure is Exposure.POSSIBLE for each in record.attempts)


def _own_stream(record: RequestRecord, context: Context) -> PlaceOn | None:
    """Return the place of this request's broken stream, if it may still run."""
    last = record.current
    if last is None or last.failure is None:
        return None
    if not _may_leave_stream(record, last):
        return None
    place = PlaceOn(
        last.endpoint,
        last.incarnation,
        last.address,
        stream_id=last.stream_id,
        attach=True,
    )
    return place if _is_same_incarnation(place, record, context) else None


def _may_leave_stream(record: RequestRecord, attempt: Attempt) -> bool:
    """Return whether a failed attempt's stream may still run at its engine.

    A stalled stream is left alone if another engine may run the request: the
    engine is most likely frozen and would stall again.
    """
    failure = attempt.failure
    if failure is None:
        return False
    if failure.refusal == DUPLICATE_STREAM_REFUSAL:
        return True
    if failure.exposure is not Exposure.POSSIBLE:
        return False
    if failure.kind is FailureKind.BROKEN:
        return True
    is_non_idempotent = record.request.repeatability is Repeatability.NON_IDEMPOTENT
    return is_non_idempotent and failure.kind is FailureKind.STALLED


def _may_attach(record: RequestRecord, place: PlaceOn, context: Context) -> bool:
    """Return whether a shared run may still exist."""
    last = record.current
    if last is not None and last.failure is not None:
        refused = last.failure.exposure is not Exposure.POSSIBLE
        ended = last.failure.kind is FailureKind.ENGINE_FAILED
        if refused or ended:
            return False
    return _is_same_incarnation(place, record, context)


def _is_same_incarnation(
    place: PlaceOn, record: RequestRecord, context: Context
) -> bool:
    """Return whether a place is a model engine of unchanged incarnation.

    An unreachable engine is still tried for a request that may run nowhere else: the
    network may recover within the attempts.
    """
    endpoint = context.state.fleet.endpoints.get(place.endpoint)
    if endpoint is None or endpoint.entry.kind is not EndpointKind.MODEL_ENGINE:
        return False
    may_run_elsewhere = record.request.repeatability is Repeatability.IDEMPOTENT
    if may_run_elsewhere and endpoint.unreachable_since is not None:
        return False
    reported = endpoint.report.incarnation if endpoint.report else place.incarnation
    newest = max(endpoint.entry.incarnation, reported)
    return newest <= place.incarnation
