"""One run: calls of a seed, through entry instances, on model engines."""

from dataclasses import dataclass
from itertools import accumulate
from random import Random
from time import perf_counter

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId
from mimosafork.placement.choice import EngineView

from ..virtual_time import EventLoop
from .deployments import Deployment
from .engine import PassEngine
from .entry import CALLER_S, GOSSIP_S, Entry, World
from .outcome import Outcome
from .policies import POLICIES
from .traffic import generate

DURATION_S = 41.0
"""Long and short floods, twice each."""
DRAIN_S = 16.0
"""After the last call."""


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the tables."""

    deployment: Deployment
    policy: str
    seed: int
    duration_s: float = DURATION_S


@dataclass(frozen=True, slots=True)
class Played:
    """What a run gave.

    Attributes
    ----------
    preempted : int
        Jobs that lost their memory to older ones.
    wall_s : float
        Real time that the run took.
    """

    outcomes: tuple[Outcome, ...]
    preempted: int
    wall_s: float


def play(run: Run) -> Played:
    """Play a run to its end."""
    began = perf_counter()
    world = world_of(run)
    random = Random(run.seed + 1)
    shares = [0.5 + random.random() for _ in world.entries]
    bounds = list(accumulate(shares))
    for outcome in world.outcomes:
        entry = random.choices(world.entries, cum_weights=bounds)[0]
        world.loop.at(outcome.call.at_s + CALLER_S, entry.take, outcome.call)
    for entry in world.entries:
        world.loop.after(random.random() * GOSSIP_S, entry.gossip)
    world.loop.run(run.duration_s + DRAIN_S)
    preempted = sum(engine.preempted for engine in world.engines.values())
    return Played(tuple(world.outcomes), preempted, perf_counter() - began)


def world_of(run: Run) -> World:
    """Return the engines and entry instances of a run."""
    deployment = run.deployment
    loop = EventLoop()
    random = Random(run.seed + 2)
    views = tuple(
        EngineView(
            EndpointId(f"i-{random.randrange(1 << 32):08x}"),
            f"10.0.0.{number}:80",
            AvailabilityZoneId(f"z{number % deployment.zones}"),
            deployment.figures.slots,
        )
        for number in range(deployment.engines)
    )
    engines = {view.endpoint: PassEngine(loop, deployment.figures) for view in views}
    calls = generate(deployment, run.duration_s, run.seed)
    outcomes = [Outcome(call) for call in calls]
    world = World(loop, deployment.figures, views, engines, outcomes, random)
    for number in range(deployment.entries):
        zone = AvailabilityZoneId(f"z{number % deployment.zones}")
        name = InstanceId(f"entry-{number}")
        policy = POLICIES[run.policy]()
        world.entries.append(Entry(name, zone, world, policy, Random(number)))
    return world
