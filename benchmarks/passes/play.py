"""One run: calls of a seed, through entry instances, on model engines."""

from dataclasses import dataclass
from itertools import accumulate
from random import Random
from time import perf_counter

from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId
from mimosafork.placement.choice import EngineView

from ..virtual_time import EventLoop
from .as_played import AsPlayed, SeenPlace
from .deployments import Deployment
from .engine import QUEUE, PassEngine
from .entry import CALLER_S, Entry, Policy, World
from .faults import Fault, FaultKind, Troubles
from .outcome import Outcome
from .policies import POLICIES
from .traffic import Call, generate
from .words import SILENT_S, Rejection, Words

DURATION_S = 41.0
"""Long and short floods, twice each."""
USUAL_LOAD = 1.0
"""Factor of the rates that a deployment states."""
DRAIN_S = 16.0
"""After the last call."""


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the tables.

    Attributes
    ----------
    calls : tuple of Call
        What comes; empty for calls that are drawn from the seed.
    places : tuple of SeenPlace
        Where they go in place of the policy's choice, if given.
    load : float
        Factor of the deployment's rates of calls.
    words : Words
        How words come to other instances.
    queue_room : int
        Requests that may wait at each engine.
    """

    deployment: Deployment
    policy: str
    seed: int
    duration_s: float = DURATION_S
    calls: tuple[Call, ...] = ()
    places: tuple[SeenPlace, ...] = ()
    faults: tuple[Fault, ...] = ()
    load: float = USUAL_LOAD
    words: Words = Words()
    queue_room: int = QUEUE

    def policy_of_entry(self) -> Policy:
        """Return the policy of one entry instance."""
        return AsPlayed(self.places) if self.places else POLICIES[self.policy]()


@dataclass(frozen=True, slots=True)
class Played:
    """What a run gave.

    Attributes
    ----------
    preempted : int
        Jobs that lost their memory to older ones.
    wall_s : float
        Real time that the run took.
    arrivals : int
        Calls that came to engines.
    rejections : tuple of Rejection
        Those that engines turned away as they were full.
    """

    outcomes: tuple[Outcome, ...]
    preempted: int
    wall_s: float
    arrivals: int = 0
    rejections: tuple[Rejection, ...] = ()


def play(run: Run) -> Played:
    """Play a run to its end."""
    began = perf_counter()
    world = world_of(run)
    random = Random(run.seed + 1)
    shares = [0.5 + random.random() for _ in world.entries]
    bounds = list(accumulate(shares))
    for outcome in world.outcomes:
        entry = random.choices(world.entries, cum_weights=bounds)[0]
        if outcome.call.entry is not None:
            entry = world.entries[outcome.call.entry]
        world.loop.at(outcome.call.at_s + CALLER_S, entry.take, outcome.call)
    world.loop.run(run.duration_s + DRAIN_S)
    preempted = sum(engine.preempted for engine in world.engines.values())
    return Played(
        tuple(world.outcomes),
        preempted,
        perf_counter() - began,
        world.arrivals,
        tuple(world.rejections),
    )


def befall(world: World) -> None:
    """Let the faults of a run happen to its engines, and to its words."""
    if world.words.cut_s is not None:
        for entry in world.entries:
            world.loop.at(world.words.cut_s[0] + SILENT_S, entry.miss)
    for fault in world.troubles.faults:
        engine = world.engines[world.views[fault.engine].endpoint]
        end_s = fault.at_s + fault.for_s
        if fault.kind is FaultKind.CRASH:
            world.loop.at(fault.at_s, engine.crash)
            world.loop.at(end_s, engine.recover)
        elif fault.kind is FaultKind.SLOW:
            world.loop.at(fault.at_s, engine.turn, fault.strength)
            world.loop.at(end_s, engine.turn, 1.0)


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
    engines = {
        view.endpoint: PassEngine(loop, deployment.figures, queue_room=run.queue_room)
        for view in views
    }
    calls = run.calls or generate(deployment.loaded(run.load), run.duration_s, run.seed)
    outcomes = [Outcome(call) for call in calls]
    world = World(
        loop,
        deployment.figures,
        views,
        engines,
        outcomes,
        random,
        deployment.hop_s,
        Troubles(run.faults),
        run.words,
    )
    for number in range(deployment.entries):
        zone = AvailabilityZoneId(f"z{number % deployment.zones}")
        name = InstanceId(f"entry-{number}")
        policy = run.policy_of_entry()
        world.entries.append(Entry(name, zone, world, policy, Random(number)))
    befall(world)
    return world
