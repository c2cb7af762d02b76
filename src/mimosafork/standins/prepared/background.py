"""One asyncio loop in a thread of the test's process."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from threading import Thread, get_ident
from typing import Any, TypeVar

from ..errors import StandinError

T = TypeVar("T")

CALL_TIMEOUT_S = 10.0


class LoopThread:
    """Runs the loop that owns all sockets and state of the stand-ins.

    Other threads reach that state by `call` and `run` only, so nothing is locked.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = Thread(target=self._serve, name="prepared", daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self.thread.start()

    def call(self, function: Callable[[], T]) -> T:
        """Run a function in the loop's thread and return what it returns."""
        if get_ident() == self.thread.ident:
            return function()

        async def once() -> T:
            return function()

        return self.run(once())

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the loop and wait for its result.

        Raises
        ------
        StandinError
            If it takes longer than `CALL_TIMEOUT_S`.
        """
        future: Future[T] = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        try:
            return future.result(CALL_TIMEOUT_S)
        except TimeoutError as error:
            future.cancel()
            raise StandinError("the stand-ins' loop did not answer") from error

    def stop(self) -> None:
        """Cancel what still runs and end the thread; harmless when repeated."""
        if self.loop.is_closed():
            return
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_S)
        self.loop.close()

    def _serve(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    async def _cancel_all(self) -> None:
        own = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not own]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        # Closed transports tell their protocols in the loop's next turns.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
