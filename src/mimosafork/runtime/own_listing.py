"""Keeps this instance's own entry in the platform's list."""

from datetime import timedelta
from logging import getLogger

from msgspec.structs import replace

from ..clock import Clock
from ..kernel.messages.fleet import EntryInstance, LifecycleState
from ..runtime.task import Task
from ..storage.errors import PlatformError
from ..storage.instances import InstanceListClient

logger = getLogger(__name__)

RENEW_PERIOD = timedelta(seconds=60)
"""A platform that lost its entries gets this one back so often."""
RETRY_PERIOD = timedelta(seconds=2)


class OwnListing(Task[LifecycleState]):
    """Enters this instance at its start, and takes it out at its end.

    While the list can't be written the instance works all the same: peers learn of
    it from its own calls.
    """

    def __init__(
        self, client: InstanceListClient, clock: Clock, entry: EntryInstance
    ) -> None:
        super().__init__("own-listing")
        self.client = client
        self.clock = clock
        self.entry = entry
        self.due = clock.monotonic()

    def start_at(self, front: str, operations: str) -> None:
        """Start with these addresses, where the settings advertise no others.

        Not before the servers listen: an instance that is listed earlier would be
        sent callers and operators whom nobody answers.
        """
        self.entry = replace(
            self.entry,
            address=self.entry.address or front,
            operations_address=self.entry.operations_address or operations,
        )
        self.start()

    def wait_time(self) -> timedelta:
        """Return the time until the entry is written again."""
        return self.due - self.clock.monotonic()

    def idle(self) -> None:
        """Write the entry."""
        self.due = self.clock.monotonic() + RENEW_PERIOD
        try:
            self.client.register(self.entry)
        except PlatformError as error:
            logger.debug("this instance can't be listed: %s", error)
            self.due = self.clock.monotonic() + RETRY_PERIOD

    def receive(self, message: LifecycleState) -> None:
        """Change the entry's state."""
        self.entry = replace(self.entry, state=message)
        self.idle()

    def stop(self, timeout: timedelta = timedelta(seconds=5)) -> None:
        """Stop, and take the entry out if the list can be written."""
        super().stop(timeout)
        try:
            self.client.remove(self.entry.instance)
        except PlatformError as error:
            logger.debug("this instance can't be taken off the list: %s", error)
