"""The task that keeps this instance's leases."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from logging import getLogger

from ..clock import Clock
from ..kernel.messages.leases import Duty, Lease, LeaseChanged
from ..runtime.task import Task
from ..telemetry.catalogue.orders import LEASE_ACQUIRED, LEASE_LOST, LEASE_RELEASED
from ..telemetry.events import Event
from ..telemetry.logs import log_event
from .keeper import LeaseKeeper
from .view import LeaseView

logger = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Release:
    """Give up a lease; sent at graceful shutdown when its work is over."""

    duty: Duty


class LeaseTask(Task[Release]):
    """Steps keepers as they come due and tells what they hold.

    Parameters
    ----------
    keepers : sequence of LeaseKeeper
        Owned by this task from `start` on.
    clock : Clock
    view : LeaseView
        Kept up to date.
    tell : callable
        Takes `LeaseChanged`; must return at once, as `KernelTask.send` does.
    """

    def __init__(
        self,
        keepers: Sequence[LeaseKeeper],
        clock: Clock,
        view: LeaseView,
        tell: Callable[[LeaseChanged], None],
    ) -> None:
        super().__init__("leases")
        self.keepers = {keeper.duty: keeper for keeper in keepers}
        self.clock = clock
        self.view = view
        self.tell = tell
        self.told: dict[Duty, Lease | None] = dict.fromkeys(self.keepers)

    def wait_time(self) -> timedelta | None:
        """Return the time until a keeper is due."""
        if not self.keepers:
            return None
        due = min(keeper.due for keeper in self.keepers.values())
        return due - self.clock.monotonic()

    def idle(self) -> None:
        """Step the keepers that are due."""
        for keeper in self.keepers.values():
            if keeper.due <= self.clock.monotonic():
                keeper.step()
                self._tell(keeper.duty, keeper.lease)

    def receive(self, message: Release) -> None:
        """Release a lease and stand for it no more."""
        keeper = self.keepers.pop(message.duty, None)
        if keeper is not None:
            self._tell(keeper.duty, None, LEASE_RELEASED)
            keeper.release()

    def _tell(self, duty: Duty, lease: Lease | None, ended: Event = LEASE_LOST) -> None:
        before = self.told[duty]
        if lease == before:
            return
        self.told[duty] = lease
        self.view.update(duty, lease)
        self.tell(LeaseChanged(duty, lease))
        if lease is None and before is not None:
            log_event(logger, ended, lease=duty.value, fencing=before.fencing)
        elif lease is not None and (before is None or before.fencing != lease.fencing):
            log_event(logger, LEASE_ACQUIRED, lease=duty.value, fencing=lease.fencing)
