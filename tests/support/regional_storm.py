"""Concurrent calls that are restricted to regions, at gateways with injected faults."""

import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random
from typing import Any

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import ConfigEntry, RouteEntry, TenantEntry
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults
from mimosafork.standins.prepared.words import HELPERS

from .endpoint_cut import CutMode
from .gateway_processes import GatewayProcess, InstancePlace, cut_file, gateway_process
from .prepared import (
    API_KEY,
    DESKS,
    ENGINES,
    HOST,
    USUAL_CONFIG,
    NoAnswerError,
    deployment,
)

REGIONS = {"zone-a": "north", "zone-b": "south"}
"""An endpoint of the third zone is in no region."""

ZONES = ("zone-a", "zone-b", "zone-c")
PLACES = ("zone-a", "zone-b", "zone-a")
NORTHERN_KEY = "key-of-northern-account"
LONG_PROMPT = "200000,20"
"""Engines read it together with helpers."""

HUGE_PROMPT = "700000,20"
"""Memory is reserved for it on several engines."""

CUTS = (CutMode.RESET, CutMode.NEW_REFUSED, CutMode.SILENT)
SHORT = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class CallPattern:
    """Calls of one kind.

    Attributes
    ----------
    zones : frozenset of str
        Zones that their bodies may reach.
    """

    path: str
    zones: frozenset[str]
    key: str = API_KEY
    usage: str = ""


NORTH, SOUTH = frozenset({"zone-a"}), frozenset({"zone-b"})
PATTERNS = {
    "free": CallPattern("/safe/1", frozenset(ZONES)),
    "south": CallPattern("/south/1", SOUTH),
    "once": CallPattern("/once/1", SOUTH),
    "account": CallPattern("/safe/1", NORTH, NORTHERN_KEY),
    "neither": CallPattern("/south/1", frozenset(), NORTHERN_KEY),
    "stream": CallPattern("/south-stream/1", SOUTH),
    "long": CallPattern("/south-stream/1", SOUTH, usage=LONG_PROMPT),
    "huge": CallPattern("/south-stream/1", SOUTH, usage=HUGE_PROMPT),
    "changing": CallPattern("/changing/1", NORTH | SOUTH),
}


def configuration(changing: tuple[str, ...]) -> ConfigEntry:
    """Return a configuration; the restriction of one route differs."""
    south = ("south",)
    routes = (
        RouteEntry("south", "/south/", "safe", DESKS, HOST, allowed_regions=south),
        RouteEntry("once", "/once/", "unsafe", DESKS, HOST, allowed_regions=south),
        RouteEntry(
            "south-stream",
            "/south-stream/",
            "stream",
            ENGINES,
            HOST,
            resumable=True,
            allowed_regions=south,
        ),
        RouteEntry(
            "changing", "/changing/", "safe", DESKS, HOST, allowed_regions=changing
        ),
    )
    accounts = (
        TenantEntry("account-a", (API_KEY,), 1),
        TenantEntry("account-b", (NORTHERN_KEY,), 1, ("north",)),
    )
    return replace(
        USUAL_CONFIG, routes=(*USUAL_CONFIG.routes, *routes), tenants=accounts
    )


@dataclass
class RegionalStorm:
    """Callers and faults at several instances in front of one deployment."""

    platform: Deployment
    instances: list[GatewayProcess]
    random: Random
    zone_of_address: dict[str, str]
    answers: Counter[tuple[str, int]] = field(default_factory=Counter)
    fault_counts: Counter[str] = field(default_factory=Counter)
    sent_to: dict[str, int] = field(default_factory=dict)
    lines: list[tuple[int, str]] = field(default_factory=list)
    over: threading.Event = field(default_factory=threading.Event)
    numbers: Iterator[int] = field(default_factory=count)

    def run(self, seconds: float, callers: int) -> None:
        """Call and inject faults for some time, then collect what was logged."""
        seeds = [self.random.getrandbits(32) for _ in range(callers)]
        threads = [
            threading.Thread(target=self._run_caller, args=(Random(seed),))
            for seed in seeds
        ]
        for thread in threads:
            thread.start()
        end_s = time.monotonic() + seconds
        try:
            while time.monotonic() < end_s:
                self._inject_fault()
                self.over.wait(self.random.uniform(0.2, 0.8))
            self._heal()
        finally:
            self.over.set()
            for thread in threads:
                thread.join()
        for number in range(len(self.instances)):
            self._collect_lines(number)

    def _run_caller(self, random: Random) -> None:
        while not self.over.is_set():
            kind = random.choice(list(PATTERNS))
            pattern = PATTERNS[kind]
            number = random.randrange(len(self.instances))
            name = f"{kind}-{next(self.numbers)}"
            headers = {"Authorization": f"Bearer {pattern.key}"}
            if pattern.usage:
                headers["X-Token-Usage"] = pattern.usage
            self.sent_to[name] = number
            try:
                result = self.instances[number].ask(pattern.path, name, **headers)
                self.answers[kind, result.status] += 1
            except (NoAnswerError, OSError):
                self.answers[kind, 0] += 1
                self.over.wait(0.05)

    def _inject_fault(self) -> None:
        """Inject one more fault, or end all faults."""
        faults: tuple[Callable[[], None], ...] = (
            self._restart_instance,
            self._freeze_instance,
            self._cut_instance,
            self._cut_instance,
            self._crash_endpoint,
            self._silence_endpoint,
            self._replace_endpoint,
            self._stop_store,
            self._change_configuration,
            self._change_configuration,
            self._heal,
        )
        fault = self.random.choice(faults)
        self.fault_counts[fault.__name__.strip("_")] += 1
        fault()

    def _instance(self) -> int:
        return self.random.randrange(len(self.instances))

    def _endpoint(self) -> Endpoint:
        """Return an endpoint that has not been replaced; a port has one owner."""
        present = {each.address: each for each in self.platform.endpoints}
        return self.random.choice(list(present.values()))

    def _collect_lines(self, number: int) -> None:
        lines = self.instances[number].process.lines
        self.lines += [(number, line) for line in list(lines)]

    def _restart_instance(self) -> None:
        number = self._instance()
        self._collect_lines(number)
        self.instances[number].restart()

    def _freeze_instance(self) -> None:
        process = self.instances[self._instance()].process
        process.signal(signal.SIGSTOP)
        self.over.wait(self.random.uniform(0.3, 1.0))
        process.signal(signal.SIGCONT)

    def _cut_instance(self) -> None:
        instance = self.instances[self._instance()]
        mode = self.random.choice(CUTS)
        cut_file(instance.path.parent).write_text(mode.value)

    def _crash_endpoint(self) -> None:
        self._endpoint().crash(down=timedelta(milliseconds=300))

    def _silence_endpoint(self) -> None:
        self._endpoint().silence_connections()

    def _replace_endpoint(self) -> None:
        """End an endpoint; another one of the same zone starts at its address."""
        former = self._endpoint()
        port = int(former.address.rpartition(":")[2])
        self.platform.remove(former)
        if isinstance(former, Engine):
            self.platform.add_engine(former.settings, former.figures, port)
        else:
            self.platform.add_desk(former.settings, port)

    def _stop_store(self) -> None:
        self.platform.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))

    def _change_configuration(self) -> None:
        regions = self.random.choice((("south",), ("north",), ("north", "south")))
        self.platform.configure(configuration(regions))

    def _heal(self) -> None:
        self.platform.store.set_faults()
        for instance in self.instances:
            cut_file(instance.path.parent).write_text(CutMode.NONE.value)

    # What was seen.

    def violations(self) -> list[str]:
        """Return where a body was sent that it may not reach."""
        found = []
        for visit in list(self.platform.log.visits):
            pattern = PATTERNS.get(visit.request_id.partition("-")[0])
            if pattern is not None and visit.zone not in pattern.zones:
                found.append(f"{visit.request_id} reached {visit.zone}")
        return [*found, *self._helpers_outside(), *self._peers_outside()]

    def _helpers_outside(self) -> Iterator[str]:
        for run in list(self.platform.log.runs):
            pattern = PATTERNS.get(run.request_id.partition("-")[0])
            for helper in filter(None, run.headers.get(HELPERS, "").split(",")):
                zone = self.zone_of_address.get(helper.strip().partition("/")[0])
                if pattern is not None and zone not in pattern.zones:
                    yield f"{run.request_id} had the helper {helper} in {zone}"

    def _peers_outside(self) -> Iterator[str]:
        """Yield the calls that an instance outside of their regions has received.

        The body is there even if that instance has refused it.
        """
        for number, line in self.lines:
            fields = fields_of(line)
            name = str(fields.get("call", ""))
            pattern = PATTERNS.get(name.partition("-")[0])
            if pattern is None or pattern.zones == frozenset(ZONES):
                continue
            if fields.get("forwarded_by") and PLACES[number] not in pattern.zones:
                yield f"{name} was forwarded to an instance in {PLACES[number]}"


def fields_of(line: str) -> dict[str, Any]:
    """Return the fields of a log line; none if it has none that can be read."""
    start = line.find("{")
    try:
        fields = json.loads(line[start:]).get("fields", {}) if start >= 0 else {}
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


@contextmanager
def regional_storm(seed: int) -> Iterator[RegionalStorm]:
    """Run three instances with endpoints in three zones, of which two have regions."""
    with deployment(configuration(("south",))) as platform, ExitStack() as stack:
        figures = EngineFigures(events=6, gap=SHORT)
        for zone in ZONES:
            for _ in range(2):
                platform.add_desk(EndpointSettings(DESKS, zone=zone))
                platform.add_engine(EndpointSettings(ENGINES, zone=zone), figures)
        zones = {each.address: each.settings.zone for each in platform.endpoints}
        instances = start_instances(platform, list(zones), stack)
        yield RegionalStorm(platform, instances, Random(seed), zones)


def start_instances(
    platform: Deployment, addresses: Sequence[str], stack: ExitStack
) -> list[GatewayProcess]:
    """Start the instances, and wait until they are ready."""
    instances = [
        stack.enter_context(
            gateway_process(
                platform,
                f"entry-{number}",
                cut_from=addresses,
                place=InstancePlace(zone, REGIONS),
            )
        )
        for number, zone in enumerate(PLACES, 1)
    ]
    for instance in instances:
        instance.wait_until_ready()
    return instances
