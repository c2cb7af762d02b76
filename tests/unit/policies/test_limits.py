"""Rate limits of client accounts over all entry instances."""

from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import AccountId
from mimosafork.kernel.configuration import AccountPolicy
from mimosafork.kernel.context import Context
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken, Usage
from mimosafork.kernel.messages.claims import ClaimState, ReplayAnswer
from mimosafork.kernel.messages.limits import account_key
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.peers.kinds.base import kind_of
from mimosafork.policies.limits import AccountLimits
from mimosafork.policies.limits.demand_publisher import (
    MAX_ACCOUNTS,
    DemandPublisher,
    LocalDemand,
)
from mimosafork.policies.limits.shares import Shares
from tests.support.claims import claim_plugins, lost, once, other_claim
from tests.support.functions import function_tests
from tests.support.kernels import (
    ACCOUNT,
    configuration,
    engine_entry,
    model_request,
    running_kernel,
)
from tests.support.limits import REQUEST_TOKENS, LimitSimulation
from tests.support.policies import BOUNDED, policy_kernel

RATE = 3_000
BURST = 9_000
POLICY = AccountPolicy(ACCOUNT, (), RATE, BURST)
ZONES = {"az-1": 3, "az-2": 3, "az-3": 3}
LIMITED = (*BOUNDED, "account-limits")
ROUNDING = 1.0001


def test_many_instances_together_keep_to_the_limit() -> None:
    """An account that spreads its calls over nine instances gets nine times its limit.

    It sends twelve times its limit evenly to nine instances, each of which knows
    only the requests that it accepts itself.
    """
    simulation = LimitSimulation(POLICY, ZONES)
    granted = simulation.run(120, dict.fromkeys(simulation.zone_of, 4.0))
    most = BURST + RATE * 120 + len(simulation.zone_of) * REQUEST_TOKENS
    assert 0.8 * RATE * 120 <= granted <= most, granted
    assert simulation.largest_sum <= ROUNDING, simulation.largest_sum


def test_demand_moves_the_shares() -> None:
    """A caller at one instance gets a ninth of its limit.

    Its load balancer sends all of its calls to one instance, and later to another in
    another zone. Messages take up to 4 s, and the instances together never grant more
    than the limit.
    """
    simulation = LimitSimulation(POLICY, ZONES)
    for place in ("az-1-0", "az-3-2"):
        simulation.run(60, {place: 12.0})
        granted = simulation.run(60, {place: 12.0})
        assert granted >= 0.8 * RATE * 60, (place, granted)
    for number in range(30):
        names = simulation.random.sample(list(simulation.zone_of), 1 + number % 4)
        simulation.run(7, dict.fromkeys(names, 6.0))
    assert simulation.largest_sum <= ROUNDING, simulation.largest_sum


def test_partitioned_zones_each_grant_at_most_the_limit() -> None:
    """Partitioned zones refuse a client completely, or grant it any amount.

    Each keeps its share for `DEMAND_TTL` and may then grant the whole limit, which is
    three times the limit in total. After the partition, the sum of the shares is within
    the limit as soon as messages have arrived.
    """
    simulation = LimitSimulation(POLICY, ZONES)
    demand = dict.fromkeys(simulation.zone_of, 4.0)
    simulation.run(60, demand)
    simulation.partition(partitioned=True)
    granted = simulation.run(180, demand)
    assert RATE * 180 * 2 < granted <= BURST + 3 * RATE * 180 + 9 * REQUEST_TOKENS
    assert simulation.largest_sum <= 3 * ROUNDING
    simulation.partition()
    simulation.run(20, demand)
    simulation.largest_sum = 0.0
    granted = simulation.run(60, demand)
    assert simulation.largest_sum <= ROUNDING, simulation.largest_sum


def test_isolated_instance_keeps_its_last_share() -> None:
    """A failed switch makes one instance grant the whole limit of all accounts."""
    simulation = LimitSimulation(POLICY, ZONES)
    demand = dict.fromkeys(simulation.zone_of, 4.0)
    simulation.run(60, demand)
    simulation.partition(isolated="az-1-1")
    before = simulation.granted["az-1-1"]
    simulation.run(120, {**demand, "az-1-1": 40.0})
    taken = simulation.granted["az-1-1"] - before
    assert 0.5 * RATE * 120 / 9 <= taken <= 2 * RATE * 120 / 9, taken


def test_request_larger_than_the_burst_overdraws_a_full_bucket() -> None:
    """A prompt of 100,000 tokens is always refused, as it exceeds the bucket's size.

    It is accepted when the bucket is full. The next request is refused with the time
    until the debt is paid, and is accepted then and not before.
    """
    simulation = LimitSimulation(POLICY, {"az-1": 1})
    assert simulation.ask("az-1-0", 100_000) is None
    refused = simulation.ask("az-1-0", 1_000)
    assert refused is not None and refused.problem is not None
    assert refused.outcome is Outcome.NOT_RUN
    wait = refused.problem.retry_after
    assert wait is not None
    assert abs(wait.total_seconds() - 92_000 / RATE) < 0.2, wait
    simulation.clock.advance(wait - timedelta(seconds=1))
    assert simulation.ask("az-1-0", 1_000) is not None
    simulation.clock.advance(timedelta(seconds=1.1))
    assert simulation.ask("az-1-0", 1_000) is None


def test_charge_is_corrected_by_the_usage() -> None:
    """An account that gets shorter answers than requested is refused too early."""
    settings = configuration(accounts=[replace(POLICY, tokens_per_second=1)])
    with policy_kernel(LIMITED, [engine_entry("e1")], settings) as bench:
        bench.submit(model_request("r", 2_000, max_tokens=4_000))
        account = bench.kernel.plugin(AccountLimits).accounts[ACCOUNT]
        assert account.bucket.level == BURST - 6_000
        number = bench.dispatches("r")[0].attempt
        bench.handle(FirstToken(model_request("r").request_id, number))
        usage = Usage(2_000, 0, 10)
        bench.handle(AttemptFinished(model_request("r").request_id, number, usage))
        assert account.bucket.level == BURST - 2_010


def test_number_of_published_accounts_is_bounded() -> None:
    """Two thousand busy accounts saturate the links between the instances."""
    with policy_kernel(LIMITED, []) as bench:
        context = Context(timedelta(0), bench.kernel.random, bench.kernel.state)
        telling = DemandPublisher(Shares())
        busy = [
            LocalDemand(account_key(AccountId(f"a{each}")), each * 1e6, 2e9)
            for each in range(2_000)
        ]
        telling.publish_own(busy, context)
        assert len(telling.own.accounts) == MAX_ACCOUNTS
        assert min(telling.own.tokens_per_second) == (2_000 - MAX_ACCOUNTS) * 1_000_000
        encoded = kind_of(telling.own).encode(telling.own)
        assert len(encoded) <= 130, len(encoded)
        telling.publish_own(busy, context)
        assert len(context.effects) == 1


def test_resend_of_a_finished_draft_is_answered_though_the_limit_is_reached() -> None:
    """A resend of a call that has run is answered "not run".

    The answer to the first call was lost with its connection. Meanwhile another call
    has used up the account's tokens, and the resend is refused before its idempotency
    key is checked. The caller submits the call again under another key.
    """
    done = replace(
        other_claim(),
        state=ClaimState.DONE,
        outcome=Outcome.COMPLETED,
        answer_kept=True,
    )
    plugins = [*claim_plugins(), AccountLimits()]
    settings = configuration(accounts=[POLICY])
    with running_kernel(plugins, [engine_entry("e1")], settings) as bench:
        bench.submit(model_request("large", prompt_tokens=5 * BURST))
        bench.submit(once("resend"))
        bench.handle(lost(bench, "resend", done))
        assert len(bench.emitted(ReplayAnswer)) == 1
        assert bench.conclusion("resend") is None


load_tests = function_tests(__name__)
