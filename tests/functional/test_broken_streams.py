"""Engines that fail in mid-answer, through real processes."""

import signal
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from mimosafork.standins import expected_answer
from tests.support.calls import Client, HttpAnswer
from tests.support.functions import function_tests
from tests.support.processes import Cluster, running_platform
from tests.support.streaming_clients import TOKENS, StreamingClients, prompt_of

ENTRY = "entry-1"
CALLERS = 8
PACE = ("--token-interval-ms", "50")
WAIT_S = 10.0


@contextmanager
def engines(names: Sequence[str], extra: str = "") -> Iterator[Cluster]:
    """Run one entry instance before some engines."""
    with running_platform(extra) as cluster:
        for name in names:
            cluster.add_engine(name, *PACE)
        cluster.add_entry(ENTRY)
        cluster.wait_until_served(ENTRY, endpoints=len(names))
        yield cluster


def fault(cluster: Cluster, engine: str, **members: object) -> None:
    """Bring about a fault of an engine."""
    answer = Client(cluster.addresses[engine]).call("POST", "/faults", members)
    assert answer.status == 204, answer


def started(cluster: Cluster, engine: str) -> list[str]:
    """Return the streams that an engine has started."""
    entries = cluster.journal(engine)
    return [each["stream_id"] for each in entries if each["event"] == "started"]


def wait_for_event(cluster: Cluster, engine: str, event: str, count: int) -> None:
    """Wait until an engine's journal holds an event so often."""
    limit = time.monotonic() + WAIT_S
    while True:
        found = [e for e in cluster.journal(engine) if e["event"] == event]
        if len(found) >= count:
            return
        assert time.monotonic() < limit, (event, found)


def engine_with_streams(cluster: Cluster) -> str:
    """Return the engine that has started the most streams; wait for the first.

    Which one that is depends on load reports, which come when they come.
    """
    limit = time.monotonic() + WAIT_S
    while True:
        counts = {name: len(started(cluster, name)) for name in cluster.endpoints}
        busiest = max(counts, key=lambda name: counts[name])
        if counts[busiest]:
            return busiest
        assert time.monotonic() < limit, counts


def test_a_broken_connection_goes_on_at_its_offset() -> None:
    """All connections to an engine break in mid-answer; its streams run on.

    Starting the prompts again would cost their prefill, and a caller would get
    words twice if the second answer began at the start. Each stream is attached to
    at the offset that its caller has, so that every token comes once and no prompt
    runs twice.
    """
    with engines(["engine-1"]) as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(CALLERS)
        fault(cluster, "engine-1", kind="reset-streams")
        crowd.check_whole()
        assert len(started(cluster, "engine-1")) == CALLERS


def test_an_engine_dies_and_another_one_goes_on() -> None:
    """An engine's process is killed while it streams.

    The other engine is asked for the rest of each answer from the offset that the
    caller has. Lost or doubled words would show, as each token is known.
    """
    with engines(["engine-1", "engine-2"]) as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(CALLERS)
        cluster.endpoints[engine_with_streams(cluster)].signal(signal.SIGKILL)
        crowd.check_whole()


def test_whole_answers_survive_an_engine_too() -> None:
    """As above, for callers that wait for their answer in one piece.

    What the first engine gave is kept and the second one gives the rest.
    """
    with engines(["engine-1", "engine-2"]) as cluster:
        client = cluster.clients[ENTRY]
        answers: dict[int, HttpAnswer] = {}

        def ask(number: int) -> None:
            own = Client(client.address)
            answers[number] = own.complete(prompt_of(number), TOKENS)

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        cluster.endpoints[engine_with_streams(cluster)].signal(signal.SIGKILL)
        for thread in threads:
            thread.join()
        attempts = set()
        for number, answer in answers.items():
            assert answer.status == 200, answer
            text = answer.json()["choices"][0]["text"]
            assert text == expected_answer(prompt_of(number), TOKENS)
            attempts.add(answer.headers["X-Attempts"])
        assert len(answers) == CALLERS
        assert attempts > {"1"}, "some answers took a second attempt"


def test_the_only_engine_dies_and_callers_are_told() -> None:
    """Nothing is left that could finish the answers before their deadline.

    Each caller has read some words. It must not take them for the whole answer:
    an error event says that the request failed, and the stream has no end mark.
    """
    with engines(["engine-1"]) as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY], {"X-Deadline-Ms": "4000"})
        crowd.add(CALLERS)
        cluster.endpoints["engine-1"].signal(signal.SIGKILL)
        for streamed in crowd.finish():
            assert not streamed.done
            assert streamed.error is not None, streamed
            assert streamed.error["outcome"] == "failed", streamed
            whole = expected_answer(prompt_of(streamed.number), TOKENS)
            assert whole.startswith(streamed.text) and whole != streamed.text


def test_a_frozen_engine_does_not_hold_its_callers() -> None:
    """An engine freezes in mid-answer; its connections stay open.

    No error ever comes, only silence. After the stall timeout the other engine
    goes on with the answers.
    """
    extra = "\n[relay]\nstall_timeout = 1s\n"
    with engines(["engine-1", "engine-2"], extra) as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(CALLERS)
        begun = time.monotonic()
        fault(cluster, engine_with_streams(cluster), kind="freeze", seconds=60)
        crowd.check_whole()
        assert time.monotonic() - begun < 30


def test_a_caller_that_hangs_up_frees_its_engine() -> None:
    """A caller closes her connection in mid-answer.

    The engine would go on to the end of the answer for nobody.
    """
    with engines(["engine-1"]) as cluster:
        body = {"model": "demo", "prompt": "a", "max_tokens": 400, "stream": True}
        answer = cluster.clients[ENTRY].open("POST", "/v1/completions", body)
        assert answer.status == 200
        assert next(iter(answer.stream(1)))
        answer.close()
        wait_for_event(cluster, "engine-1", "cancelled", 1)


def test_a_full_instance_answers_at_once() -> None:
    """Every place for a stream is taken when further callers come.

    They are refused at once, with the promise that nothing ran and when to come
    back; and health, readiness and metrics answer all the while.
    """
    extra = "\n[limits]\nstreams = 3\nwaiting_requests = 1\n"
    with engines(["engine-1"], extra) as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        operations = cluster.operations[ENTRY]
        crowd.add(4)
        for _ in range(5):
            begun = time.monotonic()
            answer = cluster.clients[ENTRY].complete("one more", 1)
            assert answer.status == 503, answer
            assert answer.json()["outcome"] == "not-run"
            assert int(answer.headers["Retry-After"]) >= 1
            for path in ("/healthz", "/metrics"):
                assert operations.call("GET", path).status == 200
            assert "ready" in operations.call("GET", "/readyz").json()
            assert time.monotonic() - begun < 1.5
        crowd.check_whole()


load_tests = function_tests(__name__)
