"""Kernels with a selection of the built-in policies."""

from collections.abc import Sequence
from contextlib import AbstractContextManager
from datetime import timedelta

from mimosafork.kernel import registry
from mimosafork.kernel.configuration import Configuration
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.fleet import EndpointEntry

from .kernels import Bench, running_kernel

CORE = ("known-target", "bounded-retry")
ROUTED = (
    *CORE,
    "prediction",
    "prefix-affinity",
    "first-token-scores",
    "predicted-first-token",
    "service-routing",
)
BOUNDED = (*ROUTED, "ageing-priorities", "engine-bounds")
ADMITTED = (*BOUNDED, "deadline-admission")


def policy_kernel(
    names: Sequence[str],
    endpoints: Sequence[EndpointEntry],
    settings: Configuration | None = None,
    seed: int = 7,
) -> AbstractContextManager[Bench]:
    """Return a context manager of a kernel with the named plug-ins."""
    return running_kernel(registry.create(names), endpoints, settings, seed)


def only_dispatch(bench: Bench, name: str) -> Dispatch:
    """Return the attempt of a request; fail unless there is exactly one."""
    (dispatch,) = bench.dispatches(name)
    return dispatch


def tick(bench: Bench, seconds: float = 0.05) -> None:
    """Advance the clock and send a timer tick."""
    bench.handle_after(timedelta(seconds=seconds), Tick())
