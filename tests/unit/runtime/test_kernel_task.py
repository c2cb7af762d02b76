"""Tests of the task that owns the kernel."""

from datetime import timedelta

from mimosafork.clock import ManualClock
from mimosafork.kernel.messages.base import Effect
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import Submit
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from mimosafork.runtime.kernel_task import KernelTask
from tests.support.functions import function_tests
from tests.support.kernels import engine_entry, model_request, running_kernel

LATE = timedelta(seconds=61)


class SinkBrokenError(Exception):
    """Raised by a sink."""


def test_a_sink_that_raises_loses_no_other_effect() -> None:
    """Callers are never told that their time is over.

    A tick ended several requests; the sink of the first cancelled attempt raised, and
    the effects behind it were not carried out.
    """
    plugins = [KnownTarget(), LeastRequests(), FirstCome(), BoundedRetry()]
    with running_kernel(plugins, [engine_entry("e0")]) as bench:
        clock = bench.clock
        assert isinstance(clock, ManualClock)
        task = KernelTask(bench.kernel, clock)
        concluded: list[Effect] = []

        def broken(effect: Effect) -> None:
            raise SinkBrokenError

        task.register(Dispatch, broken)
        task.register(Conclude, broken)
        task.register(Conclude, concluded.append)
        task.receive(Submit(model_request("a")))
        task.receive(Submit(model_request("b")))
        clock.advance(LATE)
        task.idle()
        assert len(concluded) == 2


load_tests = function_tests(__name__)
