"""Quarantine of requests that crash engines, while other requests complete."""

from datetime import timedelta
from functools import partial

from msgspec.structs import replace

from mimosafork.ids import Digest, RequestId
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.quarantine import (
    DropSuspicion,
    StoredSuspicion,
    StoreSuspicion,
    SuspicionsRead,
)
from mimosafork.policies.quarantine.ledger import (
    SUSPECT_CRASHES,
    SUSPECT_WEIGHT,
    Verdict,
)
from mimosafork.policies.quarantine.stage import Quarantine
from tests.support.crashing_fleet import CrashingFleet
from tests.support.functions import function_tests
from tests.support.kernels import model_request

POISON = "poison"
REQUEST_TIMEOUT = timedelta(seconds=60)
STEP_S = 0.001


def send(fleet: CrashingFleet, name: str, body: str = "", kernel: int = 0) -> None:
    now = fleet.clock.monotonic()
    request = model_request(name, deadline=now + REQUEST_TIMEOUT)
    request = replace(request, body_digest=Digest(body or f"body-{name}"))
    fleet.submit(request, kernel)


def resend_poison(fleet: CrashingFleet, times: int, span_s: float = 20.0) -> None:
    """Send the same body under new ids, through each instance in turn."""
    fleet.poison.add(POISON)
    for number in range(times):
        send(fleet, f"p{number}", POISON, number % len(fleet.kernels))
        fleet.run(span_s)


def keep_busy(fleet: CrashingFleet, rate_per_s: float, span_s: float) -> list[str]:
    """Schedule unrelated requests at random instants; return their ids."""
    names: list[str] = []
    at_s = 0.0
    while True:
        at_s += fleet.random.expovariate(rate_per_s)
        if at_s > span_s:
            return names
        name = f"n{len(names)}"
        names.append(name)
        kernel = len(names) % len(fleet.kernels)
        fleet.at(fleet.now_s + at_s, partial(send, fleet, name, "", kernel))


def conclusion(fleet: CrashingFleet, name: str) -> Conclude:
    return fleet.conclusions[RequestId(name)]


def failed_of(fleet: CrashingFleet, names: list[str]) -> list[str]:
    return [
        name
        for name in names
        if conclusion(fleet, name).outcome is not Outcome.COMPLETED
    ]


def verdict(kernel: Kernel, body: str) -> Verdict:
    return kernel.plugin(Quarantine).ledger.verdict(Digest(body))


def test_resent_poison_stops_after_two_engines() -> None:
    """A request crashes the engine that runs it, and its caller keeps resending it.

    Each resend has a new id and may arrive at another instance. If the body were not
    tracked, engine after engine would crash with all that runs on it.
    """
    fleet = CrashingFleet(engines=6)
    resend_poison(fleet, 6)
    crashed = fleet.crashed(POISON)
    assert len(set(crashed)) <= 2
    assert len(crashed) == 2
    last = conclusion(fleet, "p5")
    assert last.outcome is Outcome.NOT_RUN
    assert last.problem is not None
    assert last.problem.code is ProblemCode.QUARANTINED
    assert last.problem.retry_after is None


def test_poison_among_busy_engines_costs_two_and_bystanders_finish() -> None:
    """The poisoned request crashes its engine while others run next to it.

    The answers of the others break off as well. They are retried and all complete;
    none is refused for having shared the engine.
    """
    fleet = CrashingFleet(engines=8)
    names = keep_busy(fleet, rate_per_s=30.0, span_s=110.0)
    fleet.run(3.0)
    resend_poison(fleet, 5)
    fleet.run(70.0)
    assert len(set(fleet.crashed(POISON))) <= 2
    assert not failed_of(fleet, names)
    last = conclusion(fleet, "p4")
    assert last.problem is not None
    assert last.problem.code is ProblemCode.QUARANTINED


def test_bystander_hit_twice_still_finishes() -> None:
    """On three busy engines some requests share two crashes with the poisoned one.

    Each time, their next attempt finds the stream's engine down, so nothing runs.
    If that counted, two crashes would use up all three attempts of a bystander.
    """
    fleet = CrashingFleet(engines=3, kernels=2, seed=5)
    names = keep_busy(fleet, rate_per_s=60.0, span_s=12.0)
    fleet.run(3.0)
    resend_poison(fleet, 2)
    fleet.run(60.0)
    twice = [n for n in names if len(fleet.crashed(f"body-{n}")) >= 2]
    assert twice
    assert not failed_of(fleet, names)


def test_suspect_is_not_sent_to_engine_that_just_crashed() -> None:
    """A suspect waits for its sole run while the poisoned one crashes the engine.

    The engine's last report still shows it up and idle, so it would be used for the
    next suspect at once. That attempt would find it down, and so would the next one
    after the second crash: no attempt would be left although nothing had run.
    """
    fleet = CrashingFleet(engines=3, kernels=1)
    fleet.poison.add(POISON)
    fleet.crash_after_s = STEP_S
    send(fleet, "p0", POISON)
    names = [f"n{number}" for number in range(5)]
    for name in names:
        send(fleet, name)
    fleet.run(2 * STEP_S)
    (first,) = fleet.crash_log
    (bystander,) = first - {POISON}
    assert verdict(fleet.kernels[0], bystander) is Verdict.SUSPECT
    fleet.run(60.0)
    assert fleet.crash_log[1:] == [{POISON}] * 2
    assert fleet.unreached_bodies == [], fleet.unreached_bodies
    assert not failed_of(fleet, names)


def test_unrelated_engine_crash_condemns_nothing() -> None:
    """An engine fails for unrelated reasons with twenty requests in progress."""
    fleet = CrashingFleet(engines=4, kernels=1)
    names = [f"n{number}" for number in range(80)]
    for name in names:
        send(fleet, name)
    fleet.run(0.5)
    assert len(fleet.engines["e0"].runs) >= 18
    fleet.crash("e0")
    fleet.run(30.0)
    assert not failed_of(fleet, names)
    verdicts = {verdict(fleet.kernels[0], f"body-{name}") for name in names}
    assert verdicts == {Verdict.CLEAR}


def test_innocent_suspect_runs_alone_and_is_cleared() -> None:
    """An engine fails for unrelated reasons with a single request in progress."""
    fleet = CrashingFleet(engines=3)
    send(fleet, "n0")
    fleet.run(0.4)
    (engine,) = [each for each in fleet.engines.values() if each.runs]
    fleet.crash(engine.name)
    assert verdict(fleet.kernels[0], "body-n0") is Verdict.SUSPECT
    fleet.run(20.0)
    assert not failed_of(fleet, ["n0"])
    for kernel in fleet.kernels:
        assert verdict(kernel, "body-n0") is Verdict.CLEAR


def test_requests_past_prefill_get_little_suspicion() -> None:
    """Three requests are decoding when the poisoned one is prefilled next to them.

    As suspects they would run one after the other, each for its whole answer.
    """
    fleet = CrashingFleet(engines=1, kernels=1)
    names = [f"n{number}" for number in range(3)]
    for name in names:
        send(fleet, name)
    fleet.run(0.5)
    fleet.poison.add(POISON)
    send(fleet, "p0", POISON)
    fleet.run(0.35)
    assert fleet.crash_log == [{POISON, *(f"body-{name}" for name in names)}]
    verdicts = {verdict(fleet.kernels[0], f"body-{name}") for name in names}
    assert verdicts == {Verdict.CLEAR}
    assert verdict(fleet.kernels[0], POISON) is Verdict.SUSPECT


def test_suspect_runs_alone_on_its_engine() -> None:
    """Requests next to a suspect would break off, and a crash be weaker evidence.

    What other instances sent just before they received the isolation does not show
    in any report yet.
    """
    shared = 0
    for seed in range(4):
        fleet = CrashingFleet(engines=4, kernels=3, seed=seed)
        names = keep_busy(fleet, rate_per_s=10.0, span_s=60.0)
        fleet.run(1.0)
        resend_poison(fleet, 3)
        fleet.run(30.0)
        assert not failed_of(fleet, names)
        shared += later_shared_crashes(fleet)
    assert shared == 0


def later_shared_crashes(fleet: CrashingFleet) -> int:
    """Count crashes that hit other requests when the body was already a suspect."""
    weight = 0.0
    crashes = 0
    shared = 0
    for bodies in fleet.crash_log:
        if POISON not in bodies:
            continue
        is_suspect = weight >= SUSPECT_WEIGHT or crashes >= SUSPECT_CRASHES
        shared += is_suspect and bodies != {POISON}
        weight += 1 / len(bodies)
        crashes += 1
    return shared


def test_third_engine_is_spared_after_two_crashes_among_many() -> None:
    """Two crashes happen among so many requests that one alone makes no suspect.

    After the second the body must run alone, on one of the two crashed engines.
    """
    fleet = CrashingFleet(engines=6, kernels=1, seed=2)
    keep_busy(fleet, rate_per_s=120.0, span_s=15.0)
    fleet.run(3.0)
    resend_poison(fleet, 2)
    among_many = [bodies for bodies in fleet.crash_log if len(bodies) > 4]
    assert len(among_many) == 2
    assert fleet.crash_log[-1] == {POISON}
    assert len(set(fleet.crashed(POISON))) == 2


def test_network_partition_condemns_nothing() -> None:
    """Two engines in turn are partitioned while they run the same request alone.

    It looks like two sole crashes: connections break and probes fail. But the
    engines stay up, and their next reports remove the suspicion.
    """
    fleet = CrashingFleet(engines=3, kernels=1)
    send(fleet, "n0", "letter")
    for _ in range(2):
        while not any(each.runs for each in fleet.engines.values()):
            fleet.run(0.1)
        fleet.run(0.4)
        (engine,) = [each for each in fleet.engines.values() if each.runs]
        fleet.cut(engine.name, 8.0)
    assert verdict(fleet.kernels[0], "letter") is Verdict.SUSPECT
    fleet.run(30.0)
    assert not failed_of(fleet, ["n0"])
    assert verdict(fleet.kernels[0], "letter") is Verdict.CLEAR


def test_engine_that_never_returns_counts_as_crashed() -> None:
    fleet = CrashingFleet(engines=3, kernels=1)
    fleet.poison.add(POISON)
    send(fleet, "p0", POISON)
    fleet.run(0.35)
    (engine,) = [each for each in fleet.engines.values() if each.crashes]
    engine.up_at_s = 1e9
    fleet.run(15.0)
    case = fleet.kernels[0].plugin(Quarantine).ledger.cases[Digest(POISON)]
    confirmed = {e.endpoint for e in case.evidence.values() if e.is_confirmed}
    assert engine.name in confirmed


def test_partitioned_instance_learns_from_store() -> None:
    """A body was condemned in one zone, from which another zone is cut off.

    The same holds after a replacement of all instances: the table service stores
    the suspicion.
    """
    fleet = CrashingFleet(engines=4, kernels=1)
    fleet.gossip_disabled = True
    resend_poison(fleet, 3)
    stored = [each for each in fleet.stored_effects if isinstance(each, StoreSuspicion)]
    new_instance = fleet.kernel(7)
    read = StoredSuspicion(stored[-1].digest, stored[-1].evidence, timedelta(minutes=5))
    fleet.handle(new_instance, SuspicionsRead((read,)))
    assert verdict(new_instance, POISON) is Verdict.CONDEMNED


def test_cleared_body_is_dropped_from_the_store() -> None:
    fleet = CrashingFleet(engines=1, kernels=1)
    fleet.poison.add("letter")
    send(fleet, "p0", "letter")
    fleet.run(0.35)
    fleet.poison.clear()
    fleet.run(20.0)
    assert not failed_of(fleet, ["p0"])
    assert isinstance(fleet.stored_effects[0], StoreSuspicion)
    assert isinstance(fleet.stored_effects[-1], DropSuspicion)


def test_suspicion_is_forgotten_after_an_hour() -> None:
    """A new engine version may fix the fault, so the body may run again."""
    fleet = CrashingFleet(engines=4, kernels=1)
    resend_poison(fleet, 3)
    ledger = fleet.kernels[0].plugin(Quarantine).ledger
    assert verdict(fleet.kernels[0], POISON) is Verdict.CONDEMNED
    ledger.forget_old(fleet.clock.monotonic() + timedelta(hours=2))
    assert verdict(fleet.kernels[0], POISON) is Verdict.CLEAR


load_tests = function_tests(__name__)
