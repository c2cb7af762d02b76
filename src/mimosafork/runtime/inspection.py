"""Looks at the kernel's state from other threads."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, TypeVar

from ..kernel.context import KernelState

T = TypeVar("T")
Reader = Callable[[KernelState], T]


class Inspection:
    """One look, made by the task that owns the state.

    Parameters
    ----------
    read : Callable
        Takes the state; what it returns must not share parts with it.
    """

    def __init__(self, read: Reader[Any]) -> None:
        self.read = read
        self.result: Future[Any] = Future()

    def run(self, state: KernelState) -> None:
        """Look, and hand the result or the error to whoever waits."""
        try:
            self.result.set_result(self.read(state))
        except Exception as error:
            self.result.set_exception(error)
