"""What forwarding costs at the size to design for: ``python -m benchmarks.forwarding``.

A kernel with the gateway's plug-ins and 600 endpoints of 6 services in 6 zones has one
service that it does not reach, and 329 peers that do. Told are the processor time of a
call that is placed on a peer, of the end of an attempt that counts as evidence, of a
change of the peers, and the bytes of what an instance publishes.
"""

import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

import msgspec

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.connectivity import EndpointConnectivity
from mimosafork.gateway.policies.service_reach import ServiceReach
from mimosafork.gossip.ids import IdWriter
from mimosafork.gossip.kinds.connectivity import CONNECTIVITY, Connectivity
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    Exposure,
    FailureKind,
)
from mimosafork.kernel.messages.connectivity import (
    ForwardingPeer,
    ForwardingPeersChanged,
)
from mimosafork.kernel.messages.requests import (
    CallerGone,
    CallTerms,
    Request,
    RequestKind,
    Submit,
)
from mimosafork.kernel.messages.routing import EndpointUsable
from mimosafork.kernel.registry import create
from mimosafork.routing.listing import ListedEndpoint, ListedState

ENDPOINTS = 600
SERVICES = 6
ZONES = 6
PEERS = 329
CALLS = 500
MICROSECONDS = 1e6
DEADLINE = timedelta(seconds=10)


def zone(number: int) -> AvailabilityZoneId:
    """Return one of the zones in turn."""
    return AvailabilityZoneId(f"zone-{number % ZONES}")


def service(number: int) -> ServiceId:
    """Return one of the services in turn."""
    return ServiceId(f"service-{number % SERVICES}")


def peers(unreachable: frozenset[ServiceId] = frozenset()) -> ForwardingPeersChanged:
    """Return a change of the peers."""
    return ForwardingPeersChanged(
        tuple(
            ForwardingPeer(
                InstanceId(f"entry-{number}"), zone(number), "10.0.0.1:1", unreachable
            )
            for number in range(PEERS)
        )
    )


def kernel_with_fleet() -> Kernel:
    """Return a kernel with endpoints and peers, which does not reach one service."""
    clock = ManualClock(start=timedelta(seconds=100))
    identity = InstanceIdentity(InstanceId("entry"), Incarnation(1), zone(0))
    kernel = Kernel(identity, clock, Random(1), create(PLUGINS))
    for number in range(ENDPOINTS):
        listed = ListedEndpoint(
            EndpointId(f"i-{number:08x}"),
            service(number),
            "10.0.0.1:1",
            zone(number),
            8,
            ListedState.READY,
        )
        kernel.handle(EndpointUsable(listed))
    kernel.handle(peers())
    reach = ServiceReach(unreachable_since=clock.monotonic())
    kernel.plugin(EndpointConnectivity).services[service(0)] = reach
    return kernel


def request(kernel: Kernel, number: int, target: ServiceId) -> Request:
    """Return a call."""
    return Request(
        request_id=RequestId(str(number)),
        account=AccountId("account"),
        kind=RequestKind.SERVICE,
        target=target,
        prompt_tokens=0,
        max_tokens=0,
        deadline=kernel.clock.monotonic() + DEADLINE,
        body_digest=Digest(f"{number:032x}"),
        terms=CallTerms(max_attempts=2, objective=timedelta(milliseconds=300)),
    )


def time_each(action: Callable[[int], object]) -> float:
    """Return the processor time of an action in microseconds, the mean of many."""
    began = time.process_time()
    for number in range(CALLS):
        action(number)
    return (time.process_time() - began) / CALLS * MICROSECONDS


def place_calls(target: ServiceId) -> float:
    """Return the time of a call from its arrival to its caller's leaving."""
    kernel = kernel_with_fleet()

    def place(number: int) -> None:
        kernel.handle(Submit(request(kernel, number, target)))
        kernel.handle(CallerGone(RequestId(str(number))))

    return time_each(place)


def fail_attempts() -> float:
    """Return the time of a failed attempt at a service that can be reached."""
    kernel = kernel_with_fleet()

    def fail(number: int) -> None:
        kernel.handle(
            AttemptFailed(
                RequestId("none"),
                AttemptNumber(1),
                FailureKind.STALLED,
                Exposure.POSSIBLE,
                endpoint=EndpointId(f"i-{number % ENDPOINTS:08x}"),
            )
        )

    return time_each(fail)


def change_peers() -> float:
    """Return the time of a change of the peers in the kernel."""
    kernel = kernel_with_fleet()
    changes = [peers(), peers(frozenset({service(1)}))]
    return time_each(lambda number: kernel.handle(changes[number % 2]))


def published_bytes(unreachable: frozenset[ServiceId]) -> int:
    """Return the bytes of what an instance publishes."""
    published = Connectivity(7341, unreachable)
    return len(msgspec.msgpack.encode(CONNECTIVITY.codec.pack(published, IdWriter())))


def main() -> None:
    """Print all of it."""
    print(f"a call placed on a peer: {place_calls(service(0)):.0f} us")
    print(f"a call placed on an endpoint: {place_calls(service(1)):.0f} us")
    print(f"a failed attempt: {fail_attempts():.0f} us")
    print(f"a change of the peers: {change_peers():.0f} us")
    everything = frozenset(map(service, range(SERVICES)))
    print(f"published: {published_bytes(frozenset())} bytes,", end=" ")
    print(f"{published_bytes(everything)} with all services unreachable")


if __name__ == "__main__":
    main()
