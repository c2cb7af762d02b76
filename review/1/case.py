"""A late copy of a refusal meets the same request on the same channel."""

import asyncio
import sys
import time
from collections import Counter
from datetime import timedelta
from pathlib import Path

from mimosafork.standins.prepared import serving
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.documents import (
    ConfigEntry,
    RouteEntry,
    ServiceEntry,
    TenantEntry,
)
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.http import Answer, Header
from mimosafork.standins.prepared.job import Job
from mimosafork.standins.prepared.words import REQUEST_ID

from harness import RAN_CASE_BADLY, Answered, Client, Fleet, Record, trouble

ZONES = ["zone-a", "zone-b", "zone-c"]
GATEWAYS = [*ZONES, *ZONES, "zone-a"]
"""Seven, as in the site file."""
SLOTS, QUEUE = 6, 24
WORK = timedelta(milliseconds=90)
PER_S = 70.0
"""Slightly more than the desk's 6 slots can work off in 90 ms each."""
SETTLE_S = 13.0
"""A new gateway repeats little until it has run for some seconds."""
LOAD_S = 34.0
FAULTS_S = ((6.0, 11.0), (15.0, 20.0), (24.0, 29.0))
"""Three spans of five seconds, as long as the site file's `garble`, `extra late`."""
SHARE = 0.03
"""Share of the desk's answers that come twice, as the site file's `x`."""
DEADLINE_MS = 4000
PATH = "/unsafe/1"


class Repeats:
    """Which refusals an endpoint repeats: at most a share of its answers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.begun = 0.0
        self.answers: Counter[str] = Counter()
        self.repeated: Counter[str] = Counter()

    def due(self, endpoint: str) -> bool:
        """Count an answer, and say whether it may be repeated."""
        since = time.monotonic() - self.begun
        faulty = any(start <= since < end for start, end in FAULTS_S)
        if not self.begun or not faulty:
            return False
        self.answers[endpoint] += 1
        return self.repeated[endpoint] + 1 <= SHARE * self.answers[endpoint]


class RepeatingJob(Job):
    """A request whose refusal may come again, at the place of the next answer."""

    repeats: Repeats

    def whole(self, answer: Answer) -> None:
        """Answer a run."""
        self.repeats.due(self.endpoint.id)
        super().whole(answer)

    def refuse(self, answer: Answer) -> None:
        """Refuse, and keep a copy for the place of the next answer."""
        super().refuse(answer)
        if not self.repeats.due(self.endpoint.id) or not trouble():
            return
        request_id = self.request.header(REQUEST_ID)
        headers = (*answer.headers, Header(REQUEST_ID, request_id))
        copy = Answer(answer.status, answer.body, headers)
        self.connection.late_answer = copy.encode()
        self.repeats.repeated[self.endpoint.id] += 1
        self.repeats.record.note(f"{self.endpoint.id} will repeat refusal {request_id}")


def config() -> ConfigEntry:
    """Return a configuration with one plain service."""
    return ConfigEntry(
        routes=(
            RouteEntry(
                "r-unsafe",
                "/unsafe/",
                "unsafe",
                "desks",
                timeout=timedelta(seconds=2),
                max_attempts=1,
            ),
            RouteEntry("r-stream", "/stream/", "stream", "engines", resumable=True),
        ),
        services=(
            ServiceEntry("desks", max_connections=100),
            ServiceEntry("engines", figures=EngineFigures()),
        ),
        tenants=(TenantEntry("account-a", ("key-of-account-a",), 1),),
    )


async def load(fronts: list[str], record: Record) -> list[Answered]:
    """Send requests at a steady rate, each on a kept channel of a client."""
    free: dict[str, list[Client]] = {front: [] for front in fronts}

    async def one(number: int) -> Answered:
        front = fronts[number % len(fronts)]
        client = free[front].pop() if free[front] else Client(front, record)
        try:
            return await client.post(PATH, f"r{number}", DEADLINE_MS)
        finally:
            free[front].append(client)

    tasks = []
    begun = time.monotonic()
    for number in range(int(PER_S * LOAD_S)):
        await asyncio.sleep(max(0.0, begun + number / PER_S - time.monotonic()))
        tasks.append(asyncio.create_task(one(number)))
    answered = await asyncio.gather(*tasks)
    for clients in free.values():
        for client in clients:
            client.close()
    return list(answered)


def judge(answered: list[Answered], platform: Deployment, record: Record) -> int:
    """Compare what ran with what was answered."""
    for run in platform.log.runs:
        record.note(f"ran {run.request_id} at {run.instance}: {run.end.value}")
    for visit in platform.log.visits:
        record.note(f"arrived {visit.request_id} at {visit.instance}: {visit.status}")
    runs = Counter(run.request_id for run in platform.log.runs)
    twice = [each for each, number in runs.items() if number > 1]
    refused = [
        each.request_id
        for each in answered
        if each.status in {408, 421, 429, 503} and runs[each.request_id]
    ]
    statuses = Counter(each.status for each in answered)
    record.say(f"statuses {dict(statuses)}")
    record.say(f"TWICE {len(twice)}: {twice[:5]}")
    record.say(f"REFUSED although run {len(refused)}: {refused[:5]}")
    return 1 if twice or refused else 0


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    repeats = RepeatingJob.repeats = Repeats(record)
    serving.Job = RepeatingJob
    try:
        with Deployment(config(), heartbeat=timedelta(seconds=1)) as platform:
            platform.add_desk(
                EndpointSettings("desks", "zone-a", SLOTS, QUEUE, WORK, keep_alive_s=15)
            )
            # The replicas of the other service, so that one of four is faulty.
            for zone in ZONES:
                platform.add_engine(EndpointSettings("engines", zone))
            with Fleet(platform.store.address, GATEWAYS) as fleet:
                time.sleep(SETTLE_S)
                fronts = [gateway.front for gateway in fleet.gateways]
                repeats.begun = time.monotonic()
                answered = asyncio.run(load(fronts, record))
                time.sleep(3.0)
            record.say(
                f"answers in the fault {dict(repeats.answers)},"
                f" repeated {dict(repeats.repeated)}"
            )
            return judge(answered, platform, record)
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
        return RAN_CASE_BADLY
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
