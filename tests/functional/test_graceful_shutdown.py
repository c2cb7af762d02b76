"""Planned stops of real entry instances, under load."""

import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

from mimosafork.standins import expected_answer
from tests.support.functions import function_tests
from tests.support.processes import Cluster, running_platform
from tests.support.streaming_clients import TOKENS, StreamingClients, prompt_of

ENTRY = "entry-1"
LAG = "balancer_lag = 1s\nshutdown_timeout = 30s"


@contextmanager
def one_entry(front: str = LAG) -> Iterator[Cluster]:
    """Run one entry instance before one engine with a token each 50 ms."""
    with running_platform(front) as cluster:
        cluster.add_engine("engine-1", "--token-interval-ms", "50")
        cluster.add_entry(ENTRY)
        cluster.wait_until_served(ENTRY, endpoints=1)
        yield cluster


def is_draining(cluster: Cluster) -> bool:
    """Return whether the balancer is told that the instance drains.

    An instance that has just started fails the readiness check for other reasons.
    """
    answer = cluster.operations[ENTRY].call("GET", "/readyz")
    return answer.status == 503 and answer.json()["why"] == "draining"


def wait_for_drain(cluster: Cluster) -> None:
    """Wait until the readiness check fails because of the stop."""
    limit = time.monotonic() + 10
    while not is_draining(cluster):
        assert time.monotonic() < limit


def test_a_planned_stop_cuts_nothing() -> None:
    """An instance is stopped while it streams and the balancer still sends.

    The readiness check fails at once, requests that come within the balancer's lag
    are served like all others, every stream runs to its end, and the exit code is
    0. If the listener closed at once, the balancer's next requests would be lost.
    """
    with one_entry() as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(8)
        process = cluster.entries[ENTRY]
        process.signal(signal.SIGTERM)
        wait_for_drain(cluster)
        crowd.add(4)
        crowd.check_whole()
        assert process.wait() == 0
        errors = "\n".join(process.errors)
        assert "MF1003" in errors and "MF1004" in errors, errors


def test_a_second_signal_hurries_honestly() -> None:
    """The operator has no time: a second SIGTERM in mid-stream.

    Each caller reads in its stream what is known of its request, instead of a
    connection that breaks without a word; the engine's streams are cancelled, and
    the exit code says that requests were cut.
    """
    with one_entry() as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(5)
        process = cluster.entries[ENTRY]
        process.signal(signal.SIGTERM)
        wait_for_drain(cluster)
        process.signal(signal.SIGTERM)
        for streamed in crowd.finish():
            assert not streamed.done
            assert streamed.error is not None, streamed
            assert streamed.error["type"].endswith(":shutting-down")
            assert streamed.error["outcome"] == "failed"
            prompt = prompt_of(streamed.number)
            assert expected_answer(prompt, TOKENS).startswith(streamed.text)
        assert process.wait() == 1
        ends = [entry["event"] for entry in cluster.journal("engine-1")]
        assert ends.count("cancelled") == 5, ends


def test_an_idle_instance_stops_soon() -> None:
    with one_entry("balancer_lag = 0s") as cluster:
        process = cluster.entries[ENTRY]
        process.signal(signal.SIGTERM)
        assert process.wait(15) == 0


load_tests = function_tests(__name__)
