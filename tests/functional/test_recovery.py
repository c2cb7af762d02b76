"""What dead instances and deadly requests leave behind, with real processes."""

import signal
import threading
import time
from datetime import timedelta
from typing import Any

import urllib3

from mimosafork.standins import expected_answer
from tests.support.calls import Client, HttpAnswer, StreamedText
from tests.support.duties import holder
from tests.support.functions import function_tests
from tests.support.processes import Cluster, running_platform
from tests.support.waiting import eventually

SLOW = ("--token-interval-ms", "50")
TOKENS = 3000
LONG_DEADLINE = {"X-Deadline-Ms": "600000"}
"""Long enough for an engine that needs minutes for so many tokens."""
"""Two and a half minutes of answer: far more than a test lasts."""

MINUTE = timedelta(minutes=1)


def holdings(cluster: Cluster, engine: str) -> list[dict[str, Any]]:
    answer = Client(cluster.addresses[engine]).call("GET", "/v1/holdings").json()
    listed: list[dict[str, Any]] = answer["holdings"]
    return listed


def owners(cluster: Cluster, engine: str) -> set[str]:
    return {each["owner"]["instance"] for each in holdings(cluster, engine)}


def memory_used(cluster: Cluster, engine: str) -> int:
    return sum(each["tokens"] for each in holdings(cluster, engine))


def read_in_background(client: Client, prompt: str) -> threading.Thread:
    """Have a caller read a long answer until something ends it."""
    body = {"model": "demo", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    answer = client.open("POST", "/v1/completions", body, LONG_DEADLINE)
    assert answer.status == 200

    def read() -> None:
        try:
            for _ in answer.stream(1024):
                continue
        except Exception:  # the connection breaks when its server is killed
            return

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    return thread


def hold_more(cluster: Cluster, engine: str, owner: dict[str, Any]) -> None:
    """Take a reservation and leave an export in an owner's name."""
    client = Client(cluster.addresses[engine])
    body = {"id": "gang-1", "owner": owner, "tokens": 20_000, "ttl_s": 600}
    assert client.call("POST", "/v1/reservations", body).status == 201
    stream = {
        "stream_id": "segment-1",
        "attempt": 1,
        "owner": owner,
        "model": "demo",
        "prompt": "ledger " * 500,
        "max_tokens": 1,
        "deadline_ms": 600_000,
        "export_kv": True,
    }
    assert client.call("POST", "/v1/streams", stream).status == 200


def list_life(cluster: Cluster, name: str, incarnation: int) -> None:
    """Have the platform list a life of an instance."""
    body = {
        "id": name,
        "kind": "entry",
        "address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:1",
        "availability_zone": "az-1",
        "incarnation": incarnation,
        "state": "live",
    }
    client = Client(cluster.instances)
    assert client.call("PUT", f"/v1/instances/{name}", body).status < 300


def test_engine_gets_its_memory_back_from_a_killed_instance() -> None:
    """An entry instance is killed with streams, a reservation and exported KV open.

    Its holdings would last for their deadlines, minutes. When the platform lists its
    next life, the zone's cleaner frees them; another instance's streams run on.
    """
    with running_platform() as cluster:
        cluster.add_engine("engine-1", *SLOW)
        cluster.add_entry("entry-1")
        eventually(lambda: holder(cluster, "cleaning") == "entry-1")
        cluster.add_entry("entry-2")
        for name in ("entry-1", "entry-2"):
            cluster.wait_until_served(name, endpoints=1)
        list_life(cluster, "entry-2", 1)
        read_in_background(cluster.clients["entry-1"], "letter one")
        eventually(lambda: owners(cluster, "engine-1") == {"entry-1"})
        former = memory_used(cluster, "engine-1")
        for number in range(5):
            read_in_background(cluster.clients["entry-2"], f"dossier {number}")
        eventually(lambda: len(holdings(cluster, "engine-1")) == 6)
        (owner, *_) = [
            each["owner"]
            for each in holdings(cluster, "engine-1")
            if each["owner"]["instance"] == "entry-2"
        ]
        hold_more(cluster, "engine-1", owner)
        kinds = {each["kind"] for each in holdings(cluster, "engine-1")}
        assert kinds == {"stream", "reservation", "export"}
        cluster.entries["entry-2"].kill()
        list_life(cluster, "entry-2", int(time.time() * 1000) + 1)
        eventually(lambda: owners(cluster, "engine-1") == {"entry-1"}, MINUTE)
        assert memory_used(cluster, "engine-1") >= former > 0
        assert len(holdings(cluster, "engine-1")) == 1


def test_cut_off_instance_serves_on() -> None:
    """An entry instance gets no answer from the table service and the list.

    It looks dead from there. Its callers must get their whole answers, and the
    other instance, which holds the leases, must leave its streams alone.
    """
    with running_platform() as cluster:
        cluster.add_engine("engine-1", *SLOW)
        for name in ("entry-1", "entry-2"):
            cluster.add_entry(name)
            cluster.wait_until_served(name, endpoints=1)
        cut = {"kind": "cut", "peers": ["entry-2"]}
        for platform in (cluster.table, cluster.instances):
            assert Client(platform).call("POST", "/faults", cut).status < 300
        answer = cluster.clients["entry-2"].stream("letter", 100)
        assert answer.done and answer.error is None
        assert answer.text == expected_answer("letter", 100)


def crash_count(cluster: Cluster, engine: str) -> int:
    load = Client(cluster.addresses[engine]).call("GET", "/v1/state").json()
    lives: int = load["incarnation"]
    return lives - 1


def crashes(cluster: Cluster) -> dict[str, int]:
    counts = {name: crash_count(cluster, name) for name in cluster.endpoints}
    return {name: count for name, count in counts.items() if count}


def add_crashing_engines(cluster: Cluster) -> None:
    """Add four engines that crash on a poisoned prompt."""
    for number in range(4):
        name = f"engine-{number}"
        address = cluster.add_engine(name, "--token-interval-ms", "20")
        fault = {"kind": "crash-on-prompt", "marker": "poison", "down_s": 1.0}
        assert Client(address).call("POST", "/faults", fault).status < 300


def test_poisoned_prompt_costs_two_engines_and_bystanders_finish() -> None:
    """A letter crashes each engine that reads it, and its sender will not give up.

    It comes under new ids, in the end through an instance that was started after
    all the crashes. The letters that ran beside it come to their end.
    """
    with running_platform() as cluster:
        add_crashing_engines(cluster)
        client = cluster.add_entry("entry-1")
        cluster.wait_until_served("entry-1", endpoints=4)
        answers: dict[str, StreamedText] = {}

        def read(prompt: str) -> None:
            answers[prompt] = client.stream(prompt, 150)

        prompts = [f"letter {number}" for number in range(12)]
        callers = [threading.Thread(target=read, args=(each,)) for each in prompts]
        for caller in callers:
            caller.start()
        statuses = [client.complete("a poison letter", 5).status for _ in range(4)]
        for caller in callers:
            caller.join(60)
        assert len(crashes(cluster)) <= 2
        assert all(status >= 400 for status in statuses)
        for prompt in prompts:
            assert answers[prompt].text == expected_answer(prompt, 150), prompt
        before = crashes(cluster)
        cluster.entries["entry-1"].kill()
        newcomer = cluster.add_entry("entry-9")
        cluster.wait_until_served("entry-9", endpoints=4)
        last = newcomer.complete("a poison letter", 5)
        assert last.json()["type"].endswith("quarantined"), last
        assert last.headers["X-Outcome"] == "not-run"
        assert crashes(cluster) == before


def is_quarantined(answer: HttpAnswer) -> bool:
    kind: str = answer.json()["type"]
    return kind.endswith("quarantined")


def all_answer(cluster: Cluster) -> bool:
    """Return whether no engine is down."""
    try:
        crashes(cluster)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def test_poisoned_prompt_received_in_a_freeze_costs_no_third_engine() -> None:
    """A resumed instance must not run a prompt that its peer knows to crash engines."""
    with running_platform() as cluster:
        add_crashing_engines(cluster)
        frozen = cluster.add_entry("entry-1")
        client = cluster.add_entry("entry-2")
        for name in ("entry-1", "entry-2"):
            cluster.wait_until_served(name, endpoints=4)
        cluster.entries["entry-1"].signal(signal.SIGSTOP)
        statuses: list[int] = []
        caller = threading.Thread(
            target=lambda: statuses.append(frozen.complete("a poison letter", 5).status)
        )
        caller.start()
        while not is_quarantined(client.complete("a poison letter", 5)):
            continue
        cluster.entries["entry-1"].signal(signal.SIGCONT)
        caller.join(60)
        assert len(statuses) == 1 and statuses[0] >= 400, statuses
        eventually(lambda: all_answer(cluster))
        assert len(crashes(cluster)) <= 2


load_tests = function_tests(__name__)
