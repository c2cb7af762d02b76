"""Count the bytes of exchanges with peers."""

from threading import Lock


class Traffic:
    """Totals of one side; any thread may add and read.

    Only the messages are counted, not what the transport puts around them.

    Attributes
    ----------
    sent, received : int
        Bytes since the start.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self._lock = Lock()

    def add(self, sent: int = 0, received: int = 0) -> None:
        """Add bytes."""
        with self._lock:
            self.sent += sent
            self.received += received
