"""Bounds of an engine's backlog and of the part that long prompts may hold."""

from datetime import timedelta

from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from tests.support.functions import function_tests
from tests.support.kernels import configuration, engine_entry, model_request
from tests.support.policies import BOUNDED, policy_kernel, tick

MINUTES = timedelta(minutes=10)
ONE = [engine_entry("e1")]


def test_request_waits_for_memory() -> None:
    with policy_kernel(BOUNDED, ONE) as bench:
        bench.report("e1", kv_used=399_000)
        bench.submit(model_request("r", 2_000))
        assert not bench.dispatches("r")
        bench.report("e1", kv_used=300_000)
        tick(bench)
        assert len(bench.dispatches("r")) == 1


def test_memory_of_own_requests_counts_before_the_next_report() -> None:
    with policy_kernel(BOUNDED, ONE) as bench:
        bench.report("e1", kv_used=372_000)
        bench.submit(model_request("r1", 6_000))
        bench.submit(model_request("r2", 6_000))
        assert len(bench.dispatches("r1")) == 1
        assert not bench.dispatches("r2")


def test_long_prompts_together_keep_to_their_share() -> None:
    """Long prompts fill an engine's memory, and short requests can't start.

    Two long prompts together would take three quarters of the memory. The second one
    waits until the first is done; a single one may take more than the share.
    """
    settings = configuration(FleetPolicy(long_share=0.5))
    with policy_kernel(BOUNDED, ONE, settings) as bench:
        bench.submit(model_request("first", 250_000, MINUTES))
        assert len(bench.dispatches("first")) == 1
        bench.handle(FirstToken(RequestId("first"), AttemptNumber(1)))
        bench.report("e1", kv_used=250_100)
        bench.submit(model_request("second", 50_000, MINUTES))
        assert not bench.dispatches("second")
        bench.handle(AttemptFinished(RequestId("first"), AttemptNumber(1)))
        bench.report("e1", kv_used=0)
        tick(bench)
        assert len(bench.dispatches("second")) == 1
        bench.handle(FirstToken(RequestId("second"), AttemptNumber(1)))
        bench.report("e1", kv_used=50_100)
        bench.submit(model_request("third", 100_000, MINUTES))
        assert len(bench.dispatches("third")) == 1


def test_long_prompt_is_queued_while_long_prefill_waits_at_the_engine() -> None:
    with policy_kernel(BOUNDED, ONE) as bench:
        bench.report("e1", waiting_prefill_tokens=150_000, kv_used=10_000)
        bench.submit(model_request("long", 100_000, MINUTES))
        assert not bench.dispatches("long")
        bench.report("e1", waiting_prefill_tokens=20_000, kv_used=10_000)
        tick(bench)
        assert len(bench.dispatches("long")) == 1


def test_short_backlog_beyond_the_bound_is_queued() -> None:
    with policy_kernel(BOUNDED, ONE) as bench:
        for number in range(40):
            bench.submit(model_request(f"r{number}", 3_000))
        sent = [number for number in range(40) if bench.dispatches(f"r{number}")]
        assert 10 <= len(sent) <= 12, sent


load_tests = function_tests(__name__)
