"""Routing by predicted time to first token."""

from collections import Counter
from datetime import timedelta

from mimosafork.ids import AttemptNumber, Digest, EndpointId, RequestId
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.fleet import ProbeFailed
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import PrefixMark, RequestKind
from mimosafork.policies.prediction import Prediction
from tests.support.functions import function_tests
from tests.support.kernels import (
    SERVICE,
    attempt_failure,
    engine_entry,
    model_request,
    service_entry,
)
from tests.support.policies import ADMITTED, ROUTED, only_dispatch, policy_kernel, tick

FIRST_COME = (*ROUTED, "first-come")
THREE = [engine_entry(f"e{number}") for number in (1, 2, 3)]


def test_busy_engine_is_avoided() -> None:
    with policy_kernel(FIRST_COME, THREE) as bench:
        bench.report("e1", waiting_prefill_tokens=90_000)
        bench.report("e2", waiting_prefill_tokens=60_000)
        for number in range(5):
            bench.submit(model_request(f"r{number}", 1_000))
            assert only_dispatch(bench, f"r{number}").endpoint == "e3"


def test_requests_between_two_reports_spread() -> None:
    """One engine gets every request of half a second, and the others none.

    All engines have reported that they are idle, and no report arrives during forty
    requests. Each dispatch has to be added to the estimate at once.
    """
    with policy_kernel(FIRST_COME, THREE) as bench:
        for number in range(42):
            bench.submit(model_request(f"r{number}", 8_000))
        used = Counter(
            only_dispatch(bench, f"r{number}").endpoint for number in range(42)
        )
        assert sorted(used) == ["e1", "e2", "e3"]
        assert max(used.values()) <= 16, used


def test_instances_with_the_same_old_report_do_not_herd() -> None:
    """All instances pick the engine that looked idle, and first-token times oscillate.

    Forty instances have the same reports, in which one engine is barely better than
    two others. Each sends one request.
    """
    used: Counter[str] = Counter()
    for seed in range(40):
        with policy_kernel(FIRST_COME, THREE, seed=seed) as bench:
            bench.report("e2", waiting_prefill_tokens=200)
            bench.report("e3", waiting_prefill_tokens=200)
            bench.submit(model_request("r", 4_000))
            used[only_dispatch(bench, "r").endpoint] += 1
    assert max(used.values()) <= 30, used
    assert len(used) == 3, used


def test_own_availability_zone_is_preferred_unless_it_is_slower() -> None:
    near = [engine_entry("near", "az-1"), engine_entry("far", "az-2")]
    with policy_kernel(FIRST_COME, near) as bench:
        bench.report("near", waiting_prefill_tokens=0)
        bench.report("far", waiting_prefill_tokens=0)
        bench.submit(model_request("r1", 1_000))
        bench.report("near", waiting_prefill_tokens=30_000)
        bench.submit(model_request("r2", 1_000))
        assert only_dispatch(bench, "r2").endpoint == "far"


def test_prompt_goes_where_its_prefix_is_cached() -> None:
    marks = (PrefixMark(Digest("aa"), 1_024), PrefixMark(Digest("bb"), 32_768))
    with policy_kernel(FIRST_COME, THREE) as bench:
        bench.submit(model_request("r1", 60_000, prefix_marks=marks))
        first = only_dispatch(bench, "r1").endpoint
        answer = FirstToken(RequestId("r1"), AttemptNumber(1))
        bench.handle_after(timedelta(seconds=2.5), answer)
        bench.handle(AttemptFinished(RequestId("r1"), AttemptNumber(1)))
        for number in range(2, 6):
            bench.submit(model_request(f"r{number}", 33_000, prefix_marks=marks))
            assert only_dispatch(bench, f"r{number}").endpoint == first


def test_cached_prefix_does_not_outweigh_a_long_queue() -> None:
    marks = (PrefixMark(Digest("aa"), 1_024),)
    with policy_kernel(FIRST_COME, THREE) as bench:
        bench.submit(model_request("r1", 2_000, prefix_marks=marks))
        first = only_dispatch(bench, "r1").endpoint
        bench.handle(FirstToken(RequestId("r1"), AttemptNumber(1)))
        bench.report(first, waiting_prefill_tokens=90_000)
        bench.submit(model_request("r2", 2_000, prefix_marks=marks))
        assert only_dispatch(bench, "r2").endpoint != first


def test_slow_endpoint_is_learned_from_its_first_tokens() -> None:
    """One engine takes four times as long, but its reports look like all others.

    Only the observed first tokens show it.
    """
    with policy_kernel(FIRST_COME, THREE) as bench:
        slow = EndpointId("e2")
        sent_to_slow = []
        for number in range(200):
            name = f"r{number}"
            bench.submit(model_request(name, 3_000))
            endpoint = only_dispatch(bench, name).endpoint
            sent_to_slow.append(endpoint == slow)
            taken_s = 0.48 if endpoint == slow else 0.12
            answer = FirstToken(RequestId(name), AttemptNumber(1))
            bench.handle_after(timedelta(seconds=taken_s), answer)
            bench.handle(AttemptFinished(RequestId(name), AttemptNumber(1)))
            for each in ("e1", "e2", "e3"):
                bench.report(each)
        assert sum(sent_to_slow[:40]) > 0
        assert sum(sent_to_slow[-50:]) <= 5, sum(sent_to_slow[-50:])


def test_prediction_learns_the_length_factor() -> None:
    with policy_kernel(FIRST_COME, [engine_entry("e1")]) as bench:
        prediction = bench.kernel.plugin(Prediction)
        request = model_request("probe", 30_000)
        before_s = prediction.alone_s(request, 30_000)
        for number in range(80):
            name = f"r{number}"
            bench.submit(model_request(name, 30_000, timedelta(hours=1)))
            answer = FirstToken(RequestId(name), AttemptNumber(1))
            bench.handle_after(timedelta(seconds=2.5), answer)
            bench.handle(AttemptFinished(RequestId(name), AttemptNumber(1)))
            bench.report("e1")
        after_s = prediction.alone_s(request, 30_000)
        assert before_s < 1.1
        assert 2.0 < after_s < 2.6, after_s
        untouched = model_request("short", 1_000)
        assert prediction.alone_s(untouched, 30_000) < 0.1


def test_state_of_ended_requests_is_dropped() -> None:
    with policy_kernel(FIRST_COME, THREE) as bench:
        prediction = bench.kernel.plugin(Prediction)
        bench.submit(model_request("done"))
        bench.handle(AttemptFinished(RequestId("done"), AttemptNumber(1)))
        bench.submit(model_request("late", deadline=timedelta(seconds=1)))
        tick(bench, 2.0)
        bench.submit(model_request("broken"))
        bench.handle(attempt_failure("broken"))
        assert not prediction.expected
        assert not any(load.sent for load in prediction.loads.values())


def test_large_fleet_is_sampled_and_the_only_usable_endpoint_is_found() -> None:
    many = [engine_entry(f"e{number:03}", f"az-{number % 3}") for number in range(120)]
    with policy_kernel(FIRST_COME, many) as bench:
        bench.submit(model_request("r"))
        only_dispatch(bench, "r")
        for entry in many[:-1]:
            bench.handle(ProbeFailed(entry.endpoint))
        for number in range(3):
            bench.submit(model_request(f"last{number}"))
            assert only_dispatch(bench, f"last{number}").endpoint == "e119"


def test_call_of_a_service_goes_to_a_replica() -> None:
    entries = [service_entry("s1"), service_entry("s2"), *THREE]
    with policy_kernel(FIRST_COME, entries) as bench:
        for number in range(4):
            bench.submit(
                model_request(f"r{number}", 0, kind=RequestKind.SERVICE, target=SERVICE)
            )
        used = Counter(only_dispatch(bench, f"r{n}").endpoint for n in range(4))
        assert used == {"s1": 2, "s2": 2}


def test_request_without_any_endpoint_is_refused_after_a_timeout() -> None:
    """A caller waits until the deadline although no endpoint serves the model.

    An endpoint may return within seconds, so the request waits that long and no
    longer.
    """
    with policy_kernel(ADMITTED, [engine_entry("e1")]) as bench:
        bench.handle(ProbeFailed(EndpointId("e1")))
        bench.submit(model_request("r"))
        tick(bench, 4.0)
        assert bench.conclusion("r") is None
        tick(bench, 1.5)
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN
        assert conclusion.problem is not None
        assert conclusion.problem.code is ProblemCode.NO_ENDPOINT
        assert conclusion.problem.retry_after is not None


load_tests = function_tests(__name__)
