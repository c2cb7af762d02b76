"""Many stop signals at once: every process ends, with the same verdict each time."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

from mimosafork.standins import expected_answer
from tests.support.functions import function_tests
from tests.support.processes import Cluster, Process, running_platform
from tests.support.signals import KINDS, send_overlapping, send_series
from tests.support.streaming_clients import TOKENS, StreamingClients, prompt_of

DEMO = ("demo", "--address", "127.0.0.1:0", "--operations", "127.0.0.1:0")
STANDIN = ("standin", "table")
ROUNDS = 6
ENTRY = "entry-1"
CALLERS = 4
LAG = "balancer_lag = 1s\nshutdown_timeout = 30s"


@contextmanager
def ready(arguments: tuple[str, ...]) -> Iterator[Process]:
    """Run a command that has printed its ready line."""
    process = Process(arguments)
    try:
        process.addresses()
        yield process
    finally:
        process.kill()


@contextmanager
def one_entry() -> Iterator[Cluster]:
    """Run one entry instance before one engine with a token each 50 ms."""
    with running_platform(LAG) as cluster:
        cluster.add_engine("engine-1", "--token-interval-ms", "50")
        cluster.add_entry(ENTRY)
        cluster.wait_until_served(ENTRY, endpoints=1)
        yield cluster


def verdicts_of_bursts(arguments: tuple[str, ...]) -> list[int]:
    """Return the exit codes of processes that got hundreds of signals."""
    verdicts = []
    for _ in range(ROUNDS):
        with ready(arguments) as process:
            send_overlapping(process)
            verdicts.append(process.wait())
    return verdicts


def test_demo_ends_when_a_group_signals_it_twice() -> None:
    """`make run` is stopped by a signal to its process group, and hangs.

    The process gets the signal from the group and again from make. The second one
    interrupted the handler of the first inside the lock of a threading.Event, whose
    `set` then waited for its own thread for ever.
    """
    verdicts = verdicts_of_bursts(DEMO)
    assert verdicts == [0] * ROUNDS, verdicts


def test_standin_ends_when_a_group_signals_it_twice() -> None:
    verdicts = verdicts_of_bursts(STANDIN)
    assert verdicts == [0] * ROUNDS, verdicts


def test_each_kind_of_signal_is_a_planned_stop() -> None:
    """A terminal that is closed sends SIGHUP, which cut all streams by its default."""
    verdicts = {}
    for kind in KINDS:
        with ready(DEMO) as process:
            send_series(process.pid, kind, until_ended=True)
            verdicts[kind] = process.wait()
    assert verdicts == dict.fromkeys(KINDS, 0), verdicts


def test_idle_instance_ends_under_a_burst() -> None:
    with one_entry() as cluster:
        process = cluster.entries[ENTRY]
        send_overlapping(process)
        assert process.wait() == 0


def test_hang_up_alone_cuts_no_stream() -> None:
    with one_entry() as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(CALLERS)
        process = cluster.entries[ENTRY]
        process.signal(signal.SIGHUP)
        crowd.check_whole()
        assert process.wait() == 0


def test_loaded_instance_hurries_honestly_under_a_burst() -> None:
    """Hundreds of signals come while callers stream: the first stops, more hurry.

    A main thread that was interrupted inside a lock never told the callers anything.
    Each reads in its stream what is known of its request, and the exit code says
    that requests were cut, whichever signal comes first.
    """
    with one_entry() as cluster:
        crowd = StreamingClients(cluster.clients[ENTRY])
        crowd.add(CALLERS)
        process = cluster.entries[ENTRY]
        send_overlapping(process)
        for streamed in crowd.finish():
            assert not streamed.done
            assert streamed.error is not None, streamed
            assert streamed.error["type"].endswith(":shutting-down")
            prompt = prompt_of(streamed.number)
            assert expected_answer(prompt, TOKENS).startswith(streamed.text)
        assert process.wait() == 1, process.errors


load_tests = function_tests(__name__)
