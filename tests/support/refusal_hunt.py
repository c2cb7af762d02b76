"""Seeded runs that look for refused calls that ran, and calls that ran twice.

Instances are real processes; endpoints, proxies and the store are stand-ins of the
test's process. Judged by what endpoints ran and what callers received.
"""

import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import (
    MAX_CONNECTIONS,
    ConfigEntry,
    RouteEntry,
    ServiceEntry,
)
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from .endpoint_cut import CutMode
from .endpoint_proxies import EndpointProxy
from .gateway_processes import GatewayProcess, InstancePlace, cut_file, gateway_process
from .prepared import DESKS, ENGINES, HOST, USUAL_CONFIG, deployment
from .random_faults import MIXED, REPEATING, FaultMaker, RandomScript
from .retrying_callers import CallRecord, RetryingCaller

ZONES = ("zone-a", "zone-b", "zone-c")
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ONCE_PATHS = ("/unsafe/", "/stream/")
SETTLE_S = 12.0
"""An instance that has just started has no share of the retry budget."""

DRAIN_S = 4.0
"""Time in which late requests still reach endpoints once all faults are over."""

CUTS = (CutMode.RESET, CutMode.NEW_REFUSED, CutMode.SILENT)
HEARTBEAT = timedelta(milliseconds=500)
EXIT_TIMEOUT_S = 12.0


@dataclass(frozen=True)
class HuntPlan:
    """What one run plays, drawn from its seed.

    Attributes
    ----------
    disturbed : bool
        Whether instances, endpoints, links and the store fail too.
    fault_share : float
        Requests that meet a fault of their endpoint.
    longest_pause_s : float
        Between two disturbances.
    """

    seed: int
    desks: int
    engines: int
    instances: int
    callers: int
    slots: int
    queue: int
    work: timedelta
    max_connections: int | None
    fault_share: float
    makers: tuple[FaultMaker, ...]
    disturbed: bool
    longest_pause_s: float

    @classmethod
    def drawn(cls, seed: int, instances: int | None = None) -> "HuntPlan":
        """Return the plan of a seed."""
        random = Random(seed)
        kinds_only = random.random() < 0.35
        return cls(
            seed,
            desks=random.randint(1, 3),
            engines=random.randint(1, 3),
            instances=instances or random.randint(2, 5),
            callers=random.choice((12, 24, 36)),
            slots=random.randint(2, 6),
            queue=random.choice((1, 4, 12)),
            work=timedelta(milliseconds=random.choice((10, 40, 90))),
            max_connections=random.choice((None, None, 6, 20)),
            fault_share=random.choice((0.05, 0.15, 0.3)),
            makers=REPEATING if kinds_only else MIXED,
            disturbed=not kinds_only or random.random() < 0.5,
            longest_pause_s=random.choice((0.6, 2.0, 2.0, 5.0)),
        )


def configuration(
    max_connections: int | None, timeout_s: float = 3.0, max_attempts: int = 3
) -> ConfigEntry:
    """Return a configuration with routes that run once and others that may repeat."""

    def route(
        name: str, kind: str, service: str, resumable: bool = False
    ) -> RouteEntry:
        return RouteEntry(
            f"r-{name}",
            f"/{name}/",
            kind,
            service,
            HOST,
            timeout=timedelta(seconds=timeout_s),
            max_attempts=max_attempts,
            resumable=resumable,
        )

    most = MAX_CONNECTIONS if max_connections is None else max_connections
    return replace(
        USUAL_CONFIG,
        routes=(
            route("unsafe", "unsafe", DESKS),
            route("safe", "safe", DESKS),
            route("stream", "stream", ENGINES),
            route("resume", "stream", ENGINES, resumable=True),
        ),
        services=(
            ServiceEntry(DESKS, max_connections=most),
            ServiceEntry(ENGINES, max_connections=most, figures=EngineFigures()),
        ),
    )


@dataclass
class RefusalHunt:
    """Callers and faults at several instances in front of one deployment."""

    plan: HuntPlan
    platform: Deployment
    instances: list[GatewayProcess]
    proxies: list[EndpointProxy]
    random: Random
    calls: list[CallRecord] = field(default_factory=list)
    fault_counts: Counter[str] = field(default_factory=Counter)
    over: threading.Event = field(default_factory=threading.Event)
    numbers: Iterator[int] = field(default_factory=count)
    locks: list[threading.Lock] = field(default_factory=list)
    replacing: threading.Lock = field(default_factory=threading.Lock)
    tasks: list[threading.Thread] = field(default_factory=list)
    lines: list[tuple[str, str]] = field(default_factory=list)
    errors: list[BaseException] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Call and inject faults for some time, heal, and wait for what is late."""
        self.locks = [threading.Lock() for _ in self.instances]
        callers = [
            RetryingCaller(self.fronts, Random(seed), self.numbers, self.over)
            for seed in self._seeds(self.plan.callers)
        ]
        threads = [threading.Thread(target=each.run) for each in callers]
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + seconds
        try:
            while time.monotonic() < end_s:
                if self.plan.disturbed:
                    self._disturb()
                pause_s = self.random.uniform(0.05, self.plan.longest_pause_s)
                self.over.wait(pause_s)
        finally:
            self.over.set()
            for thread in (*threads, *self.tasks):
                thread.join()
            self._heal()
        time.sleep(DRAIN_S)
        for caller in callers:
            self.calls += caller.records
        for instance in self.instances:
            self._keep_lines(instance)
        if self.errors:
            raise self.errors[0]

    def _seeds(self, number: int) -> list[int]:
        return [self.random.getrandbits(32) for _ in range(number)]

    def fronts(self) -> list[str]:
        """Return the addresses of the instances for callers."""
        return [instance.front for instance in self.instances]

    def _disturb(self) -> None:
        """Begin one more disturbance; earlier ones may still last."""
        disturbances: tuple[Callable[[Random], None], ...] = (
            self._kill_instance,
            self._terminate_instance,
            self._freeze_instance,
            self._freeze_instance,
            self._cut_instance,
            self._cut_instance,
            self._crash_endpoint,
            self._silence_endpoint,
            self._drain_endpoint,
            self._replace_endpoint,
            self._delay_link,
            self._delay_link,
            self._cut_link_one_way,
            self._cut_link_one_way,
            self._reset_link,
            self._stop_store,
            self._change_configuration,
            self._heal_links,
        )
        rare = (self._kill_all_instances, self._crash_all_endpoints)
        chosen = self.random.choice(
            rare if self.random.random() < 0.04 else disturbances
        )
        self.fault_counts[chosen.__name__.strip("_")] += 1
        own = Random(self.random.getrandbits(32))
        thread = threading.Thread(target=self._guarded, args=(chosen, own))
        self.tasks.append(thread)
        thread.start()

    def _guarded(self, disturbance: Callable[[Random], None], random: Random) -> None:
        try:
            disturbance(random)
        except BaseException as error:
            self.errors.append(error)

    # Instances.

    def _restart(self, number: int, random: Random, planned: bool) -> None:
        instance = self.instances[number]
        with self.locks[number]:
            if planned:
                instance.process.signal(signal.SIGTERM)
                deadline_s = time.monotonic() + EXIT_TIMEOUT_S
                while instance.process.child.poll() is None:
                    if time.monotonic() > deadline_s:
                        break
                    time.sleep(0.05)
            else:
                instance.kill()
                time.sleep(random.choice((0.0, 0.3)))
            self._keep_lines(instance)
            instance.restart()

    def _kill_instance(self, random: Random) -> None:
        self._restart(random.randrange(len(self.instances)), random, planned=False)

    def _terminate_instance(self, random: Random) -> None:
        self._restart(random.randrange(len(self.instances)), random, planned=True)

    def _kill_all_instances(self, random: Random) -> None:
        threads = [
            threading.Thread(target=self._restart, args=(number, random, False))
            for number in range(len(self.instances))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _freeze_instance(self, random: Random) -> None:
        number = random.randrange(len(self.instances))
        with self.locks[number]:
            process = self.instances[number].process
            process.signal(signal.SIGSTOP)
            time.sleep(random.choice((0.1, 0.5, 1.5, 3.5)))
            process.signal(signal.SIGCONT)

    def _cut_instance(self, random: Random) -> None:
        instance = random.choice(self.instances)
        path = cut_file(instance.path.parent)
        path.write_text(random.choice(CUTS).value)
        self.over.wait(random.uniform(0.5, 4.0))
        path.write_text(CutMode.NONE.value)

    # Endpoints, links and the store.

    def _endpoint(self, random: Random) -> Endpoint:
        return random.choice(self.proxies).endpoint

    def _crash_endpoint(self, random: Random) -> None:
        self._endpoint(random).crash(timedelta(milliseconds=random.choice((0, 300))))

    def _crash_all_endpoints(self, random: Random) -> None:
        for proxy in self.proxies:
            down = timedelta(milliseconds=random.choice((100, 600)))
            proxy.endpoint.crash(down)

    def _silence_endpoint(self, random: Random) -> None:
        self._endpoint(random).silence_connections()

    def _drain_endpoint(self, random: Random) -> None:
        endpoint = self._endpoint(random)
        self.platform.drain(endpoint, reported=random.random() < 0.5)
        self.over.wait(random.uniform(0.2, 1.0))
        endpoint.crash(timedelta(milliseconds=100))

    def _replace_endpoint(self, random: Random) -> None:
        """End an endpoint; one of any service takes over its address."""
        with self.replacing:
            proxy = random.choice(self.proxies)
            self.platform.remove(proxy.endpoint)
            is_desk = random.random() < 0.5
            proxy.lead_to(add_endpoint(self.platform, self.plan, is_desk, random))

    def _change_configuration(self, random: Random) -> None:
        most, timeout_s = random.choice((2, 3)), random.choice((1.5, 3.0))
        changed = configuration(self.plan.max_connections, timeout_s, most)
        self.platform.configure(changed)

    def _delay_link(self, random: Random) -> None:
        delays = (0.0, 0.005, 0.05, 0.4, 1.2)
        proxy = random.choice(self.proxies)
        proxy.delay(random.choice(delays), random.choice(delays))
        self.over.wait(random.uniform(0.3, 2.0))
        proxy.heal()

    def _cut_link_one_way(self, random: Random) -> None:
        proxy = random.choice(self.proxies)
        requests = random.random() < 0.5
        proxy.cut(requests, not requests)
        self.over.wait(random.uniform(0.2, 3.0))
        if random.random() < 0.5:
            proxy.reset_connections()
        proxy.heal()

    def _reset_link(self, random: Random) -> None:
        random.choice(self.proxies).reset_connections()

    def _heal_links(self, random: Random) -> None:
        for proxy in self.proxies:
            proxy.heal()

    def _stop_store(self, random: Random) -> None:
        down = random.choice((Refusal.UNAVAILABLE, Refusal.SILENT, Refusal.RESET))
        self.platform.store.set_faults(StoreFaults(down=down))
        self.over.wait(random.uniform(0.5, 3.0))
        self.platform.store.set_faults()

    def _heal(self) -> None:
        self.platform.store.set_faults()
        self._heal_links(self.random)
        for instance in self.instances:
            cut_file(instance.path.parent).write_text(CutMode.NONE.value)

    # What was seen.

    def _keep_lines(self, instance: GatewayProcess) -> None:
        name = instance.path.stem
        self.lines += [(name, line) for line in list(instance.process.lines)]

    def violations(self) -> list[str]:
        """Return each call that ran twice, or that ran although it was refused."""
        runs = Counter(run.request_id for run in list(self.platform.log.runs))
        found = []
        for call in self.calls:
            if not call.path.startswith(ONCE_PATHS):
                continue
            if runs[call.request_id] > 1:
                found.append(f"TWICE {self.story_of(call)}")
            if call.status in NOT_RUN_STATUSES and runs[call.request_id]:
                found.append(f"REFUSED {self.story_of(call)}")
        return found

    def story_of(self, call: CallRecord) -> str:
        """Return what the caller, the endpoints and the instances saw of a call."""
        log, name = self.platform.log, call.request_id
        parts = [f"{name} {call.path}: {call.status}, complete: {call.complete}"]
        parts += [f"  ran at {run.instance}: {run.end.value}" for run in log.of(name)]
        parts += [
            f"  arrived at {each.instance}: {each.status}"
            for each in log.visits_of(name)
        ]
        mark = f"call {name} "
        parts += [f"  {who}: {line}" for who, line in self.lines if mark in line]
        return "\n".join(parts)

    def summary(self) -> dict[str, object]:
        """Return what callers got and which faults were injected."""
        once = [call for call in self.calls if call.path.startswith(ONCE_PATHS)]
        refusals = [v for v in list(self.platform.log.visits) if v.status is not None]
        return {
            "calls": len(self.calls),
            "once": len(once),
            "statuses": dict(Counter(call.status for call in once)),
            "refused by endpoints": len(refusals),
            "runs": len(self.platform.log.runs),
            "faults": dict(self.fault_counts),
        }


@contextmanager
def refusal_hunt(plan: HuntPlan) -> Iterator[RefusalHunt]:
    """Run the instances and the deployment of a plan."""
    random = Random(plan.seed)
    config = configuration(plan.max_connections)
    with (
        deployment(config, heartbeat=HEARTBEAT) as platform,
        ExitStack() as stack,
    ):
        proxies = add_endpoints(platform, plan, random)
        for proxy in proxies:
            stack.callback(proxy.close)
        addresses = [proxy.address for proxy in proxies]
        instances = start_instances(platform, plan.instances, addresses, stack)
        yield RefusalHunt(plan, platform, instances, proxies, random)


def add_endpoints(
    platform: Deployment, plan: HuntPlan, random: Random
) -> list[EndpointProxy]:
    """Start the endpoints, each behind a proxy, and list them."""
    proxies = []
    for number in range(plan.desks + plan.engines):
        proxy = EndpointProxy(platform)
        is_desk = number < plan.desks
        proxy.lead_to(add_endpoint(platform, plan, is_desk, random))
        proxies.append(proxy)
    return proxies


def add_endpoint(
    platform: Deployment, plan: HuntPlan, is_desk: bool, random: Random
) -> Endpoint:
    """Start an endpoint with the faults of the plan."""
    settings = EndpointSettings(
        DESKS if is_desk else ENGINES,
        random.choice(ZONES),
        plan.slots,
        plan.queue,
        plan.work,
        idle=random.choice((None, timedelta(seconds=1))),
        keep_alive_s=random.choice((None, 1, 15)),
        max_connections=plan.max_connections,
        close_every=random.choice((0, 0, 7)),
    )
    figures = EngineFigures(events=3, gap=plan.work / 4)
    endpoint: Endpoint = (
        platform.add_desk(settings)
        if is_desk
        else platform.add_engine(settings, figures)
    )
    script = Random(random.getrandbits(32))
    endpoint.script = RandomScript(script, plan.fault_share, plan.makers)
    return endpoint


def start_instances(
    platform: Deployment, number: int, addresses: Sequence[str], stack: ExitStack
) -> list[GatewayProcess]:
    """Start the instances, and wait until they are ready and have settled."""
    regions = dict.fromkeys(ZONES, "sierra-norte")
    instances = [
        stack.enter_context(
            gateway_process(
                platform,
                f"entry-{each}",
                cut_from=addresses,
                place=InstancePlace(ZONES[each % len(ZONES)], regions),
                level="DEBUG",
            )
        )
        for each in range(1, number + 1)
    ]
    for instance in instances:
        instance.wait_until_ready()
    time.sleep(SETTLE_S)
    return instances


def hunt(seed: int, seconds: float, instances: int | None = None) -> RefusalHunt:
    """Run a seed; return what happened.

    Raises
    ------
    AssertionError
        If a call that may run once ran twice, or ran although it was refused.
    """
    plan = HuntPlan.drawn(seed, instances)
    with refusal_hunt(plan) as running:
        with suppress(KeyboardInterrupt):
            running.run(seconds)
        found = running.violations()
        assert not found, f"{len(found)} violations, {plan}\n" + "\n".join(found[:20])
        return running
