"""Ejection of endpoints that answer far more slowly than their peers."""

from datetime import timedelta

from mimosafork.ids import EndpointId, ModelId
from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.kernel.fleet import Endpoint
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken, Usage
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.fleet import InstancesListed
from mimosafork.policies.ejection import BASE_EJECTION_TIME
from tests.support.functions import function_tests
from tests.support.kernels import (
    MODEL,
    Bench,
    configuration,
    engine_entry,
    model_request,
)
from tests.support.policies import ROUTED, policy_kernel

PLUGINS = (*ROUTED, "first-come", "slow-endpoint-ejection")
HOUR = timedelta(hours=1)
NAMES = [f"e{number}" for number in range(8)]
USUAL_S = 0.2
TOKENS = 20


class Load:
    """Requests at endpoints of which some are slow.

    Parameters
    ----------
    first_s, gap_s : dict of str to float
        Seconds to the first token and between tokens, where not the default.
    """

    def __init__(
        self,
        bench: Bench,
        first_s: dict[str, float] | None = None,
        gap_s: dict[str, float] | None = None,
    ) -> None:
        self.bench = bench
        self.first_s = first_s or {}
        self.gap_s = gap_s or {}
        self.number = 0

    def round(self, times: int) -> None:
        """Run one request at each endpoint that accepts requests, several times."""
        for _ in range(times):
            for name in self.in_use():
                self.run_one(name)
            self.bench.handle_after(timedelta(seconds=1), Tick())

    def in_use(self) -> list[str]:
        """Return the endpoints that accept new requests."""
        now = self.bench.clock.monotonic()
        all_of_them = endpoints_of(self.bench)
        return [
            name for name, each in all_of_them.items() if each.accepts_new_requests(now)
        ]

    def run_one(self, name: str) -> None:
        """Run one request to its end at an endpoint."""
        self.number += 1
        deadline = self.bench.clock.monotonic() + HOUR
        others = {EndpointId(each) for each in endpoints_of(self.bench)} - {name}
        request = model_request(f"r{self.number}", 1_000, deadline)
        fleet = self.bench.kernel.state.fleet
        kept = {each: fleet.endpoints[each].isolated_until for each in others}
        for each in others:
            fleet.endpoints[each].isolated_until = deadline
        self.bench.submit(request)
        (dispatch,) = self.bench.dispatches(request.request_id)
        for each, until in kept.items():
            fleet.endpoints[each].isolated_until = until
        assert dispatch.endpoint == name
        first = timedelta(seconds=self.first_s.get(name, USUAL_S))
        first_token = FirstToken(request.request_id, dispatch.attempt)
        self.bench.handle_after(first, first_token)
        rest = timedelta(seconds=self.gap_s.get(name, 0.01) * (TOKENS - 1))
        usage = Usage(1_000, 0, TOKENS)
        end = AttemptFinished(request.request_id, dispatch.attempt, usage)
        self.bench.handle_after(rest, end)


def endpoints_of(bench: Bench) -> dict[EndpointId, Endpoint]:
    """Return the kernel's state of the endpoints."""
    return bench.kernel.state.fleet.endpoints


def test_slow_first_token_is_ejected_and_returns_on_probation() -> None:
    """One engine's card fails: its first tokens take ten times as long.

    It answers probes in time and reports no load, so it gets its part of the requests.
    After its ejection time it is used again, and is ejected for twice as long after
    few requests if it is still slow.
    """
    with policy_kernel(PLUGINS, [engine_entry(name) for name in NAMES]) as bench:
        load = Load(bench, first_s={"e3": 10 * USUAL_S})
        load.round(5)
        assert "e3" in load.in_use()
        load.round(2)
        assert set(NAMES) - set(load.in_use()) == {"e3"}
        first = endpoints_of(bench)[EndpointId("e3")].ejected_until
        assert first is not None
        bench.handle_after(BASE_EJECTION_TIME, Tick())
        assert "e3" in load.in_use()
        load.round(3)
        assert "e3" not in load.in_use()
        bench.handle_after(BASE_EJECTION_TIME, Tick())
        assert "e3" not in load.in_use()
        bench.handle_after(BASE_EJECTION_TIME, Tick())
        load.first_s.clear()
        load.round(10)
        assert "e3" in load.in_use()


def test_slow_between_tokens_is_ejected() -> None:
    """One engine's first tokens are in time, but its further tokens are slow."""
    with policy_kernel(PLUGINS, [engine_entry(name) for name in NAMES]) as bench:
        load = Load(bench, gap_s={"e5": 0.2})
        load.round(8)
        assert set(NAMES) - set(load.in_use()) == {"e5"}


def test_no_more_than_the_share_is_ejected() -> None:
    """Three of eight engines are slow; ejecting all of them overloads the others."""
    slow = dict.fromkeys(("e1", "e2", "e3"), 10 * USUAL_S)
    for share, ejected in ((0.3, 2), (0.1, 0)):
        settings = configuration(FleetPolicy(ejected_share=share))
        entries = [engine_entry(name) for name in NAMES]
        with policy_kernel(PLUGINS, entries, settings) as bench:
            load = Load(bench, first_s=slow)
            out = []
            for _ in range(10):
                load.round(1)
                out.append(len(NAMES) - len(load.in_use()))
            assert max(out) == ejected, out


def test_only_endpoint_of_a_model_is_never_ejected() -> None:
    """A slow engine is ejected for one model, and another model has no engine left.

    It is one of eight that serve the first model and the only one of the second.
    """
    settings = configuration(FleetPolicy(ejected_share=1.0))
    entries = [engine_entry(name) for name in NAMES]
    with policy_kernel(PLUGINS, entries, settings) as bench:
        bench.report("e3", models=(MODEL, ModelId("writer")))
        load = Load(bench, first_s={"e3": 10 * USUAL_S, "e4": 10 * USUAL_S})
        load.round(7)
        assert set(NAMES) - set(load.in_use()) == {"e4"}


def test_no_endpoint_is_ejected_when_all_are_slow() -> None:
    """A load peak makes every engine slow, and a third of them is ejected as well."""
    with policy_kernel(PLUGINS, [engine_entry(name) for name in NAMES]) as bench:
        load = Load(bench, first_s=dict.fromkeys(NAMES, 10 * USUAL_S))
        load.round(10)
        assert len(load.in_use()) == len(NAMES)


def test_restart_ends_an_ejection() -> None:
    """An operator restarts the slow engine, but it stays ejected for five minutes."""
    with policy_kernel(PLUGINS, [engine_entry(name) for name in NAMES]) as bench:
        load = Load(bench, first_s={"e3": 10 * USUAL_S})
        load.round(8)
        assert "e3" not in load.in_use()
        again = [engine_entry(name, incarnation=2) for name in NAMES]
        bench.handle(InstancesListed(tuple(again), ()))
        for name in NAMES:
            bench.report(name, incarnation=2)
        bench.handle_after(timedelta(seconds=1), Tick())
        assert "e3" in load.in_use()


load_tests = function_tests(__name__)
