"""Construction of attempts from a request and its placement."""

from datetime import timedelta

from ..ids import AttemptNumber, StreamId
from .fleet import OwnDispatch
from .messages.dispatch import Dispatch
from .plugins import PlaceOn
from .records import Attempt, RequestRecord


def new_attempt(record: RequestRecord, place: PlaceOn, now: timedelta) -> Attempt:
    """Return the next attempt of a request without changing the record."""
    number = AttemptNumber(len(record.attempts) + 1)
    stream_id = place.stream_id
    if stream_id is None:
        base = record.stream_id_prefix or record.request_id
        stream_id = StreamId(f"{base}.{number}")
    return Attempt(
        number=number,
        stream_id=stream_id,
        endpoint=place.endpoint,
        incarnation=place.incarnation,
        address=place.address,
        started_at=now,
    )


def build_dispatch(record: RequestRecord, attempt: Attempt, place: PlaceOn) -> Dispatch:
    """Return the effect that dispatches an attempt."""
    request = record.request
    return Dispatch(
        request_id=request.request_id,
        attempt=attempt.number,
        stream_id=attempt.stream_id,
        endpoint=place.endpoint,
        incarnation=place.incarnation,
        address=place.address,
        deadline=request.deadline,
        priority=place.priority,
        attach=place.attach,
        offset=request.resume_offset + record.delivered_tokens,
        imports=place.imports,
        imported_tokens=place.imported_tokens,
        reservation=place.reservation,
        keep_answer=record.claim is not None and request.resume_offset == 0,
        shared=record.is_shareable,
        helpers=place.helpers,
        silence_timeouts=place.silence_timeouts,
        via_peer=place.via_peer,
    )


def build_own_dispatch(record: RequestRecord, now: timedelta) -> OwnDispatch:
    """Return the entry that the fleet view keeps for a dispatched request."""
    request = record.request
    return OwnDispatch(
        request.request_id, request.prompt_tokens, request.max_tokens, now
    )
