"""What an instance tells operators of the endpoints that it knows."""

import msgspec

from ..kernel.context import KernelState
from ..kernel.fleet import Endpoint


class EndpointBody(msgspec.Struct):
    """One endpoint."""

    endpoint: str
    kind: str
    address: str
    availability_zone: str
    incarnation: int
    state: str
    reported: bool
    draining: bool
    unreachable: bool
    own_requests: int
    running: int
    waiting: int


class FleetBody(msgspec.Struct):
    """The fleet as one instance sees it."""

    instance: str
    incarnation: int
    revision: int
    waiting_requests: int
    open_requests: int
    endpoints: list[EndpointBody]


def fleet_body(state: KernelState) -> FleetBody:
    """Return a copy of what the kernel knows."""
    configuration = state.configuration
    endpoints = [_endpoint_body(each) for each in state.fleet.endpoints.values()]
    return FleetBody(
        instance=state.identity.instance,
        incarnation=state.identity.incarnation,
        revision=configuration.revision if configuration is not None else 0,
        waiting_requests=len(state.waiting),
        open_requests=len(state.requests),
        endpoints=sorted(endpoints, key=lambda each: each.endpoint),
    )


def _endpoint_body(endpoint: Endpoint) -> EndpointBody:
    report = endpoint.report
    return EndpointBody(
        endpoint=endpoint.entry.endpoint,
        kind=endpoint.entry.kind.value,
        address=endpoint.entry.address,
        availability_zone=endpoint.entry.availability_zone,
        incarnation=endpoint.entry.incarnation,
        state=endpoint.entry.state.value,
        reported=report is not None,
        draining=endpoint.draining,
        unreachable=endpoint.unreachable_since is not None,
        own_requests=len(endpoint.own_requests),
        running=report.running if report is not None else 0,
        waiting=report.waiting if report is not None else 0,
    )
