"""Fair shares of large and small accounts in the queue."""

from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import AccountId, RequestId
from mimosafork.kernel.configuration import AccountPolicy
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.requests import CallerGone
from mimosafork.policies.fair_shares import FairShares
from tests.support.functions import function_tests
from tests.support.kernels import (
    Bench,
    configuration,
    engine_entry,
    model_request,
)
from tests.support.policies import BOUNDED, policy_kernel, tick

FAIR = (*BOUNDED, "fair-shares")
LARGE = AccountId("large")
SMALL = AccountId("small")
MINUTES = timedelta(minutes=10)
LONG = 300_000


def test_largest_account_cannot_starve_the_smallest() -> None:
    """A small account waits behind eight slightly older requests of a large one.

    All are long prompts, and only one of them runs at a time. The small account's
    request goes next, although it arrived last.
    """
    with policy_kernel(FAIR, [engine_entry("e1")]) as bench:
        submit_long_prompts(bench, 8)
        tick(bench, 1.0)
        bench.submit(replace(model_request("one", LONG, MINUTES), account=SMALL))
        assert not bench.dispatches("one")
        end_first(bench)
        assert bench.dispatches("one")
        assert len(bench.dispatches("large1")) == 0


def test_sole_account_has_no_penalty() -> None:
    with policy_kernel(FAIR, [engine_entry("e1")]) as bench:
        submit_long_prompts(bench, 8)
        fair_shares = bench.kernel.plugin(FairShares)
        records = bench.kernel.state.requests.values()
        assert {fair_shares.penalty_s(each) for each in records} == {0.0}


def test_short_requests_are_not_penalized_for_a_long_one_of_the_account() -> None:
    """An account that has one long prompt running gets its short ones served last."""
    with policy_kernel(FAIR, [engine_entry("e1")]) as bench:
        submit_long_prompts(bench, 1)
        bench.submit(replace(model_request("other", 1_000), account=SMALL))
        bench.submit(replace(model_request("letter", 1_000), account=LARGE))
        record = bench.kernel.state.requests[RequestId("letter")]
        assert bench.kernel.plugin(FairShares).penalty_s(record) == 0


def test_weight_sets_the_fair_share() -> None:
    """An account with nearly all of the weight is penalized for using its share."""
    heavy = AccountPolicy(LARGE, (), 1e9, 10**9, weight=99.0)
    light = AccountPolicy(SMALL, (), 1e9, 10**9, weight=1.0)
    settings = configuration(accounts=[heavy, light])
    with policy_kernel(FAIR, [engine_entry("e1")], settings) as bench:
        bench.submit(replace(model_request("one", LONG, MINUTES), account=SMALL))
        submit_long_prompts(bench, 8)
        bench.submit(replace(model_request("two", LONG, MINUTES), account=SMALL))
        bench.handle(CallerGone(RequestId("one")))
        bench.report("e1")
        bench.handle(Tick())
        assert bench.dispatches("large0")
        assert not bench.dispatches("two")


def submit_long_prompts(bench: Bench, number: int) -> None:
    """Let the large account submit long prompts."""
    for each in range(number):
        request = model_request(f"large{each}", LONG, MINUTES)
        bench.submit(replace(request, account=LARGE))


def end_first(bench: Bench) -> None:
    """End the one long prompt that runs, and report the engine as idle."""
    bench.handle(CallerGone(RequestId("large0")))
    bench.handle_after(timedelta(seconds=1), Tick())
    bench.report("e1")
    bench.handle(Tick())


load_tests = function_tests(__name__)
