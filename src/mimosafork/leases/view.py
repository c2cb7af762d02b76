"""What this instance holds, for those who act under a lease."""

from ..kernel.messages.leases import Duty, Lease


class LeaseView:
    """The leases as they were last renewed; safe for threads.

    The lease task writes, others read right before each act. Each entry is an
    immutable value that is replaced whole, so that a reader sees one renewal or
    the next.
    """

    def __init__(self) -> None:
        self.leases: dict[Duty, Lease] = {}

    def current(self, duty: Duty) -> Lease | None:
        """Return the lease of a duty; its validity is the caller's to ask."""
        return self.leases.get(duty)

    def update(self, duty: Duty, lease: Lease | None) -> None:
        """Replace a lease; for the lease task only."""
        if lease is None:
            self.leases.pop(duty, None)
        else:
            self.leases[duty] = lease
