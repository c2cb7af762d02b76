"""What calls cost a gateway that wait for room: ``python -m benchmarks.waiting_calls``.

All slots (or all memory) of the engines are taken. As many calls wait, further ones
come, some end, and the kernel ticks as it does in a gateway; the processor time of a
second of that is told.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import product
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.gateway.policies import PLUGINS, SHARING_PLUGINS
from mimosafork.ids import (
    AccountId,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    Revision,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import (
    CallTerms,
    Request,
    RequestKind,
    Submit,
)
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged
from mimosafork.kernel.registry import create
from mimosafork.routing.engine import EngineFigures
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import ClientLimits, RoutingTable, Service

from .gateway_size import FIGURES

POOL = ServiceId("pool")
ZONE = AvailabilityZoneId("zone-a")
WAITING = 200
SECONDS = 4
TICKS_A_SECOND = round(timedelta(seconds=1) / TICK)
LONG = timedelta(seconds=600)
"""Time of a call, so long that none is given up during the run."""

SHORT_PROMPT, LONG_PROMPT = 5_000, 60_000
LONG_SHARE = 0.2


@dataclass(slots=True)
class Crowd:
    """A gateway's kernel before full engines, with calls that wait."""

    kernel: Kernel
    clock: ManualClock
    random: Random
    running: list[Dispatch]
    begun: int = 0

    def submit(self) -> None:
        """Let a call come."""
        self.begun += 1
        long = self.random.random() < LONG_SHARE
        request = Request(
            request_id=RequestId(f"call-{self.begun}"),
            account=AccountId("account-a"),
            kind=RequestKind.SERVICE,
            target=POOL,
            prompt_tokens=LONG_PROMPT if long else SHORT_PROMPT,
            max_tokens=3_000,
            deadline=self.clock.monotonic() + LONG,
            body_digest=Digest("00"),
            terms=CallTerms(
                max_attempts=3,
                objective=timedelta(milliseconds=1_500 if long else 300),
                longest_pause=timedelta(milliseconds=600 if long else 250),
                expected_tokens=1_200,
            ),
        )
        self._note(Submit(request))

    def finish(self) -> None:
        """Let a running call end."""
        ended = self.running.pop(self.random.randrange(len(self.running)))
        self._note(FirstToken(ended.request_id, ended.attempt))
        self._note(AttemptFinished(ended.request_id, ended.attempt))

    def tick(self) -> None:
        """Let a tick pass."""
        self.clock.advance(TICK)
        self._note(Tick())

    def _note(self, message: Submit | FirstToken | AttemptFinished | Tick) -> None:
        effects = self.kernel.handle(message)
        self.running += [each for each in effects if isinstance(each, Dispatch)]

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self.kernel.state.waiting)


def crowd(
    engines: int, figures: EngineFigures, plugins: Sequence[str] = PLUGINS
) -> Crowd:
    """Return full engines and the calls that wait for room."""
    clock = ManualClock(start=timedelta(seconds=100))
    identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
    kernel = Kernel(identity, clock, Random(1), create(plugins))
    service = Service(POOL, "/health", 64, engine=figures)
    table = RoutingTable(Revision(1), (), {POOL: service}, ClientLimits(), ())
    kernel.handle(RoutingTableChanged(table))
    for number in range(engines):
        listed = ListedEndpoint(
            EndpointId(f"engine-{number}"),
            POOL,
            f"10.0.0.{number}:80",
            ZONE,
            figures.slots,
            ListedState.READY,
        )
        kernel.handle(EndpointUsable(listed))
    found = Crowd(kernel, clock, Random(2), [])
    while found.waiting < WAITING:
        found.submit()
    return found


def second(found: Crowd, ends: int) -> None:
    """Pass a second in which so many calls end, and as many come."""
    for number in range(TICKS_A_SECOND):
        found.tick()
        before = number * ends // TICKS_A_SECOND
        for _ in range((number + 1) * ends // TICKS_A_SECOND - before):
            found.finish()
            found.submit()


def cost_of(found: Crowd, ends: int) -> float:
    """Return the least processor seconds of a second of waiting."""
    tries = []
    for _ in range(SECONDS):
        began = time.process_time()
        second(found, ends)
        tries.append(time.process_time() - began)
    return min(tries)


def main() -> None:
    """Measure and print, with the usual order and with account shares."""
    for name, plugins in (("", PLUGINS), (", account shares", SHARING_PLUGINS)):
        for engines, ends in product((16, 50), (0, 20)):
            found = crowd(engines, FIGURES, plugins)
            spent = cost_of(found, ends)
            print(
                f"{found.waiting} calls waiting for {engines} engines, {ends} ending "
                f"and coming a second{name}: {spent * 1e3:.0f} ms of processor a second"
            )


if __name__ == "__main__":
    main()
