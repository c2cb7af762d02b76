"""A gate before each piece of work, so that a test sets the pace."""

import asyncio
from collections import deque


class Gate:
    """Open at first; held, it lets as many pieces pass as are released."""

    def __init__(self) -> None:
        self.held = False
        self.permits = 0
        self.waiters: deque[asyncio.Future[None]] = deque()

    def hold(self) -> None:
        """Let nothing pass."""
        self.held = True
        self.permits = 0

    def release(self, pieces: int) -> None:
        """Let so many pass, those that wait first, in their order."""
        self.permits += pieces
        self._wake()

    def let_go(self) -> None:
        """Let everything pass."""
        self.held = False
        self._wake()

    async def passed(self) -> None:
        """Wait to be let through."""
        while self.held and self.permits == 0:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            try:
                await waiter
            finally:
                if waiter in self.waiters:
                    self.waiters.remove(waiter)
        if self.held:
            self.permits -= 1

    def _wake(self) -> None:
        for waiter in list(self.waiters):
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()
