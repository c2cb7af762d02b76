"""Instances as processes in front of engines that some prompts crash."""

import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.faults import CrashOnAnswer, Scripted

from .gateway_processes import GatewayProcess, gateway_process
from .prepared import API_KEY, ENGINES, USUAL_CONFIG, NoAnswerError, ask

KEY = f"Bearer {API_KEY}"
CALLERS = 60
PREFILL = timedelta(milliseconds=100)
EVENT_GAP = timedelta(milliseconds=60)
CRASH_DELAY = timedelta(milliseconds=100)
DOWNTIME = timedelta(seconds=5)
HEARTBEAT = timedelta(milliseconds=400)
PART_TOKENS = 100
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call that was sent, and its result.

    Attributes
    ----------
    at_s : float
        Monotonic time in seconds.
    status : Future of int
        Status of a complete answer, else 0.
    """

    name: str
    at_s: float
    status: "Future[int]"

    @property
    def served(self) -> bool:
        """Whether the caller has got a complete answer."""
        return self.status.result() == HTTP_OK


@dataclass
class EngineFleet:
    """Instances that have found each other, and their engines.

    Attributes
    ----------
    crashes : list of float
        Monotonic times of all engine crashes, in seconds.
    """

    platform: Deployment
    instances: list[GatewayProcess]
    engines: list[Engine]
    path: str
    crashes: list[float] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        for engine in self.engines:
            engine.on_life = self._record_life(engine.on_life)

    def _record_life(
        self, inner: Callable[[Endpoint], None]
    ) -> Callable[[Endpoint], None]:
        def record(engine: Endpoint) -> None:
            if not engine.alive:
                self.crashes.append(time.monotonic())
            inner(engine)

        return record

    def poison(self, part: str, engines: Sequence[Engine] | None = None) -> None:
        """Let a part of a prompt crash engines, all of them by default."""
        fault = CrashOnAnswer(CRASH_DELAY, DOWNTIME)
        for engine in self.engines if engines is None else engines:
            engine.play_scripted(Scripted(fault, None, prompt_part=part))

    def restart_all(self) -> None:
        """Kill all instances at once and start them again."""
        for instance in self.instances:
            instance.kill()
        for instance in self.instances:
            instance.restart()
        for instance in self.instances:
            instance.wait_until_ready()

    def send(
        self, pool: ThreadPoolExecutor, parts: Sequence[str], account: str = KEY
    ) -> SentCall:
        """Send a call whose prompt has these parts and one of its own."""
        number = next(self.numbers)
        instance = self.instances[number % len(self.instances)]
        name = f"c{number}"
        own = f"f{number:07x}"
        prefix = ",".join(f"{part}:{PART_TOKENS}" for part in (*parts, own))
        future = pool.submit(self._call, instance, name, prefix, account)
        return SentCall(name, time.monotonic(), future)

    def _call(
        self, instance: GatewayProcess, name: str, prefix: str, account: str
    ) -> int:
        headers = {"X-Prompt-Prefix": prefix, "Authorization": account}
        try:
            answer = ask(instance.front, self.path, name, name.encode(), **headers)
        except (NoAnswerError, OSError):
            return 0
        return answer.status if answer.complete else 0

    def arrivals_of(self, calls: Sequence[SentCall], since_s: float) -> int:
        """Count runs of calls that were sent after an instant."""
        names = {call.name for call in calls if call.at_s >= since_s}
        return sum(run.request_id in names for run in list(self.platform.log.runs))


@dataclass
class Load:
    """Two kinds of calls, each at a steady rate, and what was sent."""

    sound: list[SentCall] = field(default_factory=list)
    poisoned: list[SentCall] = field(default_factory=list)


def send_mixed(
    fleet: EngineFleet,
    load: Load,
    seconds: float,
    sound: tuple[Sequence[str], float],
    poisoned: tuple[Sequence[str], float],
) -> None:
    """Send sound and poisoned calls, each with its parts and calls per second."""
    with ThreadPoolExecutor(CALLERS) as pool:
        begun = time.monotonic()
        sent = [0, 0]
        while (elapsed := time.monotonic() - begun) < seconds:
            for index, (parts, rate) in enumerate((sound, poisoned)):
                if sent[index] < elapsed * rate:
                    sent[index] += 1
                    target = load.poisoned if index else load.sound
                    target.append(fleet.send(pool, parts))
            time.sleep(0.01)


@contextmanager
def engine_fleet(
    instances: int, engines: int, path: str = "/stream/1"
) -> Iterator[EngineFleet]:
    """Run instances until they have found each other, with some engines."""
    settings = EndpointSettings(ENGINES, work=PREFILL)
    figures = EngineFigures(gap=EVENT_GAP)
    with (
        Deployment(USUAL_CONFIG, heartbeat=HEARTBEAT) as platform,
        ExitStack() as stack,
    ):
        added = [platform.add_engine(settings, figures) for _ in range(engines)]
        names = [f"entry-{number}" for number in range(instances)]
        processes = [
            stack.enter_context(gateway_process(platform, name)) for name in names
        ]
        fleet = EngineFleet(platform, processes, added, path)
        for process, name in zip(processes, names, strict=True):
            process.wait_until_ready()
            for each in set(names) - {name}:
                process.wait_until_logged(f"peer {each} ")
        yield fleet
