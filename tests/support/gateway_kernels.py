"""A gateway's kernel with its policies, plain endpoints and a manual clock."""

from datetime import timedelta
from random import Random

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies import PLUGINS
from mimosafork.ids import (
    AccountId,
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
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
    RetryDue,
)
from mimosafork.kernel.messages.base import Effect, Message
from mimosafork.kernel.messages.connectivity import ConnectionProbed, ProbeConnections
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import (
    CallTerms,
    Repeatability,
    Request,
    RequestKind,
)
from mimosafork.kernel.messages.routing import EndpointUsable
from mimosafork.kernel.registry import create
from mimosafork.routing.listing import ListedEndpoint, ListedState

from .kernels import Bench

PLAIN_SERVICE = ServiceId("desks")
ZONE = AvailabilityZoneId("zone-a")
DEADLINE = timedelta(seconds=10)
RETRY_PAUSE = timedelta(milliseconds=20)


class GatewayBench(Bench):
    """Adds common steps of tests of the gateway's policies."""

    answers_probes = True
    """Whether probes of endpoints open connections at once."""

    def handle(self, message: Message) -> list[Effect]:
        """Handle a message, and answer the probes that it causes."""
        emitted = super().handle(message)
        for effect in emitted:
            if self.answers_probes and isinstance(effect, ProbeConnections):
                for target in effect.targets:
                    self.handle(ConnectionProbed(target, opened=True))
        return emitted

    def list_endpoint(self, name: str, slots: int = 8) -> None:
        """List an endpoint as usable."""
        self.handle(EndpointUsable(listed(name, slots)))

    def dispatches(self, request_id: str) -> list[Dispatch]:
        """Return the attempts of a request so far."""
        return [d for d in self.emitted(Dispatch) if d.request_id == request_id]

    def begin(self, request: Request) -> Dispatch:
        """Submit a request that is dispatched at once; return its attempt."""
        self.submit(request)
        return self.dispatches(request.request_id)[-1]

    def fail(
        self,
        dispatch: Dispatch,
        kind: FailureKind = FailureKind.BROKEN,
        exposure: Exposure = Exposure.POSSIBLE,
        status: int | None = None,
        refusal: str | None = None,
    ) -> None:
        """Fail an attempt."""
        self.handle(
            AttemptFailed(
                dispatch.request_id,
                dispatch.attempt,
                kind,
                exposure,
                status=status,
                refusal=refusal,
                endpoint=dispatch.endpoint,
                digest=digest_of(dispatch.request_id),
            )
        )

    def finish(self, dispatch: Dispatch) -> None:
        """Complete an attempt successfully."""
        self.handle(FirstToken(dispatch.request_id, dispatch.attempt))
        self.handle(AttemptFinished(dispatch.request_id, dispatch.attempt))

    def retried(self, dispatch: Dispatch) -> Dispatch | None:
        """Advance past the retry delay; return the next attempt, if there is one."""
        self.handle_after(RETRY_PAUSE, RetryDue(dispatch.request_id))
        newest = self.dispatches(dispatch.request_id)[-1]
        return newest if newest.attempt > dispatch.attempt else None

    def concluded(self, request_id: str) -> Conclude:
        """Return the conclusion of a request, which must exist."""
        found = self.conclusion(request_id)
        assert found is not None
        return found


def gateway_bench(endpoints: int = 3) -> GatewayBench:
    """Return a kernel with some plain endpoints."""
    clock = ManualClock(start=timedelta(seconds=100))
    identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
    kernel = Kernel(identity, clock, Random(1), create(PLUGINS))
    bench = GatewayBench(kernel, clock)
    for number in range(endpoints):
        bench.list_endpoint(f"desk-{number}")
    return bench


def listed(name: str, slots: int = 8) -> ListedEndpoint:
    """Return a listed plain endpoint."""
    return ListedEndpoint(
        EndpointId(name),
        PLAIN_SERVICE,
        "127.0.0.1:1",
        ZONE,
        slots,
        ListedState.READY,
    )


def digest_of(request_id: str) -> Digest:
    """Return the digest of a request, derived from its id up to the first dash."""
    return Digest(request_id.partition("-")[0].encode().hex())


def request_of(
    bench: GatewayBench,
    request_id: str,
    non_idempotent: bool = False,
    time: timedelta = DEADLINE,
    **terms: int,
) -> Request:
    """Return a call of the plain service."""
    return plain_request(
        request_id, bench.clock.monotonic(), non_idempotent, time, **terms
    )


def plain_request(
    request_id: str,
    now: timedelta,
    non_idempotent: bool = False,
    time: timedelta = DEADLINE,
    **terms: int,
) -> Request:
    """Return a call of the plain service that arrives at a given time."""
    repeatable = Repeatability.IDEMPOTENT
    usual = CallTerms(max_attempts=3, objective=timedelta(milliseconds=300))
    return Request(
        request_id=RequestId(request_id),
        account=AccountId("account-a"),
        kind=RequestKind.SERVICE,
        target=PLAIN_SERVICE,
        prompt_tokens=0,
        max_tokens=0,
        deadline=now + time,
        body_digest=digest_of(request_id),
        repeatability=Repeatability.NON_IDEMPOTENT if non_idempotent else repeatable,
        terms=replace(usual, **terms),
    )
