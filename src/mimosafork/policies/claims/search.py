"""Candidates in the search for a stream that another call has started."""

from ...ids import StreamId
from ...kernel.configuration import FleetPolicy
from ...kernel.context import Context
from ...kernel.messages.claims import CandidateEndpoint, Claim
from ...kernel.messages.fleet import EndpointKind
from ...kernel.records import RequestRecord
from .keys import FIRST_GENERATION, stream_base_of, stream_ids

MAX_SEARCHED_ENDPOINTS = 128
"""Bounds the search: without it one resend could cost the fleet thousands of calls."""


def candidate_stream_ids(
    record: RequestRecord, existing: Claim | None, context: Context
) -> tuple[StreamId, ...]:
    """Return the possible ids of the stream."""
    generation = existing.generation if existing else FIRST_GENERATION
    configuration = context.state.configuration
    fleet = configuration.fleet if configuration else FleetPolicy()
    base = stream_base_of(record.request, generation)
    return stream_ids(base, fleet.max_attempts)


def candidate_endpoints(
    record: RequestRecord, context: Context
) -> tuple[CandidateEndpoint, ...]:
    """Return the engines that serve the model, including leaving ones."""
    found = []
    for endpoint in context.state.fleet.serving(record.request.target):
        if endpoint.entry.kind is not EndpointKind.MODEL_ENGINE:
            continue
        entry, report = endpoint.entry, endpoint.report
        incarnation = max(
            entry.incarnation, report.incarnation if report else entry.incarnation
        )
        found.append(CandidateEndpoint(entry.endpoint, incarnation, entry.address))
    return tuple(found[:MAX_SEARCHED_ENDPOINTS])
