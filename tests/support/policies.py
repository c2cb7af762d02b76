"""Kernels with the shipped policies, in whatever choice a test needs."""

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
    """Give a kernel with plug-ins made by name."""
    return running_kernel(registry.create(names), endpoints, settings, seed)


def only_dispatch(bench: Bench, name: str) -> Dispatch:
    """Return the one attempt of a request, which must be there."""
    (dispatch,) = bench.dispatches(name)
    return dispatch


def tick(bench: Bench, seconds: float = 0.05) -> None:
    """Let time pass and the kernel look at its timers."""
    bench.handle_after(timedelta(seconds=seconds), Tick())
